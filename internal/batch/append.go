package batch

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// appendRows and appendBytes bound one append. The table takes 100 entries and 1 MB in one call; each result is
	// two entries, its condition and its value, and base64 makes values longer by a third.
	appendRows  = 45
	appendBytes = 600 << 10
	// appendPause lets results that end together share an append.
	appendPause = 20 * time.Millisecond
)

// appendLoop appends results to the list as they come.
func (o *ownedJob) appendLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.ready:
		}
		wait.Sleep(o.ctx, appendPause)
		o.appendAll()
	}
}

// appendAll appends until nothing is ready. Of a run of failures it logs the first: the next line of the job is
// its next append.
func (o *ownedJob) appendAll() {
	pause := commitPause
	for o.ctx.Err() == nil {
		more, err := o.appendOnce()
		if err == nil {
			if !more {
				return
			}
			pause = commitPause
			continue
		}
		if pause == commitPause {
			o.service.options.Log.Warn().Err(err).Str("job", o.job.ID).Msg(event.AppendFailed)
		}
		wait.Sleep(o.ctx, pause)
		pause = min(2*pause, longestPause)
		o.reread()
	}
}

func (o *ownedJob) appendOnce() (more bool, err error) {
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return false, nil
	}
	position, r, revision := o.progress.listed, o.record, o.revision
	values := o.nextBatch()
	o.mu.Unlock()
	if len(values) == 0 {
		return false, nil
	}
	checkOnly := true
	writes := []api.Write{{Key: jobKey(o.job.ID), Expected: revision, CheckOnly: &checkOnly}}
	for i, value := range values {
		writes = append(writes, api.Write{Key: resultKey(o.job.ID, position+i), Expected: api.NoRevision, Value: value})
	}
	ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
	defer cancel()
	if _, err := o.service.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes}); err != nil {
		return true, err
	}
	o.mu.Lock()
	o.progress.listed += len(values)
	o.progress.ready = o.progress.ready[len(values):]
	left, open := len(o.progress.ready), o.progress.open
	o.mu.Unlock()
	o.service.options.Log.Debug().Str("job", o.job.ID).Int("position", position).Int("results", len(values)).Int("open", open).
		Int("term", r.Term).Msg(event.ResultsListed)
	return left > 0, nil
}

// nextBatch returns the rows of the results that fit into one append.
func (o *ownedJob) nextBatch() []*string {
	var values []*string
	size := 0
	for _, r := range o.progress.ready[:min(appendRows, len(o.progress.ready))] {
		value := api.EncodeValue(r)
		size += len(*value)
		if len(values) > 0 && size > appendBytes {
			break
		}
		values = append(values, value)
	}
	return values
}

// reread learns what the list and the job's row are after an append that failed or may have succeeded.
func (o *ownedJob) reread() {
	ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
	defer cancel()
	if _, err := o.service.fresh(ctx, o.job.ID); err != nil {
		if errors.Is(err, api.ErrNotFound) {
			o.stop(record{Ended: true})
		}
		return
	}
	o.mu.Lock()
	listed := o.progress.listed
	o.mu.Unlock()
	results, err := o.service.results(ctx, o.job.ID, listed)
	if err != nil || len(results) == 0 {
		return
	}
	o.mu.Lock()
	o.progress.adoptList(results)
	o.mu.Unlock()
}

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
	// maxAppendResults and maxAppendBytes limit one append. The table accepts 100 entries and 1 MB per call. Each
	// result takes two entries, a condition and a value, and base64 makes values longer by a third.
	maxAppendResults = 45
	maxAppendBytes   = 600 << 10
	// appendDelay is the delay before an append, so that items that end at about the same time share one.
	appendDelay = 20 * time.Millisecond
)

// appendLoop appends results to the list as items end, until the job stops.
func (o *ownedJob) appendLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.appendSignal:
		}
		wait.Sleep(o.ctx, appendDelay)
		o.appendUnlisted()
	}
}

// appendUnlisted appends until all results are in the list. It retries failed appends with backoff and logs only the
// first of consecutive failures.
func (o *ownedJob) appendUnlisted() {
	backoff := commitBackoff
	for o.ctx.Err() == nil {
		more, err := o.appendBatch()
		if err == nil {
			if !more {
				return
			}
			backoff = commitBackoff
			continue
		}
		if backoff == commitBackoff {
			o.service.options.Log.Warn().Err(err).Str("job", o.job.ID).Msg(event.AppendFailed)
		}
		wait.Sleep(o.ctx, backoff)
		backoff = min(2*backoff, maxCommitBackoff)
		o.refresh()
	}
}

// appendBatch appends as many results as one call may contain. It reports whether results remain.
func (o *ownedJob) appendBatch() (more bool, err error) {
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return false, nil
	}
	position, r, revision := o.progress.listedCount, o.record, o.revision
	values := o.encodeBatch()
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
	o.progress.listedCount += len(values)
	o.progress.unlisted = o.progress.unlisted[len(values):]
	remaining, open := len(o.progress.unlisted), o.progress.openCount
	o.mu.Unlock()
	o.service.options.Log.Debug().Str("job", o.job.ID).Int("position", position).Int("results", len(values)).Int("open", open).
		Int("term", r.Term).Msg(event.ResultsAppended)
	return remaining > 0, nil
}

// encodeBatch returns the encoded results of the next append, within its limits.
func (o *ownedJob) encodeBatch() []*string {
	var values []*string
	size := 0
	for _, r := range o.progress.unlisted[:min(maxAppendResults, len(o.progress.unlisted))] {
		value := api.EncodeValue(r)
		size += len(*value)
		if len(values) > 0 && size > maxAppendBytes {
			break
		}
		values = append(values, value)
	}
	return values
}

// refresh reads the job's row and list again after an append that failed or whose response was lost.
func (o *ownedJob) refresh() {
	ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
	defer cancel()
	if _, err := o.service.refreshRow(ctx, o.job.ID); err != nil {
		if errors.Is(err, api.ErrNotFound) {
			o.stop(jobRecord{Ended: true})
		}
		return
	}
	o.mu.Lock()
	listed := o.progress.listedCount
	o.mu.Unlock()
	results, err := o.service.readResults(ctx, o.job.ID, listed)
	if err != nil || len(results) == 0 {
		return
	}
	o.mu.Lock()
	o.progress.applyListed(results)
	o.mu.Unlock()
}

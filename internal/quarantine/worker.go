package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/follow"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// table is the table with one row for each instance that saw crashes.
	table = "crash"
	// longPollHold is how long the table service holds a call while there are no changes. The rows change rarely, and a
	// report that arrives late can cost a target, so one long poll is better than many short ones.
	longPollHold = 10 * time.Second
	// minWriteInterval is the shortest time between two writes of an instance's report.
	minWriteInterval = 200 * time.Millisecond
	writeTimeout     = 2 * time.Second
	// maxRemovals keeps a write within the rows that the table service allows.
	maxRemovals = 32
)

// Options configure a Worker.
type Options struct {
	Instance string
	List     *List
	Store    follow.Store
	Log      zerolog.Logger
}

// Worker shares the crashes of a List with the other instances. A write replaces only a row that this process has read or written, so
// that a restarted instance does not overwrite what its former process reported.
type Worker struct {
	options Options
	feed    *follow.Follower

	// mu is held while changes are applied, so that revisions and the list are of the same rows.
	mu sync.Mutex
	// revisions holds the newest known revision of each row, by instance.
	revisions map[string]int
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options Options) *Worker {
	w := &Worker{options: options, revisions: map[string]int{}}
	w.feed = follow.New(follow.Options{Table: table, Source: options.Store, Apply: w.applyReports, Log: options.Log, LongPoll: longPollHold})
	return w
}

// Run writes this instance's report and reads those of the others until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(w.feed.Run)
	p.Go(w.reportChanges)
	return p.Wait()
}

// reportChanges writes the report after each change of the list, and retries until the write succeeds.
func (w *Worker) reportChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.options.List.Changes():
		}
		for ctx.Err() == nil {
			err := w.writeReport(ctx)
			wait.Sleep(ctx, minWriteInterval)
			if err == nil {
				break
			}
			w.options.Log.Warn().Err(err).Msg(event.CrashReportWriteFailed)
		}
	}
}

// writeReport stores this instance's report and deletes the rows of instances whose crashes have all expired. If one of the rows has
// changed since it was read, it reads the changes and returns api.ErrConflict.
func (w *Worker) writeReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := w.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: w.nextWrites(time.Now())})
	if errors.Is(err, api.ErrConflict) {
		if err := w.feed.CatchUp(ctx); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordRevision(w.options.Instance, revision)
	return nil
}

// nextWrites returns the writes of the report and of the deletions, each under the condition that the row is the one that the list
// contains.
func (w *Worker) nextWrites(now time.Time) []api.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	writes := []api.Write{{
		Key: table + "/" + w.options.Instance, Expected: w.revisions[w.options.Instance], Value: api.EncodeValue(w.options.List.Report(now)),
	}}
	expired := w.options.List.ExpiredReporters(now)
	for _, instance := range expired[:min(len(expired), maxRemovals)] {
		writes = append(writes, api.Deletion(table+"/"+instance, w.revisions[instance]))
	}
	return writes
}

// recordRevision records the revision of an instance's row, and reports whether it is newer than the known one. The caller holds the
// lock.
func (w *Worker) recordRevision(instance string, revision int) bool {
	isNew := revision > w.revisions[instance]
	if isNew {
		w.revisions[instance] = revision
	}
	return isNew
}

// applyReports passes the changed rows to the list.
func (w *Worker) applyReports(changes []api.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range changes {
		instance := strings.TrimPrefix(c.Key, table+"/")
		switch isNew := w.recordRevision(instance, c.Revision); {
		case !isNew:
			// This process has written the row.
		case c.Deleted:
			delete(w.revisions, instance)
			w.options.List.RemoveReport(instance)
		default:
			w.applyReport(instance, c)
		}
	}
}

// applyReport passes a changed row to the list.
func (w *Worker) applyReport(instance string, c api.Change) {
	var report Report
	if err := json.Unmarshal([]byte(c.Value), &report); err != nil {
		w.options.Log.Warn().Err(err).Str("row", c.Key).Int("revision", c.Revision).Msg(event.CrashReportDecodeFailed)
		return
	}
	now := time.Now()
	if instance == w.options.Instance {
		w.options.List.AdoptReport(report, now)
	} else {
		w.options.List.ApplyReport(instance, report, now)
	}
	w.options.Log.Info().Str("reporter", instance).Int("crashes", len(report.Crashes)).Int("completed", len(report.Completed)).
		Int("known", w.options.List.CrashCount(now)).Int("revision", c.Revision).Msg(event.CrashReportApplied)
}

package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"
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
)

// Options configure a Worker.
type Options struct {
	Instance string
	List     *List
	Store    follow.Store
	Log      zerolog.Logger
}

// Worker shares the crashes of a List with the other instances.
type Worker struct {
	options Options
	feed    *follow.Follower
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options Options) *Worker {
	w := &Worker{options: options}
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

// writeReport stores this instance's report and deletes the rows of instances whose crashes have all expired.
func (w *Worker) writeReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := time.Now()
	report := api.EncodeValue(w.options.List.Report(now))
	writes := []api.Write{{Key: table + "/" + w.options.Instance, Expected: api.AnyRevision, Value: report}}
	for _, instance := range w.options.List.ExpiredReporters(now) {
		writes = append(writes, api.Deletion(table+"/"+instance, api.AnyRevision))
	}
	_, err := w.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
	return err
}

// applyReports passes the changed rows of other instances to the list.
func (w *Worker) applyReports(changes []api.Change) {
	for _, c := range changes {
		instance := strings.TrimPrefix(c.Key, table+"/")
		if instance == w.options.Instance {
			continue
		}
		if c.Deleted {
			w.options.List.RemoveReport(instance)
			continue
		}
		var report Report
		if err := json.Unmarshal([]byte(c.Value), &report); err != nil {
			w.options.Log.Warn().Err(err).Str("row", c.Key).Int("revision", c.Revision).Msg(event.CrashReportDecodeFailed)
			continue
		}
		now := time.Now()
		w.options.List.ApplyReport(instance, report, now)
		w.options.Log.Info().Str("reporter", instance).Int("crashes", len(report.Crashes)).Int("completed", len(report.Completed)).
			Int("known", w.options.List.CrashCount(now)).Int("revision", c.Revision).Msg(event.CrashReportApplied)
	}
}

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
	// table holds one row for each instance that saw crashes.
	table = "crash"
	// feedWait is how long the table holds a call without changes. The rows change rarely, and a report that comes
	// late costs a target, so long calls are better than many.
	feedWait = 10 * time.Second
	// writePause is the shortest time between two reports of an instance.
	writePause = 200 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
)

// Store is the table service as far as a Worker needs it.
type Store interface {
	follow.Source
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// Options configure a Worker.
type Options struct {
	Instance string
	List     *List
	Store    Store
	Log      zerolog.Logger
}

// Worker exchanges the crashes of a list with the other instances.
type Worker struct {
	options Options
	feed    *follow.Follower
}

// NewWorker returns a worker.
func NewWorker(options Options) *Worker {
	w := &Worker{options: options}
	w.feed = follow.New(follow.Options{Table: table, Source: options.Store, Apply: w.apply, Log: options.Log, Hold: feedWait})
	return w
}

// Run exchanges crashes until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(w.feed.Run)
	p.Go(w.report)
	return p.Wait()
}

// report writes what this instance saw after each change.
func (w *Worker) report(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.options.List.Changes():
		}
		for ctx.Err() == nil {
			err := w.write(ctx)
			wait.Sleep(ctx, writePause)
			if err == nil {
				break
			}
			w.options.Log.Warn().Err(err).Msg(event.CrashesUnwritten)
		}
	}
}

// write stores the own report, and removes those of other instances that do not count any more.
func (w *Worker) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := time.Now()
	remove := true
	report := api.EncodeValue(w.options.List.Report(now))
	writes := []api.Write{{Key: table + "/" + w.options.Instance, Expected: api.AnyRevision, Value: report}}
	for _, instance := range w.options.List.Outdated(now) {
		writes = append(writes, api.Write{Key: table + "/" + instance, Expected: api.AnyRevision, Delete: &remove})
	}
	_, err := w.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
	return err
}

// apply takes the reports of other instances.
func (w *Worker) apply(changes []api.Change) {
	for _, c := range changes {
		instance := strings.TrimPrefix(c.Key, table+"/")
		if instance == w.options.Instance {
			continue
		}
		if c.Deleted {
			w.options.List.Forget(instance)
			continue
		}
		var report Report
		if err := json.Unmarshal([]byte(c.Value), &report); err != nil {
			w.options.Log.Warn().Err(err).Str("row", c.Key).Int("revision", c.Revision).Msg(event.CrashesUnreadable)
			continue
		}
		now := time.Now()
		w.options.List.Learn(instance, report, now)
		w.options.Log.Info().Str("reporter", instance).Int("crashes", len(report.Crashes)).Int("completed", len(report.Completed)).
			Int("known", w.options.List.Count(now)).Int("revision", c.Revision).Msg(event.CrashesLearned)
	}
}

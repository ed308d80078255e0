package usage

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// flushInterval ensures that a crashed instance loses the usage of less than 1 s: it leaves 100 ms for the write
	// itself.
	flushInterval = 900 * time.Millisecond
	closeInterval = time.Second
	// drainRetryDelay is the delay between a failed flush and the next attempt while draining.
	drainRetryDelay = 100 * time.Millisecond

	defaultWindowLength = time.Hour
	defaultGraceTime    = 10 * time.Second
)

// Options configure a Worker.
type Options struct {
	Instance string
	Meter    *Meter
	Table    Table
	Objects  Objects
	Intake   Intake
	Lease    Lease
	Log      zerolog.Logger
}

// counters holds the counters that a running worker updates.
type counters struct {
	flushFailures, closed, reported, conflicts, discarded atomic.Int64
}

// Stats holds the values of a worker's counters at one time.
type Stats struct {
	// FlushFailures counts failed flushes, whose usage the next flush writes.
	FlushFailures int64
	// Closed counts windows that this worker closed.
	Closed int64
	// Reported counts windows that this worker reported.
	Reported int64
	// Conflicts counts windows for which the intake already held different figures.
	Conflicts int64
	// Discarded counts statements that arrived after their window's row was deleted.
	Discarded int64
	// LostRequests counts requests in windows that this instance dropped from memory before they were stored.
	LostRequests int64
}

// Worker writes an instance's usage and, while it holds the lease, closes and reports windows.
type Worker struct {
	options   Options
	closer    *closer
	graceTime atomic.Int64
	stats     counters
}

// NewWorker returns a worker with windows of one hour and a grace time of 10 s.
func NewWorker(o Options) *Worker {
	w := &Worker{options: o}
	w.graceTime.Store(int64(defaultGraceTime))
	w.closer = &closer{
		instance: o.Instance, table: o.Table, objects: o.Objects, intake: o.Intake, lease: o.Lease, stats: &w.stats,
	}
	return w
}

// ApplyConfig sets window length and grace time. The window in progress keeps its length on this instance, so its end
// may differ from the boundary at which the lease holder closes windows. Usage that is counted in a later window for
// this reason is reported as an adjustment.
func (w *Worker) ApplyConfig(document *config.Document) {
	length, grace := defaultWindowLength, defaultGraceTime
	if u := document.Usage; u != nil && u.WindowSeconds > 0 {
		length = time.Duration(u.WindowSeconds) * time.Second
	}
	if u := document.Usage; u != nil && u.GraceSeconds > 0 {
		grace = time.Duration(u.GraceSeconds) * time.Second
	}
	w.options.Meter.windowLength.Store(int64(length))
	w.graceTime.Store(int64(grace))
}

// Run writes usage and closes windows until ctx ends. Usage that is not written by then stays in memory until Drain
// writes it.
func (w *Worker) Run(ctx context.Context) error {
	tasks := pool.New().WithContext(ctx)
	tasks.Go(func(ctx context.Context) error { return wait.Every(ctx, flushInterval, w.flushAndLog) })
	tasks.Go(func(ctx context.Context) error { return wait.Every(ctx, closeInterval, w.closeWindows) })
	return tasks.Wait()
}

func (w *Worker) flushAndLog(ctx context.Context) {
	err := w.Flush(ctx)
	if err == nil {
		return
	}
	w.stats.flushFailures.Add(1)
	w.options.Log.Debug().Err(err).Msg(event.UsageWriteDeferred)
}

func (w *Worker) closeWindows(ctx context.Context) {
	length := w.options.Meter.windowLength.Load() / int64(time.Second)
	grace := w.graceTime.Load() / int64(time.Second)
	if err := w.closer.runRound(ctx, time.Now().Unix(), length, grace); err != nil && ctx.Err() == nil {
		w.options.Log.Warn().Err(err).Msg(event.UsageWindowFailed)
	}
}

// Flush writes all usage that was recorded before the call. Callers that must not lose the usage of some work
// acknowledge the work only after Flush returns nil.
func (w *Worker) Flush(ctx context.Context) error {
	return w.options.Meter.Flush(ctx, w.options.Objects)
}

// Drain writes all recorded usage and retries until it succeeds or ctx ends.
func (w *Worker) Drain(ctx context.Context) error {
	for {
		err := w.Flush(ctx)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(drainRetryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

// Stats returns the current values of the worker's counters.
func (w *Worker) Stats() Stats {
	return Stats{
		FlushFailures: w.stats.flushFailures.Load(), Closed: w.stats.closed.Load(), Reported: w.stats.reported.Load(),
		Conflicts: w.stats.conflicts.Load(), Discarded: w.stats.discarded.Load(), LostRequests: w.options.Meter.LostRequests(),
	}
}

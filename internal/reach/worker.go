package reach

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/event"
)

// checkInterval is the time between two looks at the table.
const checkInterval = 250 * time.Millisecond

// Options configure a Worker.
type Options struct {
	Table *Table
	Log   zerolog.Logger
}

// Worker logs when all links to targets are lost and when they are back.
type Worker struct {
	options   Options
	lostSince time.Time
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options Options) *Worker { return &Worker{options: options} }

// Run checks the table until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			w.logChange(now)
		}
	}
}

func (w *Worker) logChange(now time.Time) {
	since, failed := w.options.Table.LostSince(now)
	switch {
	case w.lostSince.IsZero() && !since.IsZero():
		w.options.Log.Warn().Dur("lost_for", now.Sub(since)).Int("targets", failed).Msg(event.LinksLost)
	case !w.lostSince.IsZero() && since.IsZero():
		w.options.Log.Warn().Dur("elapsed", now.Sub(w.lostSince)).Msg(event.LinksRestored)
	}
	w.lostSince = since
}

package reach

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/follow"
	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// rowTable is the table with one row for each instance.
	rowTable = "reach"
	// longPollHold is how long the table service holds a call while there are no changes: mostly there are none.
	longPollHold = 10 * time.Second
	// minReadInterval limits the calls while many instances write.
	minReadInterval = 250 * time.Millisecond
	// checkInterval is the time between two looks at the table.
	checkInterval = 250 * time.Millisecond
	// minWriteInterval is the time between two writes of this instance's row.
	minWriteInterval = 500 * time.Millisecond
	// refreshInterval is the age at which an instance writes its row again, rowTTL the age at which others remove it: its instance
	// ended without removing it.
	refreshInterval = 10 * time.Minute
	rowTTL          = 30 * time.Minute
	writeTimeout    = time.Second
	// writeRetryDelay leaves a table service in trouble alone between two attempts.
	writeRetryDelay = time.Second
	// maxProbes is the number of links that are tried again at once, maxQuestions that of targets that others are asked about.
	maxProbes    = 4
	maxQuestions = 2
	// maxRemovals keeps a write within the rows that the table service allows.
	maxRemovals = 32
)

// Prober tries ways to targets and reports the results to the table.
type Prober interface {
	// Probe opens a direct connection.
	Probe(ctx context.Context, target string)
	// AskPeers asks other instances whether they reach the target.
	AskPeers(ctx context.Context, target string)
}

// CapacityObserver is told the processor time of the other instances.
type CapacityObserver interface {
	SetCapacity(instance string, cores float64)
	RemoveCapacity(instance string)
}

// Options configure a Worker. Self is the row of this instance; without a URL it writes none.
type Options struct {
	Self   Peer
	Table  *Table
	Prober Prober
	// Capacities may be nil.
	Capacities CapacityObserver
	Store      follow.Store
	Log        zerolog.Logger
}

// row is what an instance says about itself. At is the time of the write in Unix seconds.
type row struct {
	URL   string `json:"url"`
	Zone  string `json:"zone"`
	Start string `json:"start"`
	Cut   bool   `json:"cut,omitempty"`
	At    int64  `json:"at"`
	// Cores is the processor time of the instance in cores; builds before it do not write it.
	Cores float64 `json:"cores,omitempty"`
}

// Worker exchanges rows with the other instances, tries lost links again and logs when all are lost.
type Worker struct {
	options Options
	feed    *follow.Follower

	mu sync.Mutex
	// rowTimes holds when the rows of other instances were written.
	rowTimes map[string]time.Time

	// The fields below belong to the goroutine of check.
	lostSince time.Time
	wroteAt   time.Time
	wroteCut  bool
	// retryAt is when a failed write is tried again.
	retryAt time.Time
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options Options) *Worker {
	w := &Worker{options: options, rowTimes: map[string]time.Time{}}
	w.feed = follow.New(follow.Options{
		Table: rowTable, Source: options.Store, Apply: w.applyRows, Log: options.Log, LongPoll: longPollHold, MinInterval: minReadInterval,
	})
	return w
}

// Run works until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(w.feed.Run)
	p.Go(w.checkLoop)
	return p.Wait()
}

func (w *Worker) checkLoop(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		w.logChange(time.Now())
		w.tryLinks(ctx, time.Now())
		w.writeRow(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (w *Worker) logChange(now time.Time) {
	since, failed := w.options.Table.LostSince()
	switch {
	case w.lostSince.IsZero() && !since.IsZero():
		w.options.Log.Warn().Dur("lost_for", now.Sub(since)).Int("targets", failed).Msg(event.LinksLost)
	case !w.lostSince.IsZero() && since.IsZero():
		w.options.Log.Warn().Dur("elapsed", now.Sub(w.lostSince)).Msg(event.LinksRestored)
	}
	w.lostSince = since
}

// tryLinks tries links that are cut again and asks other instances about targets that do not respond here.
func (w *Worker) tryLinks(ctx context.Context, now time.Time) {
	p := pool.New()
	for _, target := range w.options.Table.TakeCut(maxProbes, now) {
		p.Go(func() { w.options.Prober.Probe(ctx, target) })
	}
	for _, target := range w.options.Table.TakeUnexplained(maxQuestions, now) {
		p.Go(func() { w.options.Prober.AskPeers(ctx, target) })
	}
	p.Wait()
}

// writeRow writes this instance's row when it has changed or grows old, and removes rows that were not written for rowTTL.
func (w *Worker) writeRow(ctx context.Context, now time.Time) {
	cut := !w.options.Table.CutSince(now).IsZero()
	isDue := w.wroteAt.IsZero() || now.Sub(w.wroteAt) >= refreshInterval || cut != w.wroteCut && now.Sub(w.wroteAt) >= minWriteInterval
	if w.options.Self.URL == "" || !isDue || now.Before(w.retryAt) {
		return
	}
	r := row{URL: w.options.Self.URL, Zone: w.options.Self.Zone, Start: w.options.Self.Start, Cut: cut, At: now.Unix(), Cores: w.options.Self.Cores}
	writes := append(w.removals(now), api.Write{Key: rowTable + "/" + w.options.Self.Name, Expected: api.AnyRevision, Value: api.EncodeValue(r)})
	if err := w.commit(ctx, writes); err != nil {
		if ctx.Err() == nil {
			w.options.Log.Warn().Err(err).Msg(event.ReachWriteFailed)
		}
		w.retryAt = time.Now().Add(writeRetryDelay)
		return
	}
	w.wroteAt, w.wroteCut = now, cut
}

func (w *Worker) commit(ctx context.Context, writes []api.Write) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := w.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
	return err
}

func (w *Worker) removals(now time.Time) []api.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	var writes []api.Write
	for name, at := range w.rowTimes {
		if now.Sub(at) > rowTTL && len(writes) < maxRemovals {
			writes = append(writes, api.Deletion(rowTable+"/"+name, api.AnyRevision))
		}
	}
	return writes
}

// Leave removes this instance's row, so that others send nothing more through it.
func (w *Worker) Leave(ctx context.Context) error {
	if w.options.Self.URL == "" {
		return nil
	}
	return w.commit(ctx, []api.Write{api.Deletion(rowTable+"/"+w.options.Self.Name, api.AnyRevision)})
}

func (w *Worker) applyRows(changes []api.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range changes {
		name := strings.TrimPrefix(c.Key, rowTable+"/")
		if name == w.options.Self.Name {
			continue
		}
		if c.Deleted {
			delete(w.rowTimes, name)
			w.options.Table.RemovePeer(name)
			if w.options.Capacities != nil {
				w.options.Capacities.RemoveCapacity(name)
			}
			continue
		}
		var r row
		if err := json.Unmarshal([]byte(c.Value), &r); err != nil || r.URL == "" {
			w.options.Log.Warn().AnErr("error", err).Str("row", c.Key).Int("revision", c.Revision).Msg(event.ReachDecodeFailed)
			continue
		}
		w.rowTimes[name] = time.Unix(r.At, 0)
		w.options.Table.SetPeer(Peer{Name: name, URL: r.URL, Zone: r.Zone, Start: r.Start, Cut: r.Cut, Cores: r.Cores})
		if w.options.Capacities != nil {
			w.options.Capacities.SetCapacity(name, r.Cores)
		}
	}
}

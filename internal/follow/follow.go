// Package follow keeps a copy of the rows of a table up to date through the table's feed of changes.
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// defaultLongPoll is the default of Options.LongPoll. A dead connection is detected after this time and the timeout
	// of the call.
	defaultLongPoll = 700 * time.Millisecond
	// defaultMinInterval is the default of Options.MinInterval. It limits the number of calls if rows change often.
	defaultMinInterval = 100 * time.Millisecond
	// UrgentMaxInterval is the MaxInterval for tables whose changes have to be in force within 2 to 3 s.
	UrgentMaxInterval = 800 * time.Millisecond
	// defaultMaxInterval is the default of Options.MaxInterval, for all other tables.
	defaultMaxInterval = 1500 * time.Millisecond
	// The interval between calls is multiplied by intervalGrowth after each api.ErrThrottled, and by intervalDecay
	// after each success once the recovery delay has passed without an api.ErrThrottled.
	intervalGrowth = 2.0
	intervalDecay  = 0.9
	// minRecoveryDelay is the initial time without an api.ErrThrottled after which the interval starts to shrink. The
	// delay doubles, up to maxRecoveryDelay, at each api.ErrThrottled after the interval shrank. So a follower
	// recovers quickly from a short overload and adapts to a permanent rate limit.
	minRecoveryDelay = 3 * time.Second
	maxRecoveryDelay = 48 * time.Second
	// retryDelay is the time before a retry if a call failed for any reason other than api.ErrThrottled.
	retryDelay = 200 * time.Millisecond
)

// Source is the part of the table service that a Follower uses.
type Source interface {
	// Snapshot returns all rows whose keys begin with prefix and the revision at which they were read.
	Snapshot(ctx context.Context, prefix string) ([]api.Row, int, error)
	// Changes returns the rows of a table that changed after a revision. If there are none yet, it waits for a change
	// for up to the time wait.
	Changes(ctx context.Context, table string, after int, wait time.Duration) (api.Changes, error)
}

// Store is a Source whose rows can be written.
type Store interface {
	Source
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// Options configure a Follower.
type Options struct {
	Table  string
	Source Source
	// Apply receives changed rows in the order of their changes. Its calls do not overlap.
	Apply func([]api.Change)
	Log   zerolog.Logger
	Now   func() time.Time
	// MinInterval is the shortest time between two calls; 0 means 100 ms. The time between calls grows while the table
	// refuses calls with api.ErrThrottled, but not above MaxInterval; 0 means 1.5 s.
	MinInterval, MaxInterval time.Duration
	// LongPoll is how long the table may wait for a change before it returns without one; 0 means 700 ms.
	LongPoll time.Duration
}

// Follower keeps track of the rows of one table and passes changes to Options.Apply. The rows have keys of the form
// "<table>/<name>".
type Follower struct {
	options Options
	// interval is the current time between two calls; lastThrottledAt is the time of the last api.ErrThrottled.
	interval        time.Duration
	lastThrottledAt time.Time
	// recoveryDelay is the time after lastThrottledAt from which the interval shrinks; hasRecovered reports whether it
	// has shrunk since then.
	recoveryDelay time.Duration
	hasRecovered  bool
	// mu is held while changes are applied. applied is the revision up to which the copy has all changes, 0 before the first
	// snapshot. revisions holds the revision of each row in the copy, by key.
	mu        sync.Mutex
	applied   int
	revisions map[string]int
	// catchUps receives the calls of CatchUp that wait for a read of the changes.
	catchUps chan chan<- error
	// rereadDue reports that the table is to be read again as a whole.
	rereadDue atomic.Bool
	// lastSuccess is the time of the last successful call by Options.Now, in Unix nanoseconds; 0 means none.
	lastSuccess atomic.Int64
	// healthySince is the time of the first successful call since the last failure, in the same unit; 0 while calls
	// fail. An api.ErrThrottled is not a failure here.
	healthySince atomic.Int64
	// feedLost reports that calls have failed since the last success, and that this has been logged.
	feedLost bool
}

// New returns a follower that has not read any rows yet.
func New(options Options) *Follower {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MinInterval == 0 {
		options.MinInterval = defaultMinInterval
	}
	if options.LongPoll == 0 {
		options.LongPoll = defaultLongPoll
	}
	if options.MaxInterval == 0 {
		options.MaxInterval = defaultMaxInterval
	}
	return &Follower{options: options, interval: options.MinInterval, recoveryDelay: minRecoveryDelay, revisions: map[string]int{}, catchUps: make(chan chan<- error)}
}

// HealthyFor returns how long calls have succeeded without a failure; 0 if the last call failed. An api.ErrThrottled
// does not count as a failure.
func (f *Follower) HealthyFor(now time.Time) time.Duration {
	since := f.healthySince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// LastSuccess returns the time of the last successful call; the zero time if there was none.
func (f *Follower) LastSuccess() time.Time {
	at := f.lastSuccess.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// HasRead reports whether the rows have been read at least once.
func (f *Follower) HasRead() bool { return f.lastSuccess.Load() != 0 }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { f.serveCatchUps(ctx) })
	for ctx.Err() == nil {
		if err := f.readSnapshot(ctx); err != nil {
			f.recordFailure(ctx, err)
			wait.Sleep(ctx, f.delayAfter(err))
			continue
		}
		f.recordSuccess()
		f.followFeed(ctx)
	}
	wg.Wait()
	return nil
}

// readSnapshot reads all rows and applies the differences. Rows that are missing from the snapshot were deleted.
func (f *Follower) readSnapshot(ctx context.Context) error {
	rows, revision, err := f.options.Source.Snapshot(ctx, f.options.Table+"/")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	var changes []api.Change
	for _, row := range rows {
		listed[row.Key] = true
		if copiedRevision, ok := f.revisions[row.Key]; !ok || copiedRevision < row.Revision {
			changes = append(changes, api.Change{Row: row})
		}
	}
	for key := range f.revisions {
		if !listed[key] {
			changes = append(changes, api.Change{Row: api.Row{Key: key, Revision: revision}, Deleted: true})
		}
	}
	f.applyNewer(changes)
	f.applied = revision
	return nil
}

// Reread makes the follower read the whole table again within LongPoll and the interval between calls, and apply those rows once more
// whose keys selects returns true for. It must not be called by Options.Apply.
func (f *Follower) Reread(selects func(key string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.revisions {
		if selects(key) {
			f.revisions[key] = 0
		}
	}
	f.rereadDue.Store(true)
}

// followFeed reads and applies changes until the feed no longer has the changes after the last revision, or a reread is due.
func (f *Follower) followFeed(ctx context.Context) {
	for ctx.Err() == nil && !f.rereadDue.CompareAndSwap(true, false) {
		startedAt, revision := time.Now(), f.appliedRevision()
		longPoll := f.options.LongPoll
		if f.feedLost {
			// A short call detects soon that the table is available again.
			longPoll = retryDelay
		}
		changes, err := f.options.Source.Changes(ctx, f.options.Table, revision, longPoll)
		switch {
		case errors.Is(err, api.ErrHistoryLost):
			f.options.Log.Info().Str("table", f.options.Table).Int("revision", revision).Msg(event.HistoryLost)
			return
		case err != nil:
			f.recordFailure(ctx, err)
			wait.Sleep(ctx, f.delayAfter(err))
			continue
		}
		f.recordSuccess()
		f.applyFeed(changes)
		wait.Sleep(ctx, f.jitter(f.interval)-time.Since(startedAt))
	}
}

func (f *Follower) appliedRevision() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// applyFeed applies what the feed returned, unless a call that began earlier or later has applied it.
func (f *Follower) applyFeed(changes api.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyNewer(slices.DeleteFunc(changes.Rows, func(c api.Change) bool { return c.Revision <= f.applied }))
	f.applied = max(f.applied, changes.Revision)
}

// applyNewer passes those changes to Options.Apply that are newer than the copy. The caller holds the lock.
func (f *Follower) applyNewer(changes []api.Change) {
	var newer []api.Change
	for _, c := range changes {
		if copiedRevision, ok := f.revisions[c.Key]; ok && c.Revision <= copiedRevision {
			continue
		}
		if c.Deleted {
			delete(f.revisions, c.Key)
		} else {
			f.revisions[c.Key] = c.Revision
		}
		newer = append(newer, c)
	}
	if len(newer) > 0 {
		f.options.Apply(newer)
	}
}

func (f *Follower) recordSuccess() {
	now := f.options.Now().UnixNano()
	f.lastSuccess.Store(now)
	f.healthySince.CompareAndSwap(0, now)
	f.shortenInterval()
	if f.feedLost {
		f.feedLost = false
		f.options.Log.Info().Str("table", f.options.Table).Msg(event.FeedRecovered)
	}
}

// shortenInterval shortens the interval between calls if the recovery delay has passed since the last api.ErrThrottled.
func (f *Follower) shortenInterval() {
	if f.interval <= f.options.MinInterval || time.Since(f.lastThrottledAt) <= f.recoveryDelay {
		return
	}
	f.hasRecovered = true
	f.interval = max(f.options.MinInterval, time.Duration(intervalDecay*float64(f.interval)))
	if f.interval == f.options.MinInterval {
		f.recoveryDelay = minRecoveryDelay
	}
}

// delayAfter returns the time before the next call after a failed one. An unavailable table is called again
// after retryDelay. After an api.ErrThrottled the interval grows, because all instances follow the table.
func (f *Follower) delayAfter(err error) time.Duration {
	if !errors.Is(err, api.ErrThrottled) {
		return retryDelay
	}
	f.lastThrottledAt = time.Now()
	if f.hasRecovered {
		f.hasRecovered = false
		f.recoveryDelay = min(2*f.recoveryDelay, maxRecoveryDelay)
	}
	longerInterval := min(time.Duration(intervalGrowth*float64(max(f.interval, defaultMinInterval))), f.options.MaxInterval)
	if longerInterval > f.interval {
		f.interval = longerInterval
		f.options.Log.Info().Str("table", f.options.Table).Dur("pace", f.interval).Msg(event.FeedThrottled)
	}
	// Half the interval: with the whole interval, some of hundreds of instances would miss a change for several
	// seconds.
	return f.jitter(f.interval) / 2
}

// jitter varies an interval that has grown above Options.MinInterval by up to half in both directions, so that
// instances whose calls were refused at the same time do not retry at the same time.
func (f *Follower) jitter(interval time.Duration) time.Duration {
	if interval <= f.options.MinInterval {
		return interval
	}
	return interval/2 + rand.N(interval)
}

// recordFailure marks the feed as lost, unless ctx has ended or the error is api.ErrThrottled.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, api.ErrThrottled) {
		// A table that throttles calls is available; the next call brings the copy up to date.
		return
	}
	f.healthySince.Store(0)
	if !f.feedLost {
		f.feedLost = true
		f.options.Log.Warn().Err(err).Str("table", f.options.Table).Msg(event.FeedFailed)
	}
}

// Package lease makes at most one entry instance at a time the holder of a named lease. Each takeover increases the
// term, which is the fencing token of what the holder sends.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	tableCallTimeout = time.Second
	// retryInterval is the pause after a failed call. A holder has nearly 3 s to renew the lease, so it makes about ten
	// attempts before it must stop sending.
	retryInterval = 250 * time.Millisecond
)

var (
	// ErrNotHeld reports that this instance does not hold the lease, so nothing was done.
	ErrNotHeld = errors.New("lease not held")
	// errNoWriteDue reports that the candidate has no record to write: it waits for the lease of another holder to
	// expire, or has stopped.
	errNoWriteDue = errors.New("no write of the lease row is due")
)

// Table is the part of the platform's table service that a lease needs. Commit returns the new revision of the rows
// that it wrote.
type Table interface {
	Get(ctx context.Context, key string) (api.Row, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// Options configure one candidate for a lease.
type Options struct {
	// Name is the name of the lease; its row is lease/<name>.
	Name string
	// Holder is the ID of this instance and Run its start number.
	Holder string
	Run    int64
	// SingleProcess states that at most one process with the same Holder runs at a time. A restarted instance then takes
	// over the lease of its former run as soon as the last sends of that run have ended.
	SingleProcess bool
	Table         Table
	Log           zerolog.Logger
	// Timing defaults to DefaultTiming.
	Timing Timing
	// Abstain reports whether this instance cannot do what the lease is for, and others can: it then releases the lease and does
	// not take it. It may be nil.
	Abstain func() bool
	// Now returns the current time of the clock that measures the lease duration; nil means time.Now. On machines that
	// may be suspended it must advance during a suspension.
	Now func() time.Time
}

// Lease makes one instance a candidate for a lease.
type Lease struct {
	opts Options
	key  string

	tableMu sync.Mutex // serialises table calls; locked before mu

	mu             sync.Mutex
	state          *candidateState
	loggedHeld     bool          // whether the last LeaseChanged event said that the lease is held
	activeGuards   int           // running calls of Guard
	guardsDone     chan struct{} // closed once the candidate has stopped and no call of Guard is running
	guardsDoneOnce sync.Once
}

// New returns a candidate that does not hold the lease.
func New(opts Options) *Lease {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Lease{
		opts:       opts,
		key:        "lease/" + opts.Name,
		state:      newCandidateState(opts.Holder, opts.Run, opts.Timing).withSingleProcess(opts.SingleProcess),
		guardsDone: make(chan struct{}),
	}
}

// Run takes over and renews the lease until ctx ends. It does not release the lease; see Release.
func (l *Lease) Run(ctx context.Context) error {
	for {
		err := l.renewOrTakeOver(ctx)
		l.logHeldChange(l.opts.Now())
		timer := time.NewTimer(l.nextDelay(l.opts.Now(), err))
		select {
		case <-ctx.Done():
			timer.Stop()
			return errors.WithStack(ctx.Err())
		case <-timer.C:
		}
	}
}

// nextDelay returns the time until the next table call. A holder renews one renewal interval after it sent the last
// renewal, not after the response, so that a slow store does not lengthen the interval.
func (l *Lease) nextDelay(now time.Time, err error) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && !errors.Is(err, errNoWriteDue) {
		return retryInterval
	}
	if l.state.stopped || l.state.abstaining {
		return l.opts.Timing.ReadInterval
	}
	if l.state.held {
		return max(0, l.state.lastSent.sentAt.Add(l.opts.Timing.RenewInterval).Sub(now))
	}
	return min(l.opts.Timing.ReadInterval, max(0, l.state.takeoverTime().Sub(now)))
}

// renewOrTakeOver renews the lease if this instance holds it. Otherwise it reads the row and takes the lease over if it
// is free.
func (l *Lease) renewOrTakeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	if l.updateAbstaining() {
		return l.releaseForNow(ctx)
	}
	if !l.lastCommitSucceeded() {
		if err := l.readRow(ctx); err != nil {
			return err
		}
	}
	err := l.writeNextRecord(ctx)
	if errors.Is(err, errNoWriteDue) || err == nil {
		return err
	}
	l.opts.Log.Warn().Err(err).Str("lease", l.opts.Name).Msg(event.LeaseWriteFailed)
	return l.readRow(ctx)
}

// updateAbstaining asks Options.Abstain and returns its result.
func (l *Lease) updateAbstaining() bool {
	abstain := l.opts.Abstain != nil && l.opts.Abstain()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.abstaining = abstain
	return abstain
}

// releaseForNow releases the lease if this instance holds it and no call of Guard is running: a call that ends after a successor's
// first one would be an old one.
func (l *Lease) releaseForNow(ctx context.Context) error {
	l.mu.Lock()
	next, ok := l.state.releaseRecord(l.opts.Now(), uuid.NewString())
	isBusy := l.activeGuards > 0
	expected := l.state.latest.revision
	l.mu.Unlock()
	if !ok || isBusy {
		return errNoWriteDue
	}
	l.opts.Log.Info().Str("lease", l.opts.Name).Int64("term", next.Term).Msg(event.LeaseReleased)
	if err := l.commit(ctx, next, expected); err != nil {
		l.opts.Log.Warn().Err(err).Str("lease", l.opts.Name).Msg(event.LeaseWriteFailed)
		return l.readRow(ctx)
	}
	return nil
}

// lastCommitSucceeded reports whether this candidate's last commit succeeded, so that it knows the row and need not
// read it before the next commit.
func (l *Lease) lastCommitSucceeded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.state
	return c.held && c.latest.Token == c.lastSent.Token
}

// readRow reads the lease row. After a lost response this also shows whether the commit has taken effect.
func (l *Lease) readRow(ctx context.Context) error {
	got, err := l.opts.Table.Get(ctx, l.key)
	now := l.opts.Now()
	if err != nil && !errors.Is(err, api.ErrNotFound) {
		return errors.WithMessage(err, "read lease row")
	}
	r := row{revision: got.Revision}
	if err == nil {
		if err := json.Unmarshal([]byte(got.Value), &r.record); err != nil {
			return errors.Wrap(err, "decode lease row")
		}
	} else {
		r = row{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.observe(now, r)
	return nil
}

// writeNextRecord writes a renewal or takeover, or returns errNoWriteDue.
func (l *Lease) writeNextRecord(ctx context.Context) error {
	l.mu.Lock()
	now := l.opts.Now()
	next, ok := l.state.nextRecord(now, uuid.NewString())
	if !ok {
		l.mu.Unlock()
		return errNoWriteDue
	}
	l.state.recordSend(now, next)
	expected := l.state.latest.revision
	l.mu.Unlock()
	return l.commit(ctx, next, expected)
}

func (l *Lease) commit(ctx context.Context, next record, expected int) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode lease row")
	}
	text := string(value)
	revision, err := l.opts.Table.Commit(ctx, api.Txn{
		Token:  next.Token,
		Writes: []api.Write{{Key: l.key, Expected: expected, Value: &text}},
	})
	if err != nil {
		return errors.WithMessage(err, "write lease row")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.observe(l.opts.Now(), row{record: next, revision: revision})
	return nil
}

// Held returns the term, and whether this instance holds the lease at now for long enough to start a send.
func (l *Lease) Held(now time.Time) (term int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.heldTerm(now)
}

// Check returns a write that makes a transaction conditional on this instance still holding the lease, and false if it
// does not hold the lease at now. A renewal in between makes the transaction conflict; the caller then retries it with
// a new check.
func (l *Lease) Check(now time.Time) (api.Write, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.state.heldTerm(now); !ok {
		return api.Write{}, false
	}
	checkOnly := true
	return api.Write{Key: l.key, Expected: l.state.latest.revision, CheckOnly: &checkOnly}, true
}

// Guard runs f if this instance holds the lease, and otherwise returns ErrNotHeld. The deadline of f's context is the
// time at which every send must have ended; f must apply it to every connection that it writes to.
func (l *Lease) Guard(ctx context.Context, f func(ctx context.Context, term int64) error) error {
	term, remaining, ok := l.beginGuard()
	if !ok {
		return ErrNotHeld
	}
	defer l.endGuard()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return f(ctx, term)
}

func (l *Lease) beginGuard() (term int64, remaining time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	term, ok = l.state.heldTerm(now)
	if ok {
		l.activeGuards++
	}
	return term, l.state.sendDeadline().Sub(now), ok
}

func (l *Lease) endGuard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeGuards--
	l.closeIfGuardsDone()
}

// closeIfGuardsDone closes guardsDone if the candidate has stopped and no call of Guard is running. The caller must
// hold mu.
func (l *Lease) closeIfGuardsDone() {
	if l.state.stopped && l.activeGuards == 0 {
		l.guardsDoneOnce.Do(func() { close(l.guardsDone) })
	}
}

// Release stops this candidate for good, waits for running calls of Guard and releases the lease, so that a successor
// can take over at once. If it fails, the lease expires instead.
func (l *Lease) Release(ctx context.Context) error {
	l.stop()
	select {
	case <-l.guardsDone:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "lease not released, a send is still running")
	}
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	l.mu.Lock()
	next, ok := l.state.releaseRecord(l.opts.Now(), uuid.NewString())
	expected := l.state.latest.revision
	l.mu.Unlock()
	if !ok {
		return nil
	}
	l.opts.Log.Info().Str("lease", l.opts.Name).Int64("term", next.Term).Msg(event.LeaseReleased)
	return l.commit(ctx, next, expected)
}

func (l *Lease) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.stop()
	l.closeIfGuardsDone()
}

// logHeldChange logs when this instance starts or ceases to hold the lease.
func (l *Lease) logHeldChange(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	term, held := l.state.heldTerm(now)
	if held == l.loggedHeld {
		return
	}
	l.loggedHeld = held
	l.opts.Log.Info().Str("lease", l.opts.Name).Bool("held", held).Int64("term", term).Msg(event.LeaseChanged)
}

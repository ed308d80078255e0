package lease

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// fakeTable is a fake of the table service with faults that a test can inject.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]api.Row
	down          bool
	lostResponses int // number of responses to lose after their commits have taken effect
}

func (f *fakeTable) Get(_ context.Context, key string) (api.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[key]
	switch {
	case f.down:
		return api.Row{}, api.ErrUnavailable
	case !ok:
		return api.Row{}, api.ErrNotFound
	}
	return r, nil
}

func (f *fakeTable) Commit(_ context.Context, txn api.Txn) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, api.ErrUnavailable
	}
	w := txn.Writes[0]
	if f.rows[w.Key].Revision != w.Expected {
		return 0, api.ErrConflict
	}
	f.rows[w.Key] = api.Row{Key: w.Key, Value: *w.Value, Revision: w.Expected + 1}
	if f.lostResponses > 0 {
		f.lostResponses--
		return 0, api.ErrEffectUnknown
	}
	return w.Expected + 1, nil
}

func (f *fakeTable) setFaults(down bool, lostResponses int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.lostResponses = lostResponses
}

type candidate struct {
	*Lease
	stop context.CancelFunc
}

// runCandidates calls f with n running candidates. The first one holds the lease.
func runCandidates(t *testing.T, n int, f func(table *fakeTable, cs []candidate)) {
	synctest.Test(t, func(*testing.T) {
		table := &fakeTable{rows: make(map[string]api.Row)}
		var wg conc.WaitGroup
		var cs []candidate
		for i := range n {
			l := New(Options{Name: "order", Holder: fmt.Sprint("i", i), Run: 1, Table: table, Log: zerolog.Nop()})
			ctx, cancel := context.WithCancel(context.Background())
			cs = append(cs, candidate{Lease: l, stop: cancel})
			wg.Go(func() { _ = l.Run(ctx) })
			synctest.Wait()
		}
		f(table, cs)
		for _, c := range cs {
			c.stop()
		}
		wg.Wait()
	})
}

// waitForTakeover waits until a candidate other than the first holds the lease, and returns how long that took.
func waitForTakeover(t *testing.T, cs []candidate) time.Duration {
	t.Helper()
	for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(time.Millisecond) {
		synctest.Wait() // lets the candidates finish what is due at this time
		for _, c := range cs[1:] {
			if term, ok := c.Held(time.Now()); ok {
				if term != 2 {
					t.Errorf("term after takeover is %d, want 2", term)
				}
				return time.Since(start)
			}
		}
	}
	t.Fatal("no takeover within a minute")
	return 0
}

// Guards against a slow takeover and against a successor that holds the lease before the former holder has stopped.
func TestTakeover(t *testing.T) {
	cases := map[string]struct {
		endHolder   func(table *fakeTable, holder candidate)
		maxTakeover time.Duration
	}{
		"holder crashes": {func(_ *fakeTable, c candidate) { c.stop() }, 5 * time.Second},
		"holder releases": {func(_ *fakeTable, c candidate) {
			if err := c.Release(context.Background()); err != nil {
				t.Error(err)
			}
		}, ReadInterval},
		"response to the takeover is lost": {func(f *fakeTable, c candidate) { c.stop(); f.setFaults(false, 1) }, 5 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for delay := time.Duration(0); delay < RenewInterval; delay += 90 * time.Millisecond {
				runCandidates(t, 3, func(table *fakeTable, cs []candidate) {
					time.Sleep(3*time.Second + delay)
					tc.endHolder(table, cs[0])
					if took := waitForTakeover(t, cs); took > tc.maxTakeover {
						t.Errorf("takeover took %v, want at most %v", took, tc.maxTakeover)
					}
					if _, ok := cs[0].Held(time.Now()); ok {
						t.Error("two candidates hold the lease")
					}
				})
			}
		})
	}
}

// Guards against a holder that keeps acting during a store outage that outlasts its lease, and against two holders or
// none after the outage. Nobody took over, so the holder may continue under its term.
func TestOutage(t *testing.T) {
	runCandidates(t, 2, func(table *fakeTable, cs []candidate) {
		time.Sleep(2500 * time.Millisecond)
		table.setFaults(true, 0)
		time.Sleep(Duration - StopMargin)
		if _, ok := cs[0].Held(time.Now()); ok {
			t.Error("lease still held after an outage of Duration - StopMargin")
		}
		time.Sleep(time.Hour)
		table.setFaults(false, 0)
		time.Sleep(2 * time.Second)
		term0, ok0 := cs[0].Held(time.Now())
		term1, ok1 := cs[1].Held(time.Now())
		if ok0 == ok1 || term0+term1 > 2 {
			t.Errorf("after the outage: terms %d, %d, held %v, %v; want one holder", term0, term1, ok0, ok1)
		}
	})
}

// Guards against a holder that loses the lease because the response to a renewal was lost, although the row was
// written.
func TestRenewalResponseLost(t *testing.T) {
	runCandidates(t, 2, func(table *fakeTable, cs []candidate) {
		for range 20 {
			table.setFaults(false, 2)
			time.Sleep(700 * time.Millisecond)
			if term, ok := cs[0].Held(time.Now()); !ok || term != 1 {
				t.Fatalf("held %v, term %d after lost responses; want term 1", ok, term)
			}
		}
	})
}

// Guards against a send that is still running when a successor may take over, and against a release while a send is
// running.
func TestGuard(t *testing.T) {
	runCandidates(t, 1, func(table *fakeTable, cs []candidate) {
		time.Sleep(2500 * time.Millisecond)
		table.setFaults(true, 0)
		lastRenewal := time.Now().Add(-500 * time.Millisecond)
		running := make(chan struct{})
		var wg conc.WaitGroup
		wg.Go(func() {
			err := cs[0].Guard(context.Background(), func(ctx context.Context, _ int64) error {
				close(running)
				<-ctx.Done()
				return errors.WithStack(ctx.Err())
			})
			if got := time.Since(lastRenewal); !errors.Is(err, context.DeadlineExceeded) || got != Duration-ClockMargin {
				t.Errorf("guard ended %v after the renewal with %v, want %v", got, err, Duration-ClockMargin)
			}
		})
		<-running
		if err := cs[0].Release(context.Background()); err == nil {
			t.Error("release reported success while the table was down")
		}
		if got := time.Since(lastRenewal); got < Duration-ClockMargin {
			t.Errorf("release did not wait for the running send: %v", got)
		}
		wg.Wait()
		if err := cs[0].Guard(context.Background(), nil); !errors.Is(err, ErrNotHeld) {
			t.Errorf("guard after release: %v", err)
		}
	})
}

// Guards against a holder that acts after its machine was suspended for longer than the lease. The monotonic clock
// stops during a suspension, so the lease must expire by a clock that does not.
func TestSuspendedHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: make(map[string]api.Row)}
		var suspended atomic.Int64
		now := func() time.Time { return time.Now().Round(0).Add(time.Duration(suspended.Load())) }
		l := New(Options{Name: "duties", Holder: "a", Run: 1, Table: table, Log: zerolog.Nop(), Now: now})
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = l.Run(ctx) })
		synctest.Wait()
		if _, held := l.Held(now()); !held {
			t.Fatal("the only candidate does not hold the lease")
		}
		suspended.Store(int64(10 * time.Second))
		acted := false
		err := l.Guard(context.Background(), func(context.Context, int64) error {
			acted = true
			return nil
		})
		if acted || !errors.Is(err, ErrNotHeld) {
			t.Errorf("after the suspension: acted %v, error %v; want ErrNotHeld", acted, err)
		}
		cancel()
		wg.Wait()
	})
}

// Guards against a restarted holder that waits for its own lease to expire: after a crash of all instances, orders and
// reports stopped for the whole duration of the lease. Without SingleProcess the former run may still be alive.
func TestRestartedHolderTakesOverEarly(t *testing.T) {
	for _, single := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := &fakeTable{rows: make(map[string]api.Row)}
			newRun := func(run int64) (*Lease, context.CancelFunc) {
				l := New(Options{Name: "order", Holder: "i0", Run: run, SingleProcess: single, Table: table, Log: zerolog.Nop()})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = l.Run(ctx) }()
				return l, cancel
			}
			first, crash := newRun(2)
			time.Sleep(time.Second)
			formerTerm, held := first.Held(time.Now())
			if !held {
				t.Fatal("the first run does not hold the lease")
			}
			crash()
			// The clock may have been set back, so a later run may have a lower number.
			second, stop := newRun(1)
			start := time.Now()
			for time.Since(start) < 10*time.Second {
				synctest.Wait() // lets the candidate finish what is due at this time
				if _, held := second.Held(time.Now()); held {
					break
				}
				time.Sleep(time.Millisecond)
			}
			waited := time.Since(start)
			term, _ := second.Held(time.Now())
			stop()
			if term != formerTerm+1 {
				t.Errorf("single process %v: term %d after %d", single, term, formerTerm)
			}
			least, most := Duration, Duration+ReadInterval
			if single {
				least, most = StopMargin, StopMargin+ReadInterval
			}
			if waited < least || waited > most {
				t.Errorf("single process %v: lease taken over after %v, want %v to %v", single, waited, least, most)
			}
		})
	}
}

// Guards against a holder that keeps the lease although it cannot do what the lease is for, against one that gives it up while a
// send is running, and against one that takes it back at once.
func TestAbstainingHolderReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: make(map[string]api.Row)}
		var abstain atomic.Bool
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		start := func(name string, abstains func() bool) *Lease {
			l := New(Options{Name: "order", Holder: name, Run: 1, Table: table, Log: zerolog.Nop(), Abstain: abstains})
			wg.Go(func() { _ = l.Run(ctx) })
			time.Sleep(time.Second)
			return l
		}
		first, second := start("i0", abstain.Load), start("i1", nil)
		held := func(l *Lease) bool { _, ok := l.Held(time.Now()); return ok }
		if !held(first) {
			t.Fatal("the first candidate does not hold the lease")
		}
		began, sending := make(chan struct{}), make(chan struct{})
		wg.Go(func() {
			err := first.Guard(ctx, func(context.Context, int64) error {
				close(began)
				<-sending
				return nil
			})
			if err != nil {
				t.Errorf("guard: %v", err)
			}
		})
		<-began
		abstain.Store(true)
		time.Sleep(1500 * time.Millisecond)
		if held(first) || held(second) {
			t.Errorf("while a send is running: held by the first %v, by the second %v", held(first), held(second))
		}
		close(sending)
		time.Sleep(3 * ReadInterval)
		if held(first) || !held(second) {
			t.Errorf("after the send: held by the first %v, by the second %v", held(first), held(second))
		}
		abstain.Store(false)
		time.Sleep(10 * time.Second)
		if held(first) || !held(second) {
			t.Error("the first candidate took the lease back")
		}
		cancel()
		wg.Wait()
	})
}

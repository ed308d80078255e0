package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// lateSource responds to long polls only after a delay, with what the table held when they began.
type lateSource struct {
	*fakeSource
	delay time.Duration
	calls atomic.Int64
}

func (s *lateSource) Changes(ctx context.Context, table string, after int, longPoll time.Duration) (api.Changes, error) {
	s.calls.Add(1)
	changes, err := s.fakeSource.Changes(ctx, table, after, 0)
	if longPoll <= shortestLongPoll {
		time.Sleep(5 * time.Millisecond)
	} else {
		time.Sleep(s.delay)
	}
	return changes, err
}

// Guards against a decision from a copy that only looks current: a call that began before the change succeeds after it. Also
// against changes that are applied twice, by CatchUp and by a late response, and against a call to the table for each caller.
func TestCatchUpAppliesAllEarlierChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &lateSource{fakeSource: &fakeSource{rows: map[string]api.Row{}}, delay: 500 * time.Millisecond}
		source.put("t/a", "1")
		copied, applied := map[string]string{}, 0
		f := New(Options{Table: "t", Source: source, Log: zerolog.Nop(), Apply: func(changes []api.Change) {
			for _, c := range changes {
				applied++
				copied[c.Key] = c.Value
				if c.Deleted {
					delete(copied, c.Key)
				}
			}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { _ = f.Run(ctx) })
		time.Sleep(time.Second)
		source.put("t/b", "1")
		source.put("t/gone", "1")
		source.remove("t/gone")
		calls := source.calls.Load()
		var callers conc.WaitGroup
		for range 50 {
			callers.Go(func() {
				if err := f.CatchUp(ctx); err != nil {
					t.Error(err)
				}
			})
		}
		callers.Wait()
		if copied["t/b"] != "1" || len(copied) != 2 {
			t.Errorf("copy is %v after CatchUp", copied)
		}
		if n := source.calls.Load() - calls; n > 3 {
			t.Errorf("%d calls for 50 callers", n)
		}
		// A caller every millisecond, as when a target ends under many streams, must not become as many calls.
		calls = source.calls.Load()
		for range 1000 {
			callers.Go(func() { _ = f.CatchUp(ctx) })
			time.Sleep(time.Millisecond)
		}
		callers.Wait()
		if n := source.calls.Load() - calls; n > 16 {
			t.Errorf("%d calls in a second of callers", n)
		}
		time.Sleep(2 * time.Second)
		if applied != 4 || len(copied) != 2 {
			t.Errorf("%d changes applied, want 4; copy is %v", applied, copied)
		}
		source.update(func() { source.isDown = true })
		if err := f.CatchUp(ctx); err == nil {
			t.Error("CatchUp succeeded while the table was unavailable")
		}
		cancel()
		wg.Wait()
		if err := f.CatchUp(ctx); err == nil {
			t.Error("CatchUp succeeded after the end")
		}
	})
}

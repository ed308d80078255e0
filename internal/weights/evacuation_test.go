package weights

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

// countedEngines counts reports and orders.
type countedEngines struct {
	instantEngines
	calls atomic.Int64
}

func (e *countedEngines) Status(ctx context.Context, t live.Target) (EngineStatus, error) {
	e.calls.Add(1)
	return e.instantEngines.Status(ctx, t)
}

func (e *countedEngines) Switch(ctx context.Context, o RollingOrder, accepted int, term int64) (bool, error) {
	e.calls.Add(1)
	return e.instantEngines.Switch(ctx, o, accepted, term)
}

// Guards against reports and orders to an engine whose zone was evacuated while its weights load, and against engines that get no
// new weights after an evacuation.
func TestNoReportsAndOrdersDuringEvacuation(t *testing.T) {
	// The engine gets its order after 0 s, and reports are due from 0.95 s on.
	for _, at := range []time.Duration{0, 500 * time.Millisecond, 1100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			engines := &countedEngines{instantEngines: instantEngines{versions: map[string]int{}}}
			w := newLimitWorker(&memoryTable{rows: map[string]string{}}, engines)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = w.Run(ctx)
			}()
			time.Sleep(at)
			w.options.View.SetEvacuated("", true)
			synctest.Wait()
			calls := engines.calls.Load()
			time.Sleep(10 * time.Second)
			if got := engines.calls.Load() - calls; got > 0 {
				t.Errorf("evacuated after %v: %d calls", at, got)
			}
			w.options.View.SetEvacuated("", false)
			time.Sleep(60 * time.Second)
			engines.mu.Lock()
			for _, target := range w.options.View.Targets() {
				if engines.versions[target.ID] != 3 {
					t.Errorf("evacuated after %v: %s has version %d", at, target.ID, engines.versions[target.ID])
				}
			}
			engines.mu.Unlock()
			cancel()
			<-done
		})
	}
}

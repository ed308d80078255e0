package live

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against the removal of a live target whose entry expired in an outage of the store, and against a target that
// is used long after it is gone.
func TestRemovalWaitsForStoreOutage(t *testing.T) {
	const gracePeriod = 2 * time.Second
	for _, c := range []struct {
		name       string
		healthyFor time.Duration
		// returnsAfter is the time until the entry is written again; 0 means never.
		returnsAfter time.Duration
		// wantKept is whether the target is in the view right after its entry vanished, wantAtEnd whether it is in the
		// view at the end.
		wantKept, wantAtEnd bool
		wantRemovals        int
	}{
		{"no outage", time.Minute, 0, false, false, 0},
		{"outage, entry returns", 500 * time.Millisecond, time.Second, true, true, 0},
		{"outage, target is gone", 500 * time.Millisecond, 0, true, false, 1},
		{"outage goes on", 0, 0, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				removals := 0
				view := NewView()
				updater := NewTargetUpdater(view, gracePeriod, func() { removals++ })
				updater.Set(Target{ID: "a"})
				if removed := updater.Remove("a", c.healthyFor); removed == c.wantKept {
					t.Errorf("removed at once: %v", removed)
				}
				updater.Remove("a", c.healthyFor)
				if present := len(view.Targets()) == 1; present != c.wantKept {
					t.Errorf("target in the view after its entry vanished: %v", present)
				}
				if c.returnsAfter > 0 {
					time.Sleep(c.returnsAfter)
					updater.Set(Target{ID: "a"})
				}
				time.Sleep(2 * gracePeriod)
				synctest.Wait()
				if present := len(view.Targets()) == 1; present != c.wantAtEnd || removals != c.wantRemovals {
					t.Errorf("target in the view at the end: %v, %d delayed removals", present, removals)
				}
			})
		})
	}
}

// Guards against a target that is removed although its entry came back while the removal waited for the lock.
func TestCancelledRemovalKeepsTarget(t *testing.T) {
	view := NewView()
	updater := NewTargetUpdater(view, time.Hour, func() { t.Error("removal reported") })
	updater.Set(Target{ID: "a"})
	updater.Remove("a", 0)
	removal := updater.removals["a"]
	updater.Set(Target{ID: "a"})
	updater.removeAfterGrace("a", removal)
	if len(view.Targets()) != 1 {
		t.Error("the target is gone")
	}
}

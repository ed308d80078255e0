package live

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a target that is given up because its entry lapsed in an outage, and against one that is used for
// long after it has gone.
func TestLapses(t *testing.T) {
	const grace = 2 * time.Second
	for _, c := range []struct {
		name    string
		healthy time.Duration
		// back is when the entry returns; 0 means never.
		back time.Duration
		// kept is whether the target is known right after its entry vanished, and at the end.
		kept, end bool
		removals  int
	}{
		{"store was well", time.Minute, 0, false, false, 0},
		{"outage, entry returns", 500 * time.Millisecond, time.Second, true, true, 0},
		{"outage, target is gone", 500 * time.Millisecond, 0, true, false, 1},
		{"outage goes on", 0, 0, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				removals := 0
				view := NewView()
				l := NewLapses(view, grace, func() { removals++ })
				l.Set(Target{ID: "a"})
				if removed := l.Remove("a", c.healthy); removed == c.kept {
					t.Errorf("removed at once: %v", removed)
				}
				l.Remove("a", c.healthy)
				if known := len(view.Targets()) == 1; known != c.kept {
					t.Errorf("known after the lapse: %v", known)
				}
				if c.back > 0 {
					time.Sleep(c.back)
					l.Set(Target{ID: "a"})
				}
				time.Sleep(2 * grace)
				synctest.Wait()
				if known := len(view.Targets()) == 1; known != c.end || removals != c.removals {
					t.Errorf("known at the end: %v, %d late removals", known, removals)
				}
			})
		})
	}
}

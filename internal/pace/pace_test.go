package pace

import (
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/target"
)

// Guards against an instance that floods a target that joins, that holds back requests when it has itself just started, and
// that refuses its own background requests or counts them for the service.
func TestNewTargetsStartSlowly(t *testing.T) {
	p, now := New(1), time.Unix(1000, 0)
	call := Call{Service: "s", Team: "a", Objective: replayObjective}
	for n := range 700 {
		now = now.Add(10 * time.Millisecond)
		if p.Admit(call, now) != nil || !p.Take(call, "old", now) {
			t.Fatalf("request %d was held back in calm", n)
		}
		p.Observe(call, "old", target.OK, 20*time.Millisecond, now)
	}
	taken := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		p.Admit(call, now)
		if p.Take(call, "new", now) {
			taken++
		}
	}
	if taken == 0 || taken > 40 {
		t.Errorf("a new target gets %d of 100 requests in its first second", taken)
	}
	call.Background = true
	for range 10 {
		p.Observe(call, "old", target.Refused, time.Millisecond, now)
	}
	if p.Limited() != 0 || p.Admit(call, now) != nil {
		t.Error("background requests limit the service or are refused")
	}
}

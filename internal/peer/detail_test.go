package peer

import (
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/member"
)

// Guards against a crash report that is dropped because its frame has the same time bound as the previous frame. That
// happens when this instance sends nothing between the two frames.
func TestNewerDetailWithSameTimeBound(t *testing.T) {
	l := NewLinks(Options{Self: member.Instance{ID: "own"}})
	composedAfter, start := time.Unix(1000, 0), 1
	frame := func(sequence int, at time.Time, crashes ...Crash) receivedState {
		return receivedState{state: State{Instance: "peer", Start: &start, Sequence: &sequence, Crashes: crashes}, composedAfter: at}
	}
	for _, c := range []struct {
		name    string
		frame   receivedState
		want    bool
		crashes int
	}{
		{"first", frame(1, composedAfter), true, 0},
		{"crash with the same time bound", frame(2, composedAfter, Crash{Target: "engine-1"}), true, 1},
		{"repeated frame", frame(2, composedAfter, Crash{Target: "engine-1"}), false, 1},
		{"delayed older frame", frame(1, composedAfter), false, 1},
		{"next", frame(3, composedAfter.Add(time.Second)), true, 0},
	} {
		merged, _, newDetail := l.mergeState(c.frame, true)
		if newDetail != c.want || len(merged.state.Crashes) != c.crashes {
			t.Errorf("%s: new detail %t, %d crashes", c.name, newDetail, len(merged.state.Crashes))
		}
	}
}

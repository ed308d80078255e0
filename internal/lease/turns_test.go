package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// turnRow is a lease row that candidates write in the order of a test, at times that it states.
type turnRow struct {
	row
	start time.Time
}

// tryTakeOver lets a new process of a holder, which saw the row when it was written, try to take the lease over after a time.
func (r *turnRow) tryTakeOver(holder string, after time.Duration) (*candidateState, bool) {
	c := newCandidateState(holder, int64(r.revision), DefaultTiming).withSingleProcess(true)
	c.observe(r.start, r.row)
	next, ok := c.nextRecord(r.start.Add(after), fmt.Sprint(holder, r.revision))
	if ok {
		r.write(c, next, r.start.Add(after))
	}
	return c, ok
}

// release releases the lease of its holder after a time.
func (r *turnRow) release(c *candidateState, after time.Duration) {
	if next, ok := c.releaseRecord(r.start.Add(after), "release"); ok {
		r.write(c, next, r.start.Add(after))
	}
}

func (r *turnRow) write(c *candidateState, next record, now time.Time) {
	r.row, r.start = row{record: next, revision: r.revision + 1}, now
	c.recordSend(now, next)
	c.observe(now, r.row)
}

// Guards against holders that act in the order A, B, A within the lease duration, as when A is back at once and B stops soon after it
// took over; against a wait of those that did not act; and against one that is longer than needed or never ends.
func TestReleasedLeaseIsNotTakenBackInTurn(t *testing.T) {
	const turn = Duration + ClockMargin
	cases := map[string]struct {
		heldByB   time.Duration
		candidate string
		want      time.Duration
	}{
		"the holder before the last":                    {100 * time.Millisecond, "a", turn - 100*time.Millisecond},
		"the holder before the last, later":             {3 * time.Second, "a", turn - 3*time.Second},
		"the holder before the last, after its lease":   {turn, "a", 0},
		"the last holder":                               {100 * time.Millisecond, "b", 0},
		"another holder":                                {100 * time.Millisecond, "c", 0},
		"the holder before the last, after B's renewal": {-100 * time.Millisecond, "a", turn - 200*time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := &turnRow{start: time.Unix(1000, 0)}
			a, _ := r.tryTakeOver("a", 0)
			r.release(a, time.Second)
			b, ok := r.tryTakeOver("b", 0)
			if !ok {
				t.Fatal("B waits for a released lease on which it did not act")
			}
			if tc.heldByB < 0 {
				tc.heldByB = -tc.heldByB
				next, _ := b.nextRecord(r.start.Add(tc.heldByB), "renewal")
				r.write(b, next, r.start.Add(tc.heldByB))
			}
			r.release(b, tc.heldByB)
			if _, ok := r.tryTakeOver(tc.candidate, tc.want-time.Millisecond); ok && tc.want > 0 {
				t.Fatalf("%s takes the lease over before %v", tc.candidate, tc.want)
			}
			if _, ok := r.tryTakeOver(tc.candidate, tc.want); !ok {
				t.Errorf("%s does not take the lease over after %v", tc.candidate, tc.want)
			}
		})
	}
}

// Guards against a former holder that is forgotten because many others held the lease since, and against a row that grows with them.
func TestManyFormerHolders(t *testing.T) {
	const step = 50 * time.Millisecond
	r := &turnRow{start: time.Unix(1000, 0)}
	began, lastAct := r.start, map[string]time.Time{}
	for n := range 60 {
		holder := fmt.Sprint("h", n%20)
		c, ok := r.tryTakeOver(holder, 0)
		for wait := step; !ok; wait += step {
			c, ok = r.tryTakeOver(holder, wait)
		}
		if since := r.start.Sub(lastAct[holder]); since < Duration {
			t.Errorf("%s acts again after %v", holder, since)
		}
		r.release(c, step)
		lastAct[holder] = r.start
		if len(r.Former) > maxFormerHolders {
			t.Fatalf("%d former holders in the row", len(r.Former))
		}
	}
	if took := r.start.Sub(began); took > 60*(Duration+ClockMargin)/10 {
		t.Errorf("60 turns of 20 holders took %v", took)
	}
}

// Guards against turns within the lease duration when holders stop soon after each other, some for long, and are back as new processes.
// Clocks differ by 5%, requests are late and responses are lost.
func TestStoppedHoldersDoNotActInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, turnEnds: map[string]time.Duration{}}
		for i, rate := range []float64{0.975, 1.025, 1} {
			c := newCandidateState(fmt.Sprint("i", i), 1, DefaultTiming).withSingleProcess(true)
			s.candidates = append(s.candidates, &simulatedCandidate{candidateState: c, clockRate: rate})
		}
		for range 20 {
			for range rapid.SampledFrom([]int{10, 20, 40}).Draw(t, "ticks") {
				s.step()
			}
			for _, n := range s.candidates {
				if n.held && n.pendingCall == nil {
					// Its sends have ended.
					n.lastSendDeadline = s.localTime(n)
					s.releaseAndRestart(n)
					n.pauseTicks = rapid.SampledFrom([]int{0, 0, 150}).Draw(t, "stopped")
				}
			}
		}
	})
}

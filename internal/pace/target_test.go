package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/target"
)

// targetReplay simulates one target whose speed changes, and instances that could send it 1.3 times what it can run. Speed
// 0 means that it cannot be reached.
type targetReplay struct {
	replay
	speed func(time.Duration) float64
	paces []*targetPace
	// served counts the requests served in each half second.
	served                                        [40]float64
	arrivals, rejected, longest, behindLongQueues int
}

const (
	targetUpAt    = time.Second
	targetSeconds = 14
	wantedRate    = 370.0
	usualTime     = 0.024
	halfSecond    = 500 * time.Millisecond
)

func (r *targetReplay) send() {
	if p := r.paces[r.rng.IntN(len(r.paces))]; p.take(r.clock()) {
		r.try(p)
	}
	if r.now < targetSeconds*time.Second {
		r.after(time.Duration(r.rng.ExpFloat64()/wantedRate*float64(time.Second)), r.send)
	}
}

func (r *targetReplay) try(p *targetPace) {
	t, begun := &r.targets[0], r.now
	observe := func(result target.Result) {
		p.observe(Call{Objective: replayObjective}, result, r.now-begun+networkDelay, usualTime, r.rng.Float64(), r.clock())
	}
	if r.speed(r.now) == 0 {
		observe(target.Unreachable)
		return
	}
	r.arrivals++
	if len(t.queue) >= replayQueue {
		r.rejected++
		observe(target.Refused)
		return
	}
	start := func() {
		t.running++
		r.after(time.Duration(float64(r.work())/max(0.05, r.speed(r.now))), func() {
			t.running--
			r.served[r.now/halfSecond]++
			observe(target.OK)
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	if t.running < replaySlots {
		start()
		return
	}
	t.queue = append(t.queue, start)
	r.longest = max(r.longest, len(t.queue))
	if len(t.queue) > 2*replaySlots {
		r.behindLongQueues++
	}
}

// replayTarget runs a target that starts at targetUpAt and returns the part of the arrivals that it rejected, the part that
// found more requests waiting than twice its slots, and the time until it served 0.9 of its pace.
func replayTarget(t *testing.T, name string, speed func(time.Duration) float64, instances int) (rejected, waited float64, reached time.Duration) {
	const seeds = 5
	var sum targetReplay
	for seed := range uint64(seeds) {
		r := &targetReplay{speed: speed}
		r.rng = rand.New(rand.NewPCG(seed, uint64(instances)))
		for range instances {
			p := &targetPace{growth: 0.5 + r.rng.Float64(), wanted: wantedRate * wantedWindow / float64(instances)}
			p.start(p.startRate(), usualTime, r.rng.Float64(), r.clock().Add(targetUpAt))
			r.paces = append(r.paces, p)
		}
		r.after(targetUpAt, r.send)
		r.play()
		for i := range r.served {
			sum.served[i] += r.served[i]
		}
		sum.arrivals += r.arrivals
		sum.rejected += r.rejected
		sum.behindLongQueues += r.behindLongQueues
		sum.longest = max(sum.longest, r.longest)
	}
	pace := seeds * speed(targetSeconds*time.Second) * replaySlots / meanWork.Seconds()
	for i := range sum.served {
		if sum.served[i]/halfSecond.Seconds() >= 0.9*pace && reached == 0 {
			reached = time.Duration(i+1)*halfSecond - targetUpAt
		}
	}
	rejected, waited = float64(sum.rejected)/float64(sum.arrivals), float64(sum.behindLongQueues)/float64(sum.arrivals)
	t.Logf("%s, %d instances: rejected %.3f, behind long queues %.3f, longest %d, 0.9 of the pace after %v", name, instances, rejected, waited, sum.longest, reached)
	return rejected, waited, reached
}

// warmingUp returns the speed of a target that is at full speed some time after its start.
func warmingUp(full time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return min(1, max(0.05, float64(at-targetUpAt)/float64(full))) }
}

// flapping returns the speed of a target that cannot be reached in each fourth second.
func flapping(at time.Duration) float64 {
	if at > 4*time.Second && int(at/time.Second)%4 == 0 {
		return 0
	}
	return 1
}

func third(time.Duration) float64 { return 1.0 / 3 }

var targetReplays = []struct {
	name  string
	speed func(time.Duration) float64
	// bound is 1.5 times the shortest time to 0.9 of the pace, up to the next half second; 0 means that it is not checked.
	bound time.Duration
}{
	{"full speed after 2 s", warmingUp(2 * time.Second), 3 * time.Second},
	{"warm after 5 s", warmingUp(5 * time.Second), 7500 * time.Millisecond},
	{"flapping", flapping, 0},
	{"a third of its speed", third, 3 * time.Second},
}

// Guards against instances that together flood a target that starts, recovers or flaps.
func TestTargetIsNotFlooded(t *testing.T) {
	for _, c := range targetReplays[:3] {
		for _, instances := range []int{4, 40, 300} {
			if rejected, _, _ := replayTarget(t, c.name, c.speed, instances); rejected > 0.02 {
				t.Errorf("%s, %d instances: %.3f rejected", c.name, instances, rejected)
			}
		}
	}
}

// Guards against a target that is left idle after its start, and against long queues at it.
func TestTargetReachesItsPace(t *testing.T) {
	for _, c := range targetReplays {
		for _, instances := range []int{4, 40, 300} {
			rejected, waited, reached := replayTarget(t, c.name, c.speed, instances)
			if rejected > 0.02 || waited > 0 || c.bound > 0 && (reached == 0 || reached > c.bound) {
				t.Errorf("%s, %d instances: rejected %.3f, behind long queues %.3f, reached after %v", c.name, instances, rejected, waited, reached)
			}
		}
	}
}

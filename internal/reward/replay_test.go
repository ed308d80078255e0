package reward

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	replayTargets   = 3
	replaySlots     = 6
	replayQueue     = 24
	replayObjective = 150 * time.Millisecond
)

// replayCall is one request at a target: a reward call of an owner, or a request of a caller (owner -1).
type replayCall struct {
	owner   int
	arrived time.Duration
	sent    time.Duration
	target  int
	call    Call
}

// replay simulates a plain service that serves callers and the reward calls of several owners.
type replay struct {
	rng    *rand.Rand
	events eventHeap
	now    time.Duration
	// running and queues describe the targets; ownLoad is what each owner has outstanding at each target.
	running [replayTargets]int
	queues  [replayTargets][]*replayCall
	ownLoad [][replayTargets]int
	// waiting holds the reward calls that an owner has not sent yet.
	waiting  [][]*replayCall
	limiters []Limiter
	limited  bool
	// callers and rewards are the latencies of the served calls; refused counts requests of callers that every target
	// refused.
	callers, rewards []time.Duration
	refused          int
}

type replayEvent struct {
	at  time.Duration
	run func()
}

type eventHeap []replayEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(replayEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newReplay(owners int, limited bool) *replay {
	return &replay{
		rng: rand.New(rand.NewPCG(1, uint64(owners))), limited: limited, limiters: make([]Limiter, owners),
		waiting: make([][]*replayCall, owners), ownLoad: make([][replayTargets]int, owners),
	}
}

func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.events, replayEvent{at: r.now + d, run: run})
}

func (r *replay) run() {
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.run()
	}
}

// clock converts simulated time for the limiter.
func (r *replay) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

// workTime draws the time of one call: 30 ms on average, with a long tail.
func (r *replay) workTime() time.Duration {
	const mean, sigma = 30.0, 0.5
	ms := mean * math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2)
	if r.rng.Float64() < 0.01 {
		ms *= 5
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// offer gives a call to a target and reports whether the target took it.
func (r *replay) offer(c *replayCall, target int) bool {
	c.target = target
	switch {
	case r.running[target] < replaySlots:
		r.start(c)
	case len(r.queues[target]) < replayQueue:
		r.queues[target] = append(r.queues[target], c)
	default:
		return false
	}
	return true
}

func (r *replay) start(c *replayCall) {
	r.running[c.target]++
	r.after(r.workTime(), func() {
		r.running[c.target]--
		r.finish(c)
		if queue := r.queues[c.target]; len(queue) > 0 {
			r.queues[c.target] = queue[1:]
			r.start(queue[0])
		}
	})
}

func (r *replay) finish(c *replayCall) {
	if c.owner < 0 {
		r.callers = append(r.callers, r.now-c.arrived)
		return
	}
	r.rewards = append(r.rewards, r.now-c.arrived)
	r.ownLoad[c.owner][c.target]--
	r.limiters[c.owner].End(Scored, r.now-c.sent, replayObjective, r.clock())
	r.sendRewards(c.owner)
}

// sendRewards sends the waiting reward calls of an owner that its limiter allows, each to the target at which the owner
// has the fewest.
func (r *replay) sendRewards(owner int) {
	capacity := Capacity{Targets: replayTargets, Slots: replayTargets * replaySlots}
	waiting := r.waiting[owner]
	r.waiting[owner] = nil
	for i, c := range waiting {
		if r.limited && !r.limiters[owner].Start(capacity) {
			r.waiting[owner] = append(r.waiting[owner], waiting[i:]...)
			return
		}
		r.sendReward(c)
	}
}

func (r *replay) sendReward(c *replayCall) {
	c.sent = r.now
	loads := r.ownLoad[c.owner]
	target := r.rng.IntN(replayTargets)
	for t := range replayTargets {
		if loads[t] < loads[target] {
			target = t
		}
	}
	if r.offer(c, target) {
		r.ownLoad[c.owner][target]++
		return
	}
	if r.limited {
		r.limiters[c.owner].End(Refused, 0, replayObjective, r.clock())
	}
	c.call.Record(Refused, 4, r.clock())
	r.after(c.call.NotBefore().Sub(r.clock()), func() {
		r.waiting[c.owner] = append(r.waiting[c.owner], c)
		r.sendRewards(c.owner)
	})
}

// callerArrives sends a caller's request to a random target, and to another one if it is refused.
func (r *replay) callerArrives() {
	c := &replayCall{owner: -1, arrived: r.now}
	first := r.rng.IntN(replayTargets)
	for i := range replayTargets {
		if r.offer(c, (first+i)%replayTargets) {
			return
		}
	}
	r.refused++
}

// schedule adds requests of callers for a time, and bursts of reward calls of each owner.
func (r *replay) schedule(length, burstInterval time.Duration, perSecond float64, burst int) {
	for at := time.Duration(0); at < length; at += time.Duration(r.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		r.after(at, r.callerArrives)
	}
	for owner := range r.limiters {
		for at := time.Second; at < length; at += burstInterval {
			r.after(at, func() {
				for range burst {
					r.waiting[owner] = append(r.waiting[owner], &replayCall{owner: owner, arrived: r.now})
				}
				r.sendRewards(owner)
			})
		}
	}
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	sorted := slices.SortedFunc(slices.Values(latencies), cmp.Compare)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Guards against bursts of reward calls that delay the requests of callers at the same targets: the texts of several
// steps end together, and each owner sends its calls without knowing of the others. Callers leave after 800 ms, and a
// response within 150 ms has its full value.
func TestReplayBurstsBesideCallers(t *testing.T) {
	cases := []struct {
		name   string
		owners int
		burst  int
		// maxLate is the share of the requests of callers that may exceed their objective.
		maxLate float64
	}{
		{"one owner, 50 calls", 1, 50, 0.02},
		{"one owner, 500 calls", 1, 500, 0.05},
		{"three owners, 80 calls each", 3, 80, 0.03},
		{"six owners, 80 calls each", 6, 80, 0.05},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			late := map[bool]float64{}
			for _, limited := range []bool{false, true} {
				r := newReplay(tc.owners, limited)
				r.schedule(2*time.Minute, 4*time.Second, 12, tc.burst)
				r.run()
				count := 0
				for _, latency := range r.callers {
					if latency > replayObjective {
						count++
					}
				}
				late[limited] = float64(count+r.refused) / float64(len(r.callers)+r.refused)
				t.Logf("limited %v: callers late or refused %.3f, p99 %v, refused %d; rewards p50 %v, p99 %v",
					limited, late[limited], quantile(r.callers, 0.99), r.refused, quantile(r.rewards, 0.5), quantile(r.rewards, 0.99))
				if limited && (quantile(r.callers, 0.999) > 800*time.Millisecond || r.refused > 0) {
					t.Errorf("callers wait up to %v, and %d were refused", quantile(r.callers, 0.999), r.refused)
				}
			}
			if late[true] > tc.maxLate {
				t.Errorf("%.3f of the callers' requests are late, want at most %.3f; without a limit %.3f", late[true], tc.maxLate, late[false])
			}
		})
	}
}

// Guards against reward calls that wait although their service is idle: the limit must not make a burst take more than
// twice as long as without a limit.
func TestReplayIdleServiceIsUsed(t *testing.T) {
	for _, burst := range []int{10, 50, 200, 500} {
		last := map[bool]time.Duration{}
		for _, limited := range []bool{false, true} {
			r := newReplay(1, limited)
			r.schedule(time.Minute, 4*time.Second, 0.001, burst)
			r.run()
			last[limited] = quantile(r.rewards, 0.99)
		}
		t.Logf("burst of %d calls: %v with the limit, %v without", burst, last[true], last[false])
		if last[true] > 2*last[false] {
			t.Errorf("a burst of %d calls takes %v, want at most twice %v", burst, last[true], last[false])
		}
	}
}

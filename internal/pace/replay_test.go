package pace

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/target"
)

const (
	replaySlots     = 6
	replayQueue     = 24
	replayObjective = 150 * time.Millisecond
	replayPatience  = 800 * time.Millisecond
	networkDelay    = time.Millisecond
	connectionWork  = time.Millisecond
	meanWork        = 21 * time.Millisecond
)

type event struct {
	at  time.Duration
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simTarget is a target with slots and a queue of limited length.
type simTarget struct {
	gone    bool
	running int
	queue   []func()
}

type simInstance struct {
	pacer *Pacer
	// idle counts the idle connections to each target.
	idle [3]int
}

// request is a request of a caller; instance is where the caller sent it last.
type request struct {
	sent           time.Duration
	team, instance int
	retried        bool
}

// replay simulates the callers, instances and targets of a plain service. In the crowd, callers send 480 requests/s; while
// targets are gone, all but one are. The counts are of requests that were sent in the measured period.
type replay struct {
	rng         *rand.Rand
	events      eventHeap
	now         time.Duration
	targets     [3]simTarget
	instances   []*simInstance
	crowd, gone [2]time.Duration
	// measured is the period whose requests are counted.
	measured [2]time.Duration
	total    time.Duration
	// spurious is the part of all attempts that a target refuses although it has places.
	spurious              float64
	inTime, late, refused int
	sent, served          []int
}

const (
	largeTeams = 4
	replayTeam = 82
)

// drawTeam draws a team: four large ones send 60% of the requests.
func (r *replay) drawTeam() int {
	if x := r.rng.Float64(); x < 0.6 {
		return slices.IndexFunc([]float64{0.25, 0.4, 0.52, 0.6}, func(to float64) bool { return x < to })
	}
	return largeTeams + r.rng.IntN(replayTeam-largeTeams)
}

func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.events, event{at: r.now + d, run: run})
}
func (r *replay) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

func in(at time.Duration, period [2]time.Duration) bool { return at >= period[0] && at < period[1] }

func (r *replay) run(seed uint64, instances int) {
	r.rng = rand.New(rand.NewPCG(seed, uint64(instances)))
	r.events, r.now, r.instances, r.targets = nil, 0, nil, [3]simTarget{}
	for range instances {
		r.instances = append(r.instances, &simInstance{pacer: New(r.rng.Uint64())})
	}
	for i, at := range r.gone {
		r.after(at, func() { r.targets[1].gone, r.targets[2].gone = i == 0, i == 0 })
	}
	r.after(0, r.arrive)
	r.play()
}

// play runs all events.
func (r *replay) play() {
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

// arrive draws the arrivals of the crowd and leaves most of them out while there is none.
func (r *replay) arrive() {
	if in(r.now, r.crowd) || r.rng.IntN(40) == 0 {
		c := &request{sent: r.now, instance: r.rng.IntN(len(r.instances)), team: r.drawTeam()}
		if in(c.sent, r.measured) {
			r.sent[c.team]++
		}
		r.admit(c)
	}
	if r.now < r.total {
		r.after(time.Duration(r.rng.ExpFloat64()/480*float64(time.Second)), r.arrive)
	}
}

// work draws the work of one request.
func (r *replay) work() time.Duration {
	const sigma = 0.5
	work := float64(meanWork) / 1.18 * math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2)
	if r.rng.Float64() < 0.03 {
		work *= 7
	}
	return min(time.Duration(work), 220*time.Millisecond)
}

func (r *replay) admit(c *request) {
	i := r.instances[c.instance]
	if refusal := i.pacer.Admit(callOf(c), r.clock()); refusal != nil {
		r.refused++
		r.retry(c, refusal.RetryAfter)
		return
	}
	first, any := r.rng.IntN(len(r.targets)), -1
	for n := range r.targets {
		id := (first + n) % len(r.targets)
		if !i.pacer.Take(callOf(c), strconv.Itoa(id), r.clock()) {
			if !r.targets[id].gone {
				any = id
			}
			continue
		}
		if !r.targets[id].gone {
			r.attempt(c, i, id)
			return
		}
		i.idle[id] = 0
		i.pacer.Observe(callOf(c), strconv.Itoa(id), target.Unreachable, networkDelay, r.clock())
	}
	r.attempt(c, i, max(any, 0))
}

func callOf(c *request) Call {
	return Call{Service: "s", Team: strconv.Itoa(c.team), Objective: replayObjective}
}

func (r *replay) attempt(c *request, i *simInstance, id int) {
	t, begun, work := &r.targets[id], r.now, r.work()
	if i.idle[id]--; i.idle[id] < 0 {
		i.idle[id] = 0
		work += connectionWork
	}
	if len(t.queue) >= replayQueue || r.rng.Float64() < r.spurious {
		i.idle[id]++
		i.pacer.Observe(callOf(c), strconv.Itoa(id), target.Refused, networkDelay, r.clock())
		r.retry(c, i.pacer.RetryAfter(replayObjective))
		return
	}
	start := func() {
		t.running++
		r.after(work, func() {
			t.running--
			i.idle[id]++
			i.pacer.Observe(callOf(c), strconv.Itoa(id), target.OK, r.now-begun+networkDelay, r.clock())
			r.end(c)
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	if t.running < replaySlots {
		start()
	} else {
		t.queue = append(t.queue, start)
	}
}

// retry makes the caller send the request once more, to another instance.
func (r *replay) retry(c *request, retryAfter time.Duration) {
	if c.retried {
		return
	}
	c.retried = true
	c.instance = r.rng.IntN(len(r.instances))
	jittered := time.Duration(float64(retryAfter) * (1 + r.rng.Float64()/4))
	r.after(min(jittered, (replayPatience-(r.now-c.sent))/3), func() { r.admit(c) })
}

// end counts a response. Its time counts from when the caller sent the request first.
func (r *replay) end(c *request) {
	latency := r.now - c.sent + networkDelay
	if !in(c.sent, r.measured) || latency > replayPatience {
		return
	}
	r.served[c.team]++
	if latency <= replayObjective {
		r.inTime++
	} else {
		r.late++
	}
}

// worstShare returns the least part that a team got of its fair share of the capacity.
func (r *replay) worstShare(capacity float64) float64 {
	order := make([]int, len(r.sent))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return r.sent[a] - r.sent[b] })
	worst := math.Inf(1)
	for n, i := range order {
		share := min(float64(r.sent[i]), capacity/float64(len(order)-n))
		capacity -= share
		worst = min(worst, float64(r.served[i])/share)
	}
	return worst
}

// replayOverload runs the flash crowd of 8 s, in which two of three targets are gone for 4 s.
func replayOverload(instances int, measured [2]time.Duration) *replay {
	r := &replay{
		crowd: [2]time.Duration{5 * time.Second, 13 * time.Second}, gone: [2]time.Duration{7 * time.Second, 11 * time.Second},
		measured: measured, total: 16 * time.Second, sent: make([]int, replayTeam), served: make([]int, replayTeam),
	}
	for seed := range uint64(replaySeeds) {
		r.run(seed, instances)
	}
	return r
}

const replaySeeds = 20

var (
	// oneTarget is the time in which two targets are gone, and crowdRest the rest of the crowd.
	oneTarget = [2]time.Duration{7 * time.Second, 11 * time.Second}
	crowdRest = [2]time.Duration{11 * time.Second, 13 * time.Second}
)

// oneTargetCapacity is the number of requests that one target can run in all replays while it is alone.
const oneTargetCapacity = replaySeeds * 4 * replaySlots / 0.021

// Guards against a service that serves less than it could while it is overloaded, serves it late, or serves some teams
// only, and against limits that last when the overload is over.
func TestOverload(t *testing.T) {
	for _, instances := range []int{40, 74, 330} {
		r := replayOverload(instances, oneTarget)
		inTime, late := float64(r.inTime)/oneTargetCapacity, float64(r.late)/float64(r.late+r.inTime)
		rest := replayOverload(instances, crowdRest)
		after, worst := float64(rest.inTime)/float64(sum(rest.sent)), r.worstShare(oneTargetCapacity)
		t.Logf("%d instances: in time %.3f of the capacity, late %.3f of the served, worst team %.2f of its share; afterwards in time %.3f of all", instances, inTime, late, worst, after)
		if inTime < 0.9 || late > 0.05 || after < 0.9 {
			t.Errorf("%d instances: in time %.3f of the capacity, late %.3f of the served; afterwards in time %.3f", instances, inTime, late, after)
		}
		if instances < 330 && worst < 0.8 {
			t.Errorf("%d instances: a team got %.2f of its share", instances, worst)
		}
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Guards against small teams that get no part of an overloaded service because each instance sees too little of them.
func TestFairnessOf330Instances(t *testing.T) {
	if worst := replayOverload(330, oneTarget).worstShare(oneTargetCapacity); worst < 0.8 {
		t.Errorf("a team got %.2f of its share", worst)
	}
}

// Guards against refusals in calm, when a target refuses single requests or single requests take long.
func TestCalm(t *testing.T) {
	for _, crowd := range []time.Duration{0, 20 * time.Second} {
		r := &replay{total: 60 * time.Second, crowd: [2]time.Duration{5 * time.Second, 5*time.Second + crowd}, spurious: 0.002}
		for _, instances := range []int{7, 74, 330} {
			r.run(1, instances)
		}
		if r.refused > 0 {
			t.Errorf("%d requests were refused", r.refused)
		}
	}
}

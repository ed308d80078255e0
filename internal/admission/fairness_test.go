package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tick is the resolution of the simulation's virtual clock.
const tick = 100 * time.Microsecond

// simulation runs controllers of several instances on a virtual clock.
type simulation struct {
	now    time.Time
	events map[int64][]func()
	random *rand.Rand
}

// newSimulation returns controllers of n instances that exchange state every 500 ms.
func newSimulation(seed uint64, n int) (*simulation, []*Controller) {
	sim := &simulation{now: epoch, events: map[int64][]func(){}, random: rand.New(rand.NewPCG(seed, 1))}
	controllers := make([]*Controller, n)
	for i := range controllers {
		controllers[i] = NewController(fmt.Sprintf("entry-%d", i), func() time.Time { return sim.now })
		controllers[i].SetCapacity("chat", simSlots)
		exchangeState(sim, controllers, i)
	}
	return sim, controllers
}

func (s *simulation) schedule(d time.Duration, run func()) {
	at := int64(s.now.Add(d).Sub(epoch) / tick)
	s.events[at] = append(s.events[at], run)
}

func (s *simulation) runUntil(end time.Duration) {
	for at := range int64(end / tick) {
		s.now = epoch.Add(time.Duration(at) * tick)
		for len(s.events[at]) > 0 {
			due := s.events[at]
			delete(s.events, at)
			for _, run := range due {
				run()
			}
		}
	}
}

const (
	simSlots = 192 // 12 engines with 16 slots
	// expectedCost is the cost that every request declares, because the number of generated tokens is not
	// known in advance.
	expectedCost       = 1000
	simTimePerCostUnit = 500 * time.Microsecond
	simDuration        = 50 * time.Second
	simWarmup          = 10 * time.Second
)

// teamLoad describes the requests of a team and the instances that they reach.
type teamLoad struct {
	team string
	// demandFactor is the mean demand relative to the capacity of all targets.
	demandFactor float64
	instances    []int
	meanCost     float64
}

// measureFairness runs the simulation. It returns the cost that was served for each team after the warm-up, as a
// fraction of the team's max-min fair share, and the fraction of the capacity that was used. The demand of the
// first team must exceed its share. Costs are exponentially distributed and known only when a request completes.
func measureFairness(sim *simulation, acquireOn func(instance int) acquireFunc, loads []teamLoad) (fairFractions map[string]float64, used float64) {
	served, offered := map[string]float64{}, map[string]float64{}
	for _, l := range loads {
		for _, instance := range l.instances {
			generateRequests(sim, acquireOn(instance), l, served, offered)
		}
	}
	sim.runUntil(simDuration)
	remaining := simSlots / simTimePerCostUnit.Seconds() * (simDuration - simWarmup).Seconds()
	capacity := remaining
	for i := len(loads) - 1; i >= 0; i-- {
		team := loads[i].team
		used += served[team] / capacity
		fairShare := min(offered[team], remaining/float64(i+1))
		remaining -= fairShare
		served[team] /= fairShare
	}
	return served, used
}

// exchangeState sends the state of instance i to all instances every 500 ms, with a delay of 1 ms.
func exchangeState(sim *simulation, controllers []*Controller, i int) {
	sequence := 0
	var send func()
	send = func() {
		sequence++
		stateSequence := sequence
		state := peer.State{Instance: controllers[i].self, Sequence: &stateSequence, Costs: controllers[i].TakeDemandReport()}
		for _, other := range controllers {
			sim.schedule(time.Millisecond, func() { other.ApplyPeerState(state, sim.now) })
		}
		sim.schedule(500*time.Millisecond, send)
	}
	sim.schedule(time.Duration(i)*50*time.Millisecond, send)
}

// acquireFunc requests a slot for a request of a team with the expected cost and does not wait for it. When the
// slot is granted, it calls run with a function that frees the slot and reports the actual cost.
type acquireFunc func(team string, cost int64, run func(done func(int64)))

// generateRequests lets requests of the team arrive at one instance at random times, at a constant mean rate. It
// adds the costs after the warm-up to offered at the arrival and to served at the end of a request.
func generateRequests(sim *simulation, acquire acquireFunc, l teamLoad, served, offered map[string]float64) {
	perSecond := l.demandFactor * simSlots / (l.meanCost * simTimePerCostUnit.Seconds()) / float64(len(l.instances))
	var next func()
	next = func() {
		cost := int64(1 + sim.random.ExpFloat64()*l.meanCost)
		if sim.now.Sub(epoch) > simWarmup {
			offered[l.team] += float64(cost)
		}
		acquire(l.team, expectedCost, func(done func(int64)) {
			sim.schedule(time.Duration(cost)*simTimePerCostUnit, func() {
				if sim.now.Sub(epoch) > simWarmup {
					served[l.team] += float64(cost)
				}
				done(cost)
			})
		})
		sim.schedule(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// acquireAsync is Acquire for the simulation: it calls run when the slot is granted instead of blocking.
func (c *Controller) acquireAsync(team string, cost int64, run func(done func(int64))) {
	s := c.schedulerFor("chat")
	w := &waiter{request: Request{Team: team, Service: "chat", Cost: cost}, team: s.teamQueueFor(team, c.teamLimitFor(team))}
	w.notify = func(refusal *outcome.Refusal) {
		if refusal == nil {
			run((&Ticket{controller: c, scheduler: s, waiter: w}).Done)
		}
	}
	s.enqueue(w, c.now())
	c.dispatch(s, c.now())
	s.evictExcess()
}

// firstInstances returns the numbers of the first n instances, at most 9.
func firstInstances(n int) []int { return []int{0, 1, 2, 3, 4, 5, 6, 7, 8}[:n] }

// Guards against a team that gets less than its fair share because another team overloads the service, on one
// instance, on nine instances, and if the small team's requests reach only some of them.
func TestWorstServedTeam(t *testing.T) {
	for name, c := range map[string]struct {
		n     int
		loads []teamLoad
	}{
		"one instance":       {1, []teamLoad{{"large", 10, firstInstances(1), 1000}, {"small", 1, firstInstances(1), 1000}}},
		"nine":               {9, []teamLoad{{"large", 10, firstInstances(9), 1000}, {"small", 1, firstInstances(9), 1000}}},
		"nine, small on one": {9, []teamLoad{{"large", 10, firstInstances(9), 1000}, {"small", 1, []int{4}, 1000}}},
		"nine, disjoint":     {9, []teamLoad{{"large", 10, []int{0, 1, 2, 3, 4, 5}, 1000}, {"small", 1, []int{6, 7}, 1000}}},
		"nine, other costs":  {9, []teamLoad{{"large", 10, firstInstances(9), 4000}, {"small", 1, []int{0, 3}, 250}}},
		"nine, light":        {9, []teamLoad{{"large", 10, firstInstances(9), 1000}, {"small", 0.3, []int{2}, 1000}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, controllers := newSimulation(1, c.n)
			got, used := measureFairness(sim, func(instance int) acquireFunc { return controllers[instance].acquireAsync }, c.loads)
			t.Logf("small %.3f, large %.3f of the fair share, %.3f of the capacity used", got["small"], got["large"], used)
			if min(got["small"], got["large"], used) < 0.95 {
				t.Errorf("fair shares %v, capacity used %.3f, want >= 0.95", got, used)
			}
		})
	}
}

// Guards against a team that runs more requests over all instances than its limit allows while its callers move
// from instance to instance, and against shares of the limit that stay unused.
func TestTeamLimitHolds(t *testing.T) {
	for _, limit := range []int{5, 9, 32, 96} {
		sim, controllers := newSimulation(3, 9)
		for _, c := range controllers {
			c.ApplyConfig(&config.Document{Teams: []config.Team{{Name: "blue", MaxConcurrency: limit}}})
		}
		running, maxRunning, usedSeconds := 0, 0, 0.0
		for i := range 12000 {
			sim.schedule(time.Duration(i)*5*time.Millisecond, func() {
				instance := (i/600*4 + sim.random.IntN(3)) % 9
				controllers[instance].acquireAsync("blue", 100, func(done func(int64)) {
					running++
					if sim.now.Sub(epoch) > 5*time.Second {
						maxRunning = max(maxRunning, running)
					}
					seconds := sim.random.ExpFloat64()
					usedSeconds += seconds
					sim.schedule(time.Duration(seconds*float64(time.Second)), func() {
						running--
						done(100)
					})
				})
			})
		}
		sim.runUntil(time.Minute)
		usedFraction := usedSeconds / float64(60*limit)
		t.Logf("limit %d: at most %d running, %.2f of the limit used", limit, maxRunning, usedFraction)
		if maxRunning > limit || usedFraction < 0.7 {
			t.Errorf("limit %d: %d requests running, %.2f of the limit used, want >= 0.7", limit, maxRunning, usedFraction)
		}
	}
}

// baselineScheduler is a simple scheduler to compare with: FIFO with a single queue, or, with perTeam, deficit
// round robin by expected cost with one queue for each team. Each queue is limited to defaultQueueLimit.
type baselineScheduler struct {
	perTeam bool
	running int
	queues  map[string][]func()
	// order lists the teams in the order of their first request; turns counts dispatch turns.
	order []string
	turns int
}

func (b *baselineScheduler) acquireAsync(team string, _ int64, run func(done func(int64))) {
	if !b.perTeam {
		team = ""
	}
	if b.queues[team] == nil {
		b.order = append(b.order, team)
	}
	if len(b.queues[team]) < defaultQueueLimit {
		b.queues[team] = append(b.queues[team], func() {
			run(func(int64) {
				b.running--
				b.dispatch()
			})
		})
	}
	b.dispatch()
}

// dispatch starts one request per turn of a team: all requests declare the same cost, which is the quantum.
func (b *baselineScheduler) dispatch() {
	for skipped := 0; b.running < simSlots && skipped < len(b.order); b.turns++ {
		team := b.order[b.turns%len(b.order)]
		queue := b.queues[team]
		if len(queue) == 0 {
			skipped++
			continue
		}
		skipped = 0
		b.queues[team] = queue[1:]
		b.running++
		queue[0]()
	}
}

// Guards against a scheduler that is less fair to the worst-served team than simple schedulers are, if the
// requests of some teams cost more or less than declared.
func TestCompareSchedulers(t *testing.T) {
	loads := []teamLoad{{"large", 10, firstInstances(1), 4000}, {"small", 1, firstInstances(1), 250}, {"light", 0.1, firstInstances(1), 1000}}
	worst := map[string]float64{}
	for _, name := range []string{"virtual token counters", "deficit round robin", "fifo"} {
		sim, controllers := newSimulation(5, 1)
		acquire := controllers[0].acquireAsync
		if name != "virtual token counters" {
			acquire = (&baselineScheduler{perTeam: name != "fifo", queues: map[string][]func(){}}).acquireAsync
		}
		got, _ := measureFairness(sim, func(int) acquireFunc { return acquire }, loads)
		worst[name] = min(got["small"], got["light"])
		t.Logf("%-23s small %.3f, light %.3f of the fair share", name, got["small"], got["light"])
	}
	counters := worst["virtual token counters"]
	if counters < 0.95 || worst["deficit round robin"] > counters || worst["fifo"] > counters {
		t.Errorf("fraction of the fair share that the worst-served team got with each scheduler: %v, want at least 0.95 with virtual token counters and no more with the others", worst)
	}
}

package admission

import (
	"container/list"
	"math"
	"time"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
)

// Request describes a request that needs a slot.
type Request struct {
	Team    string
	Service string
	// Class is the priority class; empty means the class of the service.
	Class config.ServiceClass
	// Cost is the expected cost in token units.
	Cost int64
	// Deadline is the time by which the request must complete; zero means no deadline.
	Deadline time.Time
}

// class is a priority class. Lower values are served first.
type class int

const (
	latencyClass class = iota
	trainingClass
	classCount
)

func classOf(c config.ServiceClass) class {
	if c == config.ServiceClassTraining {
		return trainingClass
	}
	return latencyClass
}

// waiter is a request that waits in a scheduler or was granted a slot by it.
type waiter struct {
	request Request
	class   class
	team    *teamQueue
	// element is the position in the team's queue, or nil if the request is not in the queue.
	element *list.Element
	// chargedCost is the cost that was added to the team's counter.
	chargedCost int64
	grantedAt   time.Time
	// notify is called once: with nil when the request gets a slot, or with a refusal.
	notify func(*outcome.Refusal)
}

// teamLimit is the state of one team over all services.
type teamLimit struct {
	weight int
	// limit is the maximum number of running requests over all instances; share is this instance's part of it.
	limit       int
	share       int
	shareGrowth delayedGrowth
	running     int
	// demands is scratch space of recomputeShares.
	demands []teamDemand
}

func (l *teamLimit) hasCapacity() bool { return l.running < l.share }

// teamQueue is the state of one team in one service.
type teamQueue struct {
	name   string
	limit  *teamLimit
	weight float64
	// counter is the team's virtual token counter: the cost that all instances served for it, divided by its
	// weight.
	counter float64
	// waiting holds a queue of waiters for each class.
	waiting [classCount]*list.List
	// waitingCost and running are the demand of the team on this instance.
	waitingCost     int64
	waitingRequests int
	running         int
	// servedCost is the cost that this instance has served since its start.
	servedCost int64
	// remote is the demand on the peers; nextRemote is scratch space of recomputeShares.
	remote     demand
	nextRemote demand
	// reported is the demand of this instance that TakeDemandReport returned last, for sending to the peers.
	reported demand
}

func newTeamQueue(name string, limit *teamLimit) *teamQueue {
	t := &teamQueue{name: name, limit: limit, weight: float64(limit.weight)}
	for c := range t.waiting {
		t.waiting[c] = list.New()
	}
	return t
}

func (t *teamQueue) queueLength() int {
	return t.waiting[latencyClass].Len() + t.waiting[trainingClass].Len()
}

func (t *teamQueue) isActive() bool {
	return t.queueLength() > 0 || t.running > 0 || !t.remote.isEmpty()
}

func (t *teamQueue) demand() demand {
	return demand{running: t.running, waitingCost: t.waitingCost}
}

func (t *teamQueue) addServedCost(cost int64) {
	t.servedCost += cost
	t.counter += float64(cost) / t.weight
}

// scheduler is the fair queue of one service. It is a pure data structure.
type scheduler struct {
	teams map[string]*teamQueue
	// teamsByArrival lists the teams in the order of their first request, so that the choice between equal
	// counters is deterministic.
	teamsByArrival []*teamQueue
	queueLimit     int
	defaultClass   class
	// capacity is the number of slots over all instances; ownSlots is this instance's share of them.
	capacity int
	ownSlots int
	running  int
	waiting  int
	// virtualTime is the highest counter that a team had when one of its requests was started.
	virtualTime float64
	// meanCost is a moving average of the expected costs of the started requests.
	meanCost float64
	duration durationEstimate
}

// meanCostGain is the weight of a new request in the moving average of the cost.
const meanCostGain = 1.0 / 64

func newScheduler() *scheduler {
	return &scheduler{teams: map[string]*teamQueue{}, queueLimit: defaultQueueLimit}
}

func (s *scheduler) teamQueueFor(name string, limit *teamLimit) *teamQueue {
	t := s.teams[name]
	if t == nil {
		t = newTeamQueue(name, limit)
		s.teams[name] = t
		s.teamsByArrival = append(s.teamsByArrival, t)
		t.counter = s.minActiveCounter()
	}
	return t
}

// minActiveCounter returns the lowest counter of the active teams, or virtualTime if no team is active. The
// counter of a team that was idle is raised to this value, so that a team cannot save up service while it is idle.
func (s *scheduler) minActiveCounter() float64 {
	lowest := math.Inf(1)
	for _, t := range s.teamsByArrival {
		if t.isActive() {
			lowest = min(lowest, t.counter)
		}
	}
	if math.IsInf(lowest, 1) {
		return s.virtualTime
	}
	return lowest
}

// enqueue adds a request to its team's queue, or refuses it if it cannot complete by its deadline. It does not
// check the queue limit; see evictExcess.
func (s *scheduler) enqueue(w *waiter, now time.Time) {
	if s.wouldMissDeadline(w, now) {
		w.notify(outcome.Refuse(outcome.DeadlinePassed))
		return
	}
	t := w.team
	if !t.isActive() {
		t.counter = max(t.counter, s.minActiveCounter())
	}
	w.element = t.waiting[w.class].PushBack(w)
	t.waitingCost += w.request.Cost
	t.waitingRequests++
	s.waiting++
}

// evictExcess refuses waiting requests above the queue limit. It evicts the newest request of the team with
// the longest queue, so that a team cannot lock out others by filling the queue. It is called after a dispatch,
// because a request that gets a slot immediately does not count as waiting.
func (s *scheduler) evictExcess() {
	for s.waiting > s.queueLimit {
		w := s.evictionCandidate()
		reason := outcome.QueueFull
		if !w.team.limit.hasCapacity() {
			reason = outcome.TeamLimit
		}
		s.remove(w)
		w.notify(outcome.Refuse(reason))
	}
}

// evictionCandidate returns the newest waiter of the team with the most waiting requests relative to its weight.
// Training requests are evicted before those of the latency class.
func (s *scheduler) evictionCandidate() *waiter {
	var longest *teamQueue
	for _, t := range s.teamsByArrival {
		if t.queueLength() == 0 {
			continue
		}
		if longest == nil || float64(t.queueLength())/t.weight > float64(longest.queueLength())/longest.weight {
			longest = t
		}
	}
	for c := classCount - 1; c >= 0; c-- {
		if newest := longest.waiting[c].Back(); newest != nil {
			return newest.Value.(*waiter)
		}
	}
	panic("admission: waiting count is positive but all queues are empty")
}

// remove removes a waiting request from its queue.
func (s *scheduler) remove(w *waiter) {
	w.team.waiting[w.class].Remove(w.element)
	w.element = nil
	w.team.waitingCost -= w.request.Cost
	w.team.waitingRequests--
	s.waiting--
}

// nextWaiter returns the waiter to run next, or nil if none may run. The latency class comes first. Within a
// class, the team with the lowest counter comes first; teams that are at their limit are skipped.
func (s *scheduler) nextWaiter() *waiter {
	for c := range classCount {
		var best *teamQueue
		for _, t := range s.teamsByArrival {
			if t.waiting[c].Len() > 0 && (best == nil || t.counter < best.counter) && t.limit.hasCapacity() {
				best = t
			}
		}
		if best != nil {
			return best.waiting[c].Front().Value.(*waiter)
		}
	}
	return nil
}

// dispatch grants slots until none is free or no waiter may run. It refuses requests that cannot complete by
// their deadline.
func (s *scheduler) dispatch(now time.Time) {
	for s.waiting > 0 && s.running < s.ownSlots {
		w := s.nextWaiter()
		if w == nil {
			return
		}
		s.remove(w)
		if s.wouldMissDeadline(w, now) {
			w.notify(outcome.Refuse(outcome.DeadlinePassed))
			continue
		}
		s.start(w, now)
		w.notify(nil)
	}
}

func (s *scheduler) start(w *waiter, now time.Time) {
	t := w.team
	s.virtualTime = max(s.virtualTime, t.counter)
	s.running++
	t.running++
	t.limit.running++
	w.grantedAt = now
	w.chargedCost = w.request.Cost
	if s.meanCost == 0 {
		s.meanCost = float64(w.chargedCost)
	}
	s.meanCost += (float64(w.chargedCost) - s.meanCost) * meanCostGain
	t.addServedCost(w.chargedCost)
}

// finish frees the slot and replaces the charged cost by the actual cost.
func (s *scheduler) finish(w *waiter, actualCost int64, now time.Time) {
	t := w.team
	s.running--
	t.running--
	t.limit.running--
	t.addServedCost(actualCost - w.chargedCost)
	s.duration.observe(now.Sub(w.grantedAt), actualCost, now)
}

// wouldMissDeadline reports whether the request would complete after its deadline if it started now.
func (s *scheduler) wouldMissDeadline(w *waiter, now time.Time) bool {
	deadline := w.request.Deadline
	if deadline.IsZero() {
		return false
	}
	return now.Add(s.duration.estimate(w.request.Cost, now)).After(deadline)
}

const (
	// estimateGain is the weight of an observation that is slower than the estimate; a faster one replaces the
	// estimate. The estimate thus stays close to the fastest requests, so that only requests that would certainly
	// be late are refused.
	estimateGain = 1.0 / 64
	// estimateTTL is the age after which the estimate expires, so that requests are admitted again after all
	// requests of a service were refused because of the estimate.
	estimateTTL = 5 * time.Second
)

// durationEstimate estimates the duration of requests from the shortest recent times per unit of cost (the lower
// envelope).
type durationEstimate struct {
	perUnit    float64
	observedAt time.Time
}

func (e *durationEstimate) observe(elapsed time.Duration, cost int64, now time.Time) {
	if cost <= 0 || elapsed <= 0 {
		return
	}
	sample := float64(elapsed) / float64(cost)
	switch {
	case e.perUnit == 0 || sample < e.perUnit || now.Sub(e.observedAt) > estimateTTL:
		e.perUnit = sample
	default:
		e.perUnit += (sample - e.perUnit) * estimateGain
	}
	e.observedAt = now
}

func (e *durationEstimate) estimate(cost int64, now time.Time) time.Duration {
	if now.Sub(e.observedAt) > estimateTTL {
		return 0
	}
	return time.Duration(e.perUnit * float64(cost))
}

package admission

import (
	"context"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
)

// Defaults for values that the configuration omits. They must equal the defaults of the schema.
const (
	defaultWeight      = 1
	defaultQueueLimit  = 1024
	defaultConcurrency = 10000
	// Shares are recomputed when they are older than shareInterval, so that they follow bursts and expired peer
	// reports. The interval is shareIntervalPerPeer for each instance, up to maxShareInterval, which keeps
	// the work at 0.2% of a core.
	shareIntervalPerPeer = 2500 * time.Microsecond
	maxShareInterval     = 250 * time.Millisecond
)

// Controller admits the requests of all services on one entry instance. It is safe for concurrent use. One
// lock covers all services, because a team's limit applies to all of them together.
type Controller struct {
	self string
	now  func() time.Time

	mu               sync.Mutex
	services         map[string]*scheduler
	teams            map[string]*teamLimit
	peers            map[string]*peerReport
	sharesComputedAt time.Time
}

// NewController returns the controller of the entry instance named self. It has no capacity until SetCapacity
// is called. The function now returns the time.
func NewController(self string, now func() time.Time) *Controller {
	return &Controller{
		self:     self,
		now:      now,
		services: map[string]*scheduler{},
		teams:    map[string]*teamLimit{},
		peers:    map[string]*peerReport{},
	}
}

// Ticket holds the slot of one admitted request. Done must be called exactly once.
type Ticket struct {
	controller *Controller
	scheduler  *scheduler
	waiter     *waiter
	done       bool
}

// Acquire waits for a slot. It returns a refusal if the request cannot complete by its deadline, if the queue
// is full, or if ctx ends first.
func (c *Controller) Acquire(ctx context.Context, req Request) (*Ticket, *outcome.Refusal) {
	result := make(chan *outcome.Refusal, 1)
	c.mu.Lock()
	now := c.now()
	s := c.schedulerFor(req.Service)
	requestClass := s.defaultClass
	if req.Class != "" {
		requestClass = classOf(req.Class)
	}
	req.Cost = max(1, req.Cost)
	w := &waiter{request: req, class: requestClass, team: s.teamQueueFor(req.Team, c.teamLimitFor(req.Team))}
	w.notify = func(refusal *outcome.Refusal) { result <- refusal }
	s.enqueue(w, now)
	c.dispatch(s, now)
	s.evictExcess()
	maxWait := req.Deadline.Sub(now) - s.duration.estimate(req.Cost, now)
	c.mu.Unlock()

	select {
	case refusal := <-result:
		return c.newTicket(s, w, refusal)
	default:
	}
	var timeout <-chan time.Time
	if !req.Deadline.IsZero() {
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case refusal := <-result:
		return c.newTicket(s, w, refusal)
	case <-timeout:
		return c.cancelWait(s, w, result, outcome.Refuse(outcome.DeadlinePassed))
	case <-ctx.Done():
		return c.cancelWait(s, w, result, outcome.Refuse(outcome.CallerDisconnected).WithOutcome(outcome.NotRun))
	}
}

func (c *Controller) newTicket(s *scheduler, w *waiter, refusal *outcome.Refusal) (*Ticket, *outcome.Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	return &Ticket{controller: c, scheduler: s, waiter: w}, nil
}

// cancelWait removes the request from the queue, or frees its slot if one was granted in the meantime. It
// returns the given refusal, or the scheduler's if the request was refused in the meantime.
func (c *Controller) cancelWait(s *scheduler, w *waiter, result <-chan *outcome.Refusal, refusal *outcome.Refusal) (*Ticket, *outcome.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.element != nil {
		s.remove(w)
		return nil, refusal
	}
	if schedulerRefusal := <-result; schedulerRefusal != nil {
		return nil, schedulerRefusal
	}
	c.finish(s, w, 0)
	return nil, refusal
}

// Done frees the slot. The team is charged the actual cost instead of the expected one; 0 means that no target
// ran the request.
func (t *Ticket) Done(actualCost int64) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.done {
		panic("admission: Done called twice on a ticket")
	}
	t.done = true
	c.finish(t.scheduler, t.waiter, max(0, actualCost))
}

func (c *Controller) finish(s *scheduler, w *waiter, actualCost int64) {
	now := c.now()
	wasAtLimit := !w.team.limit.hasCapacity()
	s.finish(w, actualCost, now)
	c.dispatch(s, now)
	if wasAtLimit {
		c.dispatchAll(now)
	}
}

func (c *Controller) dispatch(s *scheduler, now time.Time) {
	if now.Sub(c.sharesComputedAt) >= c.shareInterval() {
		c.recomputeShares(now)
	}
	s.dispatch(now)
}

func (c *Controller) dispatchAll(now time.Time) {
	for _, s := range c.services {
		c.dispatch(s, now)
	}
}

func (c *Controller) shareInterval() time.Duration {
	return min(time.Duration(len(c.peers)+1)*shareIntervalPerPeer, maxShareInterval)
}

func (c *Controller) schedulerFor(name string) *scheduler {
	s := c.services[name]
	if s == nil {
		s = newScheduler()
		c.services[name] = s
	}
	return s
}

func (c *Controller) teamLimitFor(team string) *teamLimit {
	l := c.teams[team]
	if l == nil {
		l = &teamLimit{weight: defaultWeight, limit: defaultConcurrency, share: defaultConcurrency}
		c.teams[team] = l
	}
	return l
}

// SetCapacity sets the total number of slots of all targets of the service. The controller grants only its
// share of them.
func (c *Controller) SetCapacity(service string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedulerFor(service).capacity = slots
	now := c.now()
	c.recomputeShares(now)
	c.dispatchAll(now)
}

// ApplyConfig applies the weights and limits of teams, and the classes and queue limits of services. A value
// of 0 means the default.
func (c *Controller) ApplyConfig(doc *config.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.teams {
		l.weight, l.limit = defaultWeight, defaultConcurrency
	}
	for _, t := range doc.Teams {
		l := c.teamLimitFor(t.Name)
		l.weight = orDefault(t.Weight, defaultWeight)
		l.limit = orDefault(t.MaxConcurrency, defaultConcurrency)
	}
	for _, configured := range doc.Services {
		s := c.schedulerFor(configured.Name)
		s.defaultClass = classOf(configured.Class)
		s.queueLimit = orDefault(configured.QueueLimit, defaultQueueLimit)
	}
	for _, s := range c.services {
		for _, t := range s.teamsByArrival {
			t.weight = float64(t.limit.weight)
		}
		s.evictExcess()
	}
	now := c.now()
	c.recomputeShares(now)
	c.dispatchAll(now)
}

func orDefault(configured, defaultValue int) int {
	if configured <= 0 {
		return defaultValue
	}
	return configured
}

// TakeDemandReport returns the served cost, the running requests and the waiting cost for each team and service, for a
// state frame to the peers. It also records the demand: the controller assumes that the peers know the demand
// that TakeDemandReport returned last, and divides team limits by it.
func (c *Controller) TakeDemandReport() []peer.TeamCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var costs []peer.TeamCost
	for service, s := range c.services {
		for _, t := range s.teamsByArrival {
			current := t.demand()
			t.reported = current
			if t.servedCost == 0 && current.isEmpty() {
				continue
			}
			served, waitingCost, waiting := int(t.servedCost), int(t.waitingCost), t.waitingRequests
			costs = append(costs, peer.TeamCost{
				Team: t.name, Service: service, Served: &served, InFlight: &current.running, Waiting: &waitingCost, WaitingRequests: &waiting,
			})
		}
	}
	return costs
}

// ApplyPeerState records the demand in a peer's state and adds the cost that the peer served since its previous
// state to the teams' counters. A state that is older than the previous one is ignored.
func (c *Controller) ApplyPeerState(state peer.State, now time.Time) {
	if state.Instance == c.self {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.peers[state.Instance]
	start, sequence := optional.Value(state.Start), optional.Value(state.Sequence)
	if previous != nil && previous.start == start && sequence < previous.sequence {
		return
	}
	report := &peerReport{receivedAt: now, start: start, sequence: sequence, servedCosts: make(map[*teamQueue]int64, len(state.Costs))}
	for _, cost := range state.Costs {
		t := c.schedulerFor(cost.Service).teamQueueFor(cost.Team, c.teamLimitFor(cost.Team))
		current := demand{running: optional.Value(cost.InFlight), waitingCost: int64(optional.Value(cost.Waiting))}
		report.entries = append(report.entries, peerDemand{team: t, demand: current})
		report.servedCosts[t] = int64(optional.Value(cost.Served))
	}
	c.peers[state.Instance] = report
	if previous != nil {
		chargeServedByPeer(previous, report)
	}
	if now.Sub(c.sharesComputedAt) >= c.shareInterval() || previous == nil {
		c.recomputeShares(now)
		c.dispatchAll(now)
	}
}

// chargeServedByPeer adds the cost that a peer served between two reports to the teams' counters. It is not
// called for the first report of a peer, because that contains cost from before this instance knew the peer.
// After a restart of the peer, the whole cost of the report is new.
func chargeServedByPeer(previous, report *peerReport) {
	for t, servedCost := range report.servedCosts {
		if previous.start == report.start {
			servedCost -= previous.servedCosts[t]
		}
		t.counter += float64(servedCost) / t.weight
	}
}

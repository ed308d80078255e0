// Package order decides how many targets of each pool to order, and sends the orders while this process
// holds the order lease.
package order

import (
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/config"
)

const (
	// demandRetention is the time window over which the largest demand determines the plan. It keeps targets during
	// the pauses between training steps and prevents an order for every small change of demand.
	demandRetention = 5 * time.Minute
	// latencyHeadroom is the fraction by which the order exceeds the demand of latency services, whose requests must
	// not queue. After the loss of a zone the plan covers the demand without headroom.
	latencyHeadroom = 0.1
	// minSwitchSaving is the fraction by which another pool must be cheaper before running targets move there. It
	// exceeds zoneConcentrationPremium plus the usual price changes of a few percent.
	minSwitchSaving = 0.1
	// zoneConcentrationPremium is the fraction by which a zone is rated more expensive when it holds a whole training
	// service. At similar prices it spreads the service over zones. The expected loss of targets does not depend on
	// how they are spread, so a larger premium would cost more than it is worth.
	zoneConcentrationPremium = 0.05
	// deliveryTimeout is the time after which a pool with fewer live than ordered targets counts as blocked if no new
	// target starts. It is longer than the usual time from an order to a running target.
	deliveryTimeout = 4 * time.Minute
	// probeTargets is the number of targets that stay ordered above the live ones in a blocked pool.
	probeTargets = 1
	// defaultSlotsPerTarget is the configuration's default for pools that set no slots.
	defaultSlotsPerTarget = 16
)

// Pool identifies targets that are ordered together.
type Pool struct {
	Service string
	Zone    string
	Class   config.Class
}

// Demand is the number of slots that a service needs to run all its current requests at the same time.
type Demand struct {
	Service string
	Slots   float64
}

// TargetCounts holds a number of targets for each pool.
type TargetCounts map[Pool]int

// Observation is what a plan depends on besides the configuration.
type Observation struct {
	// Live counts the targets that run and are not leaving.
	Live TargetCounts
	// Ordered counts the targets in the orders that the platform has accepted.
	Ordered TargetCounts
}

// Planner computes the number of targets to order from each pool. It keeps the recent demand and the delivery history
// of the pools.
type Planner struct {
	services     []config.Service
	pools        []config.Pool
	budget       []config.BudgetStep
	recentDemand map[string][]demandSample
	history      map[Pool]*deliveryHistory
	// firstDemandAt is the time of the first observation that contained a demand.
	firstDemandAt time.Time
}

type demandSample struct {
	at    time.Time
	slots float64
}

// NewPlanner returns a planner without pools.
func NewPlanner() *Planner {
	return &Planner{recentDemand: map[string][]demandSample{}, history: map[Pool]*deliveryHistory{}}
}

// ApplyConfig replaces services, pools and budget.
func (p *Planner) ApplyConfig(document *config.Document) {
	p.services = document.Services
	p.pools = document.Pools
	p.budget = slices.Clone(document.Budget)
	slices.SortStableFunc(p.budget, func(a, b config.BudgetStep) int { return a.From.Compare(b.From) })
}

// Plan returns the number of targets to order for every configured pool, and 0 for pools that have an order but are no
// longer configured.
func (p *Planner) Plan(now time.Time, seen Observation) TargetCounts {
	p.observeDeliveries(now, seen)
	a := p.newAllocation(now, seen)
	latency, training := p.requirements()
	a.planLatencyServices(latency)
	a.planTrainingServices(training)
	a.keepUntilReplaced()
	counts := TargetCounts{}
	for pool := range seen.Ordered {
		counts[pool] = 0
	}
	for _, pool := range a.pools {
		counts[pool.key] = pool.planned
		if pool.needsProbe && pool.planned == pool.live {
			counts[pool.key] += probeTargets
		}
		// A planner that started recently has not seen the demand of the whole retention time, so it does not reduce
		// existing orders yet.
		if now.Sub(p.firstDemandAt) < demandRetention {
			counts[pool.key] = max(counts[pool.key], min(pool.ordered, pool.configuredMax))
		}
	}
	return counts
}

// RecordDemand records the demand at the given time and drops demand older than the retention time.
func (p *Planner) RecordDemand(now time.Time, demands []Demand) {
	if p.firstDemandAt.IsZero() && len(demands) > 0 {
		p.firstDemandAt = now
	}
	for _, d := range demands {
		p.recentDemand[d.Service] = append(p.recentDemand[d.Service], demandSample{at: now, slots: d.Slots})
	}
	for service, recent := range p.recentDemand {
		p.recentDemand[service] = slices.DeleteFunc(recent, func(sample demandSample) bool {
			return now.Sub(sample.at) > demandRetention
		})
	}
}

// ResetDeliveryHistory clears the delivery history, because another process has sent orders in the meantime. The recent
// demand is kept.
func (p *Planner) ResetDeliveryHistory() { clear(p.history) }

// observeDeliveries updates the delivery history of all configured pools.
func (p *Planner) observeDeliveries(now time.Time, seen Observation) {
	for _, pool := range p.pools {
		key := configuredPool(pool)
		if p.history[key] == nil {
			p.history[key] = &deliveryHistory{}
		}
		p.history[key].observe(now, seen.Live[key], seen.Ordered[key])
	}
}

// peakDemand returns the largest recent demand of a service in slots.
func (p *Planner) peakDemand(service string) float64 {
	largest := 0.0
	for _, sample := range p.recentDemand[service] {
		largest = max(largest, sample.slots)
	}
	return largest
}

// requirements returns the requirements of latency services and of all other services. It omits services without
// demand.
func (p *Planner) requirements() (latency, training []requirement) {
	for _, service := range p.services {
		r := requirement{service: service.Name, slots: p.peakDemand(service.Name)}
		switch {
		case r.slots <= 0:
		case service.Class == config.ServiceClassLatency:
			latency = append(latency, r)
		default:
			training = append(training, r)
		}
	}
	return latency, training
}

// budgetAt returns the spending limit per hour at the given time; hasBudget is false if there is no limit.
func (p *Planner) budgetAt(now time.Time) (limit float64, hasBudget bool) {
	for _, step := range p.budget {
		if step.From.After(now) {
			break
		}
		limit, hasBudget = step.PerHour, true
	}
	return limit, hasBudget
}

func configuredPool(p config.Pool) Pool {
	return Pool{Service: p.Service, Zone: p.Zone, Class: p.Class}
}

// deliveryHistory tracks whether a pool delivers the targets ordered from it.
type deliveryHistory struct {
	live int
	// incompleteSince is the start of the time without new targets while fewer targets were live than ordered; zero
	// while the order is complete.
	incompleteSince time.Time
	isBlocked       bool
}

// observe marks a pool as blocked if it lost targets that are still ordered or did not deliver in time. A blocked
// pool keeps an order for one target more than are live, as a probe. The probe costs nothing until its target runs,
// which unblocks the pool.
func (d *deliveryHistory) observe(now time.Time, live, ordered int) {
	previous := d.live
	d.live = live
	if live > previous {
		d.isBlocked = false
		d.incompleteSince = now
	}
	if live >= ordered {
		d.incompleteSince = time.Time{}
		return
	}
	if d.incompleteSince.IsZero() {
		d.incompleteSince = now
	}
	if live < previous || now.Sub(d.incompleteSince) > deliveryTimeout {
		d.isBlocked = true
	}
}

// availableMax returns the number of targets that the pool can be expected to run: only the live ones if it is blocked.
func (d *deliveryHistory) availableMax(configuredMax int) int {
	if d.isBlocked {
		return min(d.live, configuredMax)
	}
	return configuredMax
}

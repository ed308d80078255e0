package order

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/config"
)

// requirement is the number of slots that a service requires.
type requirement struct {
	service string
	slots   float64
}

// poolPlan is one pool with the number of targets planned for it.
type poolPlan struct {
	key Pool
	// availableMax is the number of targets that the pool can be expected to run, at most configuredMax.
	availableMax   int
	configuredMax  int
	slotsPerTarget int
	pricePerHour   float64
	live           int
	ordered        int
	planned        int
	// needsProbe is set for a reclaimable pool that lost targets or did not deliver them in time. An additional order
	// shows when the pool can deliver again.
	needsProbe bool
	// isLatencyService is set for pools of latency services, which keep their running targets first when the budget
	// does not cover all targets that wait for a replacement.
	isLatencyService bool
}

// slotPrice returns the hourly price per slot of the next target after the given number of planned targets. Targets
// that run or are ordered get a discount, so that small price differences do not move targets between pools, even
// while the targets are still starting.
func (p *poolPlan) slotPrice(planned int) float64 {
	price := p.pricePerHour / float64(p.slotsPerTarget)
	if planned < max(p.live, p.ordered) {
		price *= 1 - minSwitchSaving
	}
	return price
}

// allocation is a plan while it is computed. remainingBudget is a price per hour and applies only if hasBudget is set.
type allocation struct {
	pools           []*poolPlan
	remainingBudget float64
	hasBudget       bool
}

func (p *Planner) newAllocation(now time.Time, seen Observation) *allocation {
	a := &allocation{}
	a.remainingBudget, a.hasBudget = p.budgetAt(now)
	isLatencyService := map[string]bool{}
	for _, service := range p.services {
		isLatencyService[service.Name] = service.Class == config.ServiceClassLatency
	}
	for _, pool := range p.pools {
		key := configuredPool(pool)
		plan := &poolPlan{
			key: key, availableMax: p.history[key].availableMax(pool.Max), configuredMax: pool.Max,
			slotsPerTarget: pool.Slots, pricePerHour: pool.PricePerHour,
			live: seen.Live[key], ordered: seen.Ordered[key], isLatencyService: isLatencyService[pool.Service],
		}
		plan.needsProbe = p.history[key].isBlocked && pool.Class == config.ClassReclaimable && plan.live < pool.Max
		if plan.slotsPerTarget <= 0 {
			plan.slotsPerTarget = defaultSlotsPerTarget
		}
		a.pools = append(a.pools, plan)
		a.addTargets(plan, min(pool.Min, plan.availableMax))
	}
	return a
}

// addTargets plans up to count more targets in the pool, as many as the budget allows, and returns their number.
func (a *allocation) addTargets(pool *poolPlan, count int) int {
	if a.hasBudget && pool.pricePerHour > 0 {
		affordable := int(math.Floor(a.remainingBudget/pool.pricePerHour + 1e-9))
		count = min(count, max(0, affordable))
	}
	pool.planned += count
	a.remainingBudget -= float64(count) * pool.pricePerHour
	return count
}

func (a *allocation) poolsOf(service string) []*poolPlan {
	var pools []*poolPlan
	for _, pool := range a.pools {
		if pool.key.Service == service {
			pools = append(pools, pool)
		}
	}
	return pools
}

// latencyPlan holds the candidate distributions for one latency service: minimal covers exactly the required slots,
// zoneRedundant still covers them after the loss of any one zone.
type latencyPlan struct {
	pools         []*poolPlan
	segments      []priceSegment
	slots         float64
	minimal       distribution
	zoneRedundant distribution
	chosen        distribution
}

// newLatencyPlan finds the cheapest zone-redundant distribution. For a given bound on the slots in one zone, the
// optimal distribution fills the cheapest pools first, up to that bound; so it tries all bounds and takes the cheapest
// result. If the pools allow no zone-redundant distribution, it only adds latencyHeadroom.
func (a *allocation) newLatencyPlan(r requirement) *latencyPlan {
	plan := &latencyPlan{pools: a.poolsOf(r.service), slots: r.slots}
	plan.segments = sortedSegments(plan.pools)
	plan.minimal = fillCheapest(plan.segments, r.slots, math.Inf(1))
	withHeadroom := r.slots * (1 + latencyHeadroom)
	cheapest := distribution{price: math.Inf(1)}
	for _, bound := range zoneBounds(plan.pools, r.slots) {
		if d := fillCheapest(plan.segments, max(r.slots+bound, withHeadroom), bound); d.isComplete && d.price < cheapest.price {
			cheapest = d
		}
	}
	if !cheapest.isComplete {
		cheapest = fillCheapest(plan.segments, withHeadroom, math.Inf(1))
	}
	plan.zoneRedundant = cheapest
	return plan
}

// addedCost returns the price per hour of the targets that d adds to those already planned.
func (p *latencyPlan) addedCost(d distribution) float64 {
	sum := 0.0
	for _, pool := range p.pools {
		sum += float64(max(0, d.counts[pool.key]-pool.planned)) * pool.pricePerHour
	}
	return sum
}

// planLatencyServices plans a zone-redundant distribution for every latency service. If the budget is too small for
// that, it first pays for the minimal distribution of all services, scaled down by the same fraction if necessary, and
// then for the zone redundancy of as many services as possible.
func (a *allocation) planLatencyServices(requirements []requirement) {
	plans, minimalCost := make([]*latencyPlan, 0, len(requirements)), 0.0
	for _, r := range requirements {
		plan := a.newLatencyPlan(r)
		plan.chosen = plan.zoneRedundant
		minimalCost += plan.addedCost(plan.minimal)
		plans = append(plans, plan)
	}
	if a.hasBudget {
		a.chooseWithinBudget(plans, minimalCost)
	}
	for _, plan := range plans {
		for _, pool := range sortedBySlotPrice(plan.pools) {
			a.addTargets(pool, max(0, plan.chosen.counts[pool.key]-pool.planned))
		}
	}
}

// chooseWithinBudget chooses for each service the best distribution that the budget still covers.
func (a *allocation) chooseWithinBudget(plans []*latencyPlan, minimalCost float64) {
	fraction := min(1, a.remainingBudget/max(minimalCost, 1e-9))
	unspent := a.remainingBudget - minimalCost
	for _, plan := range plans {
		plan.chosen = plan.minimal
		if fraction < 1 {
			plan.chosen = fillCheapest(plan.segments, plan.slots*fraction, math.Inf(1))
			continue
		}
		if extraCost := plan.addedCost(plan.zoneRedundant) - plan.addedCost(plan.minimal); extraCost <= unspent {
			plan.chosen = plan.zoneRedundant
			unspent -= extraCost
		}
	}
}

// zoneBounds returns the candidate bounds on the slots in one zone: the multiples of the smallest target size up to the
// first one that reaches the required slots.
func zoneBounds(pools []*poolPlan, slots float64) []float64 {
	if len(pools) == 0 || slots <= 0 {
		return nil
	}
	smallest := slices.MinFunc(pools, func(a, b *poolPlan) int {
		return cmp.Compare(a.slotsPerTarget, b.slotsPerTarget)
	}).slotsPerTarget
	maxTargets := int(math.Ceil(slots / float64(smallest)))
	all := make([]float64, 0, maxTargets)
	for n := 1; n <= maxTargets; n++ {
		all = append(all, float64(n*smallest))
	}
	return all
}

// distribution assigns targets to pools. The price is an hourly price that includes the discount of slotPrice.
// isComplete reports whether the targets cover the required slots.
type distribution struct {
	counts     TargetCounts
	price      float64
	isComplete bool
}

// priceSegment is a part of a pool in which all targets have the same slot price: either those that run or are
// ordered, or those that would be new.
type priceSegment struct {
	pool  *poolPlan
	price float64
	count int
}

// sortedSegments splits the pools into price segments and returns them cheapest first.
func sortedSegments(pools []*poolPlan) []priceSegment {
	var all []priceSegment
	for _, pool := range pools {
		existing := min(max(pool.live, pool.ordered), pool.availableMax)
		all = append(all, priceSegment{pool: pool, price: pool.slotPrice(0), count: existing})
		all = append(all, priceSegment{pool: pool, price: pool.slotPrice(existing), count: pool.availableMax - existing})
	}
	all = slices.DeleteFunc(all, func(s priceSegment) bool { return s.count <= 0 })
	slices.SortStableFunc(all, func(a, b priceSegment) int { return cmp.Compare(a.price, b.price) })
	return all
}

// fillCheapest takes the cheapest targets until they cover the slots, with at most zoneBound slots in each zone.
func fillCheapest(segments []priceSegment, slots, zoneBound float64) distribution {
	d := distribution{counts: TargetCounts{}}
	slotsByZone := map[string]float64{}
	for _, segment := range segments {
		slotsPerTarget, zone := float64(segment.pool.slotsPerTarget), segment.pool.key.Zone
		wanted := math.Ceil(slots / slotsPerTarget)
		allowedByZone := math.Floor((zoneBound - slotsByZone[zone]) / slotsPerTarget)
		count := max(0, min(wanted, allowedByZone, float64(segment.count)))
		d.price += count * slotsPerTarget * segment.price
		d.counts[segment.pool.key] += int(count)
		slotsByZone[zone] += count * slotsPerTarget
		slots -= count * slotsPerTarget
	}
	d.isComplete = slots <= 0
	return d
}

// sortedBySlotPrice sorts by the price per slot without the discount of slotPrice.
func sortedBySlotPrice(pools []*poolPlan) []*poolPlan {
	sorted := slices.Clone(pools)
	slices.SortStableFunc(sorted, func(a, b *poolPlan) int {
		return cmp.Compare(a.pricePerHour/float64(a.slotsPerTarget), b.pricePerHour/float64(b.slotsPerTarget))
	})
	return sorted
}

// planTrainingServices adds one target at a time to the service with the smallest covered fraction of its requirement,
// until all requirements are covered or the budget or the pools are exhausted.
func (a *allocation) planTrainingServices(requirements []requirement) {
	unfinished := make([]*trainingProgress, 0, len(requirements))
	for _, r := range requirements {
		unfinished = append(unfinished, a.newTrainingProgress(r))
	}
	for {
		unfinished = slices.DeleteFunc(unfinished, func(p *trainingProgress) bool { return p.plannedSlots >= p.slots })
		if len(unfinished) == 0 {
			return
		}
		leastCovered := slices.MinFunc(unfinished, func(a, b *trainingProgress) int {
			return cmp.Or(cmp.Compare(a.plannedSlots/a.slots, b.plannedSlots/b.slots), cmp.Compare(a.service, b.service))
		})
		pool := leastCovered.nextPool()
		if pool == nil || a.addTargets(pool, 1) == 0 {
			unfinished = slices.DeleteFunc(unfinished, func(p *trainingProgress) bool { return p == leastCovered })
			continue
		}
		leastCovered.plannedSlots += float64(pool.slotsPerTarget)
		leastCovered.slotsByZone[pool.key.Zone] += float64(pool.slotsPerTarget)
	}
}

// trainingProgress tracks the slots planned for one training service so far, in total and by zone.
type trainingProgress struct {
	requirement
	pools        []*poolPlan
	plannedSlots float64
	slotsByZone  map[string]float64
}

func (a *allocation) newTrainingProgress(r requirement) *trainingProgress {
	p := &trainingProgress{requirement: r, pools: a.poolsOf(r.service), slotsByZone: map[string]float64{}}
	for _, pool := range p.pools {
		p.plannedSlots += float64(pool.planned * pool.slotsPerTarget)
		p.slotsByZone[pool.key.Zone] += float64(pool.planned * pool.slotsPerTarget)
	}
	return p
}

// nextPool returns the pool for the next target, or nil if all pools are full. It is the pool with the lowest slot
// price, increased by a premium that is proportional to the fraction of the service already in the pool's zone, which
// would be lost with that zone.
func (p *trainingProgress) nextPool() *poolPlan {
	var cheapest *poolPlan
	lowestPrice := math.Inf(1)
	for _, pool := range p.pools {
		if pool.planned >= pool.availableMax {
			continue
		}
		price := pool.slotPrice(pool.planned) * (1 + zoneConcentrationPremium*p.slotsByZone[pool.key.Zone]/p.slots)
		if price < lowestPrice {
			cheapest, lowestPrice = pool, price
		}
	}
	return cheapest
}

// keepUntilReplaced keeps running targets that are no longer part of the plan until the targets that replace them run.
// If the budget does not cover all of them, latency services keep theirs first.
func (a *allocation) keepUntilReplaced() {
	slotsToReplace := map[string]int{}
	for _, pool := range a.pools {
		slotsToReplace[pool.key.Service] += max(0, pool.planned-pool.live) * pool.slotsPerTarget
	}
	pools := slices.Clone(a.pools)
	slices.SortStableFunc(pools, compareLatencyFirst)
	for _, pool := range pools {
		removable := min(pool.live, pool.ordered) - pool.planned
		for removable > 0 && slotsToReplace[pool.key.Service] > 0 && a.addTargets(pool, 1) == 1 {
			removable--
			slotsToReplace[pool.key.Service] -= pool.slotsPerTarget
		}
	}
}

// compareLatencyFirst sorts the pools of latency services before all others.
func compareLatencyFirst(x, y *poolPlan) int {
	switch {
	case x.isLatencyService == y.isLatencyService:
		return 0
	case x.isLatencyService:
		return -1
	default:
		return 1
	}
}

// Package scaling decides how many engines a service has in each zone. Planner does no I/O and has no clock; Worker
// sends the planner's orders to the platform.
//
// It is designed for this load: jobs of a hundred items arrive at once every few seconds, most items complete within a
// few seconds, and a few long items remain. The number of engines follows the number of items that run at the start of
// a step, because an item that waits there delays the end of the step.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// plannedOccupancy is the share of the slots that the peak load should use. The rest covers the loss of a few
	// engines and lets long items move to faster engines.
	plannedOccupancy = 0.75
	// scaleDownDelay is how long a peak of the load counts and how long a surplus must last before engines are
	// removed, so that none are removed between two steps.
	scaleDownDelay = 30 * time.Second
	// toleratedSurplus and toleratedSurplusDivisor limit the surplus of engines that is never removed: two engines or a
	// fifth of all, whichever is more.
	toleratedSurplus        = 2
	toleratedSurplusDivisor = 5
	// maxStartTime is the longest time from an order until the new engine is listed.
	maxStartTime = 8 * time.Second
	// noCapacityBackoff is how long no engine of a kind is ordered in a zone after the zone had none of it.
	noCapacityBackoff = 15 * time.Second
)

// Zone describes a service in one zone.
type Zone struct {
	Name  string
	Price float64
	// OnDemand and Reclaimable are the numbers of engines that run in the zone.
	OnDemand, Reclaimable int
	// Evacuated zones count as without engines, and nothing is ordered there.
	Evacuated bool
}

// Bounds limit the engines of both kinds together in each zone.
type Bounds struct {
	Min, Max int
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MaxUpToDate is the number of engines in all zones that can be kept at new weights; 0 means unknown. The weights
	// of further engines would be too old for most jobs.
	MaxUpToDate int
}

// Count is the number of engines of each kind in a zone.
type Count struct{ OnDemand, Reclaimable int }

// Order sets the number of engines of one kind in a zone.
type Order struct {
	Zone        string
	Reclaimable bool
	Count       int
}

// Planner plans the engines of one service. It is not safe for concurrent use.
type Planner struct {
	// peak is the highest recent load, last reached at peakAt. After scaleDownDelay the current load replaces it.
	peak   int
	peakAt time.Time
	// noCapacityAt holds when a zone last had no engine of a kind to offer.
	noCapacityAt map[zoneKind]time.Time
	zones        map[string]*zoneState
	// surplusSince is the time since which the surplus exceeds the tolerated one; zero while it does not.
	surplusSince time.Time
}

type zoneKind struct {
	zone        string
	reclaimable bool
}

type zoneState struct {
	Zone
	// baseOnDemand is the number of on-demand engines before the first order. It is the lower bound for scale-down.
	baseOnDemand int
	ordered      Count
	// hasOrder is set once the platform has accepted an order of this planner for the zone.
	hasOrder bool
	// shortageSince is the time since which fewer reclaimable engines are listed than ordered; zero while none are
	// missing.
	shortageSince time.Time
}

// NewPlanner returns a planner that has seen no load.
func NewPlanner() *Planner {
	return &Planner{noCapacityAt: map[zoneKind]time.Time{}, zones: map[string]*zoneState{}}
}

// Plan returns the orders that scale the service to its load. load is the number of items that run or wait for a slot.
func (p *Planner) Plan(now time.Time, zones []Zone, bounds Bounds, load int) []Order {
	p.updateZones(now, zones)
	if load == 0 && p.peak == 0 {
		return nil
	}
	if load >= p.peak || now.Sub(p.peakAt) > scaleDownDelay {
		p.peak, p.peakAt = load, now
	}
	needed := int(math.Ceil(float64(p.peak) / plannedOccupancy / float64(max(1, bounds.Slots))))
	if ordered := p.orderedTotal(); bounds.MaxUpToDate > 0 && needed > ordered {
		needed = max(ordered, min(needed, bounds.MaxUpToDate))
	}
	desired := p.desiredCounts(now, bounds, needed)
	var orders []Order
	for _, z := range p.zonesByPrice() {
		count := desired[z.Name]
		if count.Reclaimable != z.ordered.Reclaimable {
			orders = append(orders, Order{Zone: z.Name, Reclaimable: true, Count: count.Reclaimable})
		}
		if count.OnDemand != z.ordered.OnDemand {
			orders = append(orders, Order{Zone: z.Name, Count: count.OnDemand})
		}
	}
	return orders
}

// updateZones applies the current numbers of listed engines. Until the first order for a zone, its engines count as
// ordered.
// The highest number seen is used, because engines may be missing from the list for a while.
func (p *Planner) updateZones(now time.Time, zones []Zone) {
	for _, s := range p.zones {
		s.OnDemand, s.Reclaimable, s.Evacuated = 0, 0, false
	}
	for _, z := range zones {
		s := p.zones[z.Name]
		if z.Evacuated {
			// What was ordered stays ordered: the engines come back when the evacuation ends.
			if s != nil {
				s.Evacuated = true
			}
			continue
		}
		if s == nil {
			s = &zoneState{}
			p.zones[z.Name] = s
		}
		s.Zone = z
		if !s.hasOrder {
			s.baseOnDemand = max(s.baseOnDemand, z.OnDemand)
			s.ordered = Count{OnDemand: s.baseOnDemand, Reclaimable: max(s.ordered.Reclaimable, z.Reclaimable)}
		}
	}
	for _, s := range p.zones {
		s.trackShortage(now)
	}
}

// trackShortage stops counting reclaimable engines that the platform has reclaimed, so that they are ordered again. An
// engine counts as reclaimed if it is still missing after maxStartTime, since until then it may be starting.
func (s *zoneState) trackShortage(now time.Time) {
	switch {
	case s.Evacuated, s.Reclaimable >= s.ordered.Reclaimable:
		s.shortageSince = time.Time{}
	case s.shortageSince.IsZero():
		s.shortageSince = now
	case now.Sub(s.shortageSince) > maxStartTime:
		s.ordered.Reclaimable = s.Reclaimable
		s.shortageSince = time.Time{}
	}
}

// orderedTotal returns the number of engines ordered in the zones that are not evacuated.
func (p *Planner) orderedTotal() int {
	total := 0
	for _, s := range p.zones {
		if !s.Evacuated {
			total += s.ordered.OnDemand + s.ordered.Reclaimable
		}
	}
	return total
}

// zonesByPrice returns the zones that are not evacuated ordered by price, cheapest first.
func (p *Planner) zonesByPrice() []*zoneState {
	all := make([]*zoneState, 0, len(p.zones))
	for _, s := range p.zones {
		if !s.Evacuated {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *zoneState) int { return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name)) })
	return all
}

// desiredCounts returns the number of engines that each zone should have. It starts from the ordered counts, so that
// they do not oscillate, and never goes below the on-demand engines that ran before the first order. Further engines
// are reclaimable where available, because an item whose engine is reclaimed continues on another engine after its last
// event.
func (p *Planner) desiredCounts(now time.Time, bounds Bounds, needed int) map[string]Count {
	zones := p.zonesByPrice()
	desired := map[string]Count{}
	for _, z := range zones {
		desired[z.Name] = z.ordered
	}
	total := p.orderedTotal()
	if surplus := total - needed; surplus > max(toleratedSurplus, total/toleratedSurplusDivisor) {
		if p.surplusSince.IsZero() {
			p.surplusSince = now
		}
		if now.Sub(p.surplusSince) > scaleDownDelay {
			scaleDown(zones, bounds, desired, surplus)
		}
		return desired
	}
	p.surplusSince = time.Time{}
	for _, reclaimable := range []bool{true, false} {
		total = p.scaleUp(now, zones, bounds, desired, total, needed, reclaimable)
	}
	return desired
}

// scaleDown removes surplus engines from the desired counts, starting with the most expensive zone.
func scaleDown(zones []*zoneState, bounds Bounds, desired map[string]Count, surplus int) {
	for i := len(zones) - 1; i >= 0 && surplus > 0; i-- {
		z := zones[i]
		c := desired[z.Name]
		removed := min(surplus, max(0, c.OnDemand-max(z.baseOnDemand, bounds.Min)))
		c.OnDemand -= removed
		surplus -= removed
		removed = min(surplus, c.Reclaimable)
		c.Reclaimable -= removed
		surplus -= removed
		desired[z.Name] = c
	}
}

// scaleUp adds engines of one kind to the desired counts, one to each zone in turn, until there are enough or no zone
// can take more. It returns the new total.
func (p *Planner) scaleUp(now time.Time, zones []*zoneState, bounds Bounds, desired map[string]Count, total, needed int, reclaimable bool) int {
	for added := true; added && total < needed; {
		added = false
		for _, z := range zones {
			c := desired[z.Name]
			if total >= needed || c.OnDemand+c.Reclaimable >= bounds.Max || p.lacksCapacity(z.Name, reclaimable, now) {
				continue
			}
			if reclaimable {
				c.Reclaimable++
			} else {
				c.OnDemand++
			}
			desired[z.Name] = c
			total++
			added = true
		}
	}
	return total
}

func (p *Planner) lacksCapacity(zone string, reclaimable bool, now time.Time) bool {
	at, ok := p.noCapacityAt[zoneKind{zone, reclaimable}]
	return ok && now.Sub(at) < noCapacityBackoff
}

// RecordAccepted records that the platform accepted an order.
func (p *Planner) RecordAccepted(o Order) {
	s := p.zones[o.Zone]
	if o.Reclaimable {
		s.ordered.Reclaimable = o.Count
	} else {
		s.ordered.OnDemand = o.Count
	}
	s.hasOrder = true
}

// RecordNoCapacity records that the order failed because the zone has no more engines of the kind.
func (p *Planner) RecordNoCapacity(o Order, now time.Time) {
	p.noCapacityAt[zoneKind{o.Zone, o.Reclaimable}] = now
}

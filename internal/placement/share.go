package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RouteLoad is the load of one route at one instance, for one model.
type RouteLoad struct {
	// Demand is the number of items that run or could run, Running that of running ones.
	Demand, Running int
}

// Allowance returns how many items of a route this instance may run now. If the slots do not suffice for the demand of all
// routes, each route gets an equal share, and what a route does not need goes to the others (max-min fairness). Owners of one
// route divide its share by their demand. Slots that are free although every other instance runs its share may be used in
// addition. own holds the load of this instance by route. The result stays the same while items start at free slots.
func (p *Pool) Allowance(route string, own map[string]RouteLoad, now time.Time) int {
	peerRunning := p.peerRunning(now)
	if !p.peers.hasDemand {
		return own[route].Demand
	}
	capacity, free := p.slots(peerRunning)
	demands := map[string]int{}
	for r, load := range own {
		demands[r] += load.Demand
	}
	for _, l := range p.peers.loads {
		for r, n := range l.demand {
			demands[r] += n
		}
	}
	shares := maxMinShares(demands, capacity)
	spare := free - p.unmet(shares, demands)
	return max(part(shares[route], own[route].Demand, demands[route]), own[route].Running+spare, 1)
}

// slots returns the number of slots, and of those that no item takes, on the engines that are assigned to the model, or
// on all engines if none is.
func (p *Pool) slots(peerRunning map[string]int) (all, free int) {
	hasAssigned := slices.ContainsFunc(p.engineList, func(e *engine) bool { return e.listed && e.Assigned })
	for _, e := range p.engineList {
		if e.listed && (e.Assigned || !hasAssigned) {
			all += e.Slots
			free += max(0, e.Slots-e.running-peerRunning[e.ID])
		}
	}
	return all, free
}

// unmet returns how many further items the other instances may start within their shares.
func (p *Pool) unmet(shares, demands map[string]int) int {
	total := 0
	for _, l := range p.peers.loads {
		entitled := 0
		for r, n := range l.demand {
			entitled += part(shares[r], n, demands[r])
		}
		for _, n := range l.running {
			entitled -= n
		}
		total += max(0, entitled)
	}
	return total
}

// part returns the part of a route's share that an instance with a part of the demand gets, rounded up.
func part(share, demand, total int) int {
	if total == 0 {
		return 0
	}
	return (share*demand + total - 1) / total
}

// maxMinShares divides slots among routes so that no route can get more without one with less or equally much losing.
func maxMinShares(demands map[string]int, slots int) map[string]int {
	routes := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		return cmp.Or(cmp.Compare(demands[a], demands[b]), cmp.Compare(a, b))
	})
	shares := map[string]int{}
	for i, r := range routes {
		shares[r] = min(demands[r], slots/(len(routes)-i))
		slots -= shares[r]
	}
	return shares
}

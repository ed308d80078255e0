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

// Allowance returns how many items of a route this instance may run now. If the slots of the engines that are assigned to the
// model do not suffice for the demand of all its routes, each route gets an equal share, and what a route does not need goes to
// the others (max-min fairness). Owners of one route divide its share by their demand. Slots that are free although every
// other instance runs its share, and free slots of other engines, may be used in addition. own holds the load of this
// instance by route. The result stays the same while items start at free slots.
func (p *Pool) Allowance(route string, own map[string]RouteLoad, now time.Time) int {
	peerRunning := p.peerRunning(now)
	if !p.peers.hasDemand {
		return own[route].Demand
	}
	demands := p.demands(own)
	if demands[route] == own[route].Demand && total(demands) == demands[route] {
		return own[route].Demand
	}
	s := p.countSlots(peerRunning)
	shares := maxMinShares(demands, s.all)
	spare := s.free - p.unusedByPeers(shares, demands)
	return max(part(shares[route], own[route].Demand, demands[route]), own[route].Running+spare, 1) + s.other
}

// demands returns the demand of all instances by route. The items of instances that report no demand count as a route.
func (p *Pool) demands(own map[string]RouteLoad) map[string]int {
	demands := map[string]int{}
	for r, load := range own {
		demands[r] += load.Demand
	}
	for instance, l := range p.peers.loads {
		for r, n := range l.demand {
			demands[r] += n
		}
		if l.demand == nil {
			demands["instance "+instance] = p.runningOn(l)
		}
	}
	return demands
}

func total(demands map[string]int) int {
	sum := 0
	for _, n := range demands {
		sum += n
	}
	return sum
}

// runningOn returns how many items another instance runs on the engines that are assigned to the model.
func (p *Pool) runningOn(l peerLoad) int {
	sum := 0
	for id, n := range l.running {
		if e := p.engines[id]; e != nil && e.listed && e.Assigned {
			sum += n
		}
	}
	return sum
}

// slotCounts counts slots of a pool's engines.
type slotCounts struct {
	// all counts the slots of engines that are assigned to the model, free those of them that no item takes.
	all, free int
	// other counts the slots of other engines with the model that are free or run items of this instance.
	other int
}

// countSlots counts the slots. If no engine is assigned to the model, all count as assigned.
func (p *Pool) countSlots(peerRunning map[string]int) slotCounts {
	var s slotCounts
	hasAssigned := slices.ContainsFunc(p.engineList, func(e *engine) bool { return e.listed && e.Assigned })
	for _, e := range p.engineList {
		free := max(0, e.Slots-e.running-peerRunning[e.ID])
		switch {
		case !e.listed:
		case e.Assigned || !hasAssigned:
			s.all += e.Slots
			s.free += free
		case e.Version > 0:
			s.other += e.running + free
		}
	}
	return s
}

// unusedByPeers returns how many further items the other instances may start within their shares.
func (p *Pool) unusedByPeers(shares, demands map[string]int) int {
	sum := 0
	for _, l := range p.peers.loads {
		entitled := 0
		for r, n := range l.demand {
			entitled += part(shares[r], n, demands[r])
		}
		sum += max(0, entitled-p.runningOn(l))
	}
	return sum
}

// part returns the part of a route's share that an instance with a part of the demand gets, rounded up.
func part(share, demand, routeDemand int) int {
	if routeDemand == 0 {
		return 0
	}
	return (share*demand + routeDemand - 1) / routeDemand
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

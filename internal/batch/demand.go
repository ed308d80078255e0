package batch

import (
	"time"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/placement"
)

// routeDemand is the number of items of a route that run at an owner or could run, in a heartbeat row.
type routeDemand struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Route   string `json:"route"`
	Items   int    `json:"items"`
}

// peerReport is the last heartbeat of another owner.
type peerReport struct {
	heartbeat
	at time.Time
}

// demandOf returns the demand of an owner for the engines of a pool, by route, or nil if it reports none.
func (h heartbeat) demandOf(key poolKey) map[string]int {
	if h.Demand == nil {
		return nil
	}
	demand := map[string]int{}
	for _, d := range h.Demand {
		if d.Service == key.service && d.Model == key.model {
			demand[d.Route] += d.Items
		}
	}
	return demand
}

// applyTo passes another owner's report to a pool.
func (r peerReport) applyTo(pool *placement.Pool, key poolKey, owner string) {
	pool.SetPeerReport(owner, r.Running, r.demandOf(key), r.at)
}

// routeLoadsLocked returns the load of the owned jobs, by pool and route. The caller holds the lock.
func (s *Service) routeLoadsLocked() map[poolKey]map[string]placement.RouteLoad {
	loads := map[poolKey]map[string]placement.RouteLoad{}
	for _, o := range s.owned {
		key := o.job.poolKey()
		if loads[key] == nil {
			loads[key] = map[string]placement.RouteLoad{}
		}
		sum, own := loads[key][o.job.Route], o.load()
		loads[key][o.job.Route] = placement.RouteLoad{Demand: sum.Demand + own.Demand, Running: sum.Running + own.Running}
	}
	return loads
}

// load returns the load of a job. It is none before stored text is loaded, because no item starts before.
func (o *ownedJob) load() placement.RouteLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || !o.textLoaded {
		return placement.RouteLoad{}
	}
	running := o.progress.runningCount()
	return placement.RouteLoad{Demand: len(o.progress.pending) + running, Running: running}
}

// ownDemandLocked returns the demand of this instance for its heartbeat. The caller holds the lock.
func (s *Service) ownDemandLocked() []routeDemand {
	var demand []routeDemand
	for key, routes := range s.routeLoadsLocked() {
		for route, load := range routes {
			demand = append(demand, routeDemand{Service: key.service, Model: key.model, Route: route, Items: load.Demand})
		}
	}
	return demand
}

// setAnnounced records in the pools what the last heartbeat said.
func (s *Service) setAnnounced(h heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range s.pools {
		pool.SetAnnounced(h.Running)
	}
}

// setHeldBack records how many items wait because the route has its share, and logs when that begins.
func (o *ownedJob) setHeldBack(items int, load placement.RouteLoad, allowance int) {
	if before := o.heldBack.Swap(int64(items)); before > 0 || items == 0 {
		return
	}
	o.service.options.Log.Debug().Str("job", o.job.ID).Str("route", o.job.Route).Int("items", items).Int("running", load.Running).
		Int("demand", load.Demand).Int("allowance", allowance).Msg(event.ItemsHeldBack)
}

// HeldBackItems returns the number of items that wait because their routes have their shares of the slots.
func (s *Service) HeldBackItems() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, o := range s.owned {
		n += o.heldBack.Load()
	}
	return n
}

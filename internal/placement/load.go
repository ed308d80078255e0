package placement

import (
	"maps"
	"time"
)

const (
	// peerLoadTTL is how long a report of another instance is used while reports arrive. Instances report every 300 ms.
	peerLoadTTL = time.Second
	// maxPeerLoadAge is how long a report is used while no report arrives, also none of this instance, because the store
	// does not respond.
	maxPeerLoadAge = 10 * time.Second
	// queuedPerEngine is the number of items that wait at an engine beyond its slots. Reports are up to half a second old, in
	// which a slot of an engine becomes free.
	queuedPerEngine = 1
	// unreportedLoad bounds the items per slot that all owners with items of a model may start together on an engine before they
	// learn of each other.
	unreportedLoad = 2
)

// peerLoad is the last report of another instance.
type peerLoad struct {
	// running is the number of items on each engine.
	running map[string]int
	// demand is the number of items that run or could run, by route. It is nil for instances of earlier builds.
	demand     map[string]int
	reportedAt time.Time
}

// peers holds the last reports of the other instances.
type peers struct {
	loads map[string]peerLoad
	// latest is when the last report arrived, those of this instance included.
	latest time.Time
	// running is the sum of the loads by engine. It is valid until nextExpiry and until the next report; nil means that it
	// has to be computed.
	running    map[string]int
	nextExpiry time.Time
	// demandReportedAt is when each instance last reported demand for this pool's model. It is kept for maxPeerLoadAge.
	demandReportedAt map[string]time.Time
	// hasDemand is set if an instance reports its demand. It is computed together with running, so it is valid only after
	// peerRunning was called.
	hasDemand bool
}

func newPeers() peers {
	return peers{loads: map[string]peerLoad{}, demandReportedAt: map[string]time.Time{}}
}

// SetPeerLoad records how many items another instance runs on each engine. The report expires after peerLoadTTL.
func (p *Pool) SetPeerLoad(instance string, running map[string]int, now time.Time) {
	p.SetPeerReport(instance, running, nil, now)
}

// SetPeerReport records how many items another instance runs on each engine, and how many of each route of this pool's model
// run there or could run. demand is nil if the instance does not report it.
func (p *Pool) SetPeerReport(instance string, running, demand map[string]int, now time.Time) {
	p.peers.loads[instance] = peerLoad{running: running, demand: demand, reportedAt: now}
	if len(demand) > 0 {
		p.peers.demandReportedAt[instance] = now
	}
	p.RecordReportArrival(now)
}

// RecordReportArrival records that a report of some instance, this one included, has arrived, so reports get through.
func (p *Pool) RecordReportArrival(now time.Time) {
	if now.After(p.peers.latest) {
		p.peers.latest = now
	}
	p.peers.running = nil
}

// SetAnnounced records the numbers of running items that this instance has reported. The others know them when the next
// report is written.
func (p *Pool) SetAnnounced(running map[string]int) {
	for id, e := range p.engines {
		e.knownToPeers, e.announced = e.announced, running[id]
	}
}

// Running returns the number of items that this instance runs on each engine.
func (p *Pool) Running() map[string]int {
	all := map[string]int{}
	for id, e := range p.engines {
		if e.running > 0 {
			all[id] = e.running
		}
	}
	return all
}

// peerRunning returns the number of items that other instances run on each engine. The caller must not change the map.
func (p *Pool) peerRunning(now time.Time) map[string]int {
	if p.peers.running == nil || now.After(p.peers.nextExpiry) {
		p.peers.recompute(now)
	}
	return p.peers.running
}

// recompute drops outdated reports and sums the others.
func (p *peers) recompute(now time.Time) {
	p.running, p.nextExpiry, p.hasDemand = map[string]int{}, now.Add(peerLoadTTL), false
	maps.DeleteFunc(p.loads, func(_ string, l peerLoad) bool {
		return p.latest.Sub(l.reportedAt) > peerLoadTTL || now.Sub(l.reportedAt) > maxPeerLoadAge
	})
	maps.DeleteFunc(p.demandReportedAt, func(_ string, at time.Time) bool { return now.Sub(at) > maxPeerLoadAge })
	for _, load := range p.loads {
		p.hasDemand = p.hasDemand || load.demand != nil
		for id, n := range load.running {
			p.running[id] += n
		}
	}
}

// relativeLoad returns the number of items on an engine, those of other instances included, per slot.
func (p *Pool) relativeLoad(e *engine, additional int, now time.Time) float64 {
	return float64(e.running+p.peerRunning(now)[e.ID]+additional) / float64(max(1, e.Slots))
}

// hasRoom reports whether an engine may get an item with regard to the load of other instances. While some engines are
// limited, the others get no more items than they have slots: an item that waits here can go to a limited one. If others
// report their demand, this instance gets its share of the slots, so items do not queue at full engines to get them.
// Against owners of earlier builds, which queue items at full engines, items are queued too.
func (p *Pool) hasRoom(e *engine, peerRunning map[string]int) bool {
	taken := e.running + peerRunning[e.ID]
	if p.anyLimited && taken >= e.Slots {
		return false
	}
	return !p.peers.hasDemand || taken < e.Slots+queuedPerEngine && e.running-e.knownToPeers < p.maxUnreported(e)
}

// maxUnreported returns how many items of this instance an engine may run that others do not know of.
func (p *Pool) maxUnreported(e *engine) int {
	owners := 1 + len(p.peers.demandReportedAt)
	return max(1, unreportedLoad*e.Slots/owners)
}

package placement

import (
	"maps"
	"time"
)

// peerLoadTTL is how long a report of another instance is used. Instances report every 300 ms.
const peerLoadTTL = time.Second

// peerLoad is the number of items that another instance runs on each engine.
type peerLoad struct {
	running    map[string]int
	reportedAt time.Time
}

// peers holds the last reports of the other instances.
type peers struct {
	loads map[string]peerLoad
	// running is the sum of the loads by engine. It is valid until nextExpiry and until the next report; nil means that it
	// has to be computed.
	running    map[string]int
	nextExpiry time.Time
}

func newPeers() peers { return peers{loads: map[string]peerLoad{}} }

// SetPeerLoad records how many items another instance runs on each engine. The report expires after peerLoadTTL.
func (p *Pool) SetPeerLoad(instance string, running map[string]int, now time.Time) {
	p.peers.loads[instance] = peerLoad{running: running, reportedAt: now}
	p.peers.running = nil
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
		p.peers.addLoads(now)
	}
	return p.peers.running
}

func (p *peers) addLoads(now time.Time) {
	p.running, p.nextExpiry = map[string]int{}, now.Add(peerLoadTTL)
	maps.DeleteFunc(p.loads, func(_ string, l peerLoad) bool { return now.Sub(l.reportedAt) > peerLoadTTL })
	for _, load := range p.loads {
		if expiry := load.reportedAt.Add(peerLoadTTL); expiry.Before(p.nextExpiry) {
			p.nextExpiry = expiry
		}
		for id, n := range load.running {
			p.running[id] += n
		}
	}
}

// relativeLoad returns the number of items on an engine, those of other instances included, per slot.
func (p *Pool) relativeLoad(e *engine, additional int, now time.Time) float64 {
	return float64(e.running+p.peerRunning(now)[e.ID]+additional) / float64(max(1, e.Slots))
}

package admission

import (
	"maps"
	"slices"
	"time"
)

// recomputeShares divides slots and team limits again, by the demand on this instance and on its peers. It reads
// the reports of all peers, so it runs at an interval and not for each report.
func (c *Controller) recomputeShares(now time.Time) {
	c.sharesComputedAt = now
	live := map[string]*peerReport{}
	for name, p := range c.peers {
		age := now.Sub(p.receivedAt)
		if age < peerReportTTL {
			live[name] = p
		}
		if age >= peerReportRetention {
			delete(c.peers, name)
		}
	}
	c.sumPeerDemand(live)
	for _, s := range c.services {
		// This instance's part is its current demand and not the reported one, so that a burst gets slots
		// before the next report. The other instances learn of the burst from that report. Until then the
		// shares can add up to more than the capacity, and the targets queue the excess requests.
		s.ownSlots = s.capacity
		if len(live) > 0 {
			s.ownSlots = slotShare(s, len(live)+1)
		}
	}
	if len(live) == 0 {
		for _, l := range c.teams {
			l.share = l.limit
		}
		return
	}
	c.collectTeamDemands(live)
	for _, l := range c.teams {
		l.share = l.shareGrowth.nextShare(l.share, usableLimitShare(l.limit, c.self, l.demands), now)
	}
}

// sumPeerDemand adds up the demand on the peers for each team and service. If a team was idle on all instances
// and is now active on a peer, its counter is raised to the lowest counter of the active teams.
func (c *Controller) sumPeerDemand(live map[string]*peerReport) {
	for _, p := range live {
		for _, e := range p.entries {
			e.team.nextRemote.add(e.demand)
		}
	}
	for _, s := range c.services {
		for _, t := range s.teamsByArrival {
			if !t.nextRemote.isEmpty() && !t.isActive() {
				t.counter = max(t.counter, s.minActiveCounter())
			}
			t.remote, t.nextRemote = t.nextRemote, demand{}
		}
	}
}

// collectTeamDemands lists each team's demand over all services on each instance, sorted by instance name.
// Instances without demand are included, because they also get a share of each limit. For this instance it uses
// the demand that was last reported to the peers, so that all instances compute with the same numbers.
func (c *Controller) collectTeamDemands(live map[string]*peerReport) {
	for _, l := range c.teams {
		l.demands = l.demands[:0]
	}
	names := append(slices.Collect(maps.Keys(live)), c.self)
	slices.Sort(names)
	for _, name := range names {
		for _, l := range c.teams {
			l.demands = append(l.demands, teamDemand{instance: name})
		}
		if name == c.self {
			c.addOwnReportedDemand()
			continue
		}
		for _, e := range live[name].entries {
			e.team.limit.addDemand(e.demand)
		}
	}
}

func (c *Controller) addOwnReportedDemand() {
	for _, s := range c.services {
		for _, t := range s.teamsByArrival {
			t.limit.addDemand(t.reported)
		}
	}
}

// addDemand adds d to the demand of the last instance in the list.
func (l *teamLimit) addDemand(d demand) {
	last := &l.demands[len(l.demands)-1]
	last.requests += d.requests(nominalCost)
	last.running += d.running
}

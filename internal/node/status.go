package node

import (
	"maps"
	"time"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/lease"
	"github.com/egretspar/egretspar/internal/member"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/target"
	"github.com/egretspar/egretspar/internal/version"
)

// status returns the state of this instance for operators.
func (n *Node) status() api.Status {
	now := time.Now()
	revision, age, ok := n.configSync.Evidence(now)
	evidenceAgeMs := -1
	if ok {
		evidenceAgeMs = int(age.Milliseconds())
	}
	current := version.Version
	status := api.Status{
		Instance: n.self.ID, Zone: n.self.Zone, Version: &current, Revision: revision, EvidenceAgeMs: evidenceAgeMs,
		Serving: n.configSync.Serving(now), Draining: n.server.Draining(), ActiveRequests: n.server.ActiveRequests(),
	}
	n.mu.Lock()
	snapshot := n.membership.Snapshot(now)
	targets := n.targets
	received := maps.Clone(n.peers)
	n.mu.Unlock()
	status.Instances = instanceStatus(snapshot, received, n.self.ID, revision, now)
	status.Targets = n.targetStatus(targets)
	status.Teams = teamStatus(n.admission.TakeDemandReport())
	for _, l := range []struct {
		name  string
		lease *lease.Lease
	}{{"order", n.leases.order}, {"usage", n.leases.usage}, {"weights", n.leases.weights}} {
		term, held := l.lease.Held(now)
		status.Leases = append(status.Leases, api.LeaseStatus{Name: l.name, Term: int(term), Held: held})
	}
	return status
}

func instanceStatus(snapshot member.Snapshot, received map[string]receivedState, self string, revision int, now time.Time) []api.InstanceStatus {
	var all []api.InstanceStatus
	for _, instance := range snapshot.Known {
		leaving := instance.Leaving
		s := api.InstanceStatus{ID: instance.ID, Zone: instance.Zone, Leaving: &leaving}
		if instance.ID == self {
			s.Revision = revision
		}
		if peerState, ok := received[instance.ID]; ok {
			age := int(now.Sub(peerState.at).Milliseconds())
			s.Revision, s.ContactAgeMs = peerState.state.Revision, &age
		}
		all = append(all, s)
	}
	return all
}

func (n *Node) targetStatus(targets []target.Target) []api.TargetStatus {
	var all []api.TargetStatus
	for _, t := range targets {
		slots := t.Slots
		s := api.TargetStatus{ID: t.ID, Service: t.Service, Zone: t.Zone, State: api.TargetStatusStateLive, Slots: &slots}
		if load, ok := n.loadWatcher.Load(t.ID); ok {
			weightVersion, running := load.WeightVersion, load.Running
			s.WeightVersion, s.InFlight = &weightVersion, &running
		}
		if t.Draining {
			s.State = api.TargetStatusStateLeaving
		}
		all = append(all, s)
	}
	return all
}

func teamStatus(costs []peer.TeamCost) []api.TeamStatus {
	var all []api.TeamStatus
	for _, c := range costs {
		all = append(all, api.TeamStatus{Team: c.Team, Service: c.Service, Served: c.Served, Waiting: c.Waiting, InFlight: c.InFlight})
	}
	return all
}

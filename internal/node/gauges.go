package node

import (
	"time"

	"github.com/egretspar/egretspar/internal/lease"
)

// unknownEvidenceAge is the exported age while no read of the configuration has been confirmed.
const unknownEvidenceAge = -1

// registerGauges registers the gauges that export the state of this instance. docs/operations/metrics.md lists them.
func (n *Node) registerGauges() error {
	for _, g := range []struct {
		name, description string
		read              func() int64
	}{
		{"egretspar.config.revision", "Configuration revision in force.", func() int64 {
			_, revision := n.configSync.Current()
			return int64(revision)
		}},
		{"egretspar.config.evidence.age", "Age in milliseconds of the last confirmed read of the configuration; -1 without one.", n.evidenceAge},
		{"egretspar.config.serving", "1 while requests are served under a confirmed configuration.", func() int64 { return boolGauge(n.configSync.Serving(time.Now())) }},
		{"egretspar.requests.active", "Running requests.", func() int64 { return int64(n.server.ActiveRequests()) }},
		{"egretspar.draining", "1 during a planned stop.", func() int64 { return boolGauge(n.server.Draining()) }},
		{"egretspar.peers.linked", "Entry instances with a direct link.", func() int64 { return int64(len(n.links.LinkedIDs())) }},
		{"egretspar.usage.lost", "Requests whose usage was dropped.", func() int64 { return n.usageWorker.Stats().LostRequests }},
		{"egretspar.usage.conflicts", "Usage windows for which the intake holds other figures.", func() int64 { return n.usageWorker.Stats().Conflicts }},
		{"egretspar.lease.order.held", "1 while this instance holds the order lease.", func() int64 { return leaseHeld(n.leases.order) }},
		{"egretspar.lease.usage.held", "1 while this instance holds the usage lease.", func() int64 { return leaseHeld(n.leases.usage) }},
		{"egretspar.lease.weights.held", "1 while this instance holds the weights lease.", func() int64 { return leaseHeld(n.leases.weights) }},
	} {
		if err := n.metrics.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return n.metrics.RegisterLimits(func() int64 { return n.limits.Count(time.Now()) }, n.limits.Held)
}

// evidenceAge returns the age in milliseconds of the last confirmed read of the configuration.
func (n *Node) evidenceAge() int64 {
	_, age, ok := n.configSync.Evidence(time.Now())
	if !ok {
		return unknownEvidenceAge
	}
	return age.Milliseconds()
}

func leaseHeld(l *lease.Lease) int64 {
	_, ok := l.Held(time.Now())
	return boolGauge(ok)
}

func boolGauge(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

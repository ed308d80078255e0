// Package provider derives the set of targets from the live configuration and the platform's lagging
// instance list, and reads the load reports and cache events of engines.
package provider

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/target"
	"github.com/egretspar/egretspar/internal/wait"
)

// instanceListInterval is short enough that a leaving target gets no new work 2 s after the list shows it.
const instanceListInterval = 500 * time.Millisecond

// Instances is the platform's instance list.
type Instances interface {
	List(ctx context.Context) ([]api.Instance, error)
}

// Sink holds the functions that receive a Provider's targets and instance lists.
type Sink struct {
	// OnTargets receives each new set of targets.
	OnTargets func([]target.Target)
	// OnInstanceList receives each instance list that was read.
	OnInstanceList func([]api.Instance)
}

// Provider publishes the current targets of a region.
type Provider struct {
	instances Instances
	sink      Sink
	log       zerolog.Logger

	mu        sync.Mutex
	doc       *config.Document
	listed    []api.Instance
	published []target.Target
}

// New returns a provider that publishes to sink.
func New(instances Instances, sink Sink, log zerolog.Logger) *Provider {
	return &Provider{instances: instances, sink: sink, log: log, doc: &config.Document{}}
}

// ApplyConfig publishes the targets under a new configuration.
func (p *Provider) ApplyConfig(doc *config.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doc = doc
	p.publish()
}

// Run reads the instance list until ctx ends.
func (p *Provider) Run(ctx context.Context) error {
	p.refresh(ctx)
	return wait.Every(ctx, instanceListInterval, p.refresh)
}

// refresh reads the instance list and publishes the targets. If the read fails, it keeps the last list: a failed read
// does not mean that the targets are gone, but an empty list does.
func (p *Provider) refresh(ctx context.Context) {
	listed, err := p.instances.List(ctx)
	if err != nil {
		p.log.Debug().Err(err).Msg("instance list could not be read")
		return
	}
	p.sink.OnInstanceList(listed)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = listed
	p.publish()
}

// publish passes the targets to the sink if they have changed. The caller holds mu.
func (p *Provider) publish() {
	targets := Targets(p.doc, p.listed)
	if slices.Equal(targets, p.published) {
		return
	}
	p.published = targets
	p.sink.OnTargets(targets)
}

// Targets returns the targets of a configuration, sorted by id: those with a fixed address, and those
// on the instance list for whose service, zone and class there is a pool.
func Targets(doc *config.Document, listed []api.Instance) []target.Target {
	var targets []target.Target
	for _, t := range doc.Targets {
		targets = append(targets, target.Target{
			ID: t.ID, Service: t.Service, URL: t.URL, Zone: t.Zone, Class: t.Class, Slots: t.Slots, Fencing: t.Fencing,
			Draining: isLeaving(listed, t.ID),
		})
	}
	for _, instance := range listed {
		if t, ok := targetFromPool(doc, instance); ok {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b target.Target) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(targets, func(a, b target.Target) bool { return a.ID == b.ID })
}

// isLeaving reports whether the instance list shows the target as leaving.
func isLeaving(listed []api.Instance, id string) bool {
	return slices.ContainsFunc(listed, func(i api.Instance) bool { return i.ID == id && i.State == api.StateLeaving })
}

// targetFromPool returns the target for a listed instance, and false if no pool has its service, zone and class.
func targetFromPool(doc *config.Document, instance api.Instance) (target.Target, bool) {
	if instance.Role != api.RoleTarget || instance.Service == nil || instance.Class == nil {
		return target.Target{}, false
	}
	for _, pool := range doc.Pools {
		if pool.Service != *instance.Service || pool.Zone != instance.Zone || string(pool.Class) != string(*instance.Class) {
			continue
		}
		return target.Target{
			ID: instance.ID, Service: pool.Service, URL: instance.Address, Zone: pool.Zone,
			Class: config.TargetClass(pool.Class), Slots: pool.Slots, Draining: instance.State == api.StateLeaving,
		}, true
	}
	return target.Target{}, false
}

package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// defaultInstanceTTL equals five missed heartbeats.
const defaultInstanceTTL = 5 * time.Second

// instanceChange is an entry in the history of the instance list. A nil instance means a removal.
type instanceChange struct {
	at       time.Time
	id       string
	instance *api.Instance
}

// instanceList keeps a history of changes, so that it can return the list as it was some time ago.
type instanceList struct {
	history []instanceChange
	// snapshot is the list before the first change in history.
	snapshot map[string]registration
}

type registration struct {
	instance     api.Instance
	registeredAt time.Time
}

func newInstanceList() instanceList {
	return instanceList{snapshot: map[string]registration{}}
}

// SetInstance adds or changes an instance. Injected faults do not affect it.
func (p *Platform) SetInstance(instance api.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.set(time.Now(), instance)
}

// RemoveInstance removes an instance. Injected faults do not affect it.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.remove(time.Now(), id)
}

func (l *instanceList) set(at time.Time, instance api.Instance) {
	l.history = append(l.history, instanceChange{at: at, id: instance.ID, instance: &instance})
}

func (l *instanceList) remove(at time.Time, id string) {
	l.history = append(l.history, instanceChange{at: at, id: id})
}

// applyUntil applies the changes up to the given time to the snapshot and removes them from the history.
func (l *instanceList) applyUntil(until time.Time) {
	applied := 0
	for _, change := range l.history {
		if change.at.After(until) {
			break
		}
		applied++
		if change.instance == nil {
			delete(l.snapshot, change.id)
			continue
		}
		l.snapshot[change.id] = registration{instance: *change.instance, registeredAt: change.at}
	}
	l.history = l.history[applied:]
}

// visibleInstances returns the list as it was InstanceLag ago. Entry instances expire unless they renew their
// registration; targets stay until they are removed.
func (p *Platform) visibleInstances() []api.Instance {
	asOf := time.Now().Add(-p.options.InstanceLag)
	p.instances.applyUntil(asOf)
	visible := []api.Instance{}
	for _, r := range p.instances.snapshot {
		expired := asOf.Sub(r.registeredAt) > p.options.InstanceTTL
		if r.instance.Role == api.RoleEntry && expired {
			continue
		}
		visible = append(visible, r.instance)
	}
	slices.SortFunc(visible, func(a, b api.Instance) int { return strings.Compare(a.ID, b.ID) })
	return visible
}

func (p *Platform) instanceList(call) response {
	if fault := p.faults[ServiceInstances]; fault != nil && fault.Stale {
		return jsonResponse(fault.frozenInstances)
	}
	return jsonResponse(p.visibleInstances())
}

func (p *Platform) instanceRegister(c call) response {
	var instance api.Instance
	if err := json.Unmarshal(c.body, &instance); err != nil || instance.ID == "" {
		return statusResponse(http.StatusBadRequest)
	}
	p.instances.set(time.Now(), instance)
	return statusResponse(http.StatusNoContent)
}

func (p *Platform) instanceLeave(c call) response {
	p.instances.remove(time.Now(), c.queryParam("id"))
	return statusResponse(http.StatusNoContent)
}

// Release publishes a weight version. Injected faults do not affect it.
func (p *Platform) Release(release api.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releases[release.Service] = release
}

func (p *Platform) weightsRelease(c call) response {
	var release api.Release
	if err := json.Unmarshal(c.body, &release); err != nil || release.Service == "" {
		return statusResponse(http.StatusBadRequest)
	}
	p.releases[release.Service] = release
	return statusResponse(http.StatusNoContent)
}

func (p *Platform) weightsLatest(c call) response {
	release, found := p.releases[c.queryParam("service")]
	if !found {
		return statusResponse(http.StatusNotFound)
	}
	return jsonResponse(release)
}

package live

import (
	"sync"
	"time"
)

// TargetUpdater sets and removes the targets of a View. It delays the removal of a target whose entry vanishes during
// or shortly after an outage of the store, because an outage makes the entries of live targets expire too; they
// reappear soon after it. A TargetUpdater is safe for concurrent use.
type TargetUpdater struct {
	view *View
	// gracePeriod is how long after an outage a target without an entry is kept.
	gracePeriod time.Duration
	// onRemoved is called after each delayed removal of a target.
	onRemoved func()

	mu sync.Mutex
	// removals holds the pending removals by target ID.
	removals map[string]*removal
}

// removal is a pending removal of a target.
type removal struct{ timer *time.Timer }

// NewTargetUpdater returns an updater without pending removals. Within gracePeriod after an outage of the store,
// removals from view are delayed; onRemoved is called after each delayed removal.
func NewTargetUpdater(view *View, gracePeriod time.Duration, onRemoved func()) *TargetUpdater {
	return &TargetUpdater{view: view, gracePeriod: gracePeriod, onRemoved: onRemoved, removals: map[string]*removal{}}
}

// Set adds or replaces a target and cancels its pending removal.
func (u *TargetUpdater) Set(t Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if removal := u.removals[t.ID]; removal != nil {
		removal.timer.Stop()
		delete(u.removals, t.ID)
	}
	u.view.SetTarget(t)
}

// Remove removes a target whose entry vanished. healthyFor is the time for which the store has responded without a
// failure. If it is within the grace period, Remove returns false, and the target is removed at the end of the grace
// period unless Set is called before.
func (u *TargetUpdater) Remove(id string, healthyFor time.Duration) bool {
	if healthyFor > u.gracePeriod {
		u.view.RemoveTarget(id)
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.removals[id] == nil {
		removal := &removal{}
		removal.timer = time.AfterFunc(u.gracePeriod-healthyFor, func() { u.removeAfterGrace(id, removal) })
		u.removals[id] = removal
	}
	return false
}

// removeAfterGrace removes a target unless the removal was cancelled, perhaps after its timer had fired.
func (u *TargetUpdater) removeAfterGrace(id string, removal *removal) {
	u.mu.Lock()
	isPending := u.removals[id] == removal
	if isPending {
		delete(u.removals, id)
		u.view.RemoveTarget(id)
	}
	u.mu.Unlock()
	if isPending {
		u.onRemoved()
	}
}

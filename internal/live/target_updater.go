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
	// timers holds the pending removals by target ID.
	timers map[string]*time.Timer
}

// NewTargetUpdater returns an updater without pending removals. Within gracePeriod after an outage of the store,
// removals from view are delayed; onRemoved is called after each delayed removal.
func NewTargetUpdater(view *View, gracePeriod time.Duration, onRemoved func()) *TargetUpdater {
	return &TargetUpdater{view: view, gracePeriod: gracePeriod, onRemoved: onRemoved, timers: map[string]*time.Timer{}}
}

// Set adds or replaces a target and cancels its pending removal.
func (u *TargetUpdater) Set(t Target) {
	u.mu.Lock()
	if timer := u.timers[t.ID]; timer != nil {
		timer.Stop()
		delete(u.timers, t.ID)
	}
	u.mu.Unlock()
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
	if u.timers[id] == nil {
		u.timers[id] = time.AfterFunc(u.gracePeriod-healthyFor, func() { u.removeAfterGrace(id) })
	}
	return false
}

func (u *TargetUpdater) removeAfterGrace(id string) {
	u.mu.Lock()
	delete(u.timers, id)
	u.mu.Unlock()
	u.view.RemoveTarget(id)
	u.onRemoved()
}

package live

import (
	"sync"
	"time"
)

// Lapses delays the removal of targets from a View if their entries vanish during or shortly after an outage of the
// store. An outage makes the entries of live targets expire too; they reappear soon after it. Lapses is safe for
// concurrent use.
type Lapses struct {
	view *View
	// gracePeriod is how long after an outage a target without an entry is kept.
	gracePeriod time.Duration
	// onRemoved is called after each delayed removal of a target.
	onRemoved func()

	mu sync.Mutex
	// timers holds the pending removals by target ID.
	timers map[string]*time.Timer
}

// NewLapses returns a Lapses without pending removals. Within gracePeriod after an outage of the store, removals from
// view are delayed; onRemoved is called after each delayed removal.
func NewLapses(view *View, gracePeriod time.Duration, onRemoved func()) *Lapses {
	return &Lapses{view: view, gracePeriod: gracePeriod, onRemoved: onRemoved, timers: map[string]*time.Timer{}}
}

// Set adds or replaces a target and cancels its pending removal.
func (l *Lapses) Set(t Target) {
	l.mu.Lock()
	if timer := l.timers[t.ID]; timer != nil {
		timer.Stop()
		delete(l.timers, t.ID)
	}
	l.mu.Unlock()
	l.view.SetTarget(t)
}

// Remove removes a target whose entry vanished. healthyFor is the time for which the store has responded without a
// failure. If it is within the grace period, Remove returns false, and the target is removed at the end of the grace
// period unless Set is called before.
func (l *Lapses) Remove(id string, healthyFor time.Duration) bool {
	if healthyFor > l.gracePeriod {
		l.view.RemoveTarget(id)
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timers[id] == nil {
		l.timers[id] = time.AfterFunc(l.gracePeriod-healthyFor, func() { l.removeAfterGrace(id) })
	}
	return false
}

func (l *Lapses) removeAfterGrace(id string) {
	l.mu.Lock()
	delete(l.timers, id)
	l.mu.Unlock()
	l.view.RemoveTarget(id)
	l.onRemoved()
}

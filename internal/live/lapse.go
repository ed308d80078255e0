package live

import (
	"sync"
	"time"
)

// Lapses keeps targets of a view whose entries vanished around an outage of the store: entries lapse there although
// their targets live, and come back soon after. It is safe for concurrent use.
type Lapses struct {
	view *View
	// grace is how long after an outage a target without an entry is still used.
	grace time.Duration
	// removed is called after a target was removed late.
	removed func()

	mu     sync.Mutex
	timers map[string]*time.Timer
}

// NewLapses returns a keeper of no target.
func NewLapses(view *View, grace time.Duration, removed func()) *Lapses {
	return &Lapses{view: view, grace: grace, removed: removed, timers: map[string]*time.Timer{}}
}

// Set adds or replaces a target and cancels a removal that waits.
func (l *Lapses) Set(t Target) {
	l.mu.Lock()
	if timer := l.timers[t.ID]; timer != nil {
		timer.Stop()
		delete(l.timers, t.ID)
	}
	l.mu.Unlock()
	l.view.SetTarget(t)
}

// Remove removes a target whose entry vanished. healthy is for how long the store has answered without a failure;
// within the grace time of an outage the removal waits for a new entry, and Remove returns false.
func (l *Lapses) Remove(id string, healthy time.Duration) bool {
	if healthy > l.grace {
		l.view.RemoveTarget(id)
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timers[id] == nil {
		l.timers[id] = time.AfterFunc(l.grace-healthy, func() { l.expire(id) })
	}
	return false
}

func (l *Lapses) expire(id string) {
	l.mu.Lock()
	delete(l.timers, id)
	l.mu.Unlock()
	l.view.RemoveTarget(id)
	l.removed()
}

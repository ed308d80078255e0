// Package reach keeps what this instance's attempts show about its links to targets. Table does no I/O and has no clock; Worker
// logs what changes.
package reach

import (
	"sync"
	"time"
)

const (
	// SilentAfter is how long a target may leave a request without a response before that says anything about the link.
	SilentAfter = 250 * time.Millisecond
	// minLostTargets is the number of targets that have to fail without any contact before all links count as lost: one target
	// alone may have failed itself.
	minLostTargets = 2
	// linkTTL is how long a target that is not used is remembered.
	linkTTL = 10 * time.Minute
)

// link is what is known about the direct way to one target. Times are zero for what has not happened.
type link struct {
	// opened is when a connection was last opened, answered when a response last arrived.
	opened, answered time.Time
	// failedSince is when the first attempt began that failed without contact after the last contact.
	failedSince time.Time
	usedAt      time.Time
}

func (l *link) lastContact() time.Time {
	if l.answered.After(l.opened) {
		return l.answered
	}
	return l.opened
}

// Table holds the links to all targets, by URL. It is safe for concurrent use. A nil Table knows nothing.
type Table struct {
	mu    sync.Mutex
	links map[string]*link
	// lastContact is the last contact with any target.
	lastContact time.Time
}

// NewTable returns a table without links.
func NewTable() *Table { return &Table{links: map[string]*link{}} }

// get returns the link to a target. The caller holds the lock.
func (t *Table) get(target string, now time.Time) *link {
	l, ok := t.links[target]
	if !ok {
		l = &link{}
		t.links[target] = l
	}
	l.usedAt = now
	return l
}

// Opened records that a connection to a target was opened.
func (t *Table) Opened(target string, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(target, now)
	l.opened, l.failedSince, t.lastContact = now, time.Time{}, now
}

// Answered records a response of a target, also a refusal.
func (t *Table) Answered(target string, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(target, now)
	l.answered, l.failedSince, t.lastContact = now, time.Time{}, now
}

// Failed records an attempt that began at startedAt and ended without any contact.
func (t *Table) Failed(target string, startedAt, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(target, now)
	if l.failedSince.IsZero() && !l.lastContact().After(startedAt) {
		l.failedSince = startedAt
	}
}

// LostSince returns since when no target is reached, and how many have failed since; zero while some are reached or too few
// were tried.
func (t *Table) LostSince(now time.Time) (time.Time, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var since time.Time
	failed := 0
	for target, l := range t.links {
		if now.Sub(l.usedAt) > linkTTL {
			delete(t.links, target)
			continue
		}
		if l.failedSince.IsZero() || t.lastContact.After(l.failedSince) {
			continue
		}
		failed++
		if since.IsZero() || l.failedSince.Before(since) {
			since = l.failedSince
		}
	}
	if failed < minLostTargets {
		return time.Time{}, 0
	}
	return since, failed
}

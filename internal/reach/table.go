// Package reach decides whether a target is reached directly or through another instance. Table does no I/O and has no clock: it
// learns from this instance's own attempts and from what other instances reach. Worker exchanges rows with the other instances
// and tries lost links again.
package reach

import (
	"slices"
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
	// probeInterval is the time between two attempts to open a connection to a target whose link is cut.
	probeInterval = 500 * time.Millisecond
	// cutConfirmation is the time in which links to targets that have not failed are tried, before this instance counts as cut.
	cutConfirmation = 500 * time.Millisecond
	// askInterval is the time between the first two questions to other instances whether they reach a target; it doubles up to
	// maxAskInterval while they do not.
	askInterval    = 2 * time.Second
	maxAskInterval = 30 * time.Second
	// deniedTTL is how long a target that other instances did not reach either is not tried through them again.
	deniedTTL = time.Second
)

// link is what is known about the direct way to one target. Times are zero for what has not happened.
type link struct {
	// opened is when a connection was last opened, answered when a response last arrived directly.
	opened, answered time.Time
	// failedSince is when the first attempt began that failed without contact after the last contact.
	failedSince time.Time
	// openFailedSince is when the first attempt to open a connection began that failed after the last one that succeeded.
	openFailedSince time.Time
	// relayedAt is when another instance last reached the target.
	relayedAt time.Time
	// deniedAt is when other instances last did not reach it either, and denials how often they did not in a row.
	deniedAt time.Time
	denials  int
	// triedAt is when the worker last tried the link or asked about it.
	triedAt time.Time
	usedAt  time.Time
}

func (l *link) lastContact() time.Time {
	if l.answered.After(l.opened) {
		return l.answered
	}
	return l.opened
}

// isCut reports whether another instance reached the target since connections from here began to fail. So it is the link that
// failed and not the target.
func (l *link) isCut() bool {
	return !l.openFailedSince.IsZero() && !l.relayedAt.Before(l.openFailedSince)
}

// Way is how a request should reach a target.
type Way struct {
	// UseIdle allows an open connection that is idle.
	UseIdle bool
	// ViaPeer means that a new connection would probably fail, so that another instance goes first.
	ViaPeer bool
	// NoPeers means that there are no other instances, or that they did not reach the target a moment ago.
	NoPeers bool
}

// Table holds the links to all targets, by URL, and the other instances. It is safe for concurrent use. A nil Table knows
// nothing.
type Table struct {
	zone string

	mu    sync.Mutex
	links map[string]*link
	// lastContact is the last contact with any target, lastOpened the last connection that was opened to any.
	lastContact, lastOpened time.Time
	// silentSince is when the oldest request was sent that got no response, if there was no contact with any target since.
	silentSince time.Time
	// cutSince is when connections began to fail, if a link has been found cut and none could be opened since; cutEndedAt is when
	// one could be opened again.
	cutSince, cutEndedAt time.Time
	// cutFoundAt is when cutSince was set.
	cutFoundAt time.Time
	peers      map[string]*peer
}

// NewTable returns a table without links for an instance in a zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, links: map[string]*link{}, peers: map[string]*peer{}}
}

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
	wasCut := l.isCut()
	l.opened, l.failedSince, l.openFailedSince = now, time.Time{}, time.Time{}
	t.lastContact, t.lastOpened, t.silentSince = now, now, time.Time{}
	l.denials = 0
	if t.cutSince.IsZero() {
		return
	}
	if now.Sub(t.cutFoundAt) >= cutConfirmation {
		t.cutEndedAt = now
	}
	t.cutSince = time.Time{}
	for _, other := range t.links {
		// The other links that were cut are probably back together with this one.
		if wasCut && other.isCut() {
			other.openFailedSince = time.Time{}
		}
	}
}

// Answered records a response of a target over a direct connection, also a refusal.
func (t *Table) Answered(target string, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(target, now)
	l.answered, l.failedSince = now, time.Time{}
	t.lastContact, t.silentSince = now, time.Time{}
}

// OpenFailed records an attempt to open a connection that began at startedAt and failed.
func (t *Table) OpenFailed(target string, startedAt, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(target, now)
	if l.openFailedSince.IsZero() && !l.opened.After(startedAt) {
		l.openFailedSince = startedAt
	}
	l.fail(startedAt)
	t.updateCut(l, now)
}

// Silent records a request that was sent over an open connection at sentAt and got no response.
func (t *Table) Silent(target string, sentAt, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(target, now).fail(sentAt)
	if t.silentSince.IsZero() && !t.lastContact.After(sentAt) {
		t.silentSince = sentAt
	}
}

func (l *link) fail(startedAt time.Time) {
	if l.failedSince.IsZero() && !l.lastContact().After(startedAt) {
		l.failedSince = startedAt
	}
}

// Relayed records that another instance reached a target.
func (t *Table) Relayed(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(target, now)
	l.relayedAt, l.denials = now, 0
	t.updateCut(l, now)
}

// Denied records that other instances did not reach a target either.
func (t *Table) Denied(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(target, now)
	l.deniedAt = now
	l.denials++
}

// updateCut sets cutSince if a link is cut and no connection was opened since. The caller holds the lock.
func (t *Table) updateCut(l *link, now time.Time) {
	if !l.isCut() || t.lastOpened.After(l.openFailedSince) || !t.cutSince.IsZero() && !l.openFailedSince.Before(t.cutSince) {
		return
	}
	if t.cutSince.IsZero() {
		t.cutFoundAt = now
	}
	t.cutSince = l.openFailedSince
}

// Direct is the way without other instances.
var Direct = Way{UseIdle: true, NoPeers: true}

// Way returns how a request should reach a target.
func (t *Table) Way(target string, now time.Time) Way {
	if t == nil {
		return Direct
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) == 0 {
		return Direct
	}
	l := t.get(target, now)
	switch {
	case l.isCut():
		// Open connections may live on while new ones fail.
		return Way{UseIdle: l.answered.After(l.openFailedSince), ViaPeer: true}
	case !t.cutSince.IsZero():
		return Way{UseIdle: l.answered.After(t.cutSince), ViaPeer: true}
	}
	return Way{UseIdle: t.silentSince.IsZero(), NoPeers: !l.deniedAt.IsZero() && now.Sub(l.deniedAt) < deniedTTL}
}

// IsCut reports whether this instance's link to a target is cut.
func (t *Table) IsCut(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[target]
	return ok && l.isCut()
}

// ContactWithin reports whether a target was reached directly within a duration.
func (t *Table) ContactWithin(target string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[target]
	return ok && now.Sub(l.lastContact()) < d
}

// CutSince returns since when this instance opens no connections to targets that others reach; zero if it does, or if that was
// found less than cutConfirmation ago.
func (t *Table) CutSince(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.cutFoundAt) < cutConfirmation {
		return time.Time{}
	}
	return t.cutSince
}

// CutWithin reports whether this instance is cut, or was within a duration.
func (t *Table) CutWithin(d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isCut := !t.cutSince.IsZero() && now.Sub(t.cutFoundAt) >= cutConfirmation
	return isCut || !t.cutEndedAt.IsZero() && now.Sub(t.cutEndedAt) < d
}

// TakeCut returns up to limit targets whose links should be tried again now because they are cut, or because all seem to be, those
// first that were tried longest ago.
func (t *Table) TakeCut(limit int, now time.Time) []string {
	isWanted := func(l *link) bool { return l.isCut() || !t.cutSince.IsZero() }
	return t.take(limit, now, isWanted, func(*link) time.Duration { return probeInterval })
}

// TakeUnexplained returns up to limit targets to which connections failed, so that it is not known yet whether the link is cut.
func (t *Table) TakeUnexplained(limit int, now time.Time) []string {
	isUnexplained := func(l *link) bool { return !l.openFailedSince.IsZero() && !l.isCut() }
	return t.take(limit, now, isUnexplained, func(l *link) time.Duration { return min(askInterval<<min(l.denials, 8), maxAskInterval) })
}

// take returns targets whose links match and were tried at least an interval ago. It calls the functions with the lock held.
func (t *Table) take(limit int, now time.Time, matches func(*link) bool, interval func(*link) time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for target, l := range t.links {
		if now.Sub(l.usedAt) > linkTTL {
			delete(t.links, target)
			continue
		}
		if matches(l) && now.Sub(l.triedAt) >= interval(l) {
			due = append(due, target)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return t.links[a].triedAt.Compare(t.links[b].triedAt) })
	due = due[:min(limit, len(due))]
	for _, target := range due {
		t.links[target].triedAt = now
	}
	return due
}

// Forget removes what is known about a target that is no longer listed: its address may belong to another one soon.
func (t *Table) Forget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.links, target)
}

// LostSince returns since when no target is reached directly, and how many have failed since; zero while some are reached or too
// few were tried.
func (t *Table) LostSince() (time.Time, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var since time.Time
	failed := 0
	for _, l := range t.links {
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

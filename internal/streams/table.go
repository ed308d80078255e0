// Package streams remembers which software version of a service's targets began each caller's stream, because a stream may go
// on only at that version. Table does no I/O and has no clock; Worker exchanges what the instances know through rows of the
// table service, only while a service has targets of several versions.
package streams

import (
	"sync"
	"time"
)

const (
	// entryTTL is how long a stream is remembered after it began.
	entryTTL = time.Minute
	// mixedFor is how long a service counts as having several versions after it last had them: streams of the former
	// version may still be taken up again.
	mixedFor = entryTTL
	// maxEntries limits the streams that are remembered, own ones and those of other instances.
	maxEntries = 1 << 17
)

// Entry says at which software version a stream began.
type Entry struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Software string `json:"software"`
}

type entry struct {
	Entry
	beganAt time.Time
	// isOwn is set for streams through this instance.
	isOwn bool
}

// Decision tells how a stream can be taken up again.
type Decision int

const (
	// AnyTarget means that all targets have the version that began the stream.
	AnyTarget Decision = iota
	// SameSoftware means that only targets of a known version may continue it.
	SameSoftware
	// Unknown means that the version is not known here, or not yet.
	Unknown
)

// Table holds the streams that began lately. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// streams holds the entries by id, order their ids by the time when they were added.
	streams map[string]entry
	order   []string
	// unshared holds the ids of own streams that the other instances cannot know yet.
	unshared []string
	// seen holds when a target of each version was last listed, by service.
	seen    map[string]map[string]time.Time
	changes chan struct{}
}

// NewTable returns a table without streams.
func NewTable() *Table {
	return &Table{streams: map[string]entry{}, seen: map[string]map[string]time.Time{}, changes: make(chan struct{}, 1)}
}

// ObserveTargets records the software versions that each service's targets have now.
func (t *Table) ObserveTargets(versions map[string][]string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, all := range versions {
		if t.seen[service] == nil {
			t.seen[service] = map[string]time.Time{}
		}
		for _, software := range all {
			t.seen[service][software] = now
		}
		if t.isMixed(service, now) {
			t.signalChange()
		}
	}
}

// isMixed reports whether a service has had targets of several versions lately. The caller holds the lock.
func (t *Table) isMixed(service string, now time.Time) bool {
	versions := t.seen[service]
	if len(versions) < 2 {
		return false
	}
	var newest time.Time
	for _, at := range versions {
		if at.After(newest) {
			newest = at
		}
	}
	for software, at := range versions {
		// Targets are not observed while nothing changes, so the time of the last change counts as now.
		if !at.Equal(newest) && now.Sub(at) > mixedFor {
			delete(versions, software)
		}
	}
	return len(versions) > 1
}

// Begin records that a stream through this instance begins at a target.
func (t *Table) Begin(e Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(entry{Entry: e, beganAt: now, isOwn: true}, now)
	t.unshared = append(t.unshared, e.ID)
	if t.isMixed(e.Service, now) {
		t.signalChange()
	}
}

// Learn records streams through another instance.
func (t *Table) Learn(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if known, ok := t.streams[e.ID]; !ok || !known.isOwn {
			t.add(entry{Entry: e, beganAt: now}, now)
		}
	}
}

// add adds an entry and forgets old ones. The caller holds the lock.
func (t *Table) add(e entry, now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		if now.Sub(t.streams[oldest].beganAt) <= entryTTL && len(t.streams) < maxEntries {
			break
		}
		delete(t.streams, oldest)
		t.order = t.order[1:]
	}
	if _, ok := t.streams[e.ID]; !ok {
		t.order = append(t.order, e.ID)
	}
	t.streams[e.ID] = e
}

// Resume returns how a stream of a service can be taken up again, and the version for SameSoftware.
func (t *Table) Resume(service, id string, now time.Time) (Decision, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.streams[id]; ok {
		return SameSoftware, e.Software
	}
	if t.isMixed(service, now) {
		return Unknown, ""
	}
	return AnyTarget, ""
}

// TakeUnshared returns up to limit streams that other instances should know. It returns them once.
func (t *Table) TakeUnshared(limit int, now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var taken []Entry
	kept := t.unshared[:0]
	for _, id := range t.unshared {
		e, ok := t.streams[id]
		switch {
		case !ok || now.Sub(e.beganAt) > entryTTL:
			// The stream has been forgotten.
		case len(taken) < limit && t.isMixed(e.Service, now):
			taken = append(taken, e.Entry)
		default:
			kept = append(kept, id)
		}
	}
	t.unshared = kept
	if len(taken) == limit {
		t.signalChange()
	}
	return taken
}

// PutBack makes TakeUnshared return streams again.
func (t *Table) PutBack(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		t.unshared = append(t.unshared, e.ID)
	}
	t.signalChange()
}

func (t *Table) signalChange() {
	select {
	case t.changes <- struct{}{}:
	default:
	}
}

// Package streams remembers which software version of a service's targets began each caller's stream, because a stream may go
// on only at that version. Table does no I/O and has no clock; Worker exchanges what the instances know through rows of the
// table service: streams only while a service has targets of several versions, and always which versions it has, so that a
// process that was not there when one left knows of it.
package streams

import (
	"maps"
	"slices"
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
	// Unknown means that the version is not known here, or not yet.
	Unknown Decision = iota
	// OnlySoftware means that the stream is not known, but that only one version can have begun it if the list of targets is
	// current. Another version may come at any time, so only targets of that one may continue the stream.
	OnlySoftware
	// SameSoftware means that the version that began the stream is known. Only targets of that version may continue it.
	SameSoftware
	// NoTarget means that the stream is not known and the service has had no target lately, if the list of targets is current.
	NoTarget
)

// Table holds the streams that began lately. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// streams holds the entries by id, order their ids by the time when they were added.
	streams map[string]entry
	order   []string
	// unshared holds the ids of own streams that the other instances cannot know yet.
	unshared []string
	// versions holds the software versions of each service.
	versions map[string]*versions
	changes  chan struct{}
}

// versions holds the software versions of one service.
type versions struct {
	listed map[string]bool
	// formerly holds when each version was last listed that is not any more.
	formerly map[string]time.Time
	// stored holds the versions in the row of the service, sorted.
	stored []string
}

// current returns the versions that may have begun a stream that is still taken up, sorted.
func (v *versions) current(now time.Time) []string {
	maps.DeleteFunc(v.formerly, func(_ string, lastListed time.Time) bool { return now.Sub(lastListed) > mixedFor })
	all := slices.AppendSeq(slices.Collect(maps.Keys(v.listed)), maps.Keys(v.formerly))
	slices.Sort(all)
	return all
}

// NewTable returns a table without streams.
func NewTable() *Table {
	return &Table{streams: map[string]entry{}, versions: map[string]*versions{}, changes: make(chan struct{}, 1)}
}

// get returns the versions of a service. The caller holds the lock.
func (t *Table) get(service string) *versions {
	v, ok := t.versions[service]
	if !ok {
		v = &versions{listed: map[string]bool{}, formerly: map[string]time.Time{}}
		t.versions[service] = v
	}
	return v
}

// ObserveTargets records the software versions that the targets of all services have now.
func (t *Table) ObserveTargets(listed map[string][]string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range listed {
		t.get(service)
	}
	for service, v := range t.versions {
		before := v.listed
		v.listed = map[string]bool{}
		for _, software := range listed[service] {
			v.listed[software] = true
			delete(v.formerly, software)
		}
		for software := range before {
			if !v.listed[software] {
				v.formerly[software] = now
			}
		}
		if current := v.current(now); len(current) > 1 || !slices.Equal(current, v.stored) {
			t.signalChange()
		}
	}
}

// LearnVersions records the row of a service. A version in it that is not listed may have left while this process did not run, and
// counts as having left just now.
func (t *Table) LearnVersions(service string, stored []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.get(service)
	v.stored = slices.Sorted(slices.Values(stored))
	for _, software := range stored {
		if _, ok := v.formerly[software]; !ok && !v.listed[software] {
			v.formerly[software] = now
		}
	}
}

// OutdatedVersions returns the versions of the services whose rows say something else.
func (t *Table) OutdatedVersions(now time.Time) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	outdated := map[string][]string{}
	for service, v := range t.versions {
		// Without any version the row stays: nothing says which one comes next.
		if current := v.current(now); len(current) > 0 && !slices.Equal(current, v.stored) {
			outdated[service] = current
		}
	}
	return outdated
}

// isMixed reports whether a service has had targets of several versions lately. The caller holds the lock.
func (t *Table) isMixed(service string, now time.Time) bool {
	return len(t.get(service).current(now)) > 1
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

// Resume returns how a stream of a service can be taken up again, and the version that may continue it if there is one.
func (t *Table) Resume(service, id string, now time.Time) (Decision, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.streams[id]; ok {
		return SameSoftware, e.Software
	}
	switch current := t.get(service).current(now); len(current) {
	case 0:
		return NoTarget, ""
	case 1:
		return OnlySoftware, current[0]
	default:
		return Unknown, ""
	}
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

// Package targetlimit keeps the rates that targets in need name in their responses, and decides when this instance may
// send such a target a request. A rate is the number of requests a second that the target takes from all instances
// together, so instances with requests for a target tell each other so, and share its rate. Table does no I/O and has no
// clock; Worker exchanges the reports of the instances through rows of the table service.
package targetlimit

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Observation is what one response of a target says about its limit.
type Observation struct {
	Target, Service string
	// Named is set when the response names a limit, which is Rate.
	Named bool
	// Rate is in requests a second.
	Rate float64
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Change tells how an observation changed what is known of a target.
type Change int

const (
	// Unchanged means that the target says what it said before.
	Unchanged Change = iota
	// Began means that this instance sees a limit, or another one than before.
	Began
	// Ended means that the target no longer names a limit.
	Ended
)

const (
	// observationTTL is how long a limit is kept that no instance has seen again. Nobody uses the target then.
	observationTTL = 30 * time.Second
	// maxTargets limits the limited targets that are tracked.
	maxTargets = 4096
)

// entry is what is known of one target that named a limit.
type entry struct {
	service string
	rate    float64
	// namedAt is when any instance last saw the limit. endedAt is when one saw that it is no longer named; the zero time
	// while it is named.
	namedAt, endedAt time.Time
	// ownRate, ownNamedAt and ownEndedAt are what this instance saw itself.
	ownRate                float64
	ownNamedAt, ownEndedAt time.Time
	// sent holds the requests that this instance sent.
	sent sentHistory
	coldness
	demand
}

// Table holds the limits that targets name. It is safe for concurrent use.
type Table struct {
	instance string

	mu      sync.Mutex
	targets map[string]*entry
	// peers holds the last report of each other instance.
	peers map[string]peer
	// peersVersion changes whenever peers does.
	peersVersion int
	// confirmedAt is when the table service last accepted this instance's report, readAt when it last returned those of
	// the others.
	confirmedAt, readAt time.Time
	// held counts requests that did not get a permit at once, heldCold those of them whose target was cold.
	held, heldCold int64
	changes        chan struct{}
	// warmUps holds the warm-ups by service. recent holds what this instance sent lately to targets without a limit; it is kept
	// only if there are warm-ups.
	warmUps map[string]WarmUp
	recent  map[string]*sentHistory
}

// NewTable returns a table without limits. instance is the name under which this instance reports.
func NewTable(instance string) *Table {
	return &Table{instance: instance, targets: map[string]*entry{}, peers: map[string]peer{}, peersVersion: 1, changes: make(chan struct{}, 1), recent: map[string]*sentHistory{}}
}

// ParseRate returns the rate that a header names, in requests a second. Of several values the lowest counts. It returns
// false if no value is a number that a rate can have.
func ParseRate(values []string) (float64, bool) {
	lowest, ok := math.Inf(1), false
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && rate >= 0 && rate < lowest {
			lowest, ok = rate, true
		}
	}
	return lowest, ok
}

// Observe records what a response says.
func (t *Table) Observe(o Observation, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[o.Target]
	if !o.Named {
		// A response to a request that was sent before the limit was named proves nothing.
		if e == nil || e.namedAt.IsZero() || !e.endedAt.IsZero() || o.SentAt.Before(e.namedAt) {
			return Unchanged
		}
		e.endedAt, e.ownEndedAt = now, now
		t.signalChange()
		return Ended
	}
	if e == nil {
		if e = t.add(o.Target, o.Service, now); e == nil {
			return Unchanged
		}
	}
	change := Unchanged
	if e.ownNamedAt.IsZero() || e.ownEndedAt.After(e.ownNamedAt) || e.ownRate != o.Rate {
		change = Began
		t.signalChange()
	}
	if change == Began || !e.endedAt.IsZero() {
		// This instance uses the target and will probably want it again.
		t.want(e, waitingTTL, now)
	}
	e.rate, e.namedAt, e.endedAt = o.Rate, now, time.Time{}
	e.ownRate, e.ownNamedAt = o.Rate, now
	return change
}

// add returns a new entry, or nil if there are too many. The caller holds the lock.
func (t *Table) add(target, service string, now time.Time) *entry {
	t.evict(now)
	if len(t.targets) >= maxTargets {
		return nil
	}
	e := &entry{service: service}
	if history := t.recent[target]; history != nil {
		e.sent = *history
		delete(t.recent, target)
	}
	t.targets[target] = e
	return e
}

// evict removes the limits that no instance has seen for a while, and those that have ended. The caller holds the lock.
func (t *Table) evict(now time.Time) {
	for id, e := range t.targets {
		if now.Sub(e.coldUntil) <= sentIntervals*sentInterval {
			continue
		}
		if now.Sub(e.namedAt) > observationTTL || !e.limits(now) && now.Sub(e.endedAt) > reportedFor {
			delete(t.targets, id)
		}
	}
	for id, history := range t.recent {
		if history.since(now.Add(-sentIntervals*sentInterval)) == 0 {
			delete(t.recent, id)
		}
	}
}

// Count returns the number of targets that name a limit.
func (t *Table) Count(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	count := int64(0)
	for _, e := range t.targets {
		if !e.namedAt.IsZero() && e.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// Held returns how often a request did not get a permit.
func (t *Table) Held() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

// Changes receives a value when the other instances should get a new report.
func (t *Table) Changes() <-chan struct{} { return t.changes }

func (t *Table) signalChange() {
	select {
	case t.changes <- struct{}{}:
	default:
	}
}

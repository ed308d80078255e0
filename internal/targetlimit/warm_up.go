package targetlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxColdTime limits how long a target counts as cold after one statement, so that a wrong one does not hold for long.
	maxColdTime = time.Minute
	// coldBurstFraction is the part of the bound beyond the rate that may be used at once. The rest covers instances that
	// share the rate by reports of different age.
	coldBurstFraction = 0.5
	// coldRateFraction keeps the rate below a bound that leaves no room for a burst.
	coldRateFraction = 0.9
	// maxReportedColdTargets keeps a report within the size of a row when the targets of a whole zone start at once.
	maxReportedColdTargets = 128
)

// WarmUp is what the cold targets of a service take from all instances together.
type WarmUp struct {
	// Rate is in requests a second. Bound is the number of requests in any second that must not be exceeded.
	Rate, Bound float64
}

// coldLimit is the limit of a cold target.
type coldLimit struct{ rate, burst float64 }

// limit returns the limit that keeps the bound: the requests of a second at its rate and the burst stay below it.
func (w WarmUp) limit() coldLimit {
	burst := max(1, coldBurstFraction*(w.Bound-w.Rate))
	return coldLimit{rate: max(minRate, min(w.Rate, coldRateFraction*(w.Bound-burst))), burst: burst}
}

// coldness is what is known of a target's warm-up.
type coldness struct {
	// coldUntil is when the target has warmed up as far as any instance knows, coldSaidUntil what its responses to this
	// instance say. Both only grow: what is known may be older than it seems.
	coldUntil, coldSaidUntil time.Time
	coldLimit                coldLimit
}

// isCold reports whether the target warms up.
func (c *coldness) isCold(now time.Time) bool { return now.Before(c.coldUntil) }

// SetWarmUps replaces the warm-ups of all services. Those of targets that are cold already stay in force.
func (t *Table) SetWarmUps(byService map[string]WarmUp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUps = byService
	if len(byService) == 0 {
		t.recent = map[string]*sentHistory{}
	}
}

// ObserveCold records that a target of a service with a warm-up is cold until a time. said is set if a response told
// this instance so; the others then learn it from this instance.
func (t *Table) ObserveCold(target, service string, until time.Time, said bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.setCold(target, service, until, now)
	if e == nil || !said || !until.After(e.coldSaidUntil) {
		return
	}
	if !now.Before(e.coldSaidUntil) {
		t.signalChange()
	}
	e.coldSaidUntil = until
}

// setCold records that a target is cold, and returns its entry; nil if its service has no warm-up. The caller holds the lock.
func (t *Table) setCold(target, service string, until time.Time, now time.Time) *entry {
	warmUp, ok := t.warmUps[service]
	if !ok || !until.After(now) {
		return nil
	}
	e := t.targets[target]
	if e == nil {
		if e = t.add(target, service, now); e == nil {
			return nil
		}
	}
	if !e.limits(now) {
		// The other instances stopped counting this one when the last limit ended.
		e.demand = demand{refilledAt: now}
	}
	if !e.isCold(now) && len(e.sent.intervals) > 0 {
		// The others have to know what the target got before.
		t.signalChange()
	}
	e.coldLimit = warmUp.limit()
	if until.After(e.coldUntil) {
		e.coldUntil = until
	}
	return e
}

// countSent counts a request to a target without a limit. The caller holds the lock.
func (t *Table) countSent(target string, now time.Time) {
	if len(t.warmUps) == 0 {
		return
	}
	if e := t.targets[target]; e != nil {
		e.sent.add(now)
		return
	}
	history := t.recent[target]
	if history == nil {
		if len(t.recent) >= maxTargets {
			t.evict(now)
		}
		history = &sentHistory{}
		t.recent[target] = history
	}
	history.add(now)
}

// countHeld counts a request that did not get a permit. The caller holds the lock.
func (t *Table) countHeld(isCold bool) {
	t.held++
	if isCold {
		t.heldCold++
	}
}

// HeldCold returns how often a request did not get a permit because its target was cold.
func (t *Table) HeldCold() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heldCold
}

// CountCold returns the number of targets that this instance treats as cold.
func (t *Table) CountCold(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := int64(0)
	for _, e := range t.targets {
		if e.isCold(now) {
			count++
		}
	}
	return count
}

// reportedTargets returns the targets of the next report. Of too many cold ones, different instances choose different ones;
// those that are not reported get no requests while they are cold. The caller holds the lock.
func (t *Table) reportedTargets() []string {
	var named, others []string
	for id, e := range t.targets {
		if e.namedAt.IsZero() {
			others = append(others, id)
			continue
		}
		named = append(named, id)
	}
	if len(others) <= maxReportedColdTargets {
		return append(named, others...)
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(t.instance+"\x00"+a), xxhash.Sum64String(t.instance+"\x00"+b))
	})
	return append(named, others[:maxReportedColdTargets]...)
}

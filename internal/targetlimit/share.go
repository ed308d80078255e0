package targetlimit

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// An instance counts as having requests for a target for waitingTTL after it had requests waiting, and for callerTTL
	// after a caller's request: the next one may come to it much later.
	waitingTTL = time.Second
	callerTTL  = 20 * time.Second
	// settleTime is the time from the confirmation of an instance's report until it uses its part of the rate, so that
	// the other instances have reduced theirs.
	settleTime = 600 * time.Millisecond
	// peerTTL is how long the report of another instance counts. Instances repeat it every refreshInterval.
	peerTTL = 2500 * time.Millisecond
	// staleAfter is the time without a confirmed report, or without a read of the others, after which the other instances
	// may no longer count this one.
	staleAfter = 2 * time.Second
	// staleFactor reduces the part of an instance that the others may no longer count: they then use the whole rate.
	staleFactor = 0.5
	// minRate keeps a target in use whose limit is zero or nearly so. Only a response tells that the limit has ended.
	minRate = 0.25
	// A target that got no requests for a while may get as many at once as it takes in burstTime, and burstBase more. No
	// more instances than that may use it, because each of them may have one unused permit.
	burstTime = 1500 * time.Millisecond
	burstBase = 3
	// After its end a limit doubles every recoveryStep until recoveryTime has passed, so that requests that were held back
	// do not arrive together.
	recoveryStep = 250 * time.Millisecond
	recoveryTime = 2 * time.Second
	// rowTTL is the age at which the report of another instance is removed.
	rowTTL = time.Minute
	// reportedFor is how long the end of a limit is reported to other instances.
	reportedFor = 5 * time.Second
)

// demand is this instance's wish to use a target, and its permits to do so.
type demand struct {
	wantedUntil time.Time
	// reportedAt is when a report that says so was first confirmed; the zero time before that.
	reportedAt time.Time
	permits    float64
	refilledAt time.Time
	// hasPart is set while the instance has a part of the rate.
	hasPart bool
	// wanting is the number of instances that have requests for the target, and rank that of those before this instance.
	// They are valid for the reports of usersVersion.
	wanting, rank int
	usersVersion  int
}

// peer is what another instance reported last. It counts until isLost is set.
type peer struct {
	wanted     map[string]bool
	sent       map[string]sentHistory
	receivedAt time.Time
	isLost     bool
}

// limits reports whether the entry still restricts requests.
func (e *entry) limits(now time.Time) bool {
	return e.isCold(now) || e.namesLimit(now)
}

// namesLimit reports whether the limit that the target named still restricts requests.
func (e *entry) namesLimit(now time.Time) bool {
	return now.Sub(e.namedAt) <= observationTTL && (e.endedAt.IsZero() || now.Sub(e.endedAt) < recoveryTime)
}

// totalRate returns the requests a second that all instances may send together.
func (e *entry) totalRate(now time.Time) float64 {
	if !e.isCold(now) {
		return e.namedRate(now)
	}
	if !e.namesLimit(now) {
		return e.coldLimit.rate
	}
	return min(e.coldLimit.rate, e.namedRate(now))
}

// namedRate returns the requests a second that the target named.
func (e *entry) namedRate(now time.Time) float64 {
	rate := max(e.rate, minRate)
	if !e.endedAt.IsZero() {
		rate *= math.Exp2(float64(now.Sub(e.endedAt)) / float64(recoveryStep))
	}
	return rate
}

// wants reports whether this instance has requests for the target.
func (e *entry) wants(now time.Time) bool {
	return now.Before(e.wantedUntil)
}

// limited returns the entry of a target that restricts requests now, or nil. The caller holds the lock.
func (t *Table) limited(target string, now time.Time) *entry {
	e := t.targets[target]
	if e == nil || !e.limits(now) {
		return nil
	}
	return e
}

// want records that this instance has a request for the target, or may have one within ttl. The caller holds the lock.
func (t *Table) want(e *entry, ttl time.Duration, now time.Time) {
	if !e.wants(now) {
		// Others do not count this instance, whatever it may have reported before.
		e.demand = demand{refilledAt: now}
		t.signalChange()
	}
	if until := now.Add(ttl); until.After(e.wantedUntil) {
		e.wantedUntil = until
	}
}

// Want records that requests for targets wait at this instance. It is called again while they do.
func (t *Table) Want(targets []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range targets {
		if e := t.limited(id, now); e != nil {
			t.want(e, waitingTTL, now)
		}
	}
}

// Limited returns the targets whose requests are restricted.
func (t *Table) Limited(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limited := map[string]bool{}
	for id := range t.targets {
		if t.limited(id, now) != nil {
			limited[id] = true
		}
	}
	return limited
}

// MayUse reports whether this instance may send a request to a target now.
func (t *Table) MayUse(target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(target, now)
	if e == nil {
		return true
	}
	t.refill(target, e, now)
	return e.permits >= 1
}

// Take uses a permit for one request to a target. It returns false if there is none; the request must then not be sent.
func (t *Table) Take(target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(target, now)
	if e == nil {
		t.countSent(target, now)
		return true
	}
	t.want(e, waitingTTL, now)
	t.refill(target, e, now)
	if e.permits < 1 {
		t.countHeld(e.isCold(now))
		return false
	}
	e.permits--
	e.sent.add(now)
	return true
}

// Blocked records a request for a service. It returns those targets of the service that must not get it now because of
// their limits, and the time until the first of them may.
func (t *Table) Blocked(service string, now time.Time) (targets []string, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	anyCold := false
	for id := range t.targets {
		e := t.limited(id, now)
		if e == nil || e.service != service {
			continue
		}
		t.want(e, callerTTL, now)
		t.refill(id, e, now)
		if e.permits >= 1 {
			continue
		}
		targets = append(targets, id)
		anyCold = anyCold || e.isCold(now)
		if rate := t.part(id, e, now) * e.totalRate(now); rate > 0 {
			wait := time.Duration((1 - e.permits) / rate * float64(time.Second))
			if retryAfter == 0 || wait < retryAfter {
				retryAfter = wait
			}
		}
	}
	if len(targets) > 0 {
		t.countHeld(anyCold)
	}
	return targets, retryAfter
}

// refill adds the permits of the time since the last refill. The caller holds the lock.
func (t *Table) refill(target string, e *entry, now time.Time) {
	part := t.part(target, e, now)
	elapsed := now.Sub(e.refilledAt)
	e.refilledAt = now
	if part == 0 {
		e.permits, e.hasPart = 0, false
		return
	}
	rate := e.totalRate(now)
	if !e.hasPart {
		e.hasPart = true
		e.permits = part * t.unused(target, e, rate, now)
		return
	}
	e.permits = min(e.permits+part*rate*elapsed.Seconds(), max(1, part*e.burst(rate, now)))
}

// burst returns how many requests the target may get at once.
func (e *entry) burst(rate float64, now time.Time) float64 {
	burst := rate*burstTime.Seconds() + burstBase
	if e.isCold(now) {
		return min(burst, e.coldLimit.burst)
	}
	return burst
}

// unused returns how many requests a target may get at once now, after what all instances sent it as far as this one
// knows. The caller holds the lock.
func (t *Table) unused(target string, e *entry, rate float64, now time.Time) float64 {
	burst := e.burst(rate, now)
	unused := burst
	for age := sentInterval; age <= sentIntervals*sentInterval; age += sentInterval {
		count := e.sent.since(now.Add(-age))
		for _, p := range t.peers {
			history := p.sent[target]
			count += history.since(now.Add(-age))
		}
		unused = min(unused, burst+rate*age.Seconds()-float64(count))
	}
	return max(0, unused)
}

// part returns the part of a target's rate that this instance may use. The caller holds the lock.
func (t *Table) part(target string, e *entry, now time.Time) float64 {
	// What instances held back may begin at once, slowly, when a limit has ended.
	isSettled := !e.reportedAt.IsZero() && now.Sub(e.reportedAt) >= settleTime
	if !e.wants(now) || !isSettled && e.endedAt.IsZero() {
		return 0
	}
	if e.isCold(now) && (!isSettled || t.readAt.Before(e.reportedAt.Add(settleTime/2))) {
		// Without a later read, instances that reported at the same time would each use the whole rate.
		return 0
	}
	users, isUser := t.users(target, e, int(e.burst(min(e.totalRate(now), 1<<20), now)))
	if !isUser {
		return 0
	}
	part := 1 / float64(users)
	if now.Sub(t.confirmedAt) > staleAfter || now.Sub(t.readAt) > staleAfter {
		part *= staleFactor
	}
	return part
}

// users returns how many instances share a target, at most limit, and whether this instance is one of them. The caller
// holds the lock.
func (t *Table) users(target string, e *entry, limit int) (int, bool) {
	if e.usersVersion == t.peersVersion {
		return min(e.wanting, limit), e.rank < limit
	}
	e.usersVersion, e.wanting, e.rank = t.peersVersion, 1, 0
	for name, p := range t.peers {
		if !p.wanted[target] || p.isLost {
			continue
		}
		e.wanting++
		if compareRank(target, name, t.instance) < 0 {
			e.rank++
		}
	}
	return min(e.wanting, limit), e.rank < limit
}

// compareRank orders instances for a target, in the same way at all instances.
func compareRank(target, a, b string) int {
	rankA, rankB := xxhash.Sum64String(target+"\x00"+a), xxhash.Sum64String(target+"\x00"+b)
	switch {
	case rankA < rankB:
		return -1
	case rankA > rankB:
		return 1
	}
	return strings.Compare(a, b)
}

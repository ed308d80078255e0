package confsync

import (
	"slices"
	"time"
)

const (
	// EvidenceTTL is how long an instance may serve on evidence, counted from the time of the read.
	EvidenceTTL = 4 * time.Second
	// StreamGracePeriod is how long running streams of keyed callers continue after an instance fails closed.
	StreamGracePeriod = 2 * time.Second
	// FailClosedDelay is how long a majority must have had a revision until every instance without it has failed closed
	// and ended its streams. It is the sum of EvidenceTTL, StreamGracePeriod and a margin of 1 s, which covers clocks
	// whose rates differ by 5%.
	FailClosedDelay = 7 * time.Second
)

// Contact reports that a peer had a revision in force at a time.
type Contact struct {
	Instance string
	Start    int64
	Revision int
	// At is a time at or before the moment when the peer reported the revision.
	At time.Time
	// EvidenceAt is the time of the peer's evidence; zero if it has none.
	EvidenceAt time.Time
}

// evidence is a successful read of the configuration row. The row contained the revision at the time at or later.
type evidence struct {
	revision int
	at       time.Time
}

// core decides which revision an instance has in force, whether it may serve and when a written
// revision is in force everywhere. It does no I/O and is not safe for concurrent use.
type core struct {
	self            string
	contactTTL      time.Duration
	inForce         int
	currentEvidence evidence // newest evidence of a revision not above inForce
	pendingEvidence evidence // newest evidence of the highest revision above inForce
	otherInstances  []string // IDs of the known instances without this one
	contacts        map[string]Contact
}

func newCore(self string) *core {
	return &core{self: self, contactTTL: time.Second, contacts: make(map[string]Contact)}
}

// recordRead records a successful read of the row as evidence. Its age counts from sentAt, when the request was sent,
// because the row may change while the response is in transit.
func (c *core) recordRead(revision int, sentAt time.Time) {
	e := evidence{revision: revision, at: sentAt}
	if revision <= c.inForce {
		if e.at.After(c.currentEvidence.at) {
			c.currentEvidence = e
		}
		return
	}
	isNewer := revision == c.pendingEvidence.revision && e.at.After(c.pendingEvidence.at)
	if revision > c.pendingEvidence.revision || isNewer {
		c.pendingEvidence = e
	}
}

// putInForce puts a revision in force unless the revision in force is at least as high.
func (c *core) putInForce(revision int) {
	if revision <= c.inForce {
		return
	}
	c.inForce = revision
	if p := c.pendingEvidence; p.revision <= revision && !p.at.IsZero() {
		c.pendingEvidence = evidence{}
		c.recordRead(p.revision, p.at)
	}
}

// recordContact records contact with a peer and the evidence that the peer relayed. The evidence counts for the
// revision that the peer had in force, which is at least as high as the one that was read. Contact that is older than
// the recorded one is ignored.
func (c *core) recordContact(k Contact) {
	if k.Instance == c.self {
		return
	}
	old := c.contacts[k.Instance]
	if k.Start < old.Start || k.Start == old.Start && (k.Revision < old.Revision || k.At.Before(old.At)) {
		return
	}
	c.contacts[k.Instance] = k
	if !k.EvidenceAt.IsZero() {
		c.recordRead(k.Revision, k.EvidenceAt)
	}
}

// setInstances sets the known instances and how long contact with them counts.
func (c *core) setInstances(instances []string, contactTTL time.Duration) {
	c.contactTTL = contactTTL
	c.otherInstances = slices.DeleteFunc(slices.Clone(instances), func(id string) bool { return id == c.self })
	for id := range c.contacts {
		if !slices.Contains(c.otherInstances, id) {
			delete(c.contacts, id)
		}
	}
}

// othersForMajority returns the number of other instances that form a majority together with this one.
func (c *core) othersForMajority() int { return (len(c.otherInstances) + 1) / 2 }

// servingUntil returns the time at which the instance fails closed if it receives no further evidence or contact.
func (c *core) servingUntil(now time.Time) time.Time {
	if c.inForce == 0 {
		return time.Time{}
	}
	until := c.majorityContactUntil(now)
	if at := c.currentEvidence.at; !at.IsZero() && at.Add(EvidenceTTL).After(until) {
		until = at.Add(EvidenceTTL)
	}
	return until
}

// majorityContactUntil returns the time at which contact with a majority expires. Contact with a peer that has a higher
// revision in force does not count: that revision may be a withdrawal, which is reported as in force on the
// assumption that this instance has failed closed. Contact with a peer without a configuration does not count either:
// it may have confirmed a higher revision before a restart.
func (c *core) majorityContactUntil(now time.Time) time.Time {
	return c.nthContactExpiry(now, c.othersForMajority(), func(k Contact) bool { return hasRevision(k) && k.Revision <= c.inForce })
}

// nthContactExpiry returns the time from which fewer than n of the matching contacts count.
func (c *core) nthContactExpiry(now time.Time, n int, match func(Contact) bool) time.Time {
	if n == 0 {
		return now.Add(c.contactTTL)
	}
	var expiries []time.Time
	for _, id := range c.otherInstances {
		if k, ok := c.contacts[id]; ok && match(k) {
			expiries = append(expiries, k.At.Add(c.contactTTL))
		}
	}
	if len(expiries) < n {
		return time.Time{}
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[n-1]
}

// isServing reports whether the instance may serve.
func (c *core) isServing(now time.Time) bool { return now.Before(c.servingUntil(now)) }

// evidenceAge returns the age of the newest evidence of a revision not above the one in force.
func (c *core) evidenceAge(now time.Time) (time.Duration, bool) {
	if c.inForce == 0 || c.currentEvidence.at.IsZero() {
		return 0, false
	}
	return now.Sub(c.currentEvidence.at), true
}

// bootstrapPeer returns the peer from which an instance without a configuration may fetch its first one. More than
// half of the known instances, without counting this one, must be in contact and have a configuration. They then
// include a member of any majority that confirmed a revision, so the highest revision among them is safe to start with.
func (c *core) bootstrapPeer(now time.Time) (Contact, bool) {
	required := (len(c.otherInstances)+1)/2 + 1
	if c.inForce > 0 || len(c.otherInstances) < required || !now.Before(c.nthContactExpiry(now, required, hasRevision)) {
		return Contact{}, false
	}
	return c.peerAhead(now)
}

func hasRevision(k Contact) bool { return k.Revision > 0 }

// peerAhead returns the contact with the highest revision above the one in force, if any.
func (c *core) peerAhead(now time.Time) (Contact, bool) {
	var highest Contact
	for _, id := range c.otherInstances {
		k := c.contacts[id]
		if now.Before(k.At.Add(c.contactTTL)) && k.Revision > max(highest.Revision, c.inForce) {
			highest = k
		}
	}
	return highest, highest.Revision > 0
}

// inForceTracker tracks one written revision until it is in force everywhere.
type inForceTracker struct {
	revision int
	// majoritySince is the start of the current period in which a majority was known to have the revision without
	// interruption; zero if no majority has it.
	majoritySince time.Time
}

// update reports whether the revision is in force: every known instance has confirmed it, or a majority has had it and
// been in contact for FailClosedDelay. In the second case an unconfirmed instance without the revision has failed
// closed: its evidence has expired, and it has no contact that counts with a majority.
func (t *inForceTracker) update(c *core, now time.Time) (inForce bool, unconfirmed []string) {
	if c.inForce < t.revision {
		t.majoritySince = time.Time{}
		return false, slices.Clone(c.otherInstances)
	}
	for _, id := range c.otherInstances {
		if c.contacts[id].Revision < t.revision {
			unconfirmed = append(unconfirmed, id)
		}
	}
	if len(unconfirmed) == 0 {
		return true, nil
	}
	confirmed := func(k Contact) bool { return k.Revision >= t.revision }
	if !now.Before(c.nthContactExpiry(now, c.othersForMajority(), confirmed)) {
		t.majoritySince = time.Time{}
		return false, unconfirmed
	}
	if t.majoritySince.IsZero() {
		t.majoritySince = now
	}
	return now.Sub(t.majoritySince) >= FailClosedDelay, unconfirmed
}

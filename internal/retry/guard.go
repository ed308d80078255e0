package retry

import (
	"context"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	// takeoverDelay is the time after a crash during which only an instance that saw it runs the suspect. Such
	// an instance usually still has the request and retries it at once.
	takeoverDelay = 5 * time.Second
)

// Guard detects requests that crash targets and refuses them. It is safe for concurrent use.
//
// Every attempt, including an internal retry, calls Begin, BeginResend or TryBegin right before a target is
// picked. The following rules apply:
//
//  1. On each instance, a fingerprint that has not completed before runs on one target at a time: further
//     copies get Attempt.PinnedTarget. As long as the copies fit into the slots of one target, they crash at most one
//     target per instance. A resend that its caller marked gets Attempt.UseRendezvous, so that resends run on the same
//     target whichever instance receives them.
//  2. After a crash, the failure response is withheld until the crash was sent to the peers (Attempt.Done
//     returns a channel). When the caller resends after that response, every instance therefore knows of the
//     crash, however long the interval of the state exchange is.
//  3. A fingerprint with one crash is a suspect. It runs on one target at a time, and only on an instance that
//     saw its latest crash or, after takeoverDelay, on the instance that rendezvous hashing selects. The target
//     is selected by rendezvous hashing too (Attempt.UseRendezvous), if possible one that runs no other suspect
//     (Attempt.AvoidTargets).
//  4. After two crashes, a fingerprint waits until the peers have sent their state. If no other fingerprint was
//     involved in both crashes, it is quarantined. Otherwise the cause is unknown, and it runs as a suspect once
//     more. After three crashes it is quarantined in any case.
//
// A request whose caller waits for each response before it resends, or marks its resends, crashes at most three
// targets. A request whose unmarked copies reach n instances before the first crash crashes at most one target
// per instance.
type Guard struct {
	self string

	mu      sync.Mutex
	records map[uint64]*crashRecord
	// quarantined holds the end of each fingerprint's quarantine.
	quarantined map[uint64]time.Time
	inFlight    map[uint64]*unsuspectedCopies
	// suspectsByTarget holds the number of suspect attempts that run on each target.
	suspectsByTarget map[string]int
	peers            map[string]*peerView
	completed        completedSet
	crashSeen        chan struct{}
	// revision counts the crashes that this instance saw; sentRevision is the last revision sent to the peers.
	revision     uint64
	sentRevision uint64
	withheld     []withheldResponse
	// peerStateMerged is closed and replaced whenever the state of a peer is merged.
	peerStateMerged chan struct{}
}

// unsuspectedCopies holds the running attempts of a fingerprint that is not suspected and has not completed
// before.
type unsuspectedCopies struct {
	running int
	target  string
}

// withheldResponse is a failure response that waits until the state with its revision was sent to the peers.
type withheldResponse struct {
	revision uint64
	released chan struct{}
}

// Attempt is one attempt of a request. Done must be called exactly once.
type Attempt struct {
	// ExcludeTargets lists targets that must not run the attempt.
	ExcludeTargets []string
	// AvoidTargets lists targets that should not run the attempt as long as there are others.
	AvoidTargets []string
	// PinnedTarget names the one target that may run the attempt, if it is not empty. Without UseRendezvous it applies
	// only while that target has a free slot.
	PinnedTarget string
	// UseRendezvous asks for the target that rendezvous hashing of the fingerprint selects, unless PinnedTarget is set.
	// If that target failed within RecentFailureWindow, the attempt must end instead of moving to the next target: the
	// failure may be a crash caused by a copy of this request that this instance does not know of yet.
	UseRendezvous bool

	guard           *Guard
	fingerprint     uint64
	started         time.Time
	target          string
	isSuspect       bool
	completedBefore bool
}

// NewGuard returns the guard of the instance named self.
func NewGuard(self string) *Guard {
	return &Guard{
		self:             self,
		records:          map[uint64]*crashRecord{},
		quarantined:      map[uint64]time.Time{},
		inFlight:         map[uint64]*unsuspectedCopies{},
		suspectsByTarget: map[string]int{},
		peers:            map[string]*peerView{},
		crashSeen:        make(chan struct{}, 1),
		peerStateMerged:  make(chan struct{}),
	}
}

// Begin starts an attempt. It waits, at most until ctx ends, while the cause of a second crash is not known yet
// or another instance runs the suspect.
func (g *Guard) Begin(ctx context.Context, fingerprint uint64, now func() time.Time) (*Attempt, *outcome.Refusal) {
	return g.begin(ctx, fingerprint, false, now)
}

// BeginResend is Begin for a request that its caller marked as a resend, and for internal retries of such a
// request.
func (g *Guard) BeginResend(ctx context.Context, fingerprint uint64, now func() time.Time) (*Attempt, *outcome.Refusal) {
	return g.begin(ctx, fingerprint, true, now)
}

func (g *Guard) begin(ctx context.Context, fingerprint uint64, isResend bool, now func() time.Time) (*Attempt, *outcome.Refusal) {
	for {
		attempt, refusal, retryReady := g.TryBegin(fingerprint, isResend, now())
		if retryReady == nil {
			return attempt, refusal
		}
		select {
		case <-retryReady:
		case <-ctx.Done():
			return nil, refusal
		}
	}
}

// TryBegin starts an attempt or refuses it. If the reason of a refusal may soon disappear, TryBegin also returns
// a channel that is closed when the caller should try again.
func (g *Guard) TryBegin(fingerprint uint64, isResend bool, now time.Time) (*Attempt, *outcome.Refusal, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := &Attempt{guard: g, fingerprint: fingerprint, started: now, completedBefore: g.completed.contains(fingerprint)}
	switch g.classify(fingerprint, now) {
	case causesCrashes:
		// A resend renews the quarantine, so that a caller that never stops resending crashes no more targets.
		g.extendQuarantine(fingerprint, now.Add(quarantineTime))
		return nil, outcome.Refuse(outcome.Quarantined), nil
	case awaitingPeerReports:
		return nil, newSuspectRefusal(), g.peerStateMerged
	case suspected:
		return g.beginSuspect(attempt, isResend, now)
	case notSuspected:
	}
	if attempt.completedBefore {
		return attempt, nil, nil
	}
	copies := g.inFlight[fingerprint]
	if copies == nil {
		copies = &unsuspectedCopies{}
		g.inFlight[fingerprint] = copies
	}
	copies.running++
	attempt.PinnedTarget = copies.target
	attempt.UseRendezvous = isResend
	return attempt, nil, nil
}

func (g *Guard) beginSuspect(attempt *Attempt, isResend bool, now time.Time) (*Attempt, *outcome.Refusal, <-chan struct{}) {
	crashes := g.allCrashes(attempt.fingerprint, now)
	if isResend && !g.peersHaveReported(crashes, now) {
		// Copies on other instances may have crashed other targets at the same time, so wait for their state.
		return nil, newSuspectRefusal(), g.peerStateMerged
	}
	if refusal, retryReady := g.checkMayRunSuspect(attempt.fingerprint, crashes, now); refusal != nil {
		return nil, refusal, retryReady
	}
	rec := g.ensureRecord(attempt.fingerprint, now)
	rec.runningCopies++
	attempt.isSuspect = true
	attempt.UseRendezvous = true
	if rec.target != "" {
		attempt.PinnedTarget = rec.target
		return attempt, nil, nil
	}
	for targetID := range g.suspectsByTarget {
		attempt.AvoidTargets = append(attempt.AvoidTargets, targetID)
	}
	for _, crash := range crashes {
		if now.Sub(crash.at) < sameCrashWindow {
			attempt.ExcludeTargets = append(attempt.ExcludeTargets, crash.target)
		}
	}
	return attempt, nil, nil
}

// checkMayRunSuspect returns nil if this instance may run the suspect: if it saw the latest crash itself, or if
// no crash was seen for takeoverDelay and rendezvous hashing selects this instance. Of several instances that
// saw the crash, one runs the suspect and the others wait for its result.
func (g *Guard) checkMayRunSuspect(fingerprint uint64, crashes crashList, now time.Time) (*outcome.Refusal, <-chan struct{}) {
	latest := crashes.latest()
	rec := g.records[fingerprint]
	if rec == nil || !rec.crashes.contains(latest) {
		if now.Sub(latest.at) >= takeoverDelay && g.designatedInstance(fingerprint, now) == g.self {
			return nil, nil
		}
		return newSuspectRefusal(), nil
	}
	score := Rendezvous(fingerprint, RendezvousHash(g.self))
	for name, view := range g.peers {
		isLive := now.Sub(view.receivedAt) < peerTimeout
		if isLive && Rendezvous(fingerprint, RendezvousHash(name)) > score && view.crashes[fingerprint].contains(latest) {
			return newSuspectRefusal(), g.peerStateMerged
		}
	}
	return nil, nil
}

// newSuspectRefusal returns the refusal of a suspect. It is not the one of a quarantine, because the caller
// should try again.
func newSuspectRefusal() *outcome.Refusal { return outcome.Refuse(outcome.Suspected) }

// designatedInstance returns the live instance that may run a suspect without having seen its latest crash.
func (g *Guard) designatedInstance(fingerprint uint64, now time.Time) string {
	best, bestScore := g.self, Rendezvous(fingerprint, RendezvousHash(g.self))
	for name, view := range g.peers {
		if now.Sub(view.receivedAt) >= peerTimeout {
			continue
		}
		if score := Rendezvous(fingerprint, RendezvousHash(name)); score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// Fingerprint returns the fingerprint of the request.
func (a *Attempt) Fingerprint() uint64 { return a.fingerprint }

// HasCompleted reports whether a request with the fingerprint completed on this instance before.
func (a *Attempt) HasCompleted() bool { return a.completedBefore }

// Sent records the target that the attempt was sent to.
func (a *Attempt) Sent(targetID string) {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	a.target = targetID
	if a.isSuspect {
		g.suspectsByTarget[targetID]++
		g.records[a.fingerprint].target = targetID
	} else if copies := g.inFlight[a.fingerprint]; copies != nil && copies.target == "" {
		copies.target = targetID
	}
}

// Done ends the attempt. If it returns a channel, a failure response may be sent to the caller only after the
// channel is closed or MaxResponseHold has passed; an internal retry need not wait.
func (a *Attempt) Done(result target.Result, now time.Time) <-chan struct{} {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	a.unregister()
	switch {
	case result == target.OK:
		g.markCompleted(a.fingerprint)
	case result == target.Broken && a.target != "":
		return g.recordCrash(a, now)
	}
	return nil
}

// RecentFailureWindow is the time after a failure of its target within which an attempt with UseRendezvous must end. It
// covers one interval of the state exchange between peers.
const RecentFailureWindow = time.Second

// MaxResponseHold limits how long a failure response is withheld when the peers cannot be reached.
const MaxResponseHold = time.Second

// unregister removes the attempt from the running ones.
func (a *Attempt) unregister() {
	g := a.guard
	switch {
	case a.isSuspect:
		rec := g.records[a.fingerprint]
		rec.runningCopies--
		if rec.runningCopies == 0 {
			rec.target = ""
		}
		if a.target != "" {
			g.suspectsByTarget[a.target]--
			if g.suspectsByTarget[a.target] == 0 {
				delete(g.suspectsByTarget, a.target)
			}
		}
		if len(rec.crashes) == 0 && rec.runningCopies == 0 {
			delete(g.records, a.fingerprint)
		}
	case !a.completedBefore:
		copies := g.inFlight[a.fingerprint]
		copies.running--
		if copies.running == 0 {
			delete(g.inFlight, a.fingerprint)
		}
	}
}

// markCompleted records that a fingerprint completed, which ends the suspicion against it.
func (g *Guard) markCompleted(fingerprint uint64) {
	g.completed.add(fingerprint)
	rec := g.records[fingerprint]
	if rec == nil {
		return
	}
	rec.crashes = nil
	if rec.runningCopies == 0 {
		delete(g.records, fingerprint)
	}
}

func (g *Guard) recordCrash(a *Attempt, now time.Time) <-chan struct{} {
	g.completed.remove(a.fingerprint)
	rec := g.ensureRecord(a.fingerprint, now)
	if a.completedBefore && len(rec.crashes) > 0 {
		// Copies of a request that completed before and that were running when it became a suspect do not
		// count: a frequent request runs on every target, so it is involved in every crash.
		return nil
	}
	rec.target = ""
	newCrash := crash{target: a.target, at: now, localOnly: a.completedBefore}
	if a.isSuspect && a.started.After(rec.crashes.latest().at) {
		// The suspect started after the latest crash, so this is a new one, even on the same target.
		rec.crashes = append(rec.crashes, newCrash)
	} else {
		rec.crashes = rec.crashes.add(newCrash)
	}
	g.classify(a.fingerprint, now)
	return g.requestStateFrame(now)
}

// requestStateFrame asks for a state frame to be sent and returns a channel that is closed once it was. Without
// live peers it returns nil.
func (g *Guard) requestStateFrame(now time.Time) <-chan struct{} {
	g.revision++
	select {
	case g.crashSeen <- struct{}{}:
	default:
	}
	if !g.hasLivePeers(now) {
		return nil
	}
	sent := make(chan struct{})
	g.withheld = append(g.withheld, withheldResponse{revision: g.revision, released: sent})
	return sent
}

func (g *Guard) hasLivePeers(now time.Time) bool {
	for _, view := range g.peers {
		if now.Sub(view.receivedAt) < peerTimeout {
			return true
		}
	}
	return false
}

func (g *Guard) ensureRecord(fingerprint uint64, now time.Time) *crashRecord {
	rec := g.records[fingerprint]
	if rec == nil {
		g.pruneRecords(now)
		rec = &crashRecord{}
		g.records[fingerprint] = rec
	}
	return rec
}

// pruneRecords makes room for a record and removes expired quarantines. Records with running attempts are never
// removed.
func (g *Guard) pruneRecords(now time.Time) {
	if len(g.records) < maxRecords {
		return
	}
	for fingerprint, rec := range g.records {
		rec.crashes = rec.crashes.dropExpired(now)
		if rec.runningCopies == 0 && (len(rec.crashes) == 0 || len(g.records) >= maxRecords) {
			delete(g.records, fingerprint)
		}
	}
	for fingerprint, until := range g.quarantined {
		if !now.Before(until) {
			delete(g.quarantined, fingerprint)
		}
	}
}

// Merge applies the crashes and quarantines that a peer reported, unless the state is older than the one
// already merged.
func (g *Guard) Merge(state peer.State, now time.Time) {
	if state.Instance == g.self {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	view := newPeerView(state, now)
	if !view.supersedes(g.peers[state.Instance]) {
		return
	}
	g.peers[state.Instance] = view
	for fingerprint := range view.crashes {
		g.classify(fingerprint, now)
	}
	for fingerprint := range g.records {
		g.classify(fingerprint, now)
	}
	for _, q := range state.Quarantined {
		remaining := min(time.Duration(q.LeftMs)*time.Millisecond, quarantineTime)
		g.extendQuarantine(uint64(q.Fingerprint), now.Add(remaining))
	}
	g.prunePeers(now)
	close(g.peerStateMerged)
	g.peerStateMerged = make(chan struct{})
}

func (g *Guard) extendQuarantine(fingerprint uint64, until time.Time) {
	if until.Sub(g.quarantined[fingerprint]) > minQuarantineExtension {
		g.quarantined[fingerprint] = until
	}
}

// prunePeers removes peers whose crashes have all expired.
func (g *Guard) prunePeers(now time.Time) {
	for name, view := range g.peers {
		if now.Sub(view.receivedAt) >= crashRetention {
			delete(g.peers, name)
		}
	}
}

// Changes returns a channel that signals that a state frame should be sent at once because of a new crash.
func (g *Guard) Changes() <-chan struct{} { return g.crashSeen }

// State returns the crashes and quarantines for a state frame and the revision to pass to MarkStateSent.
func (g *Guard) State(now time.Time) ([]peer.Crash, []peer.Quarantine, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var crashes []peer.Crash
	for fingerprint, rec := range g.records {
		rec.crashes = rec.crashes.dropExpired(now)
		for _, crash := range rec.crashes {
			if !crash.localOnly && len(crashes) < maxStateEntries {
				age := int(now.Sub(crash.at).Milliseconds())
				crashes = append(crashes, peer.Crash{Fingerprint: int(fingerprint), Target: crash.target, AgeMs: &age})
			}
		}
	}
	var quarantines []peer.Quarantine
	for fingerprint, until := range g.quarantined {
		remaining := until.Sub(now)
		if remaining <= 0 {
			delete(g.quarantined, fingerprint)
		} else if len(quarantines) < maxStateEntries {
			quarantines = append(quarantines, peer.Quarantine{Fingerprint: int(fingerprint), LeftMs: int(remaining.Milliseconds())})
		}
	}
	return crashes, quarantines, g.revision
}

// MarkStateSent records that the state with this revision was written to every peer link, and releases the
// responses that waited for it.
func (g *Guard) MarkStateSent(revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentRevision = max(g.sentRevision, revision)
	stillWithheld := g.withheld[:0]
	for _, response := range g.withheld {
		if response.revision <= g.sentRevision {
			close(response.released)
		} else {
			stillWithheld = append(stillWithheld, response)
		}
	}
	g.withheld = stillWithheld
}

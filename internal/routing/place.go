package routing

import (
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/target"
)

// PickForAttempt reserves a slot for an attempt on a target that the guard against poison requests allows, and records
// the target in the attempt.
func (r *Router) PickForAttempt(attempt *retry.Attempt, req target.Request, now time.Time) (target.Reservation, *outcome.Refusal) {
	req.Exclude = slices.Concat(req.Exclude, attempt.ExcludeTargets)
	avoiding := req
	avoiding.Exclude = slices.Concat(req.Exclude, attempt.AvoidTargets)
	res, refusal := r.pickOnce(attempt, avoiding, now)
	if refusal != nil && len(attempt.AvoidTargets) > 0 {
		// A crash can leave more suspects than there are targets. If two suspects run on one target and it
		// crashes, the guard can still find out which one is the cause. A refusal instead would lose the work
		// of all suspects but one.
		res, refusal = r.pickOnce(attempt, req, now)
	}
	if refusal == nil {
		attempt.Sent(res.Target().ID)
	}
	return res, refusal
}

// pickOnce reserves a slot for the attempt on a target that req.Exclude does not name. It ignores
// attempt.AvoidTargets.
func (r *Router) pickOnce(attempt *retry.Attempt, req target.Request, now time.Time) (target.Reservation, *outcome.Refusal) {
	switch {
	case r.isPinned(attempt, &req, now):
		return r.PickTarget(attempt.PinnedTarget, req, now)
	case attempt.UseRendezvous:
		return r.pickByRendezvous(attempt.Fingerprint(), req, now)
	case attempt.HasCompleted():
		return r.Pick(req, now)
	}
	return r.pick(&req, attempt.Fingerprint(), now)
}

// isPinned reports whether the attempt must run on attempt.PinnedTarget, the target where a copy of the request is
// running. An attempt without UseRendezvous is not pinned if that target has no free slot, because many samples of one
// prompt would wait there until the first one completes. No attempt is pinned if the target cannot run it for
// a reason other than a recent failure.
func (r *Router) isPinned(attempt *retry.Attempt, req *target.Request, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byID[attempt.PinnedTarget]
	if m == nil || !m.inPool || !meetsRequirements(m, req) {
		return false
	}
	if !attempt.UseRendezvous && m.load(now) >= float64(m.slots()) {
		return false
	}
	return !m.tripped || m.failedRecently(now)
}

// PickTarget reserves a slot of the named target if it may run the request.
func (r *Router) PickTarget(id string, req target.Request, now time.Time) (target.Reservation, *outcome.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceClock(now)
	m := r.byID[id]
	if m == nil || !m.inPool || m.target.Service != req.Service || !isEligible(m, &req, now, req.Probe) {
		return nil, outcome.Refuse(outcome.NoTarget)
	}
	return r.reserve(m, &req, now), nil
}

// pickByRendezvous reserves a slot of the target that rendezvous hashing selects, so that all instances choose the
// same one. If that target failed within retry.RecentFailureWindow, the request is refused. Targets that failed
// earlier and are still unavailable are skipped.
func (r *Router) pickByRendezvous(fingerprint uint64, req target.Request, now time.Time) (target.Reservation, *outcome.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceClock(now)
	p := r.pools[req.Service]
	if p == nil {
		return nil, outcome.Refuse(outcome.NoTarget)
	}
	var best *member
	var bestScore uint64
	for _, m := range p.members {
		isRanked := isEligible(m, &req, now, req.Probe) || m.failedRecently(now) && meetsRequirements(m, &req)
		if !isRanked {
			continue
		}
		if score := retry.Rendezvous(fingerprint, m.rendezvousHash); best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	if best == nil || best.failedRecently(now) || !isEligible(best, &req, now, req.Probe) {
		return nil, outcome.Refuse(outcome.NoTarget)
	}
	return r.reserve(best, &req, now), nil
}

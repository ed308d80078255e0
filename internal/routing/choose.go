package routing

import (
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	// maxAffinityLoadRatio limits cache affinity: a target is not preferred for its cache if its load exceeds
	// this multiple of its share of the pool's load. At 1.25 the replayed trace has 4% fewer cache hits.
	maxAffinityLoadRatio = 1.5
	// maxAffinityLoadRatioWhenFull replaces maxAffinityLoadRatio when the target has no free slot. Without it
	// the median latency of the replayed trace at three quarters of the capacity is 4% longer.
	maxAffinityLoadRatioWhenFull = 1.15
	// affinityWeight is the score bonus for a fully cached prompt, in units of relative load. The load ratios
	// above limit its effect; with a weight of 1 the replayed trace has a tenth fewer cache hits.
	affinityWeight = 4.0
	// zonePenalty is the score penalty for a target in another zone, in units of relative load. It is smaller
	// than the load of one request on a target with 16 slots, so it decides only between equally loaded targets.
	zonePenalty = 0.05
	// In pools of up to maxFullyComparedPool targets, all targets are compared. In larger pools, zoneSamples
	// random targets of the router's zone and poolSamples random targets of the whole pool are compared.
	maxFullyComparedPool = 16
	zoneSamples          = 6
	poolSamples          = 3
	// ordinaryProbeDelay is the time after a failure from which any request may be the probe of a half-open
	// target, so that the target is used again even if no requests are marked as probes. There is no delay
	// after a load report that is newer than the failure, because the report shows that the target is alive.
	ordinaryProbeDelay = 10 * time.Second
	// maxHolderCandidates limits the number of candidates from the cache index.
	maxHolderCandidates = 8
	maxCandidates       = maxFullyComparedPool + maxHolderCandidates + zoneSamples + poolSamples
)

type candidate struct {
	member *member
	// cachedShare is the fraction of the prompt that the target probably has in its cache.
	cachedShare float64
}

// meetsRequirements reports whether the member has the weight version that the request needs and is not
// excluded by the request. It does not check the breaker.
func meetsRequirements(m *member, req *target.Request) bool {
	if req.MinVersion > 0 && m.weightVersion < req.MinVersion || req.Software != "" && m.target.Software != req.Software {
		return false
	}
	return len(req.Exclude) == 0 || !slices.Contains(req.Exclude, m.target.ID)
}

// isEligible reports whether the member may run the request. If asProbe is set, the request may be the probe
// of a half-open breaker without waiting for ordinaryProbeDelay.
func isEligible(m *member, req *target.Request, now time.Time, asProbe bool) bool {
	if !meetsRequirements(m, req) {
		return false
	}
	if !m.tripped {
		return true
	}
	if !asProbe && now.Sub(m.trippedAt) < ordinaryProbeDelay && !m.reportedAt.After(m.trippedAt) {
		return false
	}
	return m.breaker.State(now) == retry.HalfOpen
}

// chooseMember returns the best eligible member, or nil if there is none. See pick for the fingerprint.
func (r *Router) chooseMember(p *pool, req *target.Request, uncompletedFingerprint uint64, now time.Time) *member {
	if req.Probe {
		if m := p.findHalfOpen(req, now); m != nil {
			return m
		}
	}
	r.candidates = r.candidates[:0]
	r.addHolderCandidates(p, req, now)
	if len(req.Prefix) == 0 && uncompletedFingerprint != 0 {
		r.addFingerprintCandidates(p, req, uncompletedFingerprint, now)
		if len(r.candidates) == 0 && p.hasRecentFailure(now) {
			// Copies of this request on other instances may have crashed both targets that the fingerprint
			// selects, and the peers may not have reported it yet. A third target could crash as well.
			return nil
		}
	} else {
		r.addSampledCandidates(p, req, now)
	}
	if len(r.candidates) == 0 {
		r.addCandidatesByScan(p, req, now)
	}
	if best := r.bestCandidate(p, now); best != nil {
		return best
	}
	// A half-open target is better than a refusal if there is no other choice.
	return p.findHalfOpen(req, now)
}

// findHalfOpen returns a member whose half-open breaker accepts the request as a probe, or nil.
func (p *pool) findHalfOpen(req *target.Request, now time.Time) *member {
	for _, m := range p.tripped {
		if isEligible(m, req, now, true) {
			return m
		}
	}
	return nil
}

// addHolderCandidates adds the targets that probably hold the longest prefixes of the prompt.
func (r *Router) addHolderCandidates(p *pool, req *target.Request, now time.Time) {
	nowMs := r.elapsedMs()
	length := len(req.Prefix)
	for i := min(length, maxIndexedBlocks) - 1; i >= 0 && len(r.candidates) < maxHolderCandidates; i-- {
		if !isIndexed(i) {
			continue
		}
		holders := r.cache.find(req.Prefix[i])
		if holders == nil {
			continue
		}
		cachedShare := float64(i+1) / float64(length)
		for _, h := range holders {
			r.addHolderCandidate(p, req, h, cachedShare, nowMs, now)
		}
	}
}

func (r *Router) addHolderCandidate(p *pool, req *target.Request, h blockHolder, cachedShare float64, nowMs uint32, now time.Time) {
	m := r.membersByIndex[h.memberIndex]
	if m == nil || m.generation != h.generation || nowMs-h.confirmedAtMs > holderTTLMs || m.pool != p {
		return
	}
	if !m.inPool || len(r.candidates) >= maxHolderCandidates || r.isCandidate(m) || !isEligible(m, req, now, false) {
		return
	}
	if h.confirmedAtMs < m.eventGapAtMs {
		// Cache events were lost after the entry was confirmed, so the block may have been evicted.
		cachedShare /= 2
	}
	r.candidates = append(r.candidates, candidate{member: m, cachedShare: cachedShare})
}

func (r *Router) isCandidate(m *member) bool {
	for i := range r.candidates {
		if r.candidates[i].member == m {
			return true
		}
	}
	return false
}

// addFingerprintCandidates adds the two targets that the fingerprint selects on every instance. It is used for
// requests without a prompt whose fingerprint has not completed before: if the request crashes targets, copies
// that reach several instances at the same time crash at most two. The choice between the two by load still
// balances different requests. For requests with a prompt it would lengthen the median latency of the replayed
// trace by 2%.
func (r *Router) addFingerprintCandidates(p *pool, req *target.Request, fingerprint uint64, now time.Time) {
	n := uint64(len(p.sortedByID))
	first := fingerprint % n
	r.addCandidateIfEligible(p.sortedByID[first], req, now)
	if n > 1 {
		second := (first + 1 + fingerprint/n%(n-1)) % n
		r.addCandidateIfEligible(p.sortedByID[second], req, now)
	}
}

// addSampledCandidates adds all targets of a small pool, or random targets of a large one.
func (r *Router) addSampledCandidates(p *pool, req *target.Request, now time.Time) {
	if len(p.members) <= maxFullyComparedPool {
		// The random start keeps instances from all choosing the same one of several equal targets.
		start := r.randomBelow(len(p.members))
		for i := range p.members {
			r.addCandidateIfEligible(p.members[(start+i)%len(p.members)], req, now)
		}
		return
	}
	if p.localCount > 0 {
		for range zoneSamples {
			r.addCandidateIfEligible(p.members[r.randomBelow(p.localCount)], req, now)
		}
	}
	for range poolSamples {
		r.addCandidateIfEligible(p.members[r.randomBelow(len(p.members))], req, now)
	}
}

func (r *Router) addCandidateIfEligible(m *member, req *target.Request, now time.Time) {
	if isEligible(m, req, now, false) && !r.isCandidate(m) {
		r.candidates = append(r.candidates, candidate{member: m})
	}
}

// addCandidatesByScan scans the pool from a random position and adds eligible members. It is used when no
// sampled target is eligible, for example while few targets have a new weight version.
func (r *Router) addCandidatesByScan(p *pool, req *target.Request, now time.Time) {
	start := r.randomBelow(len(p.members))
	minVersion := int32(req.MinVersion)
	for i := range p.members {
		position := start + i
		if position >= len(p.members) {
			position -= len(p.members)
		}
		if p.versions[position] < minVersion {
			continue
		}
		r.addCandidateIfEligible(p.members[position], req, now)
		if len(r.candidates) >= poolSamples+zoneSamples {
			return
		}
	}
}

// bestCandidate returns the candidate with the lowest score, or nil. The score is the relative load plus the
// zone penalty minus the affinity bonus.
func (r *Router) bestCandidate(p *pool, now time.Time) *member {
	var best *member
	var bestScore float64
	for i := range r.candidates {
		c := &r.candidates[i]
		load := c.member.load(now)
		score := (load + 1) / float64(c.member.slots())
		if c.member.position >= p.localCount {
			score += zonePenalty
		}
		if c.cachedShare > 0 && load < p.maxAffinityLoad(c.member) {
			score -= affinityWeight * c.cachedShare
		}
		if best == nil || score < bestScore {
			best, bestScore = c.member, score
		}
	}
	return best
}

// randomBelow returns a pseudo-random number in [0, n) from a xorshift generator.
func (r *Router) randomBelow(n int) int {
	r.randomState ^= r.randomState << 13
	r.randomState ^= r.randomState >> 7
	r.randomState ^= r.randomState << 17
	return int(r.randomState >> 11 % uint64(n))
}

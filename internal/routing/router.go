package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/target"
)

// Router selects targets. It is safe for concurrent use. A single lock is enough: a selection takes about a
// microsecond, and the interval between requests is two orders of magnitude longer.
type Router struct {
	zone string

	mu          sync.Mutex
	randomState uint64
	// epoch is the start of the cache index's clock; now is the latest time that any caller has passed.
	epoch time.Time
	now   time.Time
	byID  map[string]*member
	// pools holds the pools by service.
	pools          map[string]*pool
	membersByIndex []*member
	freeIndexes    []int32
	// generation is the last one that was given to a member.
	generation       uint32
	cache            cacheIndex
	freeReservations []*reservation
	// candidates is reused by each selection.
	candidates []candidate
}

// NewRouter returns the router of an entry instance in zone. The seed initializes the random choice of candidates.
func NewRouter(zone string, seed uint64, now time.Time) *Router {
	return &Router{
		zone: zone,
		// The state of a xorshift generator must not be 0, because it would stay 0.
		randomState: seed | 1,
		// The cache index marks empty entries by time 0, so elapsedMs must never be 0.
		epoch: now.Add(-time.Second),
		now:   now,
		byID:  map[string]*member{},
		pools: map[string]*pool{},
		// Index 0 stays empty, so that a zero blockHolder refers to no target.
		membersByIndex: []*member{nil},
		cache:          newCacheIndex(defaultCacheBuckets),
		candidates:     make([]candidate, 0, maxCandidates),
	}
}

// SetTargets replaces the targets. Targets that are draining or no longer listed get no new requests; their
// running requests end as usual.
func (r *Router) SetTargets(targets []target.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isUnchanged(targets) {
		return
	}
	for _, m := range r.byID {
		m.inPool = false
	}
	listed := make(map[string]bool, len(targets))
	membersByService := map[string][]*member{}
	for _, t := range targets {
		if listed[t.ID] {
			continue
		}
		listed[t.ID] = true
		m := r.updateMember(t)
		if !t.Draining {
			membersByService[t.Service] = append(membersByService[t.Service], m)
		}
	}
	for id, m := range r.byID {
		if !listed[id] {
			r.removeMember(m)
		}
	}
	r.pools = make(map[string]*pool, len(membersByService))
	for service, members := range membersByService {
		r.pools[service] = newPool(members, r.zone)
	}
}

// isUnchanged reports whether the targets are those that the router already has. Callers pass the whole list
// after every poll, and building the pools of 4,000 targets takes a millisecond under the lock.
func (r *Router) isUnchanged(targets []target.Target) bool {
	if len(targets) != len(r.byID) {
		return false
	}
	for _, t := range targets {
		if m := r.byID[t.ID]; m == nil || m.target != t {
			return false
		}
	}
	return true
}

// updateMember creates or updates the state of a target and returns it. If the URL or the service of an id
// changes, it counts as a new target.
func (r *Router) updateMember(t target.Target) *member {
	m := r.byID[t.ID]
	if m != nil && (m.target.URL != t.URL || m.target.Service != t.Service) {
		r.removeMember(m)
		m = nil
	}
	if m == nil {
		m = &member{index: r.takeIndex(), rendezvousHash: retry.RendezvousHash(t.ID)}
		r.invalidateCacheEntries(m)
		r.membersByIndex[m.index] = m
		r.byID[t.ID] = m
	}
	if m.snapshot == nil || m.target != t {
		m.target, m.snapshot = t, &t
	}
	return m
}

func (r *Router) takeIndex() int32 {
	if last := len(r.freeIndexes) - 1; last >= 0 {
		index := r.freeIndexes[last]
		r.freeIndexes = r.freeIndexes[:last]
		return index
	}
	r.membersByIndex = append(r.membersByIndex, nil)
	return int32(len(r.membersByIndex) - 1)
}

func (r *Router) removeMember(m *member) {
	m.inPool = false
	delete(r.byID, m.target.ID)
	r.membersByIndex[m.index] = nil
	r.freeIndexes = append(r.freeIndexes, m.index)
}

// invalidateCacheEntries gives the member a new generation, so that its entries in the cache index no longer count.
func (r *Router) invalidateCacheEntries(m *member) {
	r.generation++
	m.generation = r.generation
}

// ApplyLoadReport updates the state of a target from one of its load reports.
func (r *Router) ApplyLoadReport(id string, load engine.Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byID[id]
	if m == nil {
		return
	}
	r.advanceClock(now)
	m.addPoolLoad(m.applyLoadReport(load, now))
	if load.StartNumber != nil && *load.StartNumber != m.startNumber {
		m.startNumber = *load.StartNumber
		m.eventSequence = 0
		r.invalidateCacheEntries(m)
	}
	m.weightVersion = load.WeightVersion
	if m.inPool {
		m.pool.updateVersion(m)
	}
}

// ApplyCacheEvent updates the cache index from a cache event of a target. Events may be late or lost.
func (r *Router) ApplyCacheEvent(id string, event engine.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byID[id]
	if m == nil {
		return
	}
	nowMs := r.elapsedMs()
	if event.Sequence <= m.eventSequence && event.Sequence != 0 {
		// The event is a duplicate. After an engine restart the numbers start again, but the load report
		// shows the restart and resets eventSequence. An event with number 0 never counts as a duplicate.
		return
	}
	if m.eventSequence != 0 && event.Sequence > m.eventSequence+1 {
		m.eventGapAtMs = nowMs
	}
	m.eventSequence = event.Sequence
	block := uint64(event.Block)
	switch event.Event {
	case engine.EventStored:
		r.cache.add(block, blockHolder{memberIndex: m.index, generation: m.generation, confirmedAtMs: nowMs})
	case engine.EventEvicted:
		r.cache.remove(block, m.index, nowMs)
	case engine.EventCleared:
		r.invalidateCacheEntries(m)
	}
}

// advanceClock moves the router's time forward to now; it never moves back.
func (r *Router) advanceClock(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
}

// elapsedMs returns the router's time in ms since epoch.
func (r *Router) elapsedMs() uint32 {
	return uint32(r.now.Sub(r.epoch) / time.Millisecond)
}

// Pick reserves a slot on the best target for the request.
func (r *Router) Pick(req target.Request, now time.Time) (target.Reservation, *outcome.Refusal) {
	return r.pick(&req, 0, now)
}

// pick implements Pick, and PickForAttempt for attempts that need neither a pinned target nor rendezvous hashing.
// uncompletedFingerprint is the fingerprint of a request that has not completed before, or 0 if the request has
// completed before or is not tracked.
func (r *Router) pick(req *target.Request, uncompletedFingerprint uint64, now time.Time) (target.Reservation, *outcome.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceClock(now)
	p := r.pools[req.Service]
	if p == nil || len(p.members) == 0 {
		return nil, outcome.Refuse(outcome.NoTarget)
	}
	m := r.chooseMember(p, req, uncompletedFingerprint, now)
	if m == nil {
		return nil, outcome.Refuse(outcome.NoTarget)
	}
	return r.reserve(m, req, now), nil
}

// reservation implements target.Reservation. It is reused after Done, so that a selection does not allocate.
type reservation struct {
	router *Router
	member *member
	// target is kept after Done, so that a call of Target after Done cannot read nil. Such a call is wrong: it returns
	// the target of the next request if that already uses the reservation.
	target   atomic.Pointer[target.Target]
	pickedAt time.Time
	isProbe  bool
}

// reserve reserves a slot on the member for the request.
func (r *Router) reserve(m *member, req *target.Request, now time.Time) *reservation {
	var res *reservation
	if last := len(r.freeReservations) - 1; last >= 0 {
		res = r.freeReservations[last]
		r.freeReservations = r.freeReservations[:last]
	} else {
		res = &reservation{router: r}
	}
	res.member, res.pickedAt = m, now
	res.target.Store(m.snapshot)
	res.isProbe = m.breaker.Start(now)
	m.ownInFlight++
	m.addPoolLoad(1)
	r.recordPrefix(m, req.Prefix)
	return res
}

// recordPrefix adds the prompt's blocks to the cache index: the target will hold them once it runs the request.
func (r *Router) recordPrefix(m *member, prefix []uint64) {
	h := blockHolder{memberIndex: m.index, generation: m.generation, confirmedAtMs: r.elapsedMs()}
	for i, block := range prefix[:min(len(prefix), maxIndexedBlocks)] {
		if isIndexed(i) {
			r.cache.add(block, h)
		}
	}
}

// Target returns the reserved target. It must not be called after Done.
func (res *reservation) Target() target.Target { return *res.target.Load() }

// Done frees the slot and passes the result to the breaker.
func (res *reservation) Done(result target.Result, elapsed time.Duration) {
	r := res.router
	r.mu.Lock()
	defer r.mu.Unlock()
	m := res.member
	if m == nil {
		panic("routing: Done called twice on a reservation")
	}
	r.advanceClock(res.pickedAt.Add(elapsed))
	m.ownInFlight--
	m.addPoolLoad(-1)
	m.breaker.Done(result, res.isProbe, r.now)
	m.updateTripped(r.now)
	if result == target.OK {
		m.firstFailureAt = time.Time{}
	}
	if result == target.Broken || result == target.Unreachable {
		if m.firstFailureAt.IsZero() {
			m.firstFailureAt = r.now
		}
		// A restarted engine has an empty cache.
		r.invalidateCacheEntries(m)
	}
	res.member = nil
	r.freeReservations = append(r.freeReservations, res)
}

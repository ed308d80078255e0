package retry

import (
	"sync"
	"time"
)

// Policy configures a token bucket that limits extra attempts to a share of the first attempts.
type Policy struct {
	// Share is the number of extra attempts that each first attempt earns.
	Share float64
	// Burst is the size of the bucket. A new bucket is full.
	Burst float64
	// PerSecond is the number of extra attempts earned per second regardless of the requests, so that a team
	// with few requests can still retry.
	PerSecond float64
}

// RetryPolicy limits retries. With a share of 0.2, retries multiply the load by at most 1.2 when all targets
// fail.
var RetryPolicy = Policy{Share: 0.2, Burst: 20, PerSecond: 0.5}

// HedgePolicy limits hedged attempts, which cause extra work for a target although nothing has failed.
var HedgePolicy = Policy{Share: 0.05, Burst: 5, PerSecond: 0.1}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) refill(p Policy, now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(p.Burst, b.tokens+elapsed.Seconds()*p.PerSecond)
		b.refilledAt = now
	}
}

// bucketPruneThreshold is the number of buckets from which on full ones are removed.
const bucketPruneThreshold = 8192

// bucketsByName holds the buckets by name of the team or target.
type bucketsByName map[string]*tokenBucket

func (m bucketsByName) get(name string, p Policy, now time.Time) *tokenBucket {
	b, ok := m[name]
	if !ok {
		m.prune(p, now)
		b = &tokenBucket{tokens: p.Burst, refilledAt: now}
		m[name] = b
	}
	b.refill(p, now)
	return b
}

// prune removes full buckets, which equal newly created ones.
func (m bucketsByName) prune(p Policy, now time.Time) {
	if len(m) < bucketPruneThreshold {
		return
	}
	for name, b := range m {
		b.refill(p, now)
		if b.tokens >= p.Burst {
			delete(m, name)
		}
	}
}

// Budget limits extra attempts per team and per target. An extra attempt takes a token from both buckets, so
// neither a failing target nor a team whose requests fail multiplies the load. It is safe for concurrent use.
type Budget struct {
	policy  Policy
	mu      sync.Mutex
	teams   bucketsByName
	targets bucketsByName
}

// NewBudget returns a budget whose buckets start full.
func NewBudget(policy Policy) *Budget {
	return &Budget{policy: policy, teams: bucketsByName{}, targets: bucketsByName{}}
}

// RecordRequest records a first attempt of team on targetID.
func (b *Budget) RecordRequest(team, targetID string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bucket := range [...]*tokenBucket{b.teams.get(team, b.policy, now), b.targets.get(targetID, b.policy, now)} {
		bucket.tokens = min(b.policy.Burst, bucket.tokens+b.policy.Share)
	}
}

// TryTake reports whether a request of team whose last attempt was on targetID may make an extra attempt. If so,
// it takes a token from the bucket of each; if either is empty, it takes none.
func (b *Budget) TryTake(team, targetID string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	teamBucket := b.teams.get(team, b.policy, now)
	targetBucket := b.targets.get(targetID, b.policy, now)
	if teamBucket.tokens < 1 || targetBucket.tokens < 1 {
		return false
	}
	teamBucket.tokens--
	targetBucket.tokens--
	return true
}

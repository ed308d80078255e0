package retry

import (
	"time"

	"github.com/egretspar/egretspar/internal/target"
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

const (
	// Closed lets every request through to the target.
	Closed BreakerState = iota
	// HalfOpen lets one probe at a time through.
	HalfOpen
	// Open lets no request through.
	Open
)

const (
	// initialOpenTime is short because a single refused connection opens the breaker.
	initialOpenTime = 500 * time.Millisecond
	// brokenThreshold is the number of consecutive connections broken during a request that open the breaker.
	// With a threshold of 1, the breakers of two targets that lost 4% of 150 responses/s blocked a fifth of
	// the requests. A higher threshold does not delay the detection of a crash, because a crashed target
	// refuses the next connection.
	brokenThreshold = 3
	// maxOpenTime limits how long a restarted target stays unused.
	maxOpenTime = 30 * time.Second
	// refusalThreshold is the number of consecutive refusals that open the breaker. A refusal shows that the
	// target is alive, so a single one does not justify avoiding it.
	refusalThreshold = 5
)

// Breaker is a circuit breaker for one target. The zero value is closed. It is not safe for concurrent use;
// callers must hold a lock.
type Breaker struct {
	openUntil           time.Time
	openTime            time.Duration
	consecutiveRefusals int
	consecutiveBroken   int
	tripped             bool
	probeRunning        bool
}

// State returns the state at now.
func (b *Breaker) State(now time.Time) BreakerState {
	switch {
	case !b.tripped:
		return Closed
	case now.Before(b.openUntil) || b.probeRunning:
		return Open
	}
	return HalfOpen
}

// Start records that a request is sent and reports whether it is a probe. In the half-open state it is, and
// the breaker lets no other request through until the probe is done.
func (b *Breaker) Start(now time.Time) bool {
	if b.State(now) != HalfOpen {
		return false
	}
	b.probeRunning = true
	return true
}

// Done records the result of a request; isProbe is what Start returned for it.
func (b *Breaker) Done(result target.Result, isProbe bool, now time.Time) {
	if isProbe {
		b.probeRunning = false
	}
	switch result {
	case target.OK:
		// A request that started before the breaker opened says nothing about the target's current state.
		if isProbe || !b.tripped {
			*b = Breaker{}
		}
	case target.Unreachable:
		b.trip(isProbe, now)
	case target.Broken:
		b.consecutiveBroken++
		if isProbe || b.consecutiveBroken >= brokenThreshold {
			b.trip(isProbe, now)
		}
	case target.Refused, target.Misdirected, target.Failed:
		b.consecutiveRefusals++
		if isProbe || b.consecutiveRefusals >= refusalThreshold {
			b.trip(isProbe, now)
		}
	case target.Cancelled:
	}
}

// trip opens the breaker. Only a failed probe extends the open time: the other failures caused by one crash
// arrive together and count once.
func (b *Breaker) trip(isProbe bool, now time.Time) {
	switch {
	case !b.tripped:
		b.openTime = initialOpenTime
	case isProbe:
		b.openTime = min(2*b.openTime, maxOpenTime)
	default:
		return
	}
	b.tripped = true
	b.consecutiveRefusals, b.consecutiveBroken = 0, 0
	b.openUntil = now.Add(b.openTime)
}

// Tripped reports whether the breaker is open or half-open.
func (b *Breaker) Tripped() bool { return b.tripped }

// Package reward decides how the reward calls of finished items are made: how many run concurrently, how long each may
// take and when a failed one is repeated. It does no I/O.
//
// An item with a reward request succeeds only with a score, which a plain service returns. Hundreds of texts may end
// within a second, and the few targets of that service also serve callers that wait for a response.
package reward

import "time"

// Ending is the way in which one attempt of a reward call ended.
type Ending int

const (
	// Scored means that the target returned a score.
	Scored Ending = iota
	// Failed means that the target ran the call and reported a failure.
	Failed
	// Refused means that no target has run the call.
	Refused
	// Lost means that the response was lost, late or not valid.
	Lost
)

// String returns the name of the ending for logs and metrics.
func (e Ending) String() string { return [...]string{"scored", "failed", "refused", "lost"}[e] }

// Endings returns all endings.
func Endings() []Ending { return []Ending{Scored, Failed, Refused, Lost} }

// Verdict is what follows an attempt of a reward call.
type Verdict int

const (
	// Done means that the score is known.
	Done Verdict = iota
	// Retry means that the call is repeated.
	Retry
	// GiveUp means that the call failed as often as is allowed.
	GiveUp
)

const (
	// baseBackoff is the delay before the first repetition. It doubles with each further one, up to maxBackoff.
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = 800 * time.Millisecond
	// maxDoublings keeps the shifts of durations within their range.
	maxDoublings = 8
)

// Call is the state of one reward call across its attempts.
type Call struct {
	failures, refusals, losses int
	notBefore                  time.Time
}

// Record records how an attempt ended. maxFailures is the number of reported failures after which the call is given up.
// Refused and lost attempts are always repeated, because they say nothing about the call.
func (c *Call) Record(ending Ending, maxFailures int, now time.Time) Verdict {
	switch ending {
	case Scored:
		return Done
	case Failed:
		c.failures++
		if c.failures >= max(1, maxFailures) {
			return GiveUp
		}
		c.notBefore = now.Add(backoff(c.failures - 1))
	case Refused:
		c.refusals++
		c.notBefore = now.Add(backoff(c.refusals - 1))
	case Lost:
		// The first repetition is immediate: a single lost response says nothing about the other targets.
		c.losses++
		c.notBefore = now
		if c.losses > 1 {
			c.notBefore = now.Add(backoff(c.losses - 2))
		}
	}
	return Retry
}

func backoff(doublings int) time.Duration {
	return min(baseBackoff<<min(doublings, maxDoublings), maxBackoff)
}

// NotBefore is the earliest time of the next attempt.
func (c *Call) NotBefore() time.Time { return c.notBefore }

// Postpone delays the next attempt until a time.
func (c *Call) Postpone(until time.Time) { c.notBefore = until }

const (
	// minTimeout and timeoutFactor determine the timeout of the first attempt from the latency objective of the route.
	minTimeout    = 200 * time.Millisecond
	timeoutFactor = 2
)

// Timeout returns the timeout of the next attempt. It doubles with each lost response, up to limit (0 means no limit),
// so that a service that is slow as a whole is not asked for the same score again and again.
func (c *Call) Timeout(objective, limit time.Duration) time.Duration {
	timeout := max(minTimeout, timeoutFactor*objective) << min(c.losses, maxDoublings)
	if limit > 0 {
		timeout = min(timeout, limit)
	}
	return timeout
}

package live

import (
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
)

// Request holds the properties of a caller's request that decide whether it is admitted.
type Request struct {
	Host, Path string
	// Key is the bearer key; empty if the request has none.
	Key string
	// HeaderBytes is the size of the request line and the headers. BodyBytes is the Content-Length; it is negative if
	// the request does not state one.
	HeaderBytes int
	BodyBytes   int64
}

// Admit returns the route and the team of a request, or the reason why it is refused.
func (c *Config) Admit(r Request) (Route, Team, *outcome.Refusal) {
	route, ok := c.Match(r.Host, r.Path)
	if !ok {
		return Route{}, Team{}, outcome.Refuse(outcome.ServiceUnknown)
	}
	team, ok := c.Authenticate(route, r.Key)
	if !ok {
		return Route{}, Team{}, outcome.Refuse(outcome.KeyInvalid)
	}
	if c.Limits.MaxHeaderBytes > 0 && r.HeaderBytes > c.Limits.MaxHeaderBytes || c.Limits.MaxBodyBytes > 0 && r.BodyBytes > c.Limits.MaxBodyBytes {
		return Route{}, Team{}, outcome.Refuse(outcome.RequestTooLarge)
	}
	return route, team, nil
}

const (
	// minAttemptTimeout and attemptTimeoutFactor determine AttemptTimeout. Without it, a request whose response is lost
	// would wait until its deadline. A factor of two suffices because few responses take longer than twice the
	// objective.
	minAttemptTimeout    = 200 * time.Millisecond
	attemptTimeoutFactor = 2
)

// AttemptTimeout is how long an attempt of an idempotent request waits for its target while the request may still be
// retried at another target.
func (r Route) AttemptTimeout() time.Duration {
	return max(minAttemptTimeout, attemptTimeoutFactor*r.LatencyObjective)
}

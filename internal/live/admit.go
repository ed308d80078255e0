package live

import (
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
)

// Request is what decides whether a caller's request is admitted.
type Request struct {
	Host, Path string
	// Key is the bearer key; empty means none.
	Key string
	// Header is the size of the request's line and header, Body that of its body as far as it is stated, in bytes.
	Header int
	Body   int64
}

// Admit finds the route and the team of a request, or says why it is refused.
func (c *Config) Admit(r Request) (Route, Team, *outcome.Refusal) {
	route, ok := c.Match(r.Host, r.Path)
	if !ok {
		return Route{}, Team{}, outcome.Refuse(outcome.ServiceUnknown)
	}
	team, ok := c.Authenticate(route, r.Key)
	if !ok {
		return Route{}, Team{}, outcome.Refuse(outcome.KeyInvalid)
	}
	if c.Limits.Header > 0 && r.Header > c.Limits.Header || c.Limits.Body > 0 && r.Body > c.Limits.Body {
		return Route{}, Team{}, outcome.Refuse(outcome.RequestTooLarge)
	}
	return route, team, nil
}

const (
	// minAttemptTimeout and attemptTimeoutFactor say how long an idempotent request waits for one target while
	// another may be tried: targets that lose an answer say nothing, and few answers take twice the objective.
	minAttemptTimeout    = 200 * time.Millisecond
	attemptTimeoutFactor = 2
)

// AttemptTimeout is how long an idempotent request of the route waits for one target while another may be tried.
func (r Route) AttemptTimeout() time.Duration {
	return max(minAttemptTimeout, attemptTimeoutFactor*r.Objective)
}

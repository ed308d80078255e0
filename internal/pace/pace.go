// Package pace decides how many requests an instance sends to a service whose targets are overloaded, and for which
// teams. It does no I/O and reads no clock.
//
// It is designed for 7 to 330 instances that do not communicate. Each of them sees a few requests per second of a
// service that can run some hundreds, so what one instance sees says little. Each response therefore changes the
// instance's admission rate by a number of requests per second that does not depend on the number of instances. The
// sum of all rates then behaves like one controller that sees every response: it falls or grows by the same fraction
// per second whether 7 or 330 instances share the load.
package pace

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// Pacer holds the admission rates of all services at one instance. It is safe for concurrent use.
type Pacer struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*limiter
	targets  map[string]*targetPace
}

// New returns a Pacer that limits no service yet.
func New(seed uint64) *Pacer {
	return &Pacer{rng: rand.New(rand.NewPCG(seed, 0)), services: map[string]*limiter{}, targets: map[string]*targetPace{}}
}

// Call names the service of a request and what the pace depends on.
type Call struct {
	Service string
	Team    string
	// Objective is the time within which the response has its full value for the caller.
	Objective time.Duration
	// Background is set for a request that has a limiter of its own: it follows the pace of targets, but is neither limited
	// with the service nor counted for it.
	Background bool
	// Untimed is set if the time of an attempt depends on the caller too.
	Untimed bool
}

// Change tells how an observation changed the state of a service.
type Change int

const (
	// Unchanged means that the service is limited or not as before.
	Unchanged Change = iota
	// Began means that the service is limited from now on.
	Began
	// Corrected means that the rate was corrected; it is returned at most once a second for a service.
	Corrected
	// Ended means that the service is no longer limited.
	Ended
)

// Status describes the limit of a service for logs and metrics.
type Status struct {
	// Rate is the admission rate of this instance in requests per second.
	Rate float64
	// Evidence counts recent bad responses, less what good ones take back, and Missing is the evidence from targets that
	// cannot be reached.
	Evidence, Missing float64
	// Recent is the mean time of the last few responses.
	Recent time.Duration
	// Setpoint is the mean response time at which the rate does not change.
	Setpoint time.Duration
}

// Admit returns nil if the request may be sent to a target, or its refusal.
func (p *Pacer) Admit(c Call, now time.Time) *outcome.Refusal {
	if c.Objective <= 0 || c.Background {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.service(c.Service, now).admit(c.Team, now) {
		return nil
	}
	refusal := outcome.Refuse(outcome.Overloaded)
	refusal.RetryAfter = p.retryAfter(c.Objective)
	return refusal
}

// Take reports whether an admitted request may be sent to a target now. If no target may be used, the request is sent to any
// of them: refusing it is up to Admit.
func (p *Pacer) Take(c Call, id string, now time.Time) bool {
	if c.Objective <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target(c, id, now).take(now)
}

// target returns the pace of a target. One that is new, while others of the service have served for some time, starts
// limited; for an instance that has just started, all are new.
func (p *Pacer) target(c Call, id string, now time.Time) *targetPace {
	t := p.targets[id]
	if t != nil {
		return t
	}
	for other, old := range p.targets {
		if now.Sub(old.updatedAt) > targetRetention {
			delete(p.targets, other)
		}
	}
	t = &targetPace{growth: p.growthFactor(), updatedAt: now}
	p.targets[id] = t
	if l := p.service(c.Service, now); now.Sub(l.createdAt) > newServiceTime {
		t.start(startShare*l.arrived/goodputWindow, l.base, p.rng.Float64(), now)
	}
	return t
}

// newServiceTime is the time after its first request during which the targets of a service do not count as new.
const newServiceTime = 5 * time.Second

// Observe records the result of an attempt at a target.
func (p *Pacer) Observe(c Call, id string, result target.Result, elapsed time.Duration, now time.Time) (Change, Status) {
	if c.Objective <= 0 {
		return Unchanged, Status{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.service(c.Service, now)
	t := p.target(c, id, now)
	if t.down && result == target.OK {
		l.targetReturned(now)
	}
	t.observe(c, result, elapsed, l.base, p.rng.Float64(), now)
	if c.Background {
		return Unchanged, Status{}
	}
	change := l.observe(c, result, elapsed, now)
	return change, Status{
		Rate: l.rate, Evidence: l.evidence, Missing: l.missing, Recent: seconds(l.recent), Setpoint: seconds(l.setpoint(c.Objective)),
	}
}

// Limited returns the number of services that are limited.
func (p *Pacer) Limited() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var n int64
	for _, l := range p.services {
		if l.limited {
			n++
		}
	}
	return n
}

// LimitedTargets returns the number of targets that are limited.
func (p *Pacer) LimitedTargets() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var n int64
	for _, t := range p.targets {
		if t.limited {
			n++
		}
	}
	return n
}

// growthFactor returns a random factor between 0.5 and 1.5. Instances that grow at different speeds do not reach the limit at
// the same moment.
func (p *Pacer) growthFactor() float64 { return 0.5 + p.rng.Float64() }

func (p *Pacer) service(name string, now time.Time) *limiter {
	l := p.services[name]
	if l == nil {
		l = &limiter{growth: growthPerSecond * p.growthFactor(), teams: teamUses{uses: map[string]teamUse{}}, updatedAt: now, createdAt: now}
		p.services[name] = l
	}
	return l
}

const (
	// minRetryFraction and maxRetryFraction are parts of the latency objective. A retry after them still has time to be served
	// within the objective, and the retries of callers that were refused together arrive spread out.
	minRetryFraction = 0.03
	maxRetryFraction = 0.12
)

// RetryAfter returns when a caller that was refused for lack of places should try again, at another instance.
func (p *Pacer) RetryAfter(objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryAfter(objective)
}

func (p *Pacer) retryAfter(objective time.Duration) time.Duration {
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*p.rng.Float64()
	return max(time.Millisecond, time.Duration(fraction*float64(objective)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

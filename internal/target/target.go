// Package target defines the types that routing, forwarding and rollout share for targets, which are model engines and
// plain services.
package target

import (
	"time"

	"github.com/egretspar/egretspar/internal/config"
)

// Target is one model engine or plain service that requests can be sent to.
type Target struct {
	ID      string
	Service string
	URL     string
	Zone    string
	Class   config.TargetClass
	// Slots is the number of requests that the target can run at once.
	Slots int
	// Fencing reports whether the target refuses orders with a stale fencing token.
	Fencing bool
	// Draining reports whether the target is draining: it finishes its running requests and gets no new ones.
	Draining bool
	// Software is the version of the target's software.
	Software string
}

// Request holds the properties of a request on which the choice of its target depends.
type Request struct {
	Service string
	// Team is the team whose retry budget is charged for retries.
	Team string
	// LatencyObjective is the time within which the response has its full value for the caller; 0 means none.
	LatencyObjective time.Duration
	// Deadline is when the caller gets a response at the latest; zero means no deadline.
	Deadline time.Time
	// Background is set for a request of the system itself, which gives way to those of callers by a limit of its own.
	Background bool
	// Untimed is set for a request whose caller may still be sending its body, so that the time of its attempts says
	// nothing about the target.
	Untimed bool
	// Prefix holds the hashes of the prompt's leading blocks, shortest prefix first; see engine.PrefixHashes.
	Prefix []uint64
	// MinVersion is the oldest weight version that may serve the request; 0 means any.
	MinVersion int
	// Software is the software version that may serve the request; "" means any.
	Software string
	// Exclude lists targets that already failed for this request.
	Exclude []string
	// Probe allows the choice of a target whose circuit breaker is half open.
	Probe bool
	// Cost is the expected cost in token units.
	Cost int64
	// Fingerprint identifies the request across instances, so that a request that crashes targets is detected; 0 means
	// that the request is not tracked.
	Fingerprint uint64
	// SingleOwner reports whether only one instance at a time runs the request. If the request is suspected of crashing
	// targets, that instance may therefore run it without asking which instance should.
	SingleOwner bool
	// Resend reports whether the caller has sent this request before.
	Resend bool
}

// Result tells how an attempt on a target ended.
type Result int

const (
	// OK means that the target returned a complete response.
	OK Result = iota
	// Cancelled means that the caller cancelled the request; it says nothing about the target's health.
	Cancelled
	// Refused means that the target refused the request before running it.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the connection broke after the request was sent.
	Broken
	// Misdirected means that a target refused the request because it was meant for another one.
	Misdirected
	// Failed means that the target responded that it failed, and the request is sent to another one.
	Failed
)

// String returns the name of the result in log lines.
func (r Result) String() string {
	names := []string{"ok", "cancelled", "refused", "unreachable", "broken", "misdirected", "failed"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Reservation is one reserved slot of a target. Done releases the slot and must be called exactly once.
type Reservation interface {
	Target() Target
	Done(result Result, elapsed time.Duration)
}

// ResponseTimer is implemented by reservations that tell the target's time from that of a slow caller.
type ResponseTimer interface {
	// ResponseStarted is called before Done with the time until the header of a response that is forwarded as it arrives.
	ResponseStarted(elapsed time.Duration)
}

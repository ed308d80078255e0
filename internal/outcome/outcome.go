// Package outcome defines how a request can end and why it can be refused or retried. Metrics, response
// headers and the operators' documentation all use these reasons.
package outcome

import "time"

// Outcome tells whether a target ran a request.
type Outcome string

const (
	// NotRun means that no target has started the request and that none will.
	NotRun Outcome = "not_run"
	// Ran means that a target ran the request and returned a complete response.
	Ran Outcome = "ran"
	// Unknown means that a target may or may not have run the request.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// Refusal describes why a request got no complete response. Handlers return it, and the server writes it
// to the client.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration
}

// Refuse returns a refusal with the outcome, message and retry delay that are listed for the reason.
func Refuse(reason Reason) *Refusal {
	info := reasons[reason]
	return &Refusal{Outcome: info.outcome, Reason: reason, Message: info.message, RetryAfter: info.retryAfter}
}

// WithOutcome returns a copy of the refusal with another outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	c := *r
	c.Outcome = o
	return &c
}

// Error implements the error interface.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int { return reasons[r.Reason].status }

// Counter counts refusals and retries by reason.
type Counter interface {
	CountRefusal(reason Reason)
	CountRetry(reason RetryReason)
}

// Package forward sends requests to model engines and plain services. It retries a request only when
// the request is idempotent or provably never reached a target, and reports "not run" only when that is
// certain.
package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/respond"
	"github.com/egretspar/egretspar/internal/target"
)

// Picker reserves a slot of a target.
type Picker interface {
	Pick(request target.Request, now time.Time) (target.Reservation, *outcome.Refusal)
}

// Budget limits repeated attempts.
type Budget interface {
	AllowRetry(team, targetID string, now time.Time) bool
}

// Quarantine counts the targets that broke while they ran one request, over all its attempts.
type Quarantine interface {
	// Refuses reports whether the request must not run.
	Refuses(fingerprint uint64, now time.Time) bool
	// Broke records that a target broke, and reports whether the request must not run again.
	Broke(fingerprint uint64, targetID string, now time.Time) bool
	// Completed records that the request ran to its end.
	Completed(fingerprint uint64, now time.Time)
}

// Claim records the end of one non-idempotent request.
type Claim interface {
	Finish(ctx context.Context, answer claim.Answer) *outcome.Refusal
	Release(ctx context.Context) *outcome.Refusal
}

// Limits bound what one request may use.
type Limits struct {
	// Line is the longest line of an event stream, in bytes.
	Line int
	// Event is the largest event of an event stream, in bytes.
	Event int
	// Completion is the largest completion request and the largest collected completion, in bytes.
	Completion int64
	// Header is the largest response header of a target, in bytes.
	Header int64
	// Stall is the longest time without data from an engine, before the first byte too.
	Stall time.Duration
	// Write is the longest time that one write to a caller may take.
	Write time.Duration
	// Dial is the longest time for opening a connection to a target.
	Dial time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
	// IdlePerTarget is the number of unused connections kept for each target.
	IdlePerTarget int
	// Attempts is the number of consecutive attempts without progress.
	Attempts int
	// Resume is the longest time that a begun generation waits for a free target.
	Resume time.Duration
	// Breaks is the number of consecutive attempts that broke a target without progress.
	Breaks int
	// Buffer is the largest plain answer that is read whole before it is passed on, in bytes.
	Buffer int
}

// DefaultLimits returns the limits of a deployed instance.
func DefaultLimits() Limits {
	return Limits{
		Line:       256 << 10,
		Event:      1 << 20,
		Completion: 8 << 20,
		Header:     64 << 10,
		// Engines send the first token of the longest prompts within about 10 s.
		Stall: 20 * time.Second,
		Write: 10 * time.Second,
		// Targets are in the same region; a target that takes longer is gone.
		Dial: time.Second,
		// Common servers close unused connections after 60 s or later. Closing first avoids writing
		// to a connection that the target is closing at the same moment.
		Idle:          30 * time.Second,
		IdlePerTarget: 64,
		// When a zone is reclaimed, a request may meet many targets that refuse it.
		Attempts: 16,
		// The streams of a crashed engine need slots of the others, which free up within seconds.
		Resume: 10 * time.Second,
		// A request that crashes targets is quarantined after two; one request must not go further.
		Breaks: 2,
		// Equals the largest recorded body, so a claimed answer is recorded before it is passed on.
		Buffer: claim.MaxBody,
	}
}

// Dialect adapts requests and answers to a deployment whose callers and targets do not speak the product's own
// headers. The zero value is the product's own.
type Dialect struct {
	// RequestHeader carries the request's id; a target that repeats it lets crossed answers be detected.
	RequestHeader string
	// Prepare completes the header of one attempt; left is the time until the request's deadline, or zero.
	Prepare func(header http.Header, t target.Target, left time.Duration)
	// NotRun reports whether a target's answer promises that the request has not run. It may be nil.
	NotRun func(response *http.Response) bool
	// RepeatFailed sends an idempotent request to another target after any answer of 500 or above, not only 503.
	RepeatFailed bool
	// Refuse answers a caller with a refusal.
	Refuse func(w http.ResponseWriter, requestID string, refusal *outcome.Refusal)
	// Quiet leaves the outcome out of answers.
	Quiet bool
	// KeepHost passes the caller's Host on.
	KeepHost bool
}

// Options hold what forwarding needs from other packages.
type Options struct {
	Picker  Picker
	Budget  Budget
	Counter outcome.Counter
	// Quarantine may be nil.
	Quarantine Quarantine
	// Strip removes the credentials of the caller from a header or trailer.
	Strip  func(http.Header)
	Limits Limits
	// Dialect is the product's own if it is zero.
	Dialect Dialect
	// TLS is used for targets with https URLs; nil means the roots of the system.
	TLS *tls.Config
	// DialContext replaces the network in tests.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is one request of a caller that passed authentication and admission.
type Call struct {
	// RequestID names the answer. It is sent to the target and to the caller.
	RequestID string
	Team      string
	Service   config.Service
	// Header is the caller's header; nil means the header of the request. Strip is applied to it again.
	Header http.Header
	// Path is the escaped path at a plain service, with a leading slash.
	Path string
	// Route describes the choice of a target. Its service and exclusions are filled in.
	Route target.Request
	// Idempotent requests may run more than once.
	Idempotent bool
	// Attempts is the largest number of targets; 0 means the limit of the forwarder.
	Attempts int
	// AttemptTimeout is how long an idempotent request waits for the header of an answer while another target may be
	// tried; 0 means until the deadline.
	AttemptTimeout time.Duration
	// Deadline ends the request; zero means no deadline.
	Deadline time.Time
	// Claim is set for a non-idempotent request that was recorded.
	Claim Claim
	// Report is called once at the end of the request, if set.
	Report func(Report)
}

// FailedAttempt is an attempt of a plain request that gave no answer.
type FailedAttempt struct {
	Target string
	Reason outcome.RetryReason
}

// Report tells how a call ended, for usage and logs.
type Report struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Target  string
	Status  int
	// Tokens is the number of generated tokens that were passed on.
	Tokens int
	// Attempts is the number of targets that were tried.
	Attempts int
	// Failed lists the attempts of a plain request that gave no answer, in their order.
	Failed []FailedAttempt
	// Busy is the time that targets spent on the request.
	Busy time.Duration
}

// Forwarder serves all kinds of calls over one set of connections.
type Forwarder struct {
	*Generator
	*Completions
	*Plain
	client *client
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	if options.Dialect.RequestHeader == "" {
		options.Dialect.RequestHeader = requestHeader
	}
	if options.Dialect.Refuse == nil {
		options.Dialect.Refuse = respond.Refuse
	}
	c := newClient(options)
	g := &Generator{options: options, client: c}
	return &Forwarder{
		Generator:   g,
		Completions: &Completions{options: options, generator: g},
		Plain:       &Plain{options: options, client: c},
		client:      c,
	}
}

// Send sends a request once to the target at base and returns its answer. Closing the answer's body before its
// end closes the connection, which cancels the request.
func (f *Forwarder) Send(request *http.Request, base string) (*http.Response, error) {
	pool, err := f.client.pool(base)
	if err != nil {
		return nil, err
	}
	response, failed := f.client.send(request, pool)
	if failed != nil {
		return nil, failed
	}
	return response, nil
}

// Unsent reports whether an error of Send means that the target got nothing of the request. reached tells
// whether a connection was open.
func Unsent(err error) (unsent, reached bool) {
	var sent *sendError
	if !errors.As(err, &sent) {
		return true, false
	}
	return !sent.started(), sent.fault != faultConnect
}

// Run closes unused connections until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.client.limits.Idle / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.client.closeIdle(0)
			return nil
		case <-ticker.C:
			f.client.closeIdle(f.client.limits.Idle)
		}
	}
}

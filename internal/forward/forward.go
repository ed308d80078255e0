// Package forward sends requests to model engines and plain services. It retries a request only when
// the request is idempotent or provably never reached a target. It reports the outcome "not run" only when
// no target can have run the request.
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
	"github.com/egretspar/egretspar/internal/reach"
	"github.com/egretspar/egretspar/internal/respond"
	"github.com/egretspar/egretspar/internal/target"
)

// Picker reserves a slot of a target.
type Picker interface {
	Pick(request target.Request, now time.Time) (target.Reservation, *outcome.Refusal)
}

// Budget limits retries.
type Budget interface {
	AllowRetry(team, targetID string, now time.Time) bool
}

// Quarantine counts, over all attempts of a request, the targets that broke while running it, and blocks requests
// that broke too many.
type Quarantine interface {
	// IsQuarantined reports whether the request is quarantined and must not run.
	IsQuarantined(fingerprint uint64, now time.Time) bool
	// RecordCrash records that a target broke, and reports whether the request must not run again.
	RecordCrash(fingerprint uint64, targetID string, now time.Time) bool
	// RecordCompleted records that the request ran to completion.
	RecordCompleted(fingerprint uint64, now time.Time)
}

// Claim is the record of one non-idempotent request.
type Claim interface {
	// Finish records the response of a request that ran.
	Finish(ctx context.Context, response claim.Response) *outcome.Refusal
	// Release records that the request did not run, so that it may be sent again.
	Release(ctx context.Context) *outcome.Refusal
}

// Limits bounds the resources and the time that one request may use.
type Limits struct {
	// MaxLineBytes is the longest line of an event stream, in bytes.
	MaxLineBytes int
	// MaxEventBytes is the largest event of an event stream, in bytes.
	MaxEventBytes int
	// MaxCompletionBytes is the largest completion request and the largest collected completion, in bytes.
	MaxCompletionBytes int64
	// MaxHeaderBytes is the largest response header of a target, in bytes.
	MaxHeaderBytes int64
	// StallTimeout is the longest time without data from an engine. It also bounds the wait for the first byte.
	StallTimeout time.Duration
	// WriteTimeout is the longest time that one write to a caller may take.
	WriteTimeout time.Duration
	// DialTimeout is the timeout for opening a connection to a target.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// MaxIdlePerTarget is the maximum number of idle connections per target.
	MaxIdlePerTarget int
	// MaxAttempts is the maximum number of consecutive attempts without progress.
	MaxAttempts int
	// ResumeTimeout is the longest time that a generation with tokens waits for a free slot to continue in.
	ResumeTimeout time.Duration
	// MaxBrokenTargets is the maximum number of consecutive attempts that break a target without progress.
	MaxBrokenTargets int
	// MaxBufferedResponse is the largest response of a plain service that is read whole before it is forwarded, in
	// bytes.
	MaxBufferedResponse int
}

// DefaultLimits returns the limits of a deployed instance.
func DefaultLimits() Limits {
	return Limits{
		MaxLineBytes:       256 << 10,
		MaxEventBytes:      1 << 20,
		MaxCompletionBytes: 8 << 20,
		MaxHeaderBytes:     64 << 10,
		// Engines send the first token of the longest prompts within about 10 s.
		StallTimeout: 20 * time.Second,
		WriteTimeout: 10 * time.Second,
		// Targets are in the same region, so a target that takes longer is treated as unreachable.
		DialTimeout: time.Second,
		// Common servers close idle connections after 60 s or later. Closing first avoids writing to a
		// connection that the target is closing at the same moment.
		IdleTimeout:      30 * time.Second,
		MaxIdlePerTarget: 64,
		// When the targets of a zone are reclaimed, many of them may refuse the same request.
		MaxAttempts: 16,
		// Streams of a crashed engine continue in slots of other engines, which become free within seconds.
		ResumeTimeout: 10 * time.Second,
		// A request that crashed two targets is quarantined, so a single request must not break more.
		MaxBrokenTargets: 2,
		// This is the largest body that a claim records. A response that fits is recorded before it is forwarded.
		MaxBufferedResponse: claim.MaxBody,
	}
}

// Dialect adapts requests and responses to a deployment whose callers and targets use other headers than
// egretspar's. The zero value selects egretspar's own headers.
type Dialect struct {
	// RequestIDHeader names the header that carries the request ID. If a target repeats it in the response, a
	// response to another request can be detected.
	RequestIDHeader string
	// PrepareHeader completes the header of one attempt; remaining is the time until the deadline, or zero without one.
	PrepareHeader func(header http.Header, t target.Target, remaining time.Duration)
	// ReportsNotRun reports whether a response guarantees that the target has not run the request. It may be nil.
	ReportsNotRun func(response *http.Response) bool
	// ObserveResponse is called for each response that belongs to its request. It may be nil.
	ObserveResponse func(request *http.Request, response *http.Response, sentAt time.Time)
	// RetryServerErrors enables retries of idempotent requests after any status of 500 or above, not only after 503.
	RetryServerErrors bool
	// Refuse sends a refusal to a caller.
	Refuse func(w http.ResponseWriter, requestID string, refusal *outcome.Refusal)
	// OmitOutcome omits the outcome from responses.
	OmitOutcome bool
	// KeepHost forwards the caller's Host header.
	KeepHost bool
}

// Options holds the dependencies and settings of a Forwarder.
type Options struct {
	Picker  Picker
	Budget  Budget
	Counter outcome.Counter
	// Quarantine may be nil.
	Quarantine Quarantine
	// StripCredentials removes the credentials of the caller from a header or trailer.
	StripCredentials func(http.Header)
	Limits           Limits
	// Dialect is egretspar's own if it is zero.
	Dialect Dialect
	// Reach learns which targets are reached and knows the instances that pass requests on to the others. It may be nil.
	Reach *reach.Table
	// ObserveRelay counts requests that pass through another instance ("out") or come from one ("in"), by result. It may be nil.
	ObserveRelay func(direction, result string)
	// ObserveLateUpload counts uploads that go on after their response, by how they end. It may be nil.
	ObserveLateUpload func(UploadEnd)
	// TLS is used for targets with https URLs; nil means the root certificates of the system.
	TLS *tls.Config
	// DialContext replaces the network in tests.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is one request of a caller that passed authentication and admission.
type Call struct {
	// RequestID identifies the request. It is sent to the target and to the caller.
	RequestID string
	Team      string
	Service   config.Service
	// Header is the caller's header; nil means the header of the HTTP request. StripCredentials is applied to it again.
	Header http.Header
	// SystemHeader holds what the system sets in the header that targets get. Nothing that the caller sends, such as a
	// Connection header that names one of its fields, changes it; fields without values are removed.
	SystemHeader http.Header
	// Path is the escaped path at a plain service and begins with a slash.
	Path string
	// Route holds the criteria for picking a target. The forwarder sets its service and adds excluded targets.
	Route target.Request
	// Idempotent is set for a request that may run more than once.
	Idempotent bool
	// Attempts is the maximum number of attempts; 0 means the limit of the forwarder.
	Attempts int
	// AttemptTimeout is how long an attempt of an idempotent request waits for the response header if another
	// attempt is allowed; 0 means until the deadline.
	AttemptTimeout time.Duration
	// Deadline ends the request; zero means no deadline.
	Deadline time.Time
	// Claim is set for a non-idempotent request that was recorded before it is forwarded.
	Claim Claim
	// RetryAfter returns when the caller should try again after a target had no room for the request, if set.
	RetryAfter func() time.Duration
	// Began is called when a target's response with status 2xx is about to be forwarded, if set.
	Began func(target.Target)
	// Report is called once at the end of the request, if set.
	Report func(Report)
}

// FailedAttempt is an attempt of a plain request that ended without a usable response.
type FailedAttempt struct {
	Target string
	Reason outcome.RetryReason
}

// Report describes how a call ended, for usage and logs.
type Report struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Target  string
	Status  int
	// Tokens is the number of generated tokens that were sent to the caller.
	Tokens int
	// Attempts is the number of attempts.
	Attempts int
	// FailedAttempts lists the failed attempts of a plain request, in order.
	FailedAttempts []FailedAttempt
	// Duration is the total duration of all attempts.
	Duration time.Duration
}

// Forwarder serves all kinds of calls over shared connections.
type Forwarder struct {
	*Generator
	*Completions
	*Plain
	client *client
}

// New returns a Forwarder with the given options.
func New(options Options) *Forwarder {
	if options.Dialect.RequestIDHeader == "" {
		options.Dialect.RequestIDHeader = defaultRequestIDHeader
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

// Send sends a request once to the target at the URL base and returns the response. Closing the response body
// before its end closes the connection, which cancels the request.
func (f *Forwarder) Send(request *http.Request, base string) (*http.Response, error) {
	pool, err := f.client.pool(base)
	if err != nil {
		return nil, err
	}
	response, sendErr := f.client.send(request, pool)
	if sendErr != nil {
		return nil, sendErr
	}
	return response, nil
}

// NothingSent reports whether an error of Send means that no part of the request was sent to the target. connected
// reports whether a connection was open.
func NothingSent(err error) (unsent, connected bool) {
	var sendErr *sendError
	if !errors.As(err, &sendErr) {
		return true, false
	}
	return !sendErr.mayHaveRun(), sendErr.stage != stageConnect
}

// Run closes idle connections until ctx is done.
func (f *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.client.limits.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.client.closeIdle(0)
			return nil
		case <-ticker.C:
			f.client.closeIdle(f.client.limits.IdleTimeout)
		}
	}
}

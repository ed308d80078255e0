// Package rpc calls the HTTP services of a platform. It gives every call a deadline, retries calls within one retry
// budget, and distinguishes calls that certainly had no effect from calls that may have taken effect.
package rpc

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/sockopt"
	"github.com/egretspar/egretspar/internal/strictclient"
)

const (
	// defaultTimeout limits the duration of one call including its retries.
	defaultTimeout = time.Second
	// maxIdleConnections is higher than the number of concurrent calls of one entry instance.
	maxIdleConnections = 64
	// maxResponseBytes limits the size of a response; the largest are lists of usage objects.
	maxResponseBytes = 64 << 20
	// maxHeaderBytes limits the size of a response header.
	maxHeaderBytes = 64 << 10
	// maxAttempts limits the attempts of one call.
	maxAttempts = 3
	// retriesPerSecond and retryBurst limit retries, so that an outage does not multiply the load on the platform.
	retriesPerSecond = 5
	retryBurst       = 10
	// initialBackoff is the average backoff after the first attempt. It doubles with each attempt; the actual backoff
	// varies randomly by up to 50% in both directions.
	initialBackoff = 20 * time.Millisecond
)

// ErrRefused reports that the platform refused a call and would refuse a retry too, for example because of a wrong
// token.
var ErrRefused = errors.New("platform refused the call")

// Request describes one call.
type Request struct {
	Operation Operation
	Method    string
	Path      string
	Query     url.Values
	Header    http.Header
	Body      []byte
	// ReadOnly marks a call that changes nothing, so that it is safe to treat a lost response as a call without effect.
	ReadOnly bool
	// NoRetry forbids retries by the client.
	NoRetry bool
	// Timeout replaces the timeout of the Caller if it is not zero.
	Timeout time.Duration
}

// Options configure a Caller.
type Options struct {
	// URL is the base URL of the services.
	URL string
	// Token is the bearer token of this instance; it may be empty.
	Token string
	// Timeout limits the duration of each call including its retries; 0 means 1 s.
	Timeout time.Duration
	// DialTimeout limits the time to open a connection; 0 means that only the timeout of the call applies.
	DialTimeout time.Duration
	// UnackedTimeout limits how long the kernel repeats bytes that are not acknowledged; 0 means Timeout.
	UnackedTimeout time.Duration
	// Counter counts retries; it may be nil.
	Counter outcome.Counter
	// Transport replaces the HTTP transport; it may be nil.
	Transport http.RoundTripper
	// MapStatus maps a response status to an error if this platform gives the status a meaning of its own. It returns
	// false for a status with the usual meaning. It may be nil.
	MapStatus func(status int) (error, bool)
}

// Caller makes calls over a shared connection pool.
type Caller struct {
	base         string
	token        string
	timeout      time.Duration
	counter      outcome.Counter
	http         *http.Client
	retryLimiter *rate.Limiter
	counts       *counts
	mapStatus    func(status int) (error, bool)
}

// New returns a Caller. It does not open a connection.
func New(o Options) *Caller {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Transport == nil {
		o.Transport = newTransport(o.DialTimeout, cmp.Or(o.UnackedTimeout, o.Timeout))
	}
	client := &http.Client{
		Transport:     o.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Caller{
		base: strings.TrimSuffix(o.URL, "/"), token: o.Token, timeout: o.Timeout, counter: o.Counter,
		http: client, retryLimiter: rate.NewLimiter(retriesPerSecond, retryBurst), counts: newCounts(),
		mapStatus: o.MapStatus,
	}
}

// Do performs a call, including its retries, and returns the body of the response.
func (c *Caller) Do(ctx context.Context, r Request) ([]byte, error) {
	timeout := c.timeout
	if r.Timeout > 0 {
		timeout = r.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.counts.call(r.Operation)
	mayHaveTakenEffect := false
	for attempt := 1; ; attempt++ {
		body, err := c.attempt(ctx, r)
		mayHaveTakenEffect = mayHaveTakenEffect || errors.Is(err, api.ErrEffectUnknown)
		if attempt < maxAttempts && c.waitForRetry(ctx, r, err, attempt) {
			continue
		}
		// An earlier attempt may have taken effect although the last one had no effect.
		if mayHaveTakenEffect && errors.Is(err, api.ErrUnavailable) {
			err = errors.Wrap(api.ErrEffectUnknown, err.Error())
		}
		c.counts.result(r.Operation, err)
		if err != nil {
			return nil, errors.WithMessage(err, string(r.Operation))
		}
		return body, nil
	}
}

// Counts returns the calls and results of every operation so far, in alphabetical order of the operations.
func (c *Caller) Counts() []Count { return c.counts.snapshot() }

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// waitForRetry reports whether to make another attempt, after waiting for the backoff.
func (c *Caller) waitForRetry(ctx context.Context, r Request, err error, attempt int) bool {
	effectUnknown := errors.Is(err, api.ErrEffectUnknown)
	if r.NoRetry || errors.Is(err, ErrRefused) || !effectUnknown && !errors.Is(err, api.ErrUnavailable) {
		return false
	}
	if ctx.Err() != nil || !c.retryLimiter.Allow() {
		return false
	}
	backoff := initialBackoff << (attempt - 1)
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	c.countRetry(effectUnknown)
	return true
}

func (c *Caller) countRetry(effectUnknown bool) {
	if c.counter == nil {
		return
	}
	if effectUnknown {
		c.counter.CountRetry(outcome.RetryStoreResponseLost)
		return
	}
	c.counter.CountRetry(outcome.RetryStore)
}

// attempt sends the request once. If it got no connection, nothing was sent. If it got one, the request may have
// reached the platform.
func (c *Caller) attempt(ctx context.Context, r Request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(api.ErrUnavailable, err.Error())
	}
	// The transport's goroutine may still report a connection after the call has ended.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, err
	}
	c.counts.attempt(r.Operation)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, attemptError(r, connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, attemptError(r, true, err)
	}
	if len(body) > maxResponseBytes {
		return nil, attemptError(r, true, errors.New("response is too large"))
	}
	if c.mapStatus != nil {
		if err, handled := c.mapStatus(resp.StatusCode); handled {
			return body, err
		}
	}
	return body, statusError(r, resp.StatusCode)
}

func (c *Caller) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	target := c.base + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// attemptError returns the error of an attempt without a usable response. Unless the request is a read, the call may
// have taken effect once the request was sent.
func attemptError(r Request, sent bool, cause error) error {
	if sent && !r.ReadOnly {
		return errors.Wrap(api.ErrEffectUnknown, cause.Error())
	}
	return errors.Wrap(api.ErrUnavailable, cause.Error())
}

// statusError maps a response status to an error. The platform responds with 429 and 503 only before a call takes
// effect. After other server errors, such as those of a gateway, and after a status that is none, such as 000, the call may have taken
// effect.
func statusError(r Request, status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return api.ErrNotFound
	case status == http.StatusConflict:
		return api.ErrConflict
	case status == http.StatusPreconditionFailed:
		return api.ErrFenced
	case status == http.StatusTooManyRequests:
		return busyError{}
	case status == http.StatusServiceUnavailable:
		return errors.Wrapf(api.ErrUnavailable, "status %d", status)
	case status >= 500, status < 200:
		return attemptError(r, true, errors.Errorf("status %d", status))
	default:
		return &refusedError{status: status}
	}
}

// busyError is the error of a call that the platform refused because of its rate limit.
type busyError struct{}

func (busyError) Error() string { return api.ErrThrottled.Error() }

// Is makes the error match api.ErrUnavailable too, because the call had no effect.
func (busyError) Is(target error) bool {
	return target == api.ErrThrottled || target == api.ErrUnavailable
}

// refusedError is the error of a call that certainly had no effect and that a retry would not change.
type refusedError struct{ status int }

func (e *refusedError) Error() string {
	return "platform refused the call: " + http.StatusText(e.status)
}

// Is makes the error match both ErrRefused and api.ErrUnavailable, because the call had no effect.
func (e *refusedError) Is(target error) bool {
	return target == ErrRefused || target == api.ErrUnavailable
}

// Decode decodes the JSON body of a response. A body that cannot be decoded counts as a lost response.
func Decode[T any](r Request, body []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, errors.WithMessage(attemptError(r, true, err), string(r.Operation))
	}
	return value, nil
}

// newTransport returns a transport for calls that have no effect after they were given up: another instance may hold the lease then.
func newTransport(dialTimeout, unackedTimeout time.Duration) http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DialContext = (&net.Dialer{Timeout: dialTimeout, Control: sockopt.Abortive(unackedTimeout)}).DialContext
	t.DisableCompression = true
	t.MaxResponseHeaderBytes = maxHeaderBytes
	t.MaxIdleConns = maxIdleConnections
	t.MaxIdleConnsPerHost = maxIdleConnections
	return strictclient.Transport(t)
}

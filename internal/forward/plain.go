package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/target"
)

// Plain forwards requests to plain services.
type Plain struct {
	options Options
	client  *client
}

// exchange holds the state of one call to a plain service across all attempts.
type exchange struct {
	plain    *Plain
	call     Call
	caller   *http.Request
	writer   *callerWriter
	failures failureTracker
	header   http.Header
	// body is a small body that was read whole and can be sent again; upload streams any other body.
	body   []byte
	upload *upload
	// prefetch reads the start of a body without a stated length.
	prefetch *prefetch
	// uploaded is the body of an upload if uploadedWhole is set.
	uploaded      []byte
	uploadedWhole bool
	route         target.Request
	report        Report
	// isOwn is set for a request that this instance makes itself. Such a request is owed, whatever broke under it.
	isOwn bool
	// mayHaveRun reports whether a target may have run the request.
	mayHaveRun bool
	// headerSent reports whether the header of a streamed response was sent to the caller.
	headerSent bool
	// lastRefusal is the refusal of the last failed attempt. It ends the call if no other target is left.
	lastRefusal *outcome.Refusal
	// nextReservation is the slot for the next attempt. It is reserved before the response of the current
	// attempt is discarded.
	nextReservation target.Reservation
	// responseStarted is called for a response that is forwarded as it arrives.
	responseStarted func()
	// endsWithCall reports whether the caller sees the end of the response only at the end of the call.
	endsWithCall bool
	// callerDisconnected reports whether a write to the caller failed.
	callerDisconnected bool
}

// ServePlain forwards one request to a plain service. If the response breaks after its header was sent, it
// panics with http.ErrAbortHandler, so that the caller sees a broken connection and not a truncated response.
func (p *Plain) ServePlain(w http.ResponseWriter, r *http.Request, call Call) {
	x := p.newExchange(w, r, call)
	defer x.endPrefetch()
	defer x.abortUpload()
	if refusal := x.serve(); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.call.report(x.report)
	x.finishUpload()
}

func (p *Plain) newExchange(w http.ResponseWriter, r *http.Request, call Call) *exchange {
	x := &exchange{plain: p, call: call, caller: r, writer: newCallerWriter(w, r, p.options.Limits.WriteTimeout)}
	x.failures = failureTracker{options: &p.options}
	x.route = call.Route
	x.route.Service = call.Service.Name
	x.route.Deadline = call.Deadline
	x.route.Exclude = append([]string(nil), call.Route.Exclude...)
	return x
}

// serve forwards the request and its response, or returns the refusal that ends the call.
func (x *exchange) serve() *outcome.Refusal {
	ctx, cancel := x.requestContext(x.caller.Context())
	defer cancel()
	if refusal := x.validate(); refusal != nil {
		return refusal
	}
	if refusal := x.prepareRequest(); refusal != nil {
		return refusal
	}
	x.failures.fingerprint = x.fingerprint()
	if refusal := x.failures.checkQuarantine(); refusal != nil {
		return refusal
	}
	return x.run(ctx)
}

// fingerprint returns a hash of the request. It returns 0 if the whole body is not known, if there is no quarantine, or
// if the request is never quarantined.
func (x *exchange) fingerprint() uint64 {
	if x.isOwn || x.upload != nil && !x.uploadedWhole || x.plain.options.Quarantine == nil {
		return 0
	}
	head := strings.Join([]string{x.caller.Method, x.call.Path, x.caller.URL.RawQuery, ""}, "\x00")
	body := x.body
	if x.uploadedWhole {
		body = x.uploaded
	}
	return retry.Fingerprint(x.call.Team, x.call.Service.Name, append([]byte(head), body...))
}

// requestContext returns the context of the call. A claimed request with a deadline is not cancelled when its
// caller disconnects, so that its response is recorded and can be sent when the caller retries the request.
func (x *exchange) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.call.Claim != nil && !x.call.Deadline.IsZero() {
		ctx = context.WithoutCancel(ctx)
	}
	return withDeadline(ctx, x.call.Deadline)
}

// validate returns a refusal for requests that cannot be forwarded.
func (x *exchange) validate() *outcome.Refusal {
	method := x.caller.Method
	switch {
	case wantsUpgrade(x.caller.Header):
		return outcome.Refuse(outcome.UpgradeUnsupported)
	case method == http.MethodConnect, method == http.MethodTrace:
		// CONNECT opens a tunnel, and a TRACE response repeats the headers of the request.
		return invalidRequest("the method is not supported")
	case !strings.HasPrefix(x.call.Path, "/") || hasParentSegment(x.call.Path):
		return invalidRequest("the path is not valid")
	}
	return nil
}

// hasParentSegment reports whether a path cannot be unescaped or contains "..", which could lead out of the
// base path of the target.
func hasParentSegment(path string) bool {
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return true
	}
	for segment := range strings.SplitSeq(unescaped, "/") {
		if segment == ".." {
			return true
		}
	}
	return false
}

// run tries targets until one of them responds or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) *outcome.Refusal {
	for {
		reserved, refusal := x.reserve()
		if refusal != nil {
			return preferLast(x.lastRefusal, refusal)
		}
		chosen := reserved.Target()
		begin := time.Now()
		x.responseStarted = func() {
			if timer, ok := reserved.(target.ResponseTimer); ok {
				timer.ResponseStarted(time.Since(begin))
			}
		}
		result := x.attempt(ctx, chosen, func(targetResult target.Result) {
			reserved.Done(targetResult, time.Since(begin))
		})
		x.report.Duration += time.Since(begin)
		if result.refusal != nil {
			return result.refusal
		}
		if result.targetResult == target.OK {
			x.failures.recordCompleted()
			return nil
		}
		x.report.FailedAttempts = append(x.report.FailedAttempts, FailedAttempt{Target: chosen.ID, Reason: result.retryReason})
		if x.nextReservation != nil {
			continue
		}
		if refusal := x.prepareRetry(chosen, result); refusal != nil {
			return refusal
		}
	}
}

func (x *exchange) reserve() (target.Reservation, *outcome.Refusal) {
	if reserved := x.nextReservation; reserved != nil {
		x.nextReservation = nil
		return reserved, nil
	}
	return x.plain.options.Picker.Pick(x.route, time.Now())
}

// reserveRetryTarget reserves a slot at another target if the response has a retryable status and the request
// may be retried. It reports whether it did; otherwise the caller gets the response unchanged.
func (x *exchange) reserveRetryTarget(response *http.Response, chosen target.Target) bool {
	switch {
	case !x.isRetryableStatus(response.StatusCode), !x.call.Idempotent:
		return false
	case x.upload != nil, x.report.Attempts >= x.maxAttempts():
		return false
	}
	x.route.Exclude = append(x.route.Exclude, chosen.ID)
	reserved, refusal := x.plain.options.Picker.Pick(x.route, time.Now())
	if refusal != nil {
		return false
	}
	if !x.plain.options.Budget.AllowRetry(x.call.Team, chosen.ID, time.Now()) {
		reserved.Done(target.Cancelled, 0)
		return false
	}
	x.plain.options.Counter.CountRetry(outcome.RetryRefused)
	x.nextReservation = reserved
	return true
}

func (x *exchange) isRetryableStatus(status int) bool {
	return status == http.StatusServiceUnavailable || x.plain.options.Dialect.RetryServerErrors && status >= http.StatusInternalServerError
}

// preferLast returns last, the refusal of the last attempt, if there was one. It tells the caller more than the
// picker's refusal, which only says that no other target is available.
func preferLast(last, refusal *outcome.Refusal) *outcome.Refusal {
	if last != nil {
		return last
	}
	return refusal
}

// prepareRetry prepares another attempt, or returns a refusal if none is allowed. A request that may have run is
// retried only if it is idempotent, and no request is retried after a part of a streamed body was read.
func (x *exchange) prepareRetry(failed target.Target, result attemptResult) *outcome.Refusal {
	if x.failures.shouldExclude(result) {
		x.route.Exclude = append(x.route.Exclude, failed.ID)
	}
	final := result.finalRefusal()
	x.lastRefusal = final
	if refusal := x.failures.recordFailure(result, failed); refusal != nil {
		return refusal
	}
	switch {
	case x.headerSent:
		return final
	case x.mayHaveRun && !x.call.Idempotent:
		return final
	case x.upload != nil && x.upload.isUsed():
		return final
	case x.report.Attempts >= x.maxAttempts():
		return final
	case !x.plain.options.Budget.AllowRetry(x.call.Team, failed.ID, time.Now()):
		return outcome.Refuse(outcome.RetryBudget)
	}
	x.plain.options.Counter.CountRetry(result.retryReason)
	return nil
}

// attempt sends the request to one target and forwards the response. It calls done exactly once.
func (x *exchange) attempt(ctx context.Context, chosen target.Target, done func(target.Result)) attemptResult {
	x.report.Attempts++
	x.report.Target = chosen.ID
	informational := &informationalRelay{writer: x.writer}
	pool, err := x.plain.client.pool(chosen.URL)
	if err != nil {
		done(target.Unreachable)
		return attemptResult{targetResult: target.Unreachable, retryReason: outcome.RetryConnect, refusalReason: outcome.TargetUnreachable}
	}
	attemptCtx, headerReceived, release := x.attemptContext(informational.withTrace(ctx))
	defer release()
	request := x.newRequest(attemptCtx, pool.baseURL)
	x.applyDialect(request, chosen)
	response, sendErr := x.plain.client.send(request, pool)
	headerReceived()
	informational.stop()
	if sendErr != nil {
		x.mayHaveRun = x.mayHaveRun || sendErr.mayHaveRun()
		result := x.classifyError(ctx, sendErr)
		done(result.targetResult)
		return result
	}
	defer response.Body.Close()
	if x.reportsNotRun(response) {
		result := x.notRunResult(response)
		done(result.targetResult)
		return result
	}
	x.mayHaveRun = true
	if x.reserveRetryTarget(response, chosen) {
		result := target.Refused
		// Only 503 says that the target has no room. Another server error says nothing about its load.
		if response.StatusCode != http.StatusServiceUnavailable {
			result = target.Failed
		}
		done(result)
		return attemptResult{targetResult: result, retryReason: outcome.RetryRefused}
	}
	if x.call.Began != nil && response.StatusCode/100 == 2 {
		x.call.Began(chosen)
	}
	return x.forwardResponse(ctx, response, done)
}

// notRunResult returns the result of an attempt that the target refused.
func (x *exchange) notRunResult(response *http.Response) attemptResult {
	result := attemptResult{targetResult: target.Refused, retryReason: outcome.RetryRefused, refusalReason: outcome.TargetRefused}
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		result.targetResult = target.Misdirected
	case x.call.RetryAfter != nil:
		result.retryAfter = x.call.RetryAfter()
	}
	return result
}

func (x *exchange) maxAttempts() int {
	if x.call.Attempts > 0 {
		return x.call.Attempts
	}
	return x.plain.options.Limits.MaxAttempts
}

// applyDialect sets the headers that the dialect requires for one attempt.
func (x *exchange) applyDialect(request *http.Request, chosen target.Target) {
	if x.plain.options.Dialect.KeepHost {
		request.Host = x.caller.Host
	}
	prepare := x.plain.options.Dialect.PrepareHeader
	if prepare == nil {
		return
	}
	var remaining time.Duration
	if !x.call.Deadline.IsZero() {
		remaining = time.Until(x.call.Deadline)
	}
	request.Header = request.Header.Clone()
	prepare(request.Header, chosen, remaining)
}

// reportsNotRun reports whether a response guarantees that the target has not run the request.
func (x *exchange) reportsNotRun(response *http.Response) bool {
	check := x.plain.options.Dialect.ReportsNotRun
	return check != nil && check(response)
}

// attemptContext returns a context that is cancelled if the response header does not arrive within
// AttemptTimeout, provided that another attempt is allowed. The caller calls headerReceived when the wait for the
// header is over, and release at the end of the attempt.
func (x *exchange) attemptContext(ctx context.Context) (attempt context.Context, headerReceived, release func()) {
	if x.call.AttemptTimeout <= 0 || !x.call.Idempotent || x.upload != nil || x.report.Attempts >= x.maxAttempts() {
		return ctx, func() {}, func() {}
	}
	attempt, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(x.call.AttemptTimeout, cancel)
	return attempt, func() { timer.Stop() }, cancel
}

// classifyError classifies an error of an attempt, which may be due to the caller's body.
func (x *exchange) classifyError(ctx context.Context, err error) attemptResult {
	switch {
	case x.upload == nil:
	case x.upload.readAborted.Load():
		// The HTTP server cancels the caller's context when a read of the body is aborted.
		ctx = context.WithoutCancel(ctx)
	case x.upload.readFailed.Load() && ctx.Err() == nil:
		return attemptResult{targetResult: target.Cancelled, refusal: outcome.Refuse(outcome.CallerDisconnected)}
	}
	return classifyError(ctx, err)
}

func (x *exchange) newRequest(ctx context.Context, base *url.URL) *http.Request {
	request := &http.Request{
		Method:     x.caller.Method,
		URL:        x.targetURL(base),
		Header:     x.header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if x.body != nil {
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(x.body)), nil }
		request.Body, _ = request.GetBody()
		request.ContentLength = int64(len(x.body))
	}
	if x.upload != nil {
		request.Body = x.upload
		request.ContentLength = x.caller.ContentLength
		request.Trailer = x.upload.trailer
	}
	return request.WithContext(ctx)
}

// targetURL appends the caller's path and query to the URL of the target and keeps their escaping.
func (x *exchange) targetURL(base *url.URL) *url.URL {
	u := withPath(base, x.call.Path)
	u.RawQuery = x.caller.URL.RawQuery
	u.ForceQuery = x.caller.URL.ForceQuery
	return u
}

// refuse ends the call with a refusal. Its outcome is not_run only if no target can have run the request.
func (x *exchange) refuse(refusal *outcome.Refusal) {
	refusal = refusal.WithOutcome(x.refusalOutcome())
	if refusal.Outcome == outcome.NotRun {
		x.releaseClaim()
	}
	x.plain.options.Counter.CountRefusal(refusal.Reason)
	x.call.report(withRefusal(x.report, refusal))
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	if x.upload != nil {
		// The rest of the body is not needed, and closing the connection is cheaper than reading it.
		x.writer.Header().Set("Connection", "close")
	}
	x.plain.options.Dialect.Refuse(x.writer, x.call.RequestID, refusal)
}

// refusalOutcome returns the outcome of a refused call.
func (x *exchange) refusalOutcome() outcome.Outcome {
	if x.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (x *exchange) releaseClaim() {
	if x.call.Claim == nil {
		return
	}
	if refusal := x.call.Claim.Release(context.WithoutCancel(x.caller.Context())); refusal != nil {
		x.plain.options.Counter.CountRefusal(refusal.Reason)
	}
}

// isCallerWriteError reports whether an error is a failed write to the caller.
func isCallerWriteError(err error) bool {
	var writeErr *writeError
	return errors.As(err, &writeErr)
}

// writeError is a failed write to the caller.
type writeError struct{ cause error }

func (e *writeError) Error() string { return "write to caller: " + e.cause.Error() }

func (e *writeError) Unwrap() error { return e.cause }

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

// exchange is the state of one call over all its attempts.
type exchange struct {
	plain    *Plain
	call     Call
	caller   *http.Request
	writer   *callerWriter
	breakage breakage
	header   http.Header
	// body is a small body that was read whole and can be sent again; upload is any other body.
	body   []byte
	upload *upload
	route  target.Request
	report Report
	// started: a target may have run the request.
	started bool
	// began: a part of the answer was sent to the caller.
	began bool
	// last is what ends the call if no other target is left.
	last *outcome.Refusal
	// next is a slot that was reserved before an answer was given up for it.
	next target.Reservation
	// callerGone: a write to the caller failed.
	callerGone bool
}

// ServePlain forwards one request to a plain service. If the answer breaks after its header was sent, it
// panics with http.ErrAbortHandler, so that the caller sees a broken connection and not a short answer.
func (p *Plain) ServePlain(w http.ResponseWriter, r *http.Request, call Call) {
	x := &exchange{plain: p, call: call, caller: r, writer: newCallerWriter(w, r, p.options.Limits.Write)}
	x.breakage = breakage{options: &p.options}
	x.route = call.Route
	x.route.Service = call.Service.Name
	x.route.Exclude = append([]string(nil), call.Route.Exclude...)
	ctx, cancel := x.context(r.Context())
	defer cancel()
	if refusal := x.check(); refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.prepare(); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.breakage.fingerprint = x.fingerprint()
	if refusal := x.breakage.check(); refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.run(ctx); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.call.report(x.report)
}

// fingerprint identifies a request by its content, if its body was read whole. It is 0 for others.
func (x *exchange) fingerprint() uint64 {
	if x.upload != nil || x.plain.options.Quarantine == nil {
		return 0
	}
	head := strings.Join([]string{x.caller.Method, x.call.Path, x.caller.URL.RawQuery, ""}, "\x00")
	return retry.Fingerprint(x.call.Team, x.call.Service.Name, append([]byte(head), x.body...))
}

// context detaches a claimed request from its caller: its answer is recorded for a repeated attempt even
// if the caller left.
func (x *exchange) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.call.Claim != nil && !x.call.Deadline.IsZero() {
		ctx = context.WithoutCancel(ctx)
	}
	return withDeadline(ctx, x.call.Deadline)
}

// check refuses what cannot be forwarded.
func (x *exchange) check() *outcome.Refusal {
	method := x.caller.Method
	switch {
	case wantsUpgrade(x.caller.Header):
		return outcome.Refuse(outcome.UpgradeUnsupported)
	case method == http.MethodConnect, method == http.MethodTrace:
		// CONNECT opens a tunnel, and TRACE repeats the headers of the request in its answer.
		return invalid("the method is not supported")
	case !strings.HasPrefix(x.call.Path, "/") || climbs(x.call.Path):
		return invalid("the path is not valid")
	}
	return nil
}

// climbs reports whether a path contains a segment that would leave the path of the target.
func climbs(path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil {
		return true
	}
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == ".." {
			return true
		}
	}
	return false
}

// smallBody is the largest body that is read before a target is chosen. It reaches the target in one
// packet with the header, and a slow caller does not occupy a target while sending it.
const smallBody = 16 << 10

// prepare builds what is the same for all attempts.
func (x *exchange) prepare() *outcome.Refusal {
	x.header = requestHeaders(x.call, x.caller, x.plain.options.Dialect.RequestHeader, x.plain.options.Strip)
	length := x.caller.ContentLength
	if length == 0 || x.caller.Body == nil || x.caller.Body == http.NoBody {
		return nil
	}
	x.writer.limitRead(x.call.Deadline)
	// A caller that expects 100 must not be told to continue before the target does.
	if length < 0 || length > smallBody || len(x.caller.Trailer) > 0 || x.header["Expect"] != nil {
		x.upload = newUpload(x.caller, x.plain.options.Strip, x.writer.control.SetReadDeadline)
		return nil
	}
	x.body = make([]byte, length)
	if _, err := io.ReadFull(x.caller.Body, x.body); err != nil {
		return outcome.Refuse(outcome.CallerGone)
	}
	// The server notices a caller that leaves only after the end of the body was read.
	_, _ = x.caller.Body.Read(make([]byte, 1))
	x.writer.limitRead(time.Time{})
	return nil
}

// run tries targets until one answers.
func (x *exchange) run(ctx context.Context) *outcome.Refusal {
	for {
		reserved, refusal := x.reserve()
		if refusal != nil {
			return firstOf(x.last, refusal)
		}
		chosen := reserved.Target()
		begin := time.Now()
		end := x.attempt(ctx, chosen, func(result target.Result) {
			reserved.Done(result, time.Since(begin))
		})
		x.report.Busy += time.Since(begin)
		if end.refusal != nil {
			return end.refusal
		}
		if end.result == target.OK {
			x.breakage.completed()
			return nil
		}
		x.report.Failed = append(x.report.Failed, FailedAttempt{Target: chosen.ID, Reason: end.retry})
		if x.next != nil {
			continue
		}
		if refusal := x.mayRepeat(chosen, end); refusal != nil {
			return refusal
		}
	}
}

func (x *exchange) reserve() (target.Reservation, *outcome.Refusal) {
	if reserved := x.next; reserved != nil {
		x.next = nil
		return reserved, nil
	}
	return x.plain.options.Picker.Pick(x.route, time.Now())
}

// otherFor reports whether an idempotent request that a target turned away goes to another one, whose slot
// is then reserved. Without another target the caller gets the answer as it is.
func (x *exchange) otherFor(response *http.Response, chosen target.Target) bool {
	switch {
	case !x.repeatable(response.StatusCode), !x.call.Idempotent:
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
	x.plain.options.Counter.Retried(outcome.RetryRefused)
	x.next = reserved
	return true
}

func (x *exchange) repeatable(status int) bool {
	return status == http.StatusServiceUnavailable || x.plain.options.Dialect.RepeatFailed && status >= http.StatusInternalServerError
}

// firstOf returns the fault of the last attempt, which tells the caller more than the lack of other
// targets.
func firstOf(last, refusal *outcome.Refusal) *outcome.Refusal {
	if last != nil {
		return last
	}
	return refusal
}

// mayRepeat returns nil if another target may be tried. A request that was started is repeated only if
// it is idempotent, and none is repeated after a part of its body was read.
func (x *exchange) mayRepeat(failed target.Target, end ending) *outcome.Refusal {
	if x.breakage.excludes(end) {
		x.route.Exclude = append(x.route.Exclude, failed.ID)
	}
	final := end.final()
	x.last = final
	if refusal := x.breakage.note(end, failed); refusal != nil {
		return refusal
	}
	switch {
	case x.began:
		return final
	case x.started && !x.call.Idempotent:
		return final
	case x.upload != nil && x.upload.touched.Load():
		return final
	case x.report.Attempts >= x.maxAttempts():
		return final
	case !x.plain.options.Budget.AllowRetry(x.call.Team, failed.ID, time.Now()):
		return outcome.Refuse(outcome.RetryBudget)
	}
	x.plain.options.Counter.Retried(end.retry)
	return nil
}

// attempt sends the request to one target and passes the answer on. done is called exactly once.
func (x *exchange) attempt(ctx context.Context, chosen target.Target, done func(target.Result)) ending {
	x.report.Attempts++
	x.report.Target = chosen.ID
	early := &informational{writer: x.writer}
	pool, err := x.plain.client.pool(chosen.URL)
	if err != nil {
		done(target.Unreachable)
		return ending{result: target.Unreachable, retry: outcome.RetryConnect, reason: outcome.TargetUnreachable}
	}
	attemptCtx, hasHeader, end := x.attemptContext(early.trace(ctx))
	defer end()
	request := x.request(attemptCtx, pool.base)
	x.adapt(request, chosen)
	response, failed := x.plain.client.send(request, pool)
	hasHeader()
	early.stop()
	if failed != nil {
		x.started = x.started || failed.started()
		end := x.classify(ctx, failed)
		done(end.result)
		return end
	}
	defer response.Body.Close()
	if x.notRun(response) {
		done(target.Refused)
		return ending{result: target.Refused, retry: outcome.RetryRefused, reason: outcome.TargetRefused}
	}
	x.started = true
	if x.otherFor(response, chosen) {
		done(target.Refused)
		return ending{result: target.Refused, retry: outcome.RetryRefused}
	}
	return x.answer(ctx, response, done)
}

func (x *exchange) maxAttempts() int {
	if x.call.Attempts > 0 {
		return x.call.Attempts
	}
	return x.plain.options.Limits.Attempts
}

// adapt completes the header of one attempt.
func (x *exchange) adapt(request *http.Request, chosen target.Target) {
	if x.plain.options.Dialect.KeepHost {
		request.Host = x.caller.Host
	}
	prepare := x.plain.options.Dialect.Prepare
	if prepare == nil {
		return
	}
	var left time.Duration
	if !x.call.Deadline.IsZero() {
		left = time.Until(x.call.Deadline)
	}
	request.Header = request.Header.Clone()
	prepare(request.Header, chosen, left)
}

// notRun reports whether a target's answer promises that the request has not run.
func (x *exchange) notRun(response *http.Response) bool {
	check := x.plain.options.Dialect.NotRun
	return check != nil && check(response)
}

// attemptContext ends an attempt that waits too long for its header, if another one may follow. hasHeader is
// called when the wait is over, end when the attempt is.
func (x *exchange) attemptContext(ctx context.Context) (attempt context.Context, hasHeader, end func()) {
	if x.call.AttemptTimeout <= 0 || !x.call.Idempotent || x.upload != nil || x.report.Attempts >= x.maxAttempts() {
		return ctx, func() {}, func() {}
	}
	attempt, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(x.call.AttemptTimeout, cancel)
	return attempt, func() { timer.Stop() }, cancel
}

// classify adds the faults of the caller's body to those of the target.
func (x *exchange) classify(ctx context.Context, err error) ending {
	switch {
	case x.upload == nil:
	case x.upload.stopped.Load():
		// The server ends the caller's context when a read of the body is stopped.
		ctx = context.WithoutCancel(ctx)
	case x.upload.failed.Load() && ctx.Err() == nil:
		return ending{result: target.Cancelled, refusal: outcome.Refuse(outcome.CallerGone)}
	}
	return classify(ctx, err)
}

func (x *exchange) request(ctx context.Context, base *url.URL) *http.Request {
	request := &http.Request{
		Method:     x.caller.Method,
		URL:        x.url(base),
		Header:     x.header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if x.body != nil {
		request.Body = io.NopCloser(bytes.NewReader(x.body))
		request.ContentLength = int64(len(x.body))
	}
	if x.upload != nil {
		request.Body = x.upload
		request.ContentLength = x.caller.ContentLength
		request.Trailer = x.upload.trailer
	}
	return request.WithContext(ctx)
}

// url appends the caller's path to that of the target and keeps its escapes.
func (x *exchange) url(base *url.URL) *url.URL {
	u := withPath(base, x.call.Path)
	u.RawQuery = x.caller.URL.RawQuery
	u.ForceQuery = x.caller.URL.ForceQuery
	return u
}

// refuse ends the call with a refusal, whose outcome is not_run only if no target may have run the
// request.
func (x *exchange) refuse(refusal *outcome.Refusal) {
	if x.started {
		refusal = refusal.With(outcome.Unknown)
	} else {
		refusal = refusal.With(outcome.NotRun)
		x.release()
	}
	x.plain.options.Counter.Refused(refusal.Reason)
	x.call.report(refused(x.report, refusal))
	if x.began {
		panic(http.ErrAbortHandler)
	}
	if x.upload != nil {
		// The rest of the body is of no use; closing is cheaper than reading it.
		x.writer.Header().Set("Connection", "close")
	}
	x.plain.options.Dialect.Refuse(x.writer, x.call.RequestID, refusal)
}

func (x *exchange) release() {
	if x.call.Claim == nil {
		return
	}
	if refusal := x.call.Claim.Release(context.WithoutCancel(x.caller.Context())); refusal != nil {
		x.plain.options.Counter.Refused(refusal.Reason)
	}
}

// isCallerFault reports whether a copy failed at the caller's side.
func isCallerFault(err error) bool {
	var write *writeError
	return errors.As(err, &write)
}

// writeError is a failed write to the caller.
type writeError struct{ cause error }

func (e *writeError) Error() string { return "write to caller: " + e.cause.Error() }

func (e *writeError) Unwrap() error { return e.cause }

package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

var (
	errStalled  = errors.New("engine sent no data for too long")
	errProtocol = errors.New("engine violated the protocol")
)

// statusError is an engine's response with a status other than 200.
type statusError struct {
	status int
	// retryAfter is the duration of the Retry-After header, at most maxRetryAfter, or zero without one.
	retryAfter time.Duration
}

// maxRetryAfter limits the duration of a Retry-After header, because other engines may be free earlier.
const maxRetryAfter = 30 * time.Second

func newStatusError(response *http.Response) *statusError {
	e := &statusError{status: response.StatusCode}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.retryAfter = min(time.Duration(min(seconds, 3600))*time.Second, maxRetryAfter)
	}
	return e
}

func (e *statusError) Error() string { return fmt.Sprintf("engine responded with status %d", e.status) }

// mayHaveRun reports whether the engine may have run the request. A status from 400 to 499 or 503 means that it
// did not accept the request.
func (e *statusError) mayHaveRun() bool {
	return !e.isRefusal() && (e.status < http.StatusBadRequest || e.status >= http.StatusInternalServerError)
}

// isRefusal reports whether the engine has no capacity or is draining, so that another engine may accept the
// request.
func (e *statusError) isRefusal() bool {
	return e.status == http.StatusServiceUnavailable || e.status == http.StatusTooManyRequests
}

// consumerError is an error of the consumer that the chunks of a generation are passed to.
type consumerError struct{ cause error }

func (e *consumerError) Error() string { return "consumer: " + e.cause.Error() }

func (e *consumerError) Unwrap() error { return e.cause }

// refusal returns the refusal that the consumer returned, or CallerDisconnected for any other error.
func (e *consumerError) refusal() *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(e.cause, &refusal) {
		return refusal
	}
	return outcome.Refuse(outcome.CallerDisconnected)
}

// attemptResult describes how an attempt ended: its result for the target, and whether the request ends or may be
// retried.
type attemptResult struct {
	targetResult target.Result
	// refusal ends the request if it is not nil.
	refusal *outcome.Refusal
	// retryReason and refusalReason are set if the request may be retried: retryReason is counted if it is, and
	// refusalReason is sent to the caller if it is not.
	retryReason   outcome.RetryReason
	refusalReason outcome.Reason
	// reusedConn reports whether the connection had served another request.
	reusedConn bool
	// retryAfter is the duration of the Retry-After header, or zero without one.
	retryAfter time.Duration
}

// finalRefusal returns the refusal for a request that is not retried.
func (e attemptResult) finalRefusal() *outcome.Refusal {
	refusal := outcome.Refuse(e.refusalReason)
	if e.retryAfter > 0 {
		refusal.RetryAfter = e.retryAfter
	}
	return refusal
}

// classifyError returns the result of an attempt that ended with err.
func classifyError(ctx context.Context, err error) attemptResult {
	var consumerErr *consumerError
	var statusErr *statusError
	var sendErr *sendError
	switch {
	case err == nil:
		return attemptResult{targetResult: target.OK}
	case errors.As(err, &consumerErr):
		return attemptResult{targetResult: target.Cancelled, refusal: consumerErr.refusal()}
	case ctx.Err() != nil:
		return attemptResult{targetResult: target.Cancelled, refusal: outcome.Refuse(cancelReason(ctx))}
	case errors.As(err, &statusErr):
		return statusErr.attemptResult()
	case errors.As(err, &sendErr) && sendErr.stage == stageConnect:
		return attemptResult{targetResult: target.Unreachable, retryReason: outcome.RetryConnect, refusalReason: outcome.TargetUnreachable}
	case errors.As(err, &sendErr) && sendErr.stage == stageUnsent:
		// The target closed an idle connection, which does not mean that it failed.
		return attemptResult{targetResult: target.Cancelled, retryReason: outcome.RetryConnect, refusalReason: outcome.TargetUnreachable}
	case errors.As(err, &sendErr) && sendErr.behindPeer:
		return attemptResult{targetResult: target.Cancelled, retryReason: outcome.RetryResponseLost, refusalReason: outcome.ResponseLost}
	case errors.As(err, &sendErr):
		return attemptResult{targetResult: target.Broken, retryReason: outcome.RetryResponseLost, refusalReason: outcome.ResponseLost, reusedConn: sendErr.reusedConn}
	default:
		return attemptResult{targetResult: target.Broken, retryReason: outcome.RetryResponseLost, refusalReason: outcome.ResponseTruncated}
	}
}

func (e *statusError) attemptResult() attemptResult {
	switch {
	case e.isRefusal():
		return attemptResult{targetResult: target.Refused, retryReason: outcome.RetryRefused, refusalReason: outcome.TargetRefused, retryAfter: e.retryAfter}
	case e.mayHaveRun():
		return attemptResult{targetResult: target.Broken, retryReason: outcome.RetryResponseLost, refusalReason: outcome.ResponseLost}
	default:
		return attemptResult{targetResult: target.OK, refusal: outcome.Refuse(outcome.RequestInvalid)}
	}
}

// cancelReason returns why ctx was cancelled: the reason of the refusal if the cause is one (as for a withdrawn
// key), otherwise a passed deadline or a disconnected caller.
func cancelReason(ctx context.Context) outcome.Reason {
	cause := context.Cause(ctx)
	var refusal *outcome.Refusal
	if errors.As(cause, &refusal) {
		return refusal.Reason
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return outcome.DeadlinePassed
	}
	return outcome.CallerDisconnected
}

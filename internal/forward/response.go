package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// copyBufferSize is the size in bytes of the buffer that response bodies are copied with.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// maxInformational is the maximum number of 1xx responses that a target may send in one attempt.
const maxInformational = 4

// claimRecordTimeout bounds how long a response waits until it is recorded in its claim. After the timeout, the
// record is written in the background.
const claimRecordTimeout = time.Second

var errInformational = errors.New("target sent too many informational responses")

// informationalRelay forwards the 1xx responses of one attempt to the caller. It skips status 100, which the HTTP
// server sends when the body is first read. The transport calls it from its own goroutine, so it is stopped when
// the attempt has its final response or has failed.
type informationalRelay struct {
	writer *callerWriter

	mu      sync.Mutex
	count   int
	stopped bool
}

func (i *informationalRelay) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: i.forward})
}

func (i *informationalRelay) forward(code int, header textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
	if i.count > maxInformational {
		return errInformational
	}
	if i.stopped || code == http.StatusContinue {
		return nil
	}
	callerHeader := i.writer.Header()
	saved := callerHeader.Clone()
	copyResponseHeader(callerHeader, http.Header(header))
	i.writer.WriteHeader(code)
	clear(callerHeader)
	for name, values := range saved {
		callerHeader[name] = values
	}
	return nil
}

func (i *informationalRelay) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}

// forwardResponse forwards a target's response to the caller. A small response of known length is read whole
// first, so that nothing of it is sent if it breaks.
func (x *exchange) forwardResponse(ctx context.Context, response *http.Response, done func(target.Result)) attemptResult {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	if !x.canBuffer(response) {
		return x.streamResponse(ctx, response, *buffer, done)
	}
	n, err := readToEnd(response.Body, *buffer)
	if err != nil {
		result := x.classifyCopyError(ctx, err)
		done(result.targetResult)
		return result
	}
	done(target.OK)
	x.sendBuffered(response, (*buffer)[:n])
	return attemptResult{targetResult: target.OK}
}

func (x *exchange) canBuffer(response *http.Response) bool {
	limit := min(int64(copyBufferSize), int64(x.plain.options.Limits.MaxBufferedResponse))
	isShort := response.ContentLength >= 0 && response.ContentLength < limit
	return isShort || response.Body == http.NoBody
}

// readToEnd reads a body that is shorter than buffer to its end.
func readToEnd(body io.Reader, buffer []byte) (int, error) {
	n := 0
	for {
		m, err := body.Read(buffer[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}

func (x *exchange) classifyCopyError(ctx context.Context, err error) attemptResult {
	if isCallerWriteError(err) {
		return attemptResult{targetResult: target.Cancelled, refusal: outcome.Refuse(outcome.CallerDisconnected)}
	}
	if ctx.Err() != nil {
		return attemptResult{targetResult: target.Cancelled, refusal: outcome.Refuse(cancelReason(ctx))}
	}
	return attemptResult{targetResult: target.Broken, retryReason: outcome.RetryResponseLost, refusalReason: outcome.ResponseTruncated}
}

// sendBuffered records and sends a response that was read to its end.
func (x *exchange) sendBuffered(response *http.Response, body []byte) {
	x.recordResponse(response, claim.Response{Body: body})
	header := x.writer.Header()
	copyResponseHeader(header, response.Header)
	if !x.plain.options.Dialect.OmitOutcome {
		header.Set(OutcomeHeader, string(outcome.Ran))
	}
	x.writer.WriteHeader(response.StatusCode)
	if len(body) > 0 {
		// A failed write means that the caller disconnected, which the HTTP server detects too.
		_, _ = x.writer.Write(body)
	}
}

// recordResponse records the response of a request that ran in the report and in the claim. The body is copied
// because its buffer is reused.
func (x *exchange) recordResponse(response *http.Response, recorded claim.Response) {
	x.report.Outcome = outcome.Ran
	x.report.Status = response.StatusCode
	if x.call.Claim == nil {
		return
	}
	recorded.Status = response.StatusCode
	recorded.ContentType = response.Header.Get("Content-Type")
	recorded.Body = append([]byte(nil), recorded.Body...)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.caller.Context()), claimRecordTimeout)
	defer cancel()
	if refusal := x.call.Claim.Finish(ctx, recorded); refusal != nil {
		x.plain.options.Counter.CountRefusal(refusal.Reason)
	}
}

// streamResponse forwards a large response, or one of unknown length, as it arrives.
func (x *exchange) streamResponse(ctx context.Context, response *http.Response, buffer []byte, done func(target.Result)) attemptResult {
	header := x.writer.Header()
	copyResponseHeader(header, response.Header)
	hasLength := response.ContentLength >= 0
	switch {
	case x.plain.options.Dialect.OmitOutcome:
		// Nothing is added to the target's response.
	case hasLength:
		// The caller detects a truncated response by its length.
		header.Set(OutcomeHeader, string(outcome.Ran))
	default:
		announceTrailers(header, response.Trailer)
	}
	x.headerSent = true
	x.endsWithCall = !hasLength
	x.responseStarted()
	x.writer.WriteHeader(response.StatusCode)
	defer x.writer.clearWriteDeadline()
	recorded, err := x.copyBody(response.Body, buffer, !hasLength)
	if err != nil {
		result := x.classifyCopyError(ctx, err)
		if result.refusal == nil {
			result.refusal = outcome.Refuse(result.refusalReason)
		}
		done(result.targetResult)
		return result
	}
	done(target.OK)
	if isCloseDelimited(response) {
		// Truncation of such a response cannot be detected, so its body is not recorded.
		x.recordResponse(response, claim.Response{Omitted: true})
		x.report.Outcome = outcome.Unknown
	} else {
		x.recordResponse(response, recorded)
	}
	if !hasLength && !x.plain.options.Dialect.OmitOutcome {
		setOutcomeTrailers(header, x.report.Outcome, "")
		copyTrailers(header, response.Trailer)
	}
	return attemptResult{targetResult: target.OK}
}

// isCloseDelimited reports whether the body of a response ends only when the connection is closed.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// copyBody forwards a body to the caller and returns what the claim records of it. After the caller disconnected,
// the response of a claimed request is still read to its end, but no longer sent.
func (x *exchange) copyBody(body io.Reader, buffer []byte, flush bool) (claim.Response, error) {
	var recorded claim.Response
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			x.recordBody(&recorded, buffer[:n])
			if writeErr := x.writeBody(buffer[:n], flush); writeErr != nil {
				return recorded, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return recorded, nil
		}
		if err != nil {
			return recorded, err
		}
	}
}

func (x *exchange) recordBody(recorded *claim.Response, data []byte) {
	if x.call.Claim == nil || recorded.Omitted {
		return
	}
	if len(recorded.Body)+len(data) > claim.MaxBody {
		recorded.Body = nil
		recorded.Omitted = true
		return
	}
	recorded.Body = append(recorded.Body, data...)
}

func (x *exchange) writeBody(data []byte, flush bool) error {
	if x.callerDisconnected {
		return nil
	}
	x.writer.extendWriteDeadline()
	_, err := x.writer.Write(data)
	if err == nil && flush {
		err = x.writer.controller.Flush()
	}
	if err == nil {
		return nil
	}
	x.callerDisconnected = true
	if x.call.Claim != nil {
		return nil
	}
	return &writeError{err}
}

// announceTrailers names the trailers in the header and sets the outcome to unknown; the trailers hold the final
// outcome.
func announceTrailers(header, trailer http.Header) {
	header.Set(OutcomeHeader, string(outcome.Unknown))
	header.Add("Trailer", OutcomeHeader)
	header.Add("Trailer", ReasonHeader)
	removeHopByHop(trailer)
	removeReserved(trailer)
	for name := range trailer {
		header.Add("Trailer", name)
	}
}

// copyTrailers adds the target's trailers, including unannounced ones.
func copyTrailers(header, trailer http.Header) {
	removeHopByHop(trailer)
	removeReserved(trailer)
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}

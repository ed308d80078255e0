package forward

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/respond"
)

// Headers that describe the outcome of a request.
const (
	OutcomeHeader = respond.OutcomeHeader
	ReasonHeader  = respond.ReasonHeader
)

// WriteRecordedResponse sends the recorded response of a request that ran before. If the body was too large to be
// recorded, the reason header marks the response as that of a duplicate request.
func WriteRecordedResponse(w http.ResponseWriter, recorded *claim.Response) {
	header := w.Header()
	header.Set(OutcomeHeader, string(outcome.Ran))
	if recorded.ContentType != "" {
		header.Set("Content-Type", recorded.ContentType)
	}
	if recorded.Omitted {
		header.Set(ReasonHeader, string(outcome.DuplicateRequest))
	}
	w.WriteHeader(recorded.Status)
	if bodyAllowed(recorded.Status) {
		_, _ = w.Write(recorded.Body)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// callerWriter writes to a caller with a timeout for each write.
type callerWriter struct {
	http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	// serverSetsDeadline reports whether the HTTP server sets a new write deadline for each request.
	serverSetsDeadline bool
}

func newCallerWriter(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) *callerWriter {
	server, _ := r.Context().Value(http.ServerContextKey).(*http.Server)
	return &callerWriter{
		ResponseWriter:     w,
		controller:         http.NewResponseController(w),
		writeTimeout:       writeTimeout,
		serverSetsDeadline: server != nil && server.WriteTimeout > 0,
	}
}

// writeAndFlush writes and flushes within the write timeout.
func (w *callerWriter) writeAndFlush(data []byte) error {
	w.extendWriteDeadline()
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.controller.Flush()
}

// flush sends what was written within the write timeout. It ignores errors: the HTTP server detects a disconnected caller too.
func (w *callerWriter) flush() {
	w.extendWriteDeadline()
	_ = w.controller.Flush()
	w.clearWriteDeadline()
}

// extendWriteDeadline sets the deadline of the next write. Errors are ignored because writers in tests do not
// support deadlines.
func (w *callerWriter) extendWriteDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.writeTimeout))
}

// readDeadlineMargin is added to the deadline of a call to get that of a blocked read. The call's deadline must
// pass first, because an expired read is reported like a disconnected caller.
const readDeadlineMargin = time.Second

// setReadDeadline makes blocked reads of the caller's body fail shortly after the deadline of the call; a zero
// time removes the read deadline.
func (w *callerWriter) setReadDeadline(deadline time.Time) {
	if !deadline.IsZero() {
		deadline = deadline.Add(readDeadlineMargin)
	}
	_ = w.controller.SetReadDeadline(deadline)
}

// enableFullDuplex leaves the caller's body to its reader when a response is sent. Otherwise the HTTP server first reads a
// part of the rest itself, which the target would then miss. Errors are ignored because writers in tests read no body.
func (w *callerWriter) enableFullDuplex() {
	_ = w.controller.EnableFullDuplex()
}

// closeAfterResponse makes the HTTP server close the connection in order after the response. A reader that exceeds its limit is its
// way to say so once the header is sent.
func (w *callerWriter) closeAfterResponse() {
	exceeded := http.MaxBytesReader(w.ResponseWriter, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = exceeded.Read(make([]byte, 1))
}

// clearWriteDeadline removes the write deadline, because the connection may serve another request.
func (w *callerWriter) clearWriteDeadline() {
	if !w.serverSetsDeadline {
		_ = w.controller.SetWriteDeadline(time.Time{})
	}
}

// setOutcomeTrailers sets the final outcome of a streamed response. Its header announced the trailers.
func setOutcomeTrailers(header http.Header, final outcome.Outcome, reason outcome.Reason) {
	header.Set(OutcomeHeader, string(final))
	if reason != "" {
		header.Set(ReasonHeader, string(reason))
	}
}

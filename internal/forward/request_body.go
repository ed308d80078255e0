package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
)

// maxBufferedRequest is the largest body in bytes that is read whole before a target is picked. Such a body
// reaches the target in one packet with the header, and a slow caller does not occupy a slot while sending it.
const maxBufferedRequest = 16 << 10

// prepareRequest builds the header and the body, which are the same for all attempts.
func (x *exchange) prepareRequest() *outcome.Refusal {
	x.header = targetHeader(x.call, x.caller, x.plain.options.Dialect.RequestIDHeader, x.plain.options.StripCredentials)
	length := x.caller.ContentLength
	if length == 0 || x.caller.Body == nil || x.caller.Body == http.NoBody {
		return nil
	}
	x.writer.setReadDeadline(x.call.Deadline)
	// Reading the body sends 100 Continue, and a caller that expects it must not get it before the target sends it.
	if length > maxBufferedRequest || len(x.caller.Trailer) > 0 || x.header["Expect"] != nil {
		x.startUpload(newUpload(x.caller, x.plain.options.StripCredentials, x.writer.controller.SetReadDeadline))
		return nil
	}
	if length < 0 {
		return x.bufferChunks()
	}
	x.body = make([]byte, length)
	if _, err := io.ReadFull(x.caller.Body, x.body); err != nil {
		return outcome.Refuse(outcome.CallerDisconnected)
	}
	// The HTTP server detects a disconnected caller only after the body was read to EOF.
	_, _ = x.caller.Body.Read(make([]byte, 1))
	x.writer.setReadDeadline(time.Time{})
	return nil
}

// startUpload makes the attempts send a body that is read while they run. Its duration depends on the caller.
func (x *exchange) startUpload(u *upload) {
	x.upload = u
	x.route.Untimed = true
	x.writer.enableFullDuplex()
}

// finishUpload waits for the end of an upload that outlasts the response. It closes the caller's connection after the response if a
// part of the body is unread: in full-duplex mode the HTTP server may take such a part for the next request.
func (x *exchange) finishUpload() {
	if x.upload == nil {
		return
	}
	if sent := x.upload.currentTransmission(); sent != nil && !sent.hasEnded() {
		x.writer.flush()
		// A caller that sent an Expect header may still wait for the permission to send its body.
		sent.await(x.caller.Context(), x.endsWithCall || x.header["Expect"] != nil)
		x.observeLateUpload()
	}
	if !x.uploadedWhole && !x.upload.reachedEOF.Load() {
		x.writer.closeAfterResponse()
	}
}

func (x *exchange) observeLateUpload() {
	observe := x.plain.options.ObserveLateUpload
	switch {
	case observe == nil:
	case x.upload.reachedEOF.Load():
		observe(UploadWhole)
	default:
		observe(UploadBroken)
	}
}

// abortUpload ends an upload that has not ended.
func (x *exchange) abortUpload() {
	if x.upload != nil {
		x.upload.abort()
	}
}

// endPrefetch ends a read of the body that is still under way.
func (x *exchange) endPrefetch() {
	if x.prefetch != nil {
		x.prefetch.end(x.writer.controller.SetReadDeadline)
	}
}

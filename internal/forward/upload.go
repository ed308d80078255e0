package forward

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// upload streams the caller's body to a target. It stays open after a failed attempt, so that the body can be sent
// to another target if no part of it was read.
type upload struct {
	body io.Reader
	// readStarted reports whether a part of the body may have been read, so that it cannot be sent again.
	readStarted atomic.Bool
	// readFailed reports whether reading the caller's body failed, which is not the target's fault.
	readFailed atomic.Bool
	// reachedEOF reports whether the body was read to its end; readAborted, whether the connection to the target
	// was closed before that.
	reachedEOF  atomic.Bool
	readAborted atomic.Bool
	// received is the number of bytes read so far; isReading reports whether a read is under way.
	received  atomic.Int64
	isReading atomic.Bool
	// current is the transmission that was begun last.
	current atomic.Pointer[transmission]
	// setReadDeadline sets the deadline for reads of the body.
	setReadDeadline func(time.Time) error
	// request is the caller's request, whose trailers are known at the end of the body.
	request          *http.Request
	trailer          http.Header
	stripCredentials func(http.Header)
}

func newUpload(r *http.Request, stripCredentials func(http.Header), setReadDeadline func(time.Time) error) *upload {
	u := &upload{body: r.Body, request: r, stripCredentials: stripCredentials, setReadDeadline: setReadDeadline}
	if len(r.Trailer) > 0 {
		u.trailer = make(http.Header, len(r.Trailer))
		for name := range r.Trailer {
			u.trailer[name] = []string{""}
		}
		u.stripTrailers()
	}
	return u
}

// newUploadWithoutTrailers returns an upload of a body that the caller announced without trailers. Trailers that come
// nevertheless are dropped.
func newUploadWithoutTrailers(body io.Reader, setReadDeadline func(time.Time) error) *upload {
	return &upload{body: body, stripCredentials: func(http.Header) {}, setReadDeadline: setReadDeadline}
}

// stripTrailers removes hop-by-hop headers, reserved headers and credentials from the trailers.
func (u *upload) stripTrailers() {
	removeHopByHop(u.trailer)
	removeReserved(u.trailer)
	u.stripCredentials(u.trailer)
}

// Read reads the caller's body and copies the trailers at its end.
func (u *upload) Read(p []byte) (int, error) {
	u.readStarted.Store(true)
	u.isReading.Store(true)
	n, err := u.body.Read(p)
	u.isReading.Store(false)
	u.received.Add(int64(n))
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		u.reachedEOF.Store(true)
		u.fillTrailers()
	default:
		u.readFailed.Store(!u.readAborted.Load())
	}
	return n, err
}

// abortReadGrace is how long a read of the body may continue after the connection to the target was closed. It
// gives a caller that is still sending time to read the response before its connection is closed.
const abortReadGrace = 500 * time.Millisecond

// abortRead ends a blocked read of the body after abortReadGrace. The caller's connection cannot be reused then.
func (u *upload) abortRead() {
	if u.reachedEOF.Load() {
		return
	}
	u.readAborted.Store(true)
	_ = u.setReadDeadline(time.Now().Add(abortReadGrace))
}

func (u *upload) fillTrailers() {
	for name := range u.trailer {
		delete(u.trailer, name)
		if values := u.request.Trailer[name]; len(values) > 0 {
			u.trailer[name] = values
		}
	}
	u.stripTrailers()
}

// Close leaves the caller's body open; the server closes it.
func (u *upload) Close() error { return nil }

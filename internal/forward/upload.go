package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var errBodyUsed = errors.New("a part of the body was sent to another target")

// upload streams the caller's body to a target. It stays open after a failed attempt, so that the body can be sent
// to another target if no part of it was read. At any time one transmission reads it.
type upload struct {
	body io.Reader
	// readFailed reports whether reading the caller's body failed, which is not the target's fault.
	readFailed atomic.Bool
	// reachedEOF reports whether the body was read to its end; readAborted, whether the connection to the target
	// was closed before that.
	reachedEOF  atomic.Bool
	readAborted atomic.Bool
	// received is the number of bytes read so far; isReading reports whether a read is under way.
	received  atomic.Int64
	isReading atomic.Bool
	// setReadDeadline sets the deadline for reads of the body.
	setReadDeadline func(time.Time) error
	// request is the caller's request, whose trailers are known at the end of the body.
	request          *http.Request
	trailer          http.Header
	stripCredentials func(http.Header)

	mu sync.Mutex
	// current is the only transmission that may read the body, if any.
	current *transmission
	// readStarted reports whether a part of the body may have been read, so that it cannot be sent again.
	readStarted bool
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

// begin returns a new transmission of the upload, unless a part of the body was read. The one before reads nothing any more.
func (u *upload) begin(ctx context.Context) (*transmission, error) {
	t := &transmission{upload: u, ctx: ctx, ended: make(chan struct{})}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.readStarted {
		return nil, errBodyUsed
	}
	if u.current != nil {
		u.current.end()
	}
	u.current = t
	return t, nil
}

// startRead reports whether a transmission may read the body.
func (u *upload) startRead(t *transmission) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != t {
		return false
	}
	u.readStarted = true
	return true
}

// isUsed reports whether a part of the body may have been read.
func (u *upload) isUsed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.readStarted
}

// currentTransmission returns the transmission that may read the body, or nil.
func (u *upload) currentTransmission() *transmission {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current
}

// abortReadGrace is how long a read of the body may continue after the connection to the target was closed. It
// gives a caller that is still sending time to read the response before its connection is closed.
const abortReadGrace = 500 * time.Millisecond

// abortRead ends a blocked read of a transmission after abortReadGrace. The caller's connection cannot be reused then. A transmission
// that has read nothing reads nothing any more, and the next one may.
func (u *upload) abortRead(t *transmission) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.current != t || u.reachedEOF.Load():
	case !u.readStarted:
		u.current = nil
	default:
		u.readAborted.Store(true)
		_ = u.setReadDeadline(time.Now().Add(abortReadGrace))
	}
}

// abort ends a transmission that has not ended.
func (u *upload) abort() {
	if t := u.currentTransmission(); t != nil {
		t.abort()
	}
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

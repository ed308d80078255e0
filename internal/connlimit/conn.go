package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// writePart is the largest part of a response that is written at once, so that progress shows.
	writePart = 64 << 10
	// maxUnsentBytes is how much of earlier responses a client may not have received when its next request is served.
	maxUnsentBytes = 64 << 10
	// unsentInterval is the time between two looks at a client that does not receive its responses.
	unsentInterval = 5 * time.Millisecond
)

type connKey struct{}

// conn is a connection of a client with what the limiter knows of it.
type conn struct {
	net.Conn
	limiter *Limiter
	address string

	// requests is the number of requests that are being served: 0 or 1.
	requests atomic.Int32
	// idleSince is when the connection was opened or its last request ended, in Unix nanoseconds.
	idleSince atomic.Int64
	// readingBody reports whether the server waits for a part of a body, since bodySince in Unix nanoseconds; writing, whether
	// it waits for the client to read.
	readingBody atomic.Bool
	bodySince   atomic.Int64
	writing     atomic.Bool
	closed      atomic.Bool
	// headBytes is the number of bytes read since the last request ended or the connection was opened.
	headBytes atomic.Int64
	// transferred is the number of bytes of bodies read and of responses written.
	transferred atomic.Int64

	// lastTransferred and slowTicks belong to updateSlowTicks.
	lastTransferred int64
	slowTicks       int
}

// waitsSince returns since when the connection has not sent what the server waits for, in Unix nanoseconds, and whether it
// may be closed for that.
func (c *conn) waitsSince(now time.Time) (int64, bool) {
	if c.requests.Load() == 0 {
		return c.idleSince.Load(), true
	}
	since := c.bodySince.Load()
	return since, c.readingBody.Load() && now.UnixNano()-since >= int64(stallTime)
}

// updateSlowTicks counts the consecutive ticks in which the connection kept the server waiting, and reports whether they are
// too many. It is called once a tick.
func (c *conn) updateSlowTicks() bool {
	transferred := c.transferred.Load()
	moved := transferred - c.lastTransferred
	c.lastTransferred = transferred
	if !c.readingBody.Load() && !c.writing.Load() || moved >= minTickBytes {
		c.slowTicks = 0
		return false
	}
	c.slowTicks++
	return c.slowTicks > maxSlowTicks
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.requests.Load() == 0 {
		c.headBytes.Add(int64(n))
		c.limiter.addHeadBytes(int64(n))
	}
	return n, err
}

// resetHead notes that no part of a head is waiting any more.
func (c *conn) resetHead() {
	if n := c.headBytes.Swap(0); n > 0 {
		c.limiter.headBytes.Add(-n)
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		part := data[written:min(len(data), written+writePart)]
		n, err := c.Conn.Write(part)
		written += n
		c.transferred.Add(int64(n))
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// CloseWrite closes the sending direction, which the HTTP server does before it closes a connection with unread data.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.limiter.remove(c)
	c.resetHead()
	return c.Conn.Close()
}

// watchRequests returns a handler that tells connections when they serve a request and wait for its body.
func watchRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.requests.Add(1)
		c.resetHead()
		defer c.endRequest()
		if !c.waitUntilReceived(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &watchedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// waitUntilReceived waits until the client has received most of the earlier responses. It returns false if the connection is
// closed before; Run closes it if the client receives too little.
func (c *conn) waitUntilReceived(ctx context.Context) bool {
	unsent := unsentBytes(c.Conn)
	if unsent <= maxUnsentBytes {
		return true
	}
	c.writing.Store(true)
	defer c.writing.Store(false)
	for unsent > maxUnsentBytes {
		if !wait.Sleep(ctx, unsentInterval) || c.closed.Load() {
			return false
		}
		left := unsentBytes(c.Conn)
		c.transferred.Add(int64(unsent - left))
		unsent = left
	}
	return true
}

// endRequest notes that the request has been served.
func (c *conn) endRequest() {
	c.idleSince.Store(time.Now().UnixNano())
	c.requests.Add(-1)
}

// watchedBody tells its connection when the server waits for the body.
type watchedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.conn.bodySince.Store(time.Now().UnixNano())
	b.conn.readingBody.Store(true)
	n, err := b.ReadCloser.Read(p)
	b.conn.readingBody.Store(false)
	b.conn.transferred.Add(int64(n))
	return n, err
}

package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/uploadtest"
)

// heldConn holds its first write after the bytes were sent, or fails it.
type heldConn struct {
	net.Conn
	fails   bool
	release chan struct{}
}

func (c *heldConn) Write(p []byte) (int, error) {
	if c.fails {
		return 0, errors.New("write failed")
	}
	n, err := c.Conn.Write(p)
	<-c.release
	return n, err
}

// startRefusingTarget returns the URL of a target that reports, at the first byte of its first request, that it has not run it.
func startRefusingTarget(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}()
	return "http://" + l.Addr().String()
}

// startReadingTarget returns the URL of a target that reads requests to their end. It calls begun when it has a part of a body.
func startReadingTarget(t *testing.T, begun func()) (string, chan uploadtest.Received) {
	bodies := make(chan uploadtest.Received, 1)
	return serve(t, func(_ http.ResponseWriter, r *http.Request) {
		first := make([]byte, 1)
		n, _ := io.ReadFull(r.Body, first)
		begun()
		rest, err := io.ReadAll(r.Body)
		bodies <- uploadtest.Received{Data: append(first[:n], rest...), Err: err}
	}), bodies
}

// serveRetried returns the URL of an instance whose first connection is the given one.
func serveRetried(t *testing.T, first *heldConn, targets ...string) string {
	options := newFakeDeps(targets...).options()
	options.Dialect.ReportsNotRun = func(r *http.Response) bool { return r.StatusCode == http.StatusServiceUnavailable }
	var dials atomic.Int64
	options.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil && dials.Add(1) == 1 {
			first.Conn = c
			return first, nil
		}
		return c, err
	}
	return serve(t, handler(New(options), Call{}))
}

// sendRetried sends a long upload whose first attempt fails, and expects the next one to send the whole body.
func sendRetried(t *testing.T, url string, pause time.Duration, bodies <-chan uploadtest.Received) {
	t.Helper()
	request := uploadtest.Request{Path: "/x", Body: uploadtest.NewBody(earlyUpload), Pause: pause}
	caller := uploadtest.Dial(t, url)
	go func() { _ = caller.Send(request) }()
	if got, err := caller.ReadResponse(); err != nil || got.Status != http.StatusOK {
		t.Errorf("the caller got %+v, %v", got, err)
	}
	select {
	case received := <-bodies:
		if err := received.CheckWhole(request.Body); err != nil {
			t.Error(err)
		}
	default:
		t.Error("no target read the request")
	}
}

// Guards against an attempt that takes a part of a body from the one after it: its target reported that it has not run the request while
// the attempt still wrote the head, before it read the body.
func TestAbandonedAttemptLeavesBodyToNext(t *testing.T) {
	first := &heldConn{release: make(chan struct{})}
	target, bodies := startReadingTarget(t, func() { close(first.release) })
	url := serveRetried(t, first, startRefusingTarget(t), target)
	sendRetried(t, url, abortReadGrace/50, bodies)
}

// Guards against a body that breaks off 500 ms after an attempt that sent nothing of it: the end of that attempt limited the reads of the
// next one.
func TestFailedAttemptDoesNotLimitNext(t *testing.T) {
	target, bodies := startReadingTarget(t, func() {})
	sendRetried(t, serveRetried(t, &heldConn{fails: true}, target), abortReadGrace/10, bodies)
}

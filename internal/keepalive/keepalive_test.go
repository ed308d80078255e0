package keepalive

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
)

// isClosed reports whether the other end of a pipe was closed.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	ok := errors.As(err, &netErr)
	return err != nil && (!ok || !netErr.Timeout())
}

// Guards against idle connections that are closed before the current limit or never, and against active connections
// that are closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		c := NewConnections(func() time.Duration { return time.Duration(limit.Load()) })
		var done conc.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		done.Go(func() { _ = c.Run(ctx) })
		defer done.Wait()
		defer cancel()
		idleConn, idleConnPeer := net.Pipe()
		activeConn, activeConnPeer := net.Pipe()
		c.Track(idleConn, http.StateNew)
		c.Track(idleConn, http.StateActive)
		c.Track(idleConn, http.StateIdle)
		c.Track(activeConn, http.StateNew)
		c.Track(activeConn, http.StateActive)
		time.Sleep(time.Hour)
		if isClosed(idleConnPeer) {
			t.Fatal("idle connection closed without a limit")
		}
		c.Track(idleConn, http.StateActive)
		c.Track(idleConn, http.StateIdle)
		limit.Store(int64(90 * time.Second))
		time.Sleep(89 * time.Second)
		if isClosed(idleConnPeer) {
			t.Fatal("idle connection closed before the limit")
		}
		time.Sleep(2*checkInterval + time.Second)
		if !isClosed(idleConnPeer) {
			t.Error("idle connection not closed after the limit")
		}
		if isClosed(activeConnPeer) {
			t.Error("active connection closed")
		}
	})
}

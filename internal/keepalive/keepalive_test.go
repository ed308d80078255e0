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

// closed reports whether the other end of a pipe was closed.
func closed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	ok := errors.As(err, &netErr)
	return err != nil && (!ok || !netErr.Timeout())
}

// Guards against connections that are closed before the limit in force, or never.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		c := NewConnections(func() time.Duration { return time.Duration(limit.Load()) })
		var done conc.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		done.Go(func() { _ = c.Run(ctx) })
		defer done.Wait()
		defer cancel()
		ours, theirs := net.Pipe()
		busy, busyEnd := net.Pipe()
		c.Track(ours, http.StateNew)
		c.Track(ours, http.StateActive)
		c.Track(ours, http.StateIdle)
		c.Track(busy, http.StateNew)
		c.Track(busy, http.StateActive)
		time.Sleep(time.Hour)
		if closed(theirs) {
			t.Fatal("closed without a limit")
		}
		c.Track(ours, http.StateActive)
		c.Track(ours, http.StateIdle)
		limit.Store(int64(90 * time.Second))
		time.Sleep(89 * time.Second)
		if closed(theirs) {
			t.Fatal("closed before the limit")
		}
		time.Sleep(2*interval + time.Second)
		if !closed(theirs) {
			t.Error("open after the limit")
		}
		if closed(busyEnd) {
			t.Error("a connection in use was closed")
		}
	})
}

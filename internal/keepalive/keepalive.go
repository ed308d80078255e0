// Package keepalive closes connections of callers that are idle for longer than a limit, which may change while the
// server runs. The idle timeout of net/http cannot change after the server has started.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/wait"
)

// checkInterval is the time between two checks for idle connections, which are closed late by up to this time.
const checkInterval = 5 * time.Second

// Connections tracks the idle connections of a server. The server's ConnState callback must be Track.
type Connections struct {
	// limit returns how long a connection may be idle; 0 means no limit.
	limit func() time.Duration

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// NewConnections returns a tracker that calls limit at each check for how long a connection may be idle; 0 means no
// limit.
func NewConnections(limit func() time.Duration) *Connections {
	return &Connections{limit: limit, idleSince: map[net.Conn]time.Time{}}
}

// Track records the state of a connection. A connection counts as idle from its start until its first request.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateActive, http.StateHijacked, http.StateClosed:
		delete(c.idleSince, conn)
	}
}

// Run closes connections that are idle for longer than the limit, until ctx ends.
func (c *Connections) Run(ctx context.Context) error {
	for wait.Sleep(ctx, checkInterval) {
		for _, conn := range c.removeExpired(time.Now()) {
			// The server detects that the connection is closed and releases it.
			_ = conn.Close()
		}
	}
	return nil
}

// removeExpired removes the connections that are idle for longer than the limit from idleSince and returns them.
func (c *Connections) removeExpired(now time.Time) []net.Conn {
	limit := c.limit()
	if limit <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []net.Conn
	for conn, since := range c.idleSince {
		if now.Sub(since) > limit {
			conns = append(conns, conn)
			delete(c.idleSince, conn)
		}
	}
	return conns
}

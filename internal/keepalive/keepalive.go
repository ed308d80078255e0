// Package keepalive closes connections of callers that stay unused for longer than a limit that may change while
// the server runs. The limit of net/http is fixed when a server starts.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/wait"
)

// interval is the time between two looks for unused connections. They are closed late by up to this time.
const interval = 5 * time.Second

// Connections tracks the unused connections of a server, whose ConnState has to be Track.
type Connections struct {
	// limit returns how long a connection may be unused; 0 means without end.
	limit func() time.Duration

	mu     sync.Mutex
	unused map[net.Conn]time.Time
}

// NewConnections returns a tracker with a limit.
func NewConnections(limit func() time.Duration) *Connections {
	return &Connections{limit: limit, unused: map[net.Conn]time.Time{}}
}

// Track follows the state of a connection. A connection without a request counts as unused from its start.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.unused[conn] = time.Now()
	case http.StateActive, http.StateHijacked, http.StateClosed:
		delete(c.unused, conn)
	}
}

// Run closes unused connections until ctx ends.
func (c *Connections) Run(ctx context.Context) error {
	for wait.Sleep(ctx, interval) {
		for _, conn := range c.expired(time.Now()) {
			// The server notices the closed connection and forgets it.
			_ = conn.Close()
		}
	}
	return nil
}

// expired takes the connections whose time is over off the list.
func (c *Connections) expired(now time.Time) []net.Conn {
	limit := c.limit()
	if limit <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []net.Conn
	for conn, since := range c.unused {
		if now.Sub(since) > limit {
			conns = append(conns, conn)
			delete(c.unused, conn)
		}
	}
	return conns
}

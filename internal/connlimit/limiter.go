// Package connlimit bounds the connections of an HTTP server and closes those that send or read too slowly.
//
// A connection that serves no request is closed first when the bound is reached: the longest idle one of the client
// address with the most connections. This includes connections whose next request has not arrived completely.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// minTickBytes and maxSlowTicks are the smallest rate of bodies and responses: a connection is closed if it
	// transfers less than minTickBytes in each of maxSlowTicks consecutive ticks while the server waits for it.
	minTickBytes = 1 << 10
	maxSlowTicks = 10
	tick         = time.Second
	// stallTime is the time without bytes of a body after which a connection may be closed in favour of a new one.
	stallTime = time.Second
)

// Counts are the numbers of connections closed or refused so far.
type Counts struct {
	// Evicted connections were closed in favour of new ones, Refused ones were closed at once because all others serve
	// requests, and Slow ones transferred too little.
	Evicted, Refused, Slow int64
}

// Limiter bounds the connections of one server.
type Limiter struct {
	limit func() int
	// maxHeads returns the bytes that the unfinished heads of all connections may have; 0 means no limit.
	maxHeads  func() int64
	headBytes atomic.Int64

	mu        sync.Mutex
	open      map[*conn]struct{}
	byAddress map[string]int

	evicted, refused, slow atomic.Int64
}

// New returns a limiter. At each new connection it calls limit for the number of connections that may be open, and at each
// part of a head maxHeads for the bytes that all unfinished heads may have; 0 means no limit.
func New(limit func() int, maxHeads func() int64) *Limiter {
	return &Limiter{limit: limit, maxHeads: maxHeads, open: map[*conn]struct{}{}, byAddress: map[string]int{}}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.open))
}

// Counts returns the numbers of connections closed or refused so far.
func (l *Limiter) Counts() Counts {
	return Counts{Evicted: l.evicted.Load(), Refused: l.refused.Load(), Slow: l.slow.Load()}
}

// Apply makes a server keep to the limiter. The server must accept its connections from a listener that Listener returned.
func (l *Limiter) Apply(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.Handler = watchRequests(server.Handler)
}

// Listener returns a listener whose connections count.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(accepted, time.Now()); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// admit registers a connection, closing another one if necessary. It returns nil if there is no room.
func (l *Limiter) admit(accepted net.Conn, now time.Time) *conn {
	c := &conn{Conn: accepted, limiter: l, address: hostOf(accepted.RemoteAddr())}
	c.idleSince.Store(now.UnixNano())
	limit := l.limit()
	l.mu.Lock()
	var victim *conn
	full := limit > 0 && len(l.open) >= limit
	if full {
		victim = l.chooseVictim(now)
	}
	if full && victim == nil {
		l.mu.Unlock()
		l.refused.Add(1)
		return nil
	}
	l.open[c] = struct{}{}
	l.byAddress[c.address]++
	l.mu.Unlock()
	if victim != nil {
		l.evicted.Add(1)
		_ = victim.Close()
	}
	return c
}

func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// chooseVictim returns the connection to close in favour of a new one, or nil. The caller holds the lock.
func (l *Limiter) chooseVictim(now time.Time) *conn {
	var victim *conn
	var victimSince int64
	for c := range l.open {
		since, ok := c.waitsSince(now)
		if !ok {
			continue
		}
		if victim == nil || l.isBetterVictim(c, since, victim, victimSince) {
			victim, victimSince = c, since
		}
	}
	return victim
}

func (l *Limiter) isBetterVictim(c *conn, since int64, than *conn, thanSince int64) bool {
	if x, y := l.byAddress[c.address], l.byAddress[than.address]; x != y {
		return x > y
	}
	return since < thanSince
}

// addHeadBytes notes a part of a head. While the unfinished heads have too many bytes, the connection with the largest is
// closed.
func (l *Limiter) addHeadBytes(n int64) {
	total, limit := l.headBytes.Add(n), l.maxHeads()
	if limit <= 0 || total <= limit {
		return
	}
	if victim := l.largestHead(); victim != nil {
		l.evicted.Add(1)
		_ = victim.Close()
	}
}

// largestHead returns the connection with the largest unfinished head, or nil.
func (l *Limiter) largestHead() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var largest *conn
	for c := range l.open {
		if c.requests.Load() > 0 || c.headBytes.Load() == 0 {
			continue
		}
		if largest == nil || c.headBytes.Load() > largest.headBytes.Load() {
			largest = c
		}
	}
	return largest
}

// remove forgets a connection.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	if l.byAddress[c.address]--; l.byAddress[c.address] == 0 {
		delete(l.byAddress, c.address)
	}
}

// Run closes connections that are too slow, until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	for wait.Sleep(ctx, tick) {
		for _, c := range l.slowConnections() {
			l.slow.Add(1)
			_ = c.Close()
		}
	}
	return nil
}

// slowConnections notes what each connection transferred since the last tick and returns those that are too slow.
func (l *Limiter) slowConnections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var slow []*conn
	for c := range l.open {
		if c.updateSlowTicks() {
			slow = append(slow, c)
		}
	}
	return slow
}

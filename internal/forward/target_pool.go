package forward

import (
	"net/url"
	"slices"
	"sync"
	"time"
)

// targetPool holds the idle connections to one target, the most recently used last.
type targetPool struct {
	url          string
	baseURL      *url.URL
	maxIdleConns int
	// maxIdle is the longest time that a reusable connection may have been idle.
	maxIdle time.Duration

	mu       sync.Mutex
	conns    []*conn
	lastUsed time.Time
	// retired reports that the pool was removed from the client and must not keep connections.
	retired bool
}

// unusedPoolTTL is how long the pool of an unused target is kept. Hundreds of targets are replaced each day, so
// the pools of replaced targets must be removed.
const unusedPoolTTL = 10 * time.Minute

// retireIfUnused retires the pool if the target was not used for unusedPoolTTL, and reports whether it did.
func (p *targetPool) retireIfUnused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastUsed.IsZero() {
		p.lastUsed = now
	}
	p.retired = len(p.conns) == 0 && now.Sub(p.lastUsed) >= unusedPoolTTL
	return p.retired
}

func (p *targetPool) put(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired || len(p.conns) >= p.maxIdleConns {
		return false
	}
	p.lastUsed = c.idleSince
	p.conns = append(p.conns, c)
	return true
}

func (p *targetPool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.conns {
		if other == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			return
		}
	}
}

func (p *targetPool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.conns) - 1
	if last < 0 {
		return nil
	}
	c := p.conns[last]
	p.conns[last] = nil
	p.conns = p.conns[:last]
	return c
}

// get returns an idle connection that is still usable, or nil.
func (p *targetPool) get() *conn {
	for c := p.pop(); c != nil; c = p.pop() {
		if c.acquire(p.maxIdle) && c.clientConn.Err() == nil {
			return c
		}
		c.closeClientConn()
	}
	return nil
}

// closeIdle closes connections that have been idle for age or longer.
func (p *targetPool) closeIdle(age time.Duration, now time.Time) {
	p.mu.Lock()
	all := slices.Clone(p.conns)
	p.mu.Unlock()
	for _, c := range all {
		if c.expireIdle(age, now) {
			c.closeClientConn()
		}
	}
}

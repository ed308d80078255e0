package main

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// firstRetransmission is the time after which TCP sends a segment again that was not acknowledged. Each further time is twice as long.
const firstRetransmission = 200 * time.Millisecond

// path is the network path from one machine to a server of the platform. While it is cut, no byte passes. TCP sends bytes that were
// under way again, with growing pauses, also after the sender has closed the connection in order; a reset drops them.
type path struct {
	world           *world
	name, to        string
	mu              sync.Mutex
	cutAt, healedAt time.Time
}

// startPath starts a path to a server; machines connect to its address.
func (w *world) startPath(name, address, to string) (*path, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &path{world: w, name: name, to: to}
	w.atEnd(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// cut cuts the path, and heals it after a time.
func (p *path) cut(duration time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAt, p.healedAt = now, now.Add(duration)
}

// isCut reports whether the path is cut.
func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return !p.cutAt.IsZero() && now.Before(p.healedAt)
}

// arrival returns when bytes that were sent at a time reach the other end.
func (p *path) arrival(sentAt time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutAt.IsZero() || sentAt.Before(p.cutAt) || !sentAt.Before(p.healedAt) {
		return sentAt
	}
	at, pause := sentAt, firstRetransmission
	for at.Before(p.healedAt) {
		at = at.Add(pause)
		pause *= 2
	}
	return at
}

func (p *path) serve(client net.Conn) {
	defer client.Close()
	if p.isCut() {
		// The opening packet is lost. The sender gives up long before TCP has sent it often enough.
		_, _ = io.Copy(io.Discard, client)
		return
	}
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.to)
	if err != nil {
		return
	}
	defer server.Close()
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(server, client) })
	wg.Go(func() { p.pass(client, server) })
	wg.Wait()
}

// pass carries the bytes of one direction.
func (p *path) pass(to, from net.Conn) {
	type part struct {
		data []byte
		at   time.Time
	}
	parts := make(chan part, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(parts)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				parts <- part{data: buffer[:n], at: p.arrival(time.Now())}
			}
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range parts {
		select {
		case <-time.After(time.Until(next.at)):
		case <-reset:
			_ = to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
		if _, err := to.Write(next.data); err != nil {
			from.Close()
			return
		}
	}
	_ = to.(*net.TCPConn).CloseWrite()
}

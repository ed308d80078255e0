package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Pipe is a net.Listener with in-memory connections. It works inside a testing/synctest bubble.
type Pipe struct {
	connections chan net.Conn
	done        chan struct{}
	once        sync.Once
}

// NewPipe returns an open listener.
func NewPipe() *Pipe {
	return &Pipe{connections: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case <-p.done:
		return nil, net.ErrClosed
	case connection := <-p.connections:
		return connection, nil
	}
}

// Close implements net.Listener.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// Addr implements net.Listener.
func (p *Pipe) Addr() net.Addr { return pipeAddr{} }

// DialContext opens a connection to the listener. It ignores the network and the address.
func (p *Pipe) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.done:
		return nil, net.ErrClosed
	case p.connections <- serverConn:
		return clientConn, nil
	}
}

// ServePipe serves a handler on an in-memory listener. The client reaches the handler under any host name;
// stop closes the server and the client's idle connections.
func ServePipe(handler http.Handler) (client *http.Client, stop func()) {
	pipe := NewPipe()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	transport := &http.Transport{DialContext: pipe.DialContext}
	go serve(server, pipe)
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	}
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }

func (pipeAddr) String() string { return "pipe" }

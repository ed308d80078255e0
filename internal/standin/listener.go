// Package standin holds the listeners and the request recorder that the emulated services share. These services
// replace the users' platform, model engines and plain services in tests, experiments and the demo.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// readHeaderTimeout limits how long a client may take to send its request headers.
	readHeaderTimeout = 10 * time.Second
	// bindRetryInterval and maxBindAttempts limit the wait for an address that a server has just released.
	bindRetryInterval = 20 * time.Millisecond
	maxBindAttempts   = 50
)

// Server serves a handler on a TCP address that stays the same across crashes and restarts.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
}

// Listen starts a server on an IP address and port. Port 0 selects a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// URL returns the base URL.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}

// Start binds the address and accepts connections, also again after Crash. It does nothing if the server is running.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := bind(s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	go serve(s.server, listener)
	return nil
}

// bind listens on the address. It retries because the kernel releases the address of a closed listener with a delay.
func bind(address string) (net.Listener, error) {
	var config net.ListenConfig
	var listener net.Listener
	var err error
	for range maxBindAttempts {
		listener, err = config.Listen(context.Background(), "tcp", address)
		if err == nil {
			return listener, nil
		}
		time.Sleep(bindRetryInterval)
	}
	return nil, errors.Wrap(err, "listen "+address)
}

func serve(server *http.Server, listener net.Listener) {
	// The error is ignored, because it only says that the server was closed.
	_ = server.Serve(listener)
}

// Crash closes the listener and all connections immediately.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
}

// Close implements io.Closer by calling Crash.
func (s *Server) Close() error {
	s.Crash()
	return nil
}

// Package drain completes the requests of HTTP servers in a graceful shutdown.
package drain

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Servers are HTTP servers that are shut down together.
type Servers struct {
	servers []*http.Server
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelCauseFunc
}

// New returns servers that do not serve yet. It sets their BaseContext.
func New(servers ...*http.Server) *Servers {
	ctx, cancel := context.WithCancelCause(context.Background())
	for _, server := range servers {
		server.BaseContext = func(net.Listener) context.Context { return ctx }
	}
	return &Servers{servers, cancel}
}

// Shutdown stops accepting requests and waits until the running ones have responses, but no longer than ctx lasts.
func (s *Servers) Shutdown(ctx context.Context) error {
	var first error
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = errors.WithStack(err)
		}
	}
	return first
}

// Cancel cancels the contexts of all running requests, with a cause that tells their handlers what to respond.
func (s *Servers) Cancel(cause error) { s.cancelRequests(cause) }

// Close closes all connections.
func (s *Servers) Close() {
	for _, server := range s.servers {
		// Their listeners are closed already, or the process ends.
		_ = server.Close()
	}
}

// Package entry serves callers and operators over HTTP. It authenticates and admits each request and passes it to the
// package that runs it, cancels requests whose key is withdrawn, and shuts down without interrupting requests.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/confsync"
	"github.com/egretspar/egretspar/internal/forward"
	"github.com/egretspar/egretspar/internal/key"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/telemetry"
)

const (
	// readHeaderTimeout closes connections that send their headers too slowly.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// writeTimeout closes connections whose client stops reading the response. It is longer than the longest poll,
	// which takes one minute; forwarding extends it with each write.
	writeTimeout = 2 * time.Minute
	// maxHeaderBytes limits the memory for the headers of one request.
	maxHeaderBytes = 64 << 10
	// staleCheckInterval is much shorter than confsync.StreamGracePeriod, after which requests are cancelled.
	staleCheckInterval = 250 * time.Millisecond
	// balancerGracePeriod is the time after readiness is turned off in which requests are still accepted, because the
	// load balancer may not have noticed yet.
	balancerGracePeriod = 2 * time.Second
)

// Config is the configuration in force on this instance.
type Config interface {
	Serving(now time.Time) bool
	ServingUntil(now time.Time) time.Time
	Body() ([]byte, int)
	Apply(ctx context.Context, expected int, body []byte, author string) (confsync.Result, *outcome.Refusal)
	History(ctx context.Context, limit int) ([]confsync.Record, *outcome.Refusal)
}

// Forwarder runs requests on targets and writes their responses.
type Forwarder interface {
	ServeCompletion(w http.ResponseWriter, r *http.Request, call forward.Call)
	ServePlain(w http.ResponseWriter, r *http.Request, call forward.Call)
}

// Admission decides when a request may run.
type Admission interface {
	Acquire(ctx context.Context, req admission.Request) (*admission.Ticket, *outcome.Refusal)
}

// Claims records non-idempotent requests.
type Claims interface {
	Begin(ctx context.Context, team, requestID string, attempt int, now time.Time) (claim.Decision, *outcome.Refusal)
}

// Steps handles the step calls of trainers.
type Steps interface {
	HandleOpen(w http.ResponseWriter, r *http.Request, params httprouter.Params, team string)
	HandlePoll(w http.ResponseWriter, r *http.Request, params httprouter.Params, team string)
	HandleCancel(w http.ResponseWriter, r *http.Request, params httprouter.Params, team string)
}

// Usage records the work done for each team.
type Usage interface {
	Record(team, service string, promptTokens, generatedTokens int, target time.Duration)
}

// Options holds the settings of a Server and the components that it calls.
type Options struct {
	Listen string
	// TLS is nil for plain HTTP.
	TLS        *tls.Config
	AdminToken string
	Config     Config
	Forwarder  Forwarder
	Admission  Admission
	Claims     Claims
	Steps      Steps
	Usage      Usage
	// Status describes this instance for operators.
	Status func() api.Status
	// RequestDrain starts a graceful shutdown of the process.
	RequestDrain func()
	Metrics      *telemetry.Metrics
	Log          zerolog.Logger
}

// Server is the HTTP server of one entry instance.
type Server struct {
	opts             Options
	active           *activeRequests
	state            atomic.Pointer[configState]
	draining         atomic.Bool
	refusingRequests atomic.Bool
	listener         net.Listener
	http             *http.Server
}

// configState holds what requests need from one configuration revision.
type configState struct {
	doc      *config.Document
	revision int
	keyring  *key.Keyring
	services map[string]config.Service
}

// Listen returns a server that listens on opts.Listen. Run serves requests.
func Listen(ctx context.Context, opts Options) (*Server, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", opts.Listen)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if opts.TLS != nil {
		listener = tls.NewListener(listener, opts.TLS)
	}
	s := &Server{opts: opts, active: newActiveRequests(), listener: listener}
	s.state.Store(newConfigState(&config.Document{}, 0))
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func newConfigState(doc *config.Document, revision int) *configState {
	st := &configState{doc: doc, revision: revision, keyring: key.NewKeyring(doc), services: map[string]config.Service{}}
	for _, service := range doc.Services {
		st.services[service.Name] = service
	}
	return st
}

// ApplyConfig puts a revision in force and cancels the running requests whose keys it withdraws. When it returns, no
// request continues with a withdrawn key.
func (s *Server) ApplyConfig(doc *config.Document, revision int) {
	st := newConfigState(doc, revision)
	s.state.Store(st)
	cancelled := s.active.cancelUnless(st.keyring.IsInForce, outcome.KeyWithdrawn)
	s.opts.Log.Info().Int("revision", revision).Int("requests_ended", cancelled).Msg("keys and routes applied")
}

// Run serves until ctx ends or the server is closed.
func (s *Server) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(func(context.Context) error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.WithStack(err)
	})
	p.Go(func(ctx context.Context) error {
		s.cancelStaleRequests(ctx)
		return s.http.Close()
	})
	return p.Wait()
}

// cancelStaleRequests cancels the requests made with a key when the configuration has not been confirmed for so long
// that another instance may have withdrawn the key.
func (s *Server) cancelStaleRequests(ctx context.Context) {
	ticker := time.NewTicker(staleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.After(s.opts.Config.ServingUntil(now).Add(confsync.StreamGracePeriod)) {
				s.active.cancelUnless(func(key.Identity) bool { return false }, outcome.ConfigStale)
			}
		}
	}
}

// Drain turns readiness off, accepts requests for another balancerGracePeriod until the load balancer has noticed, then
// refuses new requests and waits until all running requests have finished. It returns early when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	if s.draining.Swap(true) {
		return nil
	}
	s.http.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(balancerGracePeriod):
	case <-ctx.Done():
	}
	s.refusingRequests.Store(true)
	return s.active.waitEmpty(ctx)
}

// Draining reports whether a graceful shutdown has started.
func (s *Server) Draining() bool { return s.draining.Load() }

// ActiveRequests returns the number of running requests.
func (s *Server) ActiveRequests() int { return s.active.count() }

// Shutdown closes the listener and waits until the responses on open connections have been written.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.WithStack(s.http.Shutdown(ctx))
}

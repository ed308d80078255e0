package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// fakeDeps is a fake picker, budget, quarantine and counter. It picks from a fixed list of targets in order.
type fakeDeps struct {
	mu          sync.Mutex
	targets     []target.Target
	results     []target.Result
	retried     []outcome.RetryReason
	denyRetries bool
	// busyPicks is the number of picks after the first attempt for which no target is free.
	busyPicks int
	// breaksToQuarantine is the number of broken targets after which a request is quarantined; 0 means never.
	breaksToQuarantine int
	// untimed holds, for each pick, whether the time of the attempt depends on the caller.
	untimed []bool
}

func newFakeDeps(urls ...string) *fakeDeps {
	d := &fakeDeps{}
	for i, u := range urls {
		d.targets = append(d.targets, target.Target{ID: string(rune('a' + i)), URL: u})
	}
	return d
}

func (d *fakeDeps) Pick(request target.Request, _ time.Time) (target.Reservation, *outcome.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.untimed = append(d.untimed, request.Untimed)
	if d.busyPicks > 0 && len(d.results) > 0 {
		d.busyPicks--
		return nil, outcome.Refuse(outcome.NoTarget)
	}
	for _, t := range d.targets {
		if !slices.Contains(request.Exclude, t.ID) {
			return &fakeReservation{deps: d, target: t}, nil
		}
	}
	return nil, outcome.Refuse(outcome.NoTarget)
}

func (d *fakeDeps) AllowRetry(string, string, time.Time) bool { return !d.denyRetries }

func (d *fakeDeps) RecordCrash(uint64, string, time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.breaksToQuarantine--
	return d.breaksToQuarantine == 0
}

func (d *fakeDeps) IsQuarantined(uint64, time.Time) bool { return false }

func (d *fakeDeps) RecordCompleted(uint64, time.Time) {}

func (d *fakeDeps) CountRefusal(outcome.Reason) {}

func (d *fakeDeps) CountRetry(reason outcome.RetryReason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retried = append(d.retried, reason)
}

type fakeReservation struct {
	deps   *fakeDeps
	target target.Target
	done   atomic.Bool
}

// Target panics after Done: the slot may then belong to another request, and its target may have been replaced.
func (r *fakeReservation) Target() target.Target {
	if r.done.Load() {
		panic("Target called after Done")
	}
	return r.target
}

func (r *fakeReservation) Done(result target.Result, _ time.Duration) {
	r.done.Store(true)
	r.deps.mu.Lock()
	defer r.deps.mu.Unlock()
	r.deps.results = append(r.deps.results, result)
}

func (d *fakeDeps) options() Options {
	limits := DefaultLimits()
	// Tests on the real network do not wait for free slots.
	limits.ResumeTimeout = 0
	return Options{Picker: d, Budget: d, Counter: d, Quarantine: d, Limits: limits, StripCredentials: func(h http.Header) {
		h.Del("Authorization")
		h.Del("X-Api-Key")
	}}
}

// handler serves calls like an entry instance.
func handler(f *Forwarder, call Call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := call
		request.RequestID, request.Team, request.Path = "request-1", "team", r.URL.EscapedPath()
		request.Service = config.Service{Name: "model"}
		if r.URL.Path == "/v1/completions" {
			f.ServeCompletion(w, r, request)
			return
		}
		f.ServePlain(w, r, request)
	}
}

func (d *fakeDeps) serveEntry(t testing.TB, call Call) string {
	return serve(t, handler(New(d.options()), call))
}

func serve(t testing.TB, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func closedPortURL() string {
	s := httptest.NewServer(nil)
	defer s.Close()
	return s.URL
}

// testNetwork is an unbuffered in-memory network with a Forwarder, in a synctest bubble with simulated time.
type testNetwork struct {
	*testing.T
	hosts       map[string]chan net.Conn
	deps        *fakeDeps
	forward     *Forwarder
	client      *http.Transport
	cancelledAt chan time.Time
}

func runOnNetwork(t *testing.T, name string, targets []string, f func(s *testNetwork)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &testNetwork{T: t, hosts: map[string]chan net.Conn{}, deps: newFakeDeps(targets...), cancelledAt: make(chan time.Time, 1)}
			options := s.deps.options()
			options.DialContext, options.Limits = s.dial, DefaultLimits()
			s.forward = New(options)
			s.client = &http.Transport{DialContext: s.dial, DisableCompression: true}
			f(s)
			s.client.CloseIdleConnections()
			// Connections return to the pool after the response.
			synctest.Wait()
			s.forward.client.closeIdle(0)
		})
	})
}

func (s *testNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case s.hosts[address] <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *testNetwork) serve(host string, h http.HandlerFunc) {
	l := pipeListener{make(chan net.Conn), make(chan struct{})}
	s.hosts[host+":80"] = l.conns
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.Cleanup(func() { server.Close() })
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (s *testNetwork) post(path, body string) *http.Response {
	request, _ := http.NewRequest("POST", "http://entry"+path, strings.NewReader(body))
	// net/http retries a request that has this header and no body.
	request.Header.Set("Idempotency-Key", "k")
	response, err := s.client.RoundTrip(request)
	if err != nil {
		s.Fatal(err)
	}
	return response
}

// stallAfter sends the given text and then nothing until the request is cancelled.
func (s *testNetwork) stallAfter(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if text != "" {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
		s.cancelledAt <- time.Now()
	}
}

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
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// fakeWorld is a picker, budget, quarantine and counter over a fixed list of targets, tried in order.
type fakeWorld struct {
	mu       sync.Mutex
	targets  []target.Target
	results  []target.Result
	retried  []outcome.RetryReason
	noBudget bool
	// busy is the number of times that no target is free after the first attempt.
	busy int
	// poison is the number of broken targets after which a request is quarantined; 0 means never.
	poison int
}

func newWorld(urls ...string) *fakeWorld {
	w := &fakeWorld{}
	for i, u := range urls {
		w.targets = append(w.targets, target.Target{ID: string(rune('a' + i)), URL: u})
	}
	return w
}

func (w *fakeWorld) Pick(request target.Request, _ time.Time) (target.Reservation, *outcome.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy > 0 && len(w.results) > 0 {
		w.busy--
		return nil, outcome.Refuse(outcome.NoTarget)
	}
	for _, t := range w.targets {
		if !slices.Contains(request.Exclude, t.ID) {
			return &fakeReservation{w, t}, nil
		}
	}
	return nil, outcome.Refuse(outcome.NoTarget)
}

func (w *fakeWorld) AllowRetry(string, string, time.Time) bool { return !w.noBudget }

func (w *fakeWorld) Broke(uint64, string, time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poison--
	return w.poison == 0
}

func (w *fakeWorld) Refuses(uint64, time.Time) bool { return false }

func (w *fakeWorld) Completed(uint64, time.Time) {}

func (w *fakeWorld) Refused(outcome.Reason) {}

func (w *fakeWorld) Retried(reason outcome.RetryReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retried = append(w.retried, reason)
}

type fakeReservation struct {
	world  *fakeWorld
	target target.Target
}

func (r *fakeReservation) Target() target.Target { return r.target }

func (r *fakeReservation) Done(result target.Result, _ time.Duration) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.world.results = append(r.world.results, result)
}

func (w *fakeWorld) options() Options {
	limits := DefaultLimits()
	// Tests on the real network do not wait for targets.
	limits.Resume = 0
	return Options{Picker: w, Budget: w, Counter: w, Quarantine: w, Limits: limits, Strip: func(h http.Header) {
		h.Del("Authorization")
		h.Del("X-Api-Key")
	}}
}

// handler serves calls as the entry instance does.
func handler(f *Forwarder, call Call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		each := call
		each.RequestID, each.Team, each.Path = "request-1", "team", r.URL.EscapedPath()
		each.Service = config.Service{Name: "model"}
		if r.URL.Path == "/v1/completions" {
			f.ServeCompletion(w, r, each)
			return
		}
		f.ServePlain(w, r, each)
	}
}

func (w *fakeWorld) entry(t testing.TB, call Call) string {
	return serve(t, handler(New(w.options()), call))
}

func serve(t testing.TB, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func refusedURL() string {
	s := httptest.NewServer(nil)
	defer s.Close()
	return s.URL
}

// scene is an entry instance on an in-memory network without buffers, in a bubble whose time synctest
// advances.
type scene struct {
	*testing.T
	hosts   map[string]chan net.Conn
	world   *fakeWorld
	forward *Forwarder
	client  *http.Transport
	gone    chan time.Time
}

func inScene(t *testing.T, name string, targets []string, f func(s *scene)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &scene{T: t, hosts: map[string]chan net.Conn{}, world: newWorld(targets...), gone: make(chan time.Time, 1)}
			options := s.world.options()
			options.DialContext, options.Limits = s.dial, DefaultLimits()
			s.forward = New(options)
			s.client = &http.Transport{DialContext: s.dial, DisableCompression: true}
			f(s)
			s.client.CloseIdleConnections()
			// Connections go back to the pool after the answer.
			synctest.Wait()
			s.forward.client.closeIdle(0)
		})
	})
}

func (s *scene) dial(ctx context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case s.hosts[address] <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *scene) serve(host string, h http.HandlerFunc) {
	l := pipeListener{make(chan net.Conn), make(chan struct{})}
	s.hosts[host+":80"] = l.conns
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.Cleanup(func() { server.Close() })
}

type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { close(l.done); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (s *scene) post(path, body string) *http.Response {
	request, _ := http.NewRequest("POST", "http://entry"+path, strings.NewReader(body))
	// net/http repeats a request with this header by itself if it has no body.
	request.Header.Set("Idempotency-Key", "k")
	response, err := s.client.RoundTrip(request)
	if err != nil {
		s.Fatal(err)
	}
	return response
}

// silent answers with the given text and then nothing until the request is cancelled.
func (s *scene) silent(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if text != "" {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
		s.gone <- time.Now()
	}
}

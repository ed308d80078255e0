package entry

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/confsync"
	"github.com/egretspar/egretspar/internal/forward"
	"github.com/egretspar/egretspar/internal/key"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/respond"
	"github.com/egretspar/egretspar/internal/telemetry"
)

// fakes is a fake of every component that the server calls.
type fakes struct {
	mu      sync.Mutex
	serving bool
	calls   []forward.Call
	run     func(w http.ResponseWriter, r *http.Request)
	begin   func() (claim.Decision, *outcome.Refusal)
	applied int
	attempt int
}

func (f *fakes) Serving(time.Time) bool             { return f.serving }
func (f *fakes) ServingUntil(t time.Time) time.Time { return t.Add(time.Hour) }
func (f *fakes) Body() ([]byte, int)                { return []byte("body"), 7 }
func (f *fakes) Apply(context.Context, int, []byte, string) (confsync.Result, *outcome.Refusal) {
	f.applied++
	return confsync.Result{Revision: 8, State: confsync.InForce}, nil
}

func (f *fakes) History(context.Context, int) ([]confsync.Record, *outcome.Refusal) { return nil, nil }

func (f *fakes) ServeCompletion(w http.ResponseWriter, r *http.Request, c forward.Call) {
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	f.run(w, r)
}

func (f *fakes) ServePlain(w http.ResponseWriter, r *http.Request, c forward.Call) {
	f.ServeCompletion(w, r, c)
}

func (f *fakes) Begin(_ context.Context, _, _ string, attempt int, _ time.Time) (claim.Decision, *outcome.Refusal) {
	f.attempt = attempt
	return f.begin()
}

func (f *fakes) HandleOpen(w http.ResponseWriter, r *http.Request, _ httprouter.Params, team string) {
	f.calls = append(f.calls, forward.Call{Team: team})
	f.run(w, r)
}

func (f *fakes) HandlePoll(w http.ResponseWriter, r *http.Request, p httprouter.Params, team string) {
	f.HandleOpen(w, r, p, team)
}

func (f *fakes) HandleCancel(w http.ResponseWriter, r *http.Request, p httprouter.Params, team string) {
	f.HandleOpen(w, r, p, team)
}
func (f *fakes) Record(string, string, int, int, time.Duration) {}

const operatorToken = "operator-token-0"

type fixture struct {
	*fakes
	server *Server
	bearer string
	doc    *config.Document
}

func newFixture(t *testing.T) *fixture {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	generated, err := key.Generate(bytes.NewReader(bytes.Repeat([]byte{1}, 64)), "shop")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakes{serving: true, run: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }}
	controller := admission.NewController("entry-1", time.Now)
	opts := Options{
		AdminToken: operatorToken, Config: f, Forwarder: f, Admission: controller, Claims: f, Steps: f, Usage: f,
		Status: func() api.Status { return api.Status{} }, RequestDrain: func() {}, Metrics: metrics, Log: zerolog.Nop(),
	}
	s := &Server{opts: opts, active: newActiveRequests()}
	s.state.Store(newConfigState(&config.Document{}, 0))
	s.http = &http.Server{Handler: s.routes()}
	doc := &config.Document{
		Teams: []config.Team{{Name: "shop", Weight: 1, MaxConcurrency: 10}, {Name: "other", Weight: 1, MaxConcurrency: 10}},
		Keys:  []config.Key{generated.Entry},
		Services: []config.Service{
			{Name: "booking", Type: config.TypePlain, Class: config.ServiceClassLatency, QueueLimit: 4, TimeoutMs: 60_000},
			{Name: "advice", Type: config.TypeEngine, Class: config.ServiceClassLatency, QueueLimit: 4, TimeoutMs: 60_000},
			{Name: "ping", Type: config.TypePlain, Class: config.ServiceClassLatency, QueueLimit: 4, TimeoutMs: 60_000},
			{Name: "private", Type: config.TypePlain, Class: config.ServiceClassLatency, QueueLimit: 4, TimeoutMs: 60_000},
		},
		Routes: []config.Route{{Service: "booking", Teams: []string{"shop"}}, {Service: "advice", Teams: []string{"shop"}}, {Service: "ping", Open: true}, {Service: "private", Teams: []string{"other"}}},
	}
	controller.ApplyConfig(doc)
	for _, service := range doc.Services {
		controller.SetCapacity(service.Name, 4)
	}
	s.ApplyConfig(doc, 1)
	return &fixture{f, s, "Bearer " + generated.Bearer, doc}
}

func (f *fixture) send(method, path, authorization, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	r.Header.Set("Idempotency-Key", "id-1")
	w := httptest.NewRecorder()
	f.server.http.Handler.ServeHTTP(w, r)
	return w
}

// Guards against running a request without the right key, and against a refusal without its reason.
func TestRefusals(t *testing.T) {
	advice := `{"model":"advice","prompt":"p"}`
	for _, c := range []struct {
		name, method, path, authorization, body string
		stale                                   bool
		status                                  int
		reason                                  outcome.Reason
		team                                    string
	}{
		{name: "own route", method: "GET", path: "/svc/booking/x", authorization: "own", status: 200, team: "shop"},
		{name: "open route without key", method: "GET", path: "/svc/ping/x", status: 200},
		{name: "open route with wrong key", method: "GET", path: "/svc/ping/x", authorization: "Bearer abcd.x", status: 401, reason: outcome.KeyInvalid},
		{name: "no key", method: "GET", path: "/svc/booking/x", status: 401, reason: outcome.KeyMissing},
		{name: "wrong key", method: "GET", path: "/svc/booking/x", authorization: "Bearer abcd.x", status: 401, reason: outcome.KeyInvalid},
		{name: "other team's route", method: "GET", path: "/svc/private/x", authorization: "own", status: 403, reason: outcome.RouteForbidden},
		{name: "no such service", method: "GET", path: "/svc/none/x", authorization: "own", status: 404, reason: outcome.ServiceUnknown},
		{name: "engine as plain service", method: "GET", path: "/svc/advice/x", authorization: "own", status: 404, reason: outcome.ServiceUnknown},
		{name: "completion", method: "POST", path: "/v1/completions", authorization: "own", body: advice, status: 200, team: "shop"},
		{name: "malformed completion", method: "POST", path: "/v1/completions", authorization: "own", body: "{", status: 400, reason: outcome.RequestInvalid},
		{name: "too large", method: "POST", path: "/v1/completions", authorization: "own", body: strings.Repeat(" ", maxCompletionBytes+1), status: 413, reason: outcome.RequestTooLarge},
		{name: "stale configuration", method: "GET", path: "/svc/booking/x", authorization: "own", stale: true, status: 503, reason: outcome.ConfigStale},
		{name: "not ready when stale", method: "GET", path: "/readyz", stale: true, status: 503, reason: outcome.ConfigStale},
		{name: "step without key", method: "POST", path: "/v1/steps", status: 401, reason: outcome.KeyMissing},
		{name: "step", method: "POST", path: "/v1/steps/s-1/poll", authorization: "own", status: 200, team: "shop"},
		{name: "operator without token", method: "GET", path: "/admin/v1/config", authorization: "own", status: 401, reason: outcome.AdminForbidden},
		{name: "operator without revision", method: "POST", path: "/admin/v1/config", authorization: "Bearer " + operatorToken, status: 400, reason: outcome.RequestInvalid},
		{name: "operator", method: "GET", path: "/admin/v1/config", authorization: "Bearer " + operatorToken, status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.serving = !c.stale
			if c.authorization == "own" {
				c.authorization = f.bearer
			}
			w := f.send(c.method, c.path, c.authorization, c.body)
			if w.Code != c.status || w.Header().Get(respond.ReasonHeader) != string(c.reason) {
				t.Fatalf("status %d, reason %q", w.Code, w.Header().Get(respond.ReasonHeader))
			}
			if c.reason != "" && (w.Header().Get(respond.OutcomeHeader) != string(outcome.NotRun) || len(f.calls) > 0 || f.applied > 0) {
				t.Errorf("outcome %q, %d calls", w.Header().Get(respond.OutcomeHeader), len(f.calls))
			}
			if c.team != "" && (len(f.calls) != 1 || f.calls[0].Team != c.team) {
				t.Errorf("calls %+v, want team %s", f.calls, c.team)
			}
		})
	}
}

// Guards against a request that continues after its key was withdrawn, and against cancelling requests of other
// callers.
func TestKeyWithdrawalCancelsRunningRequests(t *testing.T) {
	f := newFixture(t)
	var causes []error
	f.run = func(_ http.ResponseWriter, r *http.Request) {
		docWithoutKeys := *f.doc
		docWithoutKeys.Keys = nil
		f.server.ApplyConfig(&docWithoutKeys, 2)
		causes = append(causes, context.Cause(r.Context()))
	}
	f.send("GET", "/svc/booking/x", f.bearer, "")
	f.send("GET", "/svc/ping/x", "", "")
	refusal, ok := causes[0].(*outcome.Refusal) //nolint:errorlint // the cause is set as a value
	if !ok || refusal.Reason != outcome.KeyWithdrawn {
		t.Errorf("keyed request ended with %v", causes[0])
	}
	if causes[1] != nil {
		t.Errorf("open request ended with %v", causes[1])
	}
	if w := f.send("GET", "/svc/booking/x", f.bearer, ""); w.Code != http.StatusUnauthorized {
		t.Errorf("status %d with a withdrawn key", w.Code)
	}
}

// Guards against a graceful shutdown that interrupts a request, or that refuses requests before the load balancer has
// noticed.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.run = func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(10 * time.Second)
			if r.Context().Err() != nil {
				t.Error("request was interrupted")
			}
			w.WriteHeader(http.StatusOK)
		}
		var first, second *httptest.ResponseRecorder
		go func() { first = f.send("GET", "/svc/booking/x", f.bearer, "") }()
		synctest.Wait()
		start := time.Now()
		drained := make(chan time.Duration)
		go func() {
			if err := f.server.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			drained <- time.Since(start)
		}()
		synctest.Wait()
		if w := f.send("GET", "/readyz", "", ""); w.Code != http.StatusServiceUnavailable {
			t.Errorf("ready while draining: %d", w.Code)
		}
		time.Sleep(time.Second)
		go func() { second = f.send("GET", "/svc/booking/x", f.bearer, "") }()
		time.Sleep(2 * time.Second)
		if w := f.send("GET", "/svc/booking/x", f.bearer, ""); w.Header().Get(respond.ReasonHeader) != string(outcome.Draining) {
			t.Errorf("late request: %d %q", w.Code, w.Header().Get(respond.ReasonHeader))
		}
		if took := <-drained; took != 11*time.Second {
			t.Errorf("drained after %s, want 11 s, when the last request ends", took)
		}
		synctest.Wait()
		if first.Code != 200 || second.Code != 200 {
			t.Errorf("status %d and %d", first.Code, second.Code)
		}
	})
}

// Guards against sending a non-idempotent request to a target again when its caller retries it.
func TestRepeatedRequestIsNotForwarded(t *testing.T) {
	f := newFixture(t)
	f.begin = func() (claim.Decision, *outcome.Refusal) {
		return claim.Decision{Response: &claim.Response{Status: 201, Body: []byte("first answer")}}, nil
	}
	if w := f.send("POST", "/svc/booking/x", f.bearer, "b"); w.Code != 201 || w.Body.String() != "first answer" {
		t.Errorf("response to a retry: %d %q", w.Code, w.Body)
	}
	f.begin = func() (claim.Decision, *outcome.Refusal) {
		return claim.Decision{}, outcome.Refuse(outcome.DuplicateRequest)
	}
	if w := f.send("POST", "/svc/booking/x", f.bearer, "b"); w.Header().Get(respond.OutcomeHeader) != string(outcome.Unknown) {
		t.Errorf("duplicate: %d %q", w.Code, w.Header().Get(respond.OutcomeHeader))
	}
	if len(f.calls) != 0 {
		t.Errorf("%d calls reached a target", len(f.calls))
	}
}

// hookReader calls hook before the first read.
type hookReader struct {
	hook func()
	io.Reader
}

func (h *hookReader) Read(p []byte) (int, error) {
	if h.hook != nil {
		h.hook()
		h.hook = nil
	}
	return h.Reader.Read(p)
}

// Guards against a request that runs with a withdrawn key because it was authenticated just before the withdrawal and
// registered just after it.
func TestKeyWithdrawalBetweenAuthenticationAndRegistration(t *testing.T) {
	f := newFixture(t)
	docWithoutKeys := *f.doc
	docWithoutKeys.Keys = nil
	body := &hookReader{func() { f.server.ApplyConfig(&docWithoutKeys, 2) }, strings.NewReader("12345")}
	r := httptest.NewRequest("POST", "/svc/booking/x", body)
	r.ContentLength = 5
	r.Header.Set("Authorization", f.bearer)
	w := httptest.NewRecorder()
	f.server.http.Handler.ServeHTTP(w, r)
	if len(f.calls) != 0 || w.Header().Get(respond.ReasonHeader) != string(outcome.KeyInvalid) || w.Header().Get(respond.OutcomeHeader) != string(outcome.NotRun) {
		t.Errorf("%d calls, status %d, reason %q", len(f.calls), w.Code, w.Header().Get(respond.ReasonHeader))
	}
}

// Guards against treating a malformed attempt number as no attempt number. The first attempt may have run without a
// record, so the request must be treated as a retry.
func TestMalformedAttemptNumberCountsAsRetry(t *testing.T) {
	for header, want := range map[string]int{"": claim.NoAttempt, "0": 0, "3": 3, "x": math.MaxInt, "-1": math.MaxInt} {
		f := newFixture(t)
		f.begin = func() (claim.Decision, *outcome.Refusal) {
			return claim.Decision{}, outcome.Refuse(outcome.ClaimRecordLost)
		}
		r := httptest.NewRequest("POST", "/svc/booking/x", nil)
		r.Header.Set("Authorization", f.bearer)
		r.Header.Set(claim.KeyHeader, "id-1")
		r.Header.Set(claim.AttemptHeader, header)
		f.server.http.Handler.ServeHTTP(httptest.NewRecorder(), r)
		if f.attempt != want {
			t.Errorf("attempt %q counts as %d, want %d", header, f.attempt, want)
		}
	}
}

package forward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// fakeEngine generates the tokens t0 t1 t2 ... and honours resume_tokens. fault is called before each
// token; it returns false to leave the answer as it is.
type fakeEngine struct {
	version int
	fault   func(w http.ResponseWriter, token int) bool
}

func event(id string, token, version int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"t%d \"}],\"tokens\":1,\"weight_version\":%d}\n\n", id, token, version)
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request engine.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	from := 0
	if request.ResumeTokens != nil {
		from = *request.ResumeTokens
	}
	for i := from; i < *request.MaxTokens; i++ {
		if e.fault != nil && !e.fault(w, i) {
			return
		}
		_, _ = io.WriteString(w, event("engine", i, e.version))
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// at runs a fault before one token.
func at(token int, fault func(w http.ResponseWriter)) func(http.ResponseWriter, int) bool {
	return func(w http.ResponseWriter, i int) bool {
		if i == token {
			fault(w)
		}
		return i != token
	}
}

func reset(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func writes(text string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) { _, _ = io.WriteString(w, text) }
}

func status(code int) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.WriteHeader(code) }
}

// Guards against lost or doubled tokens, wrong versions and wrong outcomes when an engine fails.
func TestGenerateFaults(t *testing.T) {
	const tokens = 6
	long := strings.Repeat("x", 2<<20)
	cases := []struct {
		name   string
		token  int
		fault  func(http.ResponseWriter)
		first  int
		result target.Result
		retry  outcome.RetryReason
	}{
		{"reset mid-stream", 3, reset, 3, target.Broken, outcome.RetryResume},
		{"end without done", 3, func(http.ResponseWriter) {}, 3, target.Broken, outcome.RetryResume},
		{"reset before the first token", 0, reset, 0, target.Broken, outcome.RetryLost},
		{"refused", 0, status(503), 0, target.Refused, outcome.RetryRefused},
		{"no room", 0, status(429), 0, target.Refused, outcome.RetryRefused},
		{"failed", 0, status(500), 0, target.Broken, outcome.RetryLost},
		{"redirect", 0, status(307), 0, target.Broken, outcome.RetryLost},
		{"line too long", 2, writes("data: " + long + "\n\n"), 2, target.Broken, outcome.RetryResume},
		{"event too large", 2, writes(strings.Repeat("data: "+long[:1<<16]+"\n", 20) + "\n"), 2, target.Broken, outcome.RetryResume},
		{"malformed event", 2, writes("data: {\n\n"), 2, target.Broken, outcome.RetryResume},
		{"chunk of another answer", 2, writes(event("other", 9, 9)), 2, target.Broken, outcome.RetryResume},
		{"half an event", 2, writes(strings.TrimSuffix(event("engine", 2, 7), "\n")), 2, target.Broken, outcome.RetryResume},
		{"negative tokens", 2, writes(`data: {"id":"engine","choices":[{"index":0}],"tokens":-1}` + "\n\n"), 2, target.Broken, outcome.RetryResume},
		{"too many tokens", 5, writes(`data: {"id":"engine","choices":[{"index":0}],"tokens":2}` + "\n\n"), 5, target.Broken, outcome.RetryResume},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad := &fakeEngine{version: 7, fault: at(c.token, c.fault)}
			good := &fakeEngine{version: 8}
			world := newWorld(serve(t, bad.ServeHTTP), serve(t, good.ServeHTTP))
			var got []string
			refusal := New(world.options()).Generate(t.Context(), engine.Generation{Service: "m", MaxTokens: tokens}, func(c engine.Chunk) error {
				got = append(got, fmt.Sprintf("%s%d%s", c.Text, c.Version, c.Target))
				return nil
			})
			var want []string
			for i := range tokens {
				engine := map[bool]string{true: "7a", false: "8b"}[i < c.first]
				want = append(want, fmt.Sprintf("t%d %s", i, engine))
			}
			if refusal != nil || !slices.Equal(got, want) {
				t.Errorf("refusal %v, got %q, want %q", refusal, got, want)
			}
			if !slices.Equal(world.results, []target.Result{c.result, target.OK}) || !slices.Equal(world.retried, []outcome.RetryReason{c.retry}) {
				t.Errorf("results %v, retries %v", world.results, world.retried)
			}
		})
	}
}

// Guards against a refusal with a wrong outcome and against unlimited attempts.
func TestGenerateRefusals(t *testing.T) {
	faulty := func(fault func(http.ResponseWriter), token int) string {
		return serve(t, (&fakeEngine{fault: at(token, fault)}).ServeHTTP)
	}
	closed := refusedURL()
	for _, c := range []struct {
		name     string
		urls     []string
		noBudget bool
		poison   int
		outcome  outcome.Outcome
		reason   outcome.Reason
		attempts int
	}{
		{"all unreachable", slices.Repeat([]string{closed}, 20), false, 0, outcome.NotRun, outcome.TargetUnreachable, DefaultLimits().Attempts},
		{"no budget, not run", []string{closed, closed}, true, 0, outcome.NotRun, outcome.RetryBudget, 1},
		{"no budget, run", []string{faulty(reset, 0), closed}, true, 0, outcome.Unknown, outcome.RetryBudget, 1},
		{"all refuse", []string{faulty(status(503), 0)}, false, 0, outcome.NotRun, outcome.TargetRefused, 1},
		{"lost then unreachable", []string{faulty(reset, 2), closed}, false, 0, outcome.Unknown, outcome.TargetUnreachable, 2},
		{"invalid", []string{faulty(status(422), 0), closed}, false, 0, outcome.NotRun, outcome.RequestInvalid, 1},
		{"poison", []string{faulty(reset, 0), faulty(reset, 1), closed}, false, 2, outcome.Unknown, outcome.Quarantined, 2},
		{"breaks targets", []string{faulty(reset, 0), faulty(reset, 0), closed}, false, 0, outcome.Unknown, outcome.AnswerLost, 2},
		{"no target", nil, false, 0, outcome.NotRun, outcome.NoTarget, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			world := newWorld(c.urls...)
			world.noBudget, world.poison = c.noBudget, c.poison
			refusal := New(world.options()).Generate(t.Context(), engine.Generation{Service: "m", MaxTokens: 4, Fingerprint: 1}, func(engine.Chunk) error { return nil })
			if refusal == nil || refusal.Outcome != c.outcome || refusal.Reason != c.reason || len(world.results) != c.attempts {
				t.Errorf("got %+v after %d attempts", refusal, len(world.results))
			}
		})
	}
}

// Guards against engine work that goes on after the caller or the consumer gave up.
func TestGenerateCancel(t *testing.T) {
	for _, byConsumer := range []bool{false, true} {
		gone := make(chan struct{})
		world := newWorld(serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, event("e", 0, 1))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(gone)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		refusal := New(world.options()).Generate(ctx, engine.Generation{Service: "m"}, func(engine.Chunk) error {
			if byConsumer {
				return errors.New("full")
			}
			cancel()
			return nil
		})
		cancel()
		<-gone
		if refusal == nil || refusal.Reason != outcome.CallerGone || refusal.Outcome != outcome.Unknown || !slices.Equal(world.results, []target.Result{target.Cancelled}) {
			t.Errorf("by consumer %v: %+v, results %v", byConsumer, refusal, world.results)
		}
	}
}

// Guards against a resume after the last token, which could only add tokens.
func TestGenerateLostEndIsWhole(t *testing.T) {
	var runs atomic.Int32
	url := serve(t, inTurn(&runs, says(event("e", 0, 1)+event("e", 1, 1))))
	world := newWorld(url, url)
	refusal := New(world.options()).Generate(t.Context(), engine.Generation{Service: "m", MaxTokens: 2}, func(engine.Chunk) error { return nil })
	if refusal != nil || runs.Load() != 1 || !slices.Equal(world.results, []target.Result{target.Broken}) {
		t.Errorf("%v, %d runs, results %v", refusal, runs.Load(), world.results)
	}
}

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

// fakeEngine generates the tokens t0 t1 t2 ... and continues after resume_tokens. fault is called before each
// token; if it returns false, the response ends without further output.
type fakeEngine struct {
	version int
	fault   func(w http.ResponseWriter, token int) bool
}

func chunkEvent(id string, token, version int) string {
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
		_, _ = io.WriteString(w, chunkEvent("engine", i, e.version))
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// faultAt injects a fault before one token.
func faultAt(token int, fault func(w http.ResponseWriter)) func(http.ResponseWriter, int) bool {
	return func(w http.ResponseWriter, i int) bool {
		if i == token {
			fault(w)
		}
		return i != token
	}
}

func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func writeText(text string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) { _, _ = io.WriteString(w, text) }
}

func writeStatus(code int) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.WriteHeader(code) }
}

// Guards against lost or duplicate tokens, wrong weight versions and wrong results when an engine fails.
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
		{"reset mid-stream", 3, abortConnection, 3, target.Broken, outcome.RetryResume},
		{"end without done", 3, func(http.ResponseWriter) {}, 3, target.Broken, outcome.RetryResume},
		{"reset before the first token", 0, abortConnection, 0, target.Broken, outcome.RetryResponseLost},
		{"refused", 0, writeStatus(503), 0, target.Refused, outcome.RetryRefused},
		{"no capacity", 0, writeStatus(429), 0, target.Refused, outcome.RetryRefused},
		{"failed", 0, writeStatus(500), 0, target.Broken, outcome.RetryResponseLost},
		{"redirect", 0, writeStatus(307), 0, target.Broken, outcome.RetryResponseLost},
		{"line too long", 2, writeText("data: " + long + "\n\n"), 2, target.Broken, outcome.RetryResume},
		{"event too large", 2, writeText(strings.Repeat("data: "+long[:1<<16]+"\n", 20) + "\n"), 2, target.Broken, outcome.RetryResume},
		{"malformed event", 2, writeText("data: {\n\n"), 2, target.Broken, outcome.RetryResume},
		{"chunk of another response", 2, writeText(chunkEvent("other", 9, 9)), 2, target.Broken, outcome.RetryResume},
		{"half an event", 2, writeText(strings.TrimSuffix(chunkEvent("engine", 2, 7), "\n")), 2, target.Broken, outcome.RetryResume},
		{"negative tokens", 2, writeText(`data: {"id":"engine","choices":[{"index":0}],"tokens":-1}` + "\n\n"), 2, target.Broken, outcome.RetryResume},
		{"too many tokens", 5, writeText(`data: {"id":"engine","choices":[{"index":0}],"tokens":2}` + "\n\n"), 5, target.Broken, outcome.RetryResume},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad := &fakeEngine{version: 7, fault: faultAt(c.token, c.fault)}
			good := &fakeEngine{version: 8}
			deps := newFakeDeps(serve(t, bad.ServeHTTP), serve(t, good.ServeHTTP))
			var got []string
			refusal := New(deps.options()).Generate(t.Context(), engine.Generation{Service: "m", MaxTokens: tokens}, func(c engine.Chunk) error {
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
			if !slices.Equal(deps.results, []target.Result{c.result, target.OK}) || !slices.Equal(deps.retried, []outcome.RetryReason{c.retry}) {
				t.Errorf("results %v, retries %v", deps.results, deps.retried)
			}
		})
	}
}

// Guards against refusals with a wrong outcome or reason and against unlimited attempts.
func TestGenerateRefusals(t *testing.T) {
	faulty := func(fault func(http.ResponseWriter), token int) string {
		return serve(t, (&fakeEngine{fault: faultAt(token, fault)}).ServeHTTP)
	}
	closed := closedPortURL()
	for _, c := range []struct {
		name     string
		urls     []string
		noBudget bool
		poison   int
		outcome  outcome.Outcome
		reason   outcome.Reason
		attempts int
	}{
		{"all unreachable", slices.Repeat([]string{closed}, 20), false, 0, outcome.NotRun, outcome.TargetUnreachable, DefaultLimits().MaxAttempts},
		{"no budget, not run", []string{closed, closed}, true, 0, outcome.NotRun, outcome.RetryBudget, 1},
		{"no budget, run", []string{faulty(abortConnection, 0), closed}, true, 0, outcome.Unknown, outcome.RetryBudget, 1},
		{"all refuse", []string{faulty(writeStatus(503), 0)}, false, 0, outcome.NotRun, outcome.TargetRefused, 1},
		{"lost then unreachable", []string{faulty(abortConnection, 2), closed}, false, 0, outcome.Unknown, outcome.TargetUnreachable, 2},
		{"invalid", []string{faulty(writeStatus(422), 0), closed}, false, 0, outcome.NotRun, outcome.RequestInvalid, 1},
		{"poison", []string{faulty(abortConnection, 0), faulty(abortConnection, 1), closed}, false, 2, outcome.Unknown, outcome.Quarantined, 2},
		{"breaks targets", []string{faulty(abortConnection, 0), faulty(abortConnection, 0), closed}, false, 0, outcome.Unknown, outcome.ResponseLost, 2},
		{"no target", nil, false, 0, outcome.NotRun, outcome.NoTarget, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			deps := newFakeDeps(c.urls...)
			deps.denyRetries, deps.breaksToQuarantine = c.noBudget, c.poison
			refusal := New(deps.options()).Generate(t.Context(), engine.Generation{Service: "m", MaxTokens: 4, Fingerprint: 1}, func(engine.Chunk) error { return nil })
			if refusal == nil || refusal.Outcome != c.outcome || refusal.Reason != c.reason || len(deps.results) != c.attempts {
				t.Errorf("got %+v after %d attempts", refusal, len(deps.results))
			}
		})
	}
}

// Guards against an engine that keeps generating after the caller cancelled or the consumer failed.
func TestGenerateCancel(t *testing.T) {
	for _, byConsumer := range []bool{false, true} {
		engineCancelled := make(chan struct{})
		deps := newFakeDeps(serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, chunkEvent("e", 0, 1))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(engineCancelled)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		refusal := New(deps.options()).Generate(ctx, engine.Generation{Service: "m"}, func(engine.Chunk) error {
			if byConsumer {
				return errors.New("full")
			}
			cancel()
			return nil
		})
		cancel()
		<-engineCancelled
		if refusal == nil || refusal.Reason != outcome.CallerDisconnected || refusal.Outcome != outcome.Unknown || !slices.Equal(deps.results, []target.Result{target.Cancelled}) {
			t.Errorf("by consumer %v: %+v, results %v", byConsumer, refusal, deps.results)
		}
	}
}

// Guards against continuing a generation whose stream broke after the last token, which could only add tokens.
func TestGenerateLostDoneEvent(t *testing.T) {
	var requests atomic.Int32
	url := serve(t, handleInTurn(&requests, respondWith(chunkEvent("e", 0, 1)+chunkEvent("e", 1, 1))))
	deps := newFakeDeps(url, url)
	refusal := New(deps.options()).Generate(t.Context(), engine.Generation{Service: "m", MaxTokens: 2}, func(engine.Chunk) error { return nil })
	if refusal != nil || requests.Load() != 1 || !slices.Equal(deps.results, []target.Result{target.Broken}) {
		t.Errorf("%v, %d runs, results %v", refusal, requests.Load(), deps.results)
	}
}

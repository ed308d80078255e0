package forward

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
)

// Guards against a stream that an engine began and another one should continue, but answers with an error: its text must not stand
// in the stream, and the stream must not end as complete without its rest. A status that says that the engine does not go on leaves
// the rest to a third one. Any other failure is the second target that broke under the request, after which it is given up.
func TestErrorOfNextEngineStaysOutOfStream(t *testing.T) {
	const fault = "the engine has no memory left"
	errorEvent := fmt.Sprintf("data: {\"error\":{\"message\":%q,\"code\":500}}\n\n", fault)
	respond := func(status int, contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	const events, text, object = "text/event-stream", "text/plain", "application/json"
	whole := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 29\r\n\r\n" + fault
	for _, tc := range []struct {
		name    string
		second  http.HandlerFunc
		givenUp bool
	}{
		{"400", respond(400, object, errorEvent), false},
		{"404", respond(404, text, fault), false},
		{"409", respond(409, text, fault), false},
		{"422", respond(422, object, `{"error":"`+fault+`"}`), false},
		{"429", respond(429, text, fault), false},
		{"503", respond(503, text, fault), false},
		{"307", respond(307, text, fault), true},
		{"500", respond(500, text, fault), true},
		{"500 with events", respond(500, events, errorEvent+"data: [DONE]\n\n"), true},
		{"error event", respond(200, events, errorEvent), true},
		{"error event, then done", respond(200, events, errorEvent+"data: [DONE]\n\n"), true},
		{"error with choices", respond(200, events, `data: {"id":"","choices":[],"error":"`+fault+"\"}\n\ndata: [DONE]\n\n"), true},
		{"200 with text", respond(200, text, fault+"\n\n"), true},
		{"200 with an object", respond(200, object, `{"error":"`+fault+`"}`), true},
		{"a whole response inside", respond(200, events, whole+"\n\n"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var firstRuns atomic.Int32
			first := &fakeEngine{version: 1, fault: func(w http.ResponseWriter, token int) bool {
				if token == 2 {
					firstRuns.Add(1)
					abortConnection(w)
				}
				return true
			}}
			deps := newFakeDeps(serve(t, first.ServeHTTP), serve(t, tc.second), serve(t, (&fakeEngine{version: 1}).ServeHTTP))
			f := New(deps.options())
			body := strings.NewReader(`{"model":"m","prompt":"p","stream":true,"max_tokens":4}`)
			w := httptest.NewRecorder()
			f.ServeCompletion(w, httptest.NewRequest("POST", "/v1/completions", body), Call{RequestID: "r", Service: config.Service{Name: "m"}})
			got, done := "", false
			for line := range strings.SplitSeq(w.Body.String(), "\n") {
				data, ok := strings.CutPrefix(line, "data: ")
				if data == engine.DoneMarker {
					done = true
				}
				var chunk completionResponse
				if !ok || json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
					continue
				}
				got += chunk.Choices[0].Text
			}
			want, attempts := "t0 t1 t2 t3 ", 3
			if tc.givenUp {
				want, attempts = "t0 t1 ", 2
			}
			if got != want || done == tc.givenUp {
				t.Errorf("text %q, done %v, want %q and %v", got, done, want, !tc.givenUp)
			}
			if strings.Contains(w.Body.String(), fault) {
				t.Errorf("the engine's error stands in the stream: %s", w.Body)
			}
			if firstRuns.Load() != 1 || len(deps.results) != attempts {
				t.Errorf("%d runs at the first engine, %d attempts", firstRuns.Load(), len(deps.results))
			}
		})
	}
}

package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/quarantine"
	"github.com/egretspar/egretspar/internal/target"
)

// Guards against a reward call that is refused for minutes because targets died under it, or under a caller's request with
// the same path and body: the score of a sound item is owed.
func TestOwnRequestsAreNotQuarantined(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	var urls []string
	for range 4 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if down.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "score")
		}))
		defer server.Close()
		urls = append(urls, server.URL)
	}
	deps := newFakeDeps(urls...)
	options := deps.options()
	options.Quarantine = quarantine.NewList(zerolog.Nop())
	f := New(options)
	request := func() *http.Request {
		return httptest.NewRequest(http.MethodPost, "/score", strings.NewReader("text"))
	}
	call := Call{Path: "/score", Attempts: 1, Idempotent: true, Route: target.Request{Service: "s"}}
	for n := range urls {
		call.Route.Exclude = nil
		for _, other := range deps.targets[:n] {
			call.Route.Exclude = append(call.Route.Exclude, other.ID)
		}
		if _, _, refusal := f.DoPlain(request(), call); refusal == nil {
			t.Fatal("a call to a target that is down succeeded")
		}
		f.ServePlain(httptest.NewRecorder(), request(), call)
	}
	down.Store(false)
	call.Route.Exclude = nil
	recorder := httptest.NewRecorder()
	f.ServePlain(recorder, request(), call)
	if recorder.Code == http.StatusOK {
		t.Error("the caller's request is not quarantined, so the test shows nothing")
	}
	response, _, refusal := f.DoPlain(request(), call)
	if refusal != nil || string(response.Body) != "score" {
		t.Errorf("own request: %v, body %q", refusal, response.Body)
	}
}

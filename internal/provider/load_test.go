package provider

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/target"
)

type recordingSink struct {
	versions []int
	events   []int
}

func (s *recordingSink) ApplyLoadReport(_ string, load engine.Load, _ time.Time) {
	s.versions = append(s.versions, load.WeightVersion)
}

func (s *recordingSink) ApplyCacheEvent(_ string, event engine.CacheEvent) {
	s.events = append(s.events, event.Sequence)
}

// Guards against reading a cache event twice, and against losing cache events after a restart of the engine.
func TestCacheEventsAreReadOnce(t *testing.T) {
	start, newest, status := 1, 2, http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		if r.URL.Path == "/load" {
			fmt.Fprintf(w, `{"running":0,"waiting":0,"weight_version":7,"start_number":%d}`, start)
			return
		}
		after, events := 0, "["
		fmt.Sscan(r.URL.Query().Get("after"), &after)
		for n := after + 1; n <= newest; n++ {
			if len(events) > 1 {
				events += ","
			}
			events += fmt.Sprintf(`{"sequence":%d,"event":"stored","block":1}`, n)
		}
		fmt.Fprint(w, events+"]")
	}))
	defer server.Close()
	sink := &recordingSink{}
	w := NewLoadWatcher(sink, zerolog.Nop())
	for _, c := range []struct{ start, newest, status int }{{1, 2, 200}, {1, 3, 200}, {1, 4, 500}, {2, 1, 200}} {
		start, newest, status = c.start, c.newest, c.status
		w.pollEngine(t.Context(), target.Target{ID: "engine", URL: server.URL})
	}
	if got := fmt.Sprint(sink.events, sink.versions); got != "[1 2 3 1] [7 7 7]" {
		t.Errorf("events and versions %s", got)
	}
}

// Guards against a report whose head has an invalid field name, so that its body may be another than the engine sent.
func TestReportWithInvalidFieldNameIsNone(t *testing.T) {
	const report = `{"running":0,"waiting":0,"weight_version":7,"start_number":1}`
	for _, field := range []string{"X-Note : n", "Content-Length : 9"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			defer c.Close()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", field, report)
		}))
		sink := &recordingSink{}
		NewLoadWatcher(sink, zerolog.Nop()).pollEngine(t.Context(), target.Target{ID: "engine", URL: server.URL})
		server.Close()
		if len(sink.versions) > 0 {
			t.Errorf("%q: the report was applied", field)
		}
	}
}

package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a list of targets that leaves out a target or its state, and against an instance that does not respond and looks
// like one without targets.
func TestFleetTargets(t *testing.T) {
	clearEnvironment(t)
	const statuses = `[{"id":"e1","service":"llm","zone":"z","slots":8,"state":"evacuated","state_age_ms":61249,"cold_left_ms":0},` +
		`{"id":"e2","service":"llm","zone":"y","slots":4,"state":"cold","state_age_ms":400,"cold_left_ms":2600}]`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/targets" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, statuses)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, out, stderr := execute("fleet", "targets", address)
	want := [][]string{
		{"TARGET", "SERVICE", "ZONE", "SLOTS", "STATE", "FOR", "WARM", "IN"}, {"e1", "llm", "z", "8", "evacuated", "1m1.2s", "-"}, {"e2", "llm", "y", "4", "cold", "400ms", "2.6s"},
	}
	for i, line := range strings.Split(strings.TrimSpace(out), "\n") {
		if i >= len(want) || strings.Join(strings.Fields(line), " ") != strings.Join(want[i], " ") {
			t.Errorf("line %d: %q", i, line)
		}
	}
	if code != ExitOK || stderr != "" || strings.Count(out, "\n") != len(want) {
		t.Errorf("code %d, output %q, errors %q", code, out, stderr)
	}
	if code, out, _ := execute("fleet", "targets", address, "--output", "json"); code != ExitOK || strings.TrimSpace(out) != statuses {
		t.Errorf("code %d, output %q", code, out)
	}
	expectFailure(t, ExitNoResponse, "refused", "fleet", "targets", strings.TrimPrefix(closedURL(t), "http://"))
	expectFailure(t, ExitNoResponse, "status 404", "fleet", "targets", address+"/other")
	expectFailure(t, ExitUsage, "is not set", "fleet", "run")
}

package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
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

// Guards against an exit code that lets a script put a wrong configuration in force.
func TestFleetCheck(t *testing.T) {
	clearEnvironment(t)
	const correct = `{"version":2,"routes":[{"name":"r","host":"h","prefix":"/","kind":"safe","service":"s","max_attempts":1}],"services":[{"name":"s"}]}`
	directory := t.TempDir()
	write := func(name, old, replacement string) string {
		path := filepath.Join(directory, name)
		writeFile(t, path, strings.Replace(correct, old, replacement, 1))
		return path
	}
	older := write("older", `"version":2`, `"version":1`)
	for _, c := range []struct {
		file string
		code int
		out  string
	}{
		{write("correct", "", ""), ExitOK, "SEVERITY"},
		{write("changed", `"host":"h"`, `"host":"i"`), ExitOK, `difference  routes[0] "r"`},
		{write("warning", `"max_attempts":1`, `"max_attempts":0`), ExitWarnings, `warning   routes[0] "r" max_attempts`},
		{write("error", `"kind":"safe"`, `"kind":"x"`), ExitUsage, `error       routes[0] "r" kind`},
	} {
		if code, out, stderr := execute("fleet", "check", c.file, "--against", older); code != c.code || !strings.Contains(out, c.out) {
			t.Errorf("%s: code %d, output %q, errors %q", c.file, code, out, stderr)
		}
	}
	if code, out, _ := execute("fleet", "check", older, "--output", "json"); code != ExitOK || out != "[]\n" {
		t.Errorf("code %d, output %q", code, out)
	}
	expectFailure(t, ExitUsage, "no such file", "fleet", "check", filepath.Join(directory, "missing"))
	expectFailure(t, ExitUsage, "compare with is invalid", "fleet", "check", older, "--against", write("empty", correct, "{}"))
}

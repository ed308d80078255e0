package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/egretspar/egretspar/api"
)

const testSpec = `{"id":"s","service":"m","groups":["p","q"],"samples_per_group":2,"staleness_versions":1}`

// startFakeTrainerAPI starts a server that responds to each poll with the given samples and reports the step as done
// once the trainer holds all four slots.
func startFakeTrainerAPI(t *testing.T, samples ...api.Sample) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var poll api.PollRequest
		if !strings.HasSuffix(r.URL.Path, "/poll") {
			_, _ = w.Write([]byte("{}"))
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&poll); err != nil {
			t.Error(err)
		}
		_ = json.NewEncoder(w).Encode(api.PollAnswer{Step: "s", Poll: poll.Poll, Samples: samples, Done: poll.Have == "Dw=="})
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against samples that are printed twice, in one run or after a resume, against accepting the cursor of another
// step, and against a resumed run that does not update its cursor file.
func TestStepRun(t *testing.T) {
	var samples []api.Sample
	for slot := range 4 {
		samples = append(samples, api.Sample{Group: slot / 2, Index: slot % 2, Text: "<a>", Spans: []api.Span{{Version: 4, Tokens: 1}}})
	}
	server := startFakeTrainerAPI(t, samples...)
	dir := t.TempDir()
	spec, cursor := filepath.Join(dir, "spec.json"), filepath.Join(dir, "cursor.json")
	writeFile(t, spec, testSpec)
	args := []string{"step", "run", spec, "--url", server.URL, "--key", "k.s", "--version-number", "5", "--cursor", cursor}
	for name, c := range map[string]struct {
		cursor string
		code   int
		lines  int
	}{
		"fresh":        {"", ExitOK, 4},
		"resumed":      {`{"step":"s","have":"AQ==","dropped_stale":0}`, ExitOK, 3},
		"complete":     {`{"have":"Dw=="}`, ExitOK, 0},
		"other step":   {`{"step":"x","have":"AQ=="}`, ExitUsage, 0},
		"wrong length": {`{"step":"s","have":"AQEB"}`, ExitUsage, 0},
		"empty":        {"\n", ExitUsage, 0},
	} {
		_ = os.Remove(cursor)
		if c.cursor != "" {
			writeFile(t, cursor, c.cursor)
		}
		code, out, stderr := execute(args...)
		if code != c.code || strings.Count(out, "\n") != c.lines || strings.Count(out, `"text":"<a>"`) != c.lines {
			t.Errorf("%s: code %d, output %q, errors %q", name, code, out, stderr)
		}
		if saved, _ := os.ReadFile(cursor); c.lines > 0 && !strings.Contains(string(saved), `"Dw=="`) {
			t.Errorf("%s: cursor %s", name, saved)
		}
	}
}

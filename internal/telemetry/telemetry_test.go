package telemetry

import (
	"bytes"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/settings"
)

// Guards against an event that spans several lines, and against a value that is read as another field.
func TestLogWritesOneKeyValueLine(t *testing.T) {
	var b bytes.Buffer
	log := NewLogger(&b, settings.LevelInfo)
	log.Debug().Msg("hidden")
	log.Info().Str("service", "chat").Str("detail", "a b\nlevel=error").Int("count", 3).Bool("held", true).Msg("request refused")
	line := b.String()
	if strings.Count(line, "\n") != 1 {
		t.Fatalf("not one line: %q", line)
	}
	if !regexp.MustCompile(`^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z `).MatchString(line) {
		t.Errorf("no time in milliseconds: %s", line)
	}
	for _, want := range []string{"level=info ", `event="request refused"`, "service=chat", `detail="a b\nlevel=error"`, "count=3", "held=true"} {
		if !strings.Contains(line, want) {
			t.Errorf("no %s in %s", want, line)
		}
	}
}

// Guards against a counter that is exported only after its reason has occurred.
func TestEveryReasonIsExported(t *testing.T) {
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m.CountRefusal(outcome.QueueFull)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, r := range outcome.Reasons() {
		want := `reason="` + string(r) + `"} 0`
		if r == outcome.QueueFull {
			want = `reason="queue_full"} 1`
		}
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no counter with %s", want)
		}
	}
}

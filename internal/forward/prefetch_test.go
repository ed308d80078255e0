package forward

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// Guards against the time that a slow caller takes to send its body being counted as the target's.
func TestSlowChunkedBodyIsUntimed(t *testing.T) {
	for name, c := range map[string]struct {
		pause   time.Duration
		untimed bool
	}{
		"whole at once":    {0, false},
		"slower than that": {2 * prefetchWait, true},
	} {
		runOnNetwork(t, name, []string{"http://plain"}, func(s *testNetwork) {
			s.serve("entry", handler(s.forward, Call{}))
			s.serve("plain", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
			body, bodyWriter := io.Pipe()
			go func() {
				_, _ = io.WriteString(bodyWriter, "a")
				time.Sleep(c.pause)
				bodyWriter.Close()
			}()
			request, _ := http.NewRequest("POST", "http://entry/x", body)
			response, err := s.client.RoundTrip(request)
			if err != nil || response.StatusCode != http.StatusOK {
				s.Fatal(response, err)
			}
			response.Body.Close()
			if !slices.Equal(s.deps.untimed, []bool{c.untimed}) {
				s.Errorf("untimed %v, want %v", s.deps.untimed, c.untimed)
			}
		})
	}
}

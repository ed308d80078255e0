package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// singleTargetPicker always reserves the same target and records the result of the attempt.
type singleTargetPicker struct {
	url    string
	result target.Result
}

func (p *singleTargetPicker) Pick(target.Request, time.Time) (target.Reservation, *outcome.Refusal) {
	return p, nil
}

func (p *singleTargetPicker) Target() target.Target                      { return target.Target{URL: p.url} }
func (p *singleTargetPicker) Done(result target.Result, _ time.Duration) { p.result = result }

// Guards against returning a score when the service returned an error or no score, or when the team may not use the
// service.
func TestScore(t *testing.T) {
	control := admission.NewController("entry", time.Now)
	control.ApplyConfig(&config.Document{Teams: []config.Team{{Name: "t"}}, Services: []config.Service{{Name: "s", Type: config.TypePlain, TimeoutMs: 1000}}})
	control.SetCapacity("s", 1)
	for _, c := range []struct {
		name    string
		status  int
		body    string
		allowed bool
		score   float64
		reason  outcome.Reason
		result  target.Result
	}{
		{"score", 200, `{"score":0.5}`, true, 0.5, "", target.OK},
		{"score of 0", 200, `{"score":0}`, true, 0, "", target.OK},
		{"error", 500, `{"score":1}`, true, 0, outcome.TargetRefused, target.Refused},
		{"no score", 200, `{}`, true, 0, outcome.ResponseLost, target.Broken},
		{"truncated response", 200, `{"score":`, true, 0, outcome.ResponseLost, target.Broken},
		{"no route", 200, `{"score":1}`, false, 0, outcome.RouteForbidden, -1},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		picker := &singleTargetPicker{url: server.URL, result: -1}
		s := &scorer{admission: control, picker: picker, http: server.Client(), observeLimit: func(string, http.Header, time.Time) {}, checkAccess: func(string, string) *outcome.Refusal {
			if c.allowed {
				return nil
			}
			return outcome.Refuse(outcome.RouteForbidden)
		}}
		score, refusal := s.Score(t.Context(), "t", "s", "prompt", "text")
		server.Close()
		reason := outcome.Reason("")
		if refusal != nil {
			reason = refusal.Reason
		}
		if score != c.score || reason != c.reason || picker.result != c.result {
			t.Errorf("%s: score %g, reason %q, result %d", c.name, score, reason, picker.result)
		}
	}
}

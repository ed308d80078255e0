package live

import (
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
)

// Guards against the admission of requests without a route or valid key or above a limit, and against the refusal of
// valid requests.
func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrange func(*Request)
		reason  outcome.Reason
		team    string
	}{
		{"valid", func(*Request) {}, "", "team"},
		{"at the limits", func(r *Request) { r.HeaderBytes, r.BodyBytes = 100, 1000 }, "", "team"},
		{"public without key", func(r *Request) { r.Host, r.Key = "other.example", "" }, "", ""},
		{"no route", func(r *Request) { r.Path = "/c/" }, outcome.ServiceUnknown, ""},
		{"no key", func(r *Request) { r.Key = "" }, outcome.KeyInvalid, ""},
		{"wrong key", func(r *Request) { r.Key = "other" }, outcome.KeyInvalid, ""},
		{"header too large", func(r *Request) { r.HeaderBytes = 101 }, outcome.RequestTooLarge, ""},
		{"body too large", func(r *Request) { r.BodyBytes = 1001 }, outcome.RequestTooLarge, ""},
		{"body of unknown size", func(r *Request) { r.BodyBytes = -1 }, "", "team"},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := testConfig()
			config.Limits = Limits{MaxHeaderBytes: 100, MaxBodyBytes: 1000}
			r := Request{Host: "h.example", Path: "/a/x", Key: "secret", HeaderBytes: 50, BodyBytes: 10}
			c.arrange(&r)
			_, team, refusal := config.Admit(r)
			if refusal == nil && c.reason != "" || refusal != nil && refusal.Reason != c.reason || team.Name != c.team {
				t.Errorf("team %q, refusal %+v", team.Name, refusal)
			}
		})
	}
}

// Guards against an attempt that waits for a silent target until the request's own timeout.
func TestAttemptTimeout(t *testing.T) {
	for objective, want := range map[time.Duration]time.Duration{
		0: 200 * time.Millisecond, 50 * time.Millisecond: 200 * time.Millisecond, 400 * time.Millisecond: 800 * time.Millisecond,
	} {
		if got := (Route{LatencyObjective: objective}).AttemptTimeout(); got != want {
			t.Errorf("objective %v: %v, want %v", objective, got, want)
		}
	}
}

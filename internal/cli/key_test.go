package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/key"
)

const testToken = "operator-token-of-the-test"

const testConfig = `# the comment is lost
kind = "configuration"

[[teams]]
name = "shop"

[[keys]]
id = "first1"
team = "shop"
hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

[[keys]]
id = "second"
team = "shop"
hash = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

[[services]]
name = "chat"
type = "engine"
queue_limit = 1
staleness_versions = 0

[[pools]]
service = "chat"
zone = "rennes"
class = "on_demand"
max = 2
price_per_hour = 10.0

[[budget]]
from = 2026-05-01T00:00:00+02:00
per_hour = 0.0
`

const testStatus = `{"instance":"entry-1","zone":"rennes","revision":7,"serving":true,"draining":false,"active_requests":0,
"evidence_age_ms":4,"targets":[
{"id":"e1","service":"chat","zone":"rennes","state":"ready","weight_version":3,"slots":8,"in_flight":2},
{"id":"e2","service":"chat","zone":"brest","state":"ready"}],
"teams":[{"team":"shop","service":"chat","served":5,"waiting":1,"in_flight":2}]}`

// fakeInstance serves testConfig as revision 7 and accepts an apply that is based on revision current.
type fakeInstance struct {
	current int
	state   api.State
	applied string
}

func (s *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Authorization") != "Bearer "+testToken:
		refuse(w, http.StatusUnauthorized, "admin_forbidden", "the operator token is missing or wrong")
	case r.URL.Path == "/admin/v1/status":
		_, _ = io.WriteString(w, testStatus)
	case r.Method == http.MethodGet:
		w.Header().Set("Egretspar-Revision", "7")
		_, _ = io.WriteString(w, testConfig)
	case r.URL.Query().Get("revision") != fmt.Sprint(s.current):
		refuse(w, http.StatusConflict, "config_conflict", fmt.Sprintf("expected revision 7 by ann, but the current revision is %d by bo", s.current))
	default:
		body, _ := io.ReadAll(r.Body)
		s.applied = string(body)
		_ = json.NewEncoder(w).Encode(api.ApplyResult{Revision: s.current + 1, State: s.state})
	}
}

func refuse(w http.ResponseWriter, status int, reason, message string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.Refusal{Reason: reason, Outcome: "not_run", Message: message})
}

func startFakeInstance(t *testing.T, s *fakeInstance) []string {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return []string{"--url", server.URL, "--token", testToken}
}

// Guards against a withdrawal that changes more than its key, for example an explicit zero that is read back as the
// default, and against a withdrawal that overwrites another operator's change.
func TestKeyWithdraw(t *testing.T) {
	older, err := config.Parse("old", []byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		id      string
		current int
		state   api.State
		code    int
		out     string
		stderr  string
		changes string
	}{
		"first":    {"first1", 7, "in_force", ExitOK, "revision 8 is in_force after ", "", "[- key first1]"},
		"second":   {"second", 7, "written", ExitOK, "revision 8 is written, not yet in_force after ", "", "[- key second]"},
		"unknown":  {"third3", 7, "in_force", ExitRefused, "", `"third3" is not in`, ""},
		"conflict": {"first1", 9, "in_force", ExitRefused, "", "revision 7 by ann, but the current revision is 9", ""},
	} {
		server := &fakeInstance{current: c.current, state: c.state}
		code, out, stderr := execute(append([]string{"key", "withdraw", c.id}, startFakeInstance(t, server)...)...)
		if code != c.code || !strings.HasPrefix(out, c.out) || (c.out == "") != (out == "") || !strings.Contains(stderr, c.stderr) {
			t.Errorf("%s: code %d, output %q, errors %q", name, code, out, stderr)
		}
		if c.changes == "" {
			if server.applied != "" {
				t.Errorf("%s: applied %s", name, server.applied)
			}
			continue
		}
		newer, err := config.Parse("new", []byte(server.applied))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if changes := fmt.Sprint(config.Diff(older, newer)); changes != c.changes {
			t.Errorf("%s: changes %s", name, changes)
		}
	}
}

// Guards against a secret that is printed twice or used for two keys, and against a hash that does not match
// the secret.
func TestKeyCreate(t *testing.T) {
	pattern := regexp.MustCompile(`^key: (\w+)\.(\S+)\n(?s:.*)id = "(\w+)"\nteam = "shop"\nhash = "(\w+)"\n$`)
	seen := map[string]bool{}
	for range 20 {
		code, out, stderr := execute("key", "create", "--team", "shop")
		m := pattern.FindStringSubmatch(out)
		if code != ExitOK || stderr != "" || m == nil {
			t.Fatalf("code %d, output %q, errors %q", code, out, stderr)
		}
		id, secret := m[1], m[2]
		if strings.Count(out, secret) != 1 || seen[id] || seen[secret] || id != m[3] || key.Hash(secret) != m[4] {
			t.Errorf("output %q", out)
		}
		seen[id], seen[secret] = true, true
	}
}

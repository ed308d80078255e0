package cli

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against a list that omits or reorders items, and against a filter or a name that selects other items.
func TestListAndShow(t *testing.T) {
	clearEnvironment(t)
	server := startFakeInstance(t, &fakeInstance{current: 7, state: "in_force"})
	for line, want := range map[string][]string{
		"team list":                {"TEAM", "shop"},
		"team show shop":           {"TEAM", "shop"},
		"target list":              {"TARGET", "e1", "e2"},
		"target list --zone brest": {"TARGET", "e2"},
		"target list --service x":  {"TARGET"},
		"target show e1":           {"TARGET", "e1"},
		"usage list":               {"TEAM", "shop"},
		"usage show shop":          {"TEAM", "shop"},
	} {
		code, out, stderr := execute(append(strings.Fields(line), server...)...)
		rows := strings.Split(strings.TrimSpace(out), "\n")
		if code != ExitOK || stderr != "" || len(rows) != len(want) {
			t.Errorf("%s: code %d, output %q, errors %q", line, code, out, stderr)
			continue
		}
		for n, first := range want {
			if strings.Fields(rows[n])[0] != first {
				t.Errorf("%s: row %q, want %s", line, rows[n], first)
			}
		}
		code, out, _ = execute(append(strings.Fields(line+" --output json"), server...)...)
		var items []map[string]any
		if err := json.Unmarshal([]byte(out), &items); err != nil || code != ExitOK || len(items) != len(want)-1 {
			t.Errorf("%s as JSON: code %d, output %q, %v", line, code, out, err)
		}
	}
	for _, line := range []string{"team show other", "target show e9", "usage show other"} {
		expectFailure(t, ExitFailed, "not found", append(strings.Fields(line), server...)...)
	}
	if _, out, _ := execute(append([]string{"team", "show", "shop", "--output", "json"}, server...)...); !strings.Contains(out, `"keys":2`) {
		t.Errorf("team: %s", out)
	}
}

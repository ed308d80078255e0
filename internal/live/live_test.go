package live

import (
	"testing"
	"time"
)

func testConfig() *Config {
	c := NewConfig(3, Limits{})
	c.AddRoute(Route{Name: "root", Host: "h.example", Prefix: "/a/"})
	c.AddRoute(Route{Name: "deep", Host: "h.example", Prefix: "/a/b/"})
	c.AddRoute(Route{Name: "public", Host: "other.example", Prefix: "/a/", Public: true})
	c.RequireKeys()
	c.AddKey("secret", Team{Name: "team"})
	return c
}

// Guards against a match of a route with a shorter prefix or another host.
func TestMatch(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"h.example", "/a/x", "root"},
		{"H.Example:8080", "/a/x", "root"},
		{"h.example", "/a/b/x", "deep"},
		{"h.example", "/a/b", "root"},
		{"other.example", "/a/b/x", "public"},
		{"h.example", "/c/", ""},
		{"unknown.example", "/a/x", ""},
	}
	for _, c := range cases {
		r, ok := testConfig().Match(c.host, c.path)
		if r.Name != c.want || ok != (c.want != "") {
			t.Errorf("%s%s: %q, %v", c.host, c.path, r.Name, ok)
		}
	}
}

// Guards against requests that run without a required key or on behalf of another team.
func TestAuthenticate(t *testing.T) {
	c := testConfig()
	keyRequired, _ := c.Match("h.example", "/a/")
	public, _ := c.Match("other.example", "/a/")
	cases := []struct {
		name  string
		route Route
		key   string
		team  string
		ok    bool
	}{
		{"key", keyRequired, "secret", "team", true},
		{"wrong key", keyRequired, "Secret", "", false},
		{"no key", keyRequired, "", "", false},
		{"public without key", public, "", "", true},
		{"public with key", public, "secret", "team", true},
		{"public with unknown key", public, "x", "", true},
	}
	for _, tc := range cases {
		if team, ok := c.Authenticate(tc.route, tc.key); team.Name != tc.team || ok != tc.ok {
			t.Errorf("%s: %q, %v", tc.name, team.Name, ok)
		}
	}
}

// Guards against a distribution of requests that differs from the weights of the route's services.
func TestServiceByWeight(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	for point, want := range map[float64]string{0: "a", 0.899: "a", 0.901: "b", 0.999: "b"} {
		if got := r.Service(point); got != want {
			t.Errorf("%v: %s", point, got)
		}
	}
}

// Guards against a return to an older configuration or weight version.
func TestViewIgnoresOlderVersions(t *testing.T) {
	v := NewView()
	if !v.SetConfig(NewConfig(5, Limits{})) || v.SetConfig(NewConfig(4, Limits{})) || v.Config().Version != 5 {
		t.Errorf("version %d in force", v.Config().Version)
	}
	if !v.SetWeightVersion("m", 3) || v.SetWeightVersion("m", 2) || v.Releases()["m"] != 3 {
		t.Errorf("releases %v", v.Releases())
	}
}

// Guards against weight versions from a description that is older than a response of the target, and against those of
// an earlier run of the target.
func TestTargetVersionsOnlyGrowWithinARun(t *testing.T) {
	v := NewView()
	v.SetTarget(Target{ID: "e", StartNumber: 1, Versions: map[string]int{"m": 2}})
	v.ObserveVersion("e", 1, "m", 3)
	v.SetTarget(Target{ID: "e", StartNumber: 1, Versions: map[string]int{"m": 2}, Draining: true})
	if got := v.Targets()[0]; got.Versions["m"] != 3 || !got.Draining {
		t.Errorf("target %+v", got)
	}
	v.SetTarget(Target{ID: "e", StartNumber: 2, Versions: map[string]int{"m": 1}})
	v.ObserveVersion("e", 1, "m", 3)
	if got := v.Targets()[0]; got.Versions["m"] != 1 {
		t.Errorf("restarted target %+v", got)
	}
}

// Guards against a word of a target's responses that does not last until its run ends, or that lasts longer: into another run, or
// after the target says otherwise.
func TestWordThatTargetLeavesLastsForItsRun(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	entry := func(run int64, draining bool) Target { return Target{ID: "a", StartNumber: run, Draining: draining} }
	for _, tc := range []struct {
		name   string
		events func(*View)
		want   bool
	}{
		{"said", func(*View) {}, true},
		{"the entry comes again", func(v *View) { v.SetTarget(entry(1, false)) }, true},
		{"the entry vanishes and comes again", func(v *View) { v.RemoveTarget("a"); v.SetTarget(entry(1, false)) }, true},
		{"a new run", func(v *View) { v.SetTarget(entry(2, false)) }, false},
		{"the entry says draining, then not", func(v *View) { v.SetTarget(entry(1, true)); v.SetTarget(entry(1, false)) }, false},
		{"a later response no longer says it", func(v *View) { v.ObserveLeaving("a", false, at(1020)) }, false},
		{"an earlier response arrives late", func(v *View) { v.ObserveLeaving("a", false, at(1005)) }, true},
		{"a late response of the former run", func(v *View) { v.SetTarget(entry(2, false)); v.ObserveLeaving("a", true, at(-1000)) }, false},
		{"an unknown target", func(v *View) { v.ObserveLeaving("b", true, at(1010)) }, true},
	} {
		view := NewView()
		view.SetTarget(entry(1, false))
		if !view.ObserveLeaving("a", true, at(1010)) || view.ObserveLeaving("a", true, at(1015)) {
			t.Errorf("%s: the word is not new once", tc.name)
		}
		tc.events(view)
		if target, _ := view.Target("a"); target.Draining != tc.want {
			t.Errorf("%s: draining %v", tc.name, target.Draining)
		}
	}
}

// Guards against a warm-up that an older statement shortens, or that is forgotten when the description of the new run comes or
// the target's entry vanishes for a while.
func TestColdTarget(t *testing.T) {
	v, now := NewView(), time.Now()
	v.SetTarget(Target{ID: "e", StartNumber: 1})
	if !v.ObserveCold("e", 3*time.Second, now) || v.ObserveCold("e", time.Second, now) || v.ObserveCold("unknown", time.Second, now) {
		t.Error("an older statement, or one of an unknown target, counts as news, or a new one does not")
	}
	v.SetTarget(Target{ID: "e", StartNumber: 2, ColdUntil: now.Add(2 * time.Second)})
	v.RemoveTarget("e")
	v.SetTarget(Target{ID: "e", StartNumber: 2})
	if e, _ := v.Target("e"); !e.ColdUntil.Equal(now.Add(3 * time.Second)) {
		t.Errorf("cold for %v, want 3 s", e.ColdUntil.Sub(now))
	}
}

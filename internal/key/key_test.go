package key

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/rapidtest"
)

func testRing(t testing.TB) (*Keyring, Generated) {
	g, err := Generate(bytes.NewReader(bytes.Repeat([]byte{7}, 64)), "blue")
	if err != nil {
		t.Fatal(err)
	}
	return NewKeyring(&config.Document{
		Teams:    []config.Team{{Name: "blue"}},
		Keys:     []config.Key{g.Entry, {ID: "twice", Team: "blue", Hash: Hash("a")}, {ID: "twice", Team: "blue", Hash: Hash("a")}, {ID: "gone", Team: "none", Hash: Hash("a")}},
		Services: []config.Service{{Name: "chat"}, {Name: "ping"}, {Name: "other"}},
		Routes:   []config.Route{{Service: "chat", Teams: []string{"blue"}}, {Service: "ping", Open: true}},
	}), g
}

// Guards against authenticating a caller as a team without the exact key of that team (invariant I4).
func TestAuthenticate(t *testing.T) {
	ring, g := testRing(t)
	for header, want := range map[string]outcome.Reason{
		"Bearer " + g.Bearer:         "",
		"bearer  " + g.Bearer + " ":  "",
		"":                           outcome.KeyMissing,
		"Basic " + g.Bearer:          outcome.KeyInvalid,
		"Bearer " + g.Entry.ID:       outcome.KeyInvalid,
		"Bearer " + g.Entry.ID + ".": outcome.KeyInvalid,
		"Bearer " + g.Entry.ID + "." + g.Entry.Hash: outcome.KeyInvalid,
		"Bearer twice.a": outcome.KeyInvalid,
		"Bearer gone.a":  outcome.KeyInvalid,
		"Bearer " + g.Bearer + strings.Repeat("=", maxCredentialLength): outcome.KeyInvalid,
	} {
		caller, refusal := ring.Authenticate(header)
		switch {
		case want == "" && (refusal != nil || caller.Team != "blue" || !ring.IsInForce(caller)):
			t.Errorf("%q: %+v, %v", header, caller, refusal)
		case want != "" && (refusal == nil || refusal.Reason != want):
			t.Errorf("%q: refusal %v, want %s", header, refusal, want)
		}
	}
}

// Guards against requests that continue after their key was withdrawn, replaced or moved to another team
// (invariant I6).
func TestChangedKeyDoesNotHold(t *testing.T) {
	ring, g := testRing(t)
	caller, _ := ring.Authenticate("Bearer " + g.Bearer)
	for name, keys := range map[string][]config.Key{
		"withdrawn": nil,
		"replaced":  {{ID: g.Entry.ID, Team: "blue", Hash: Hash("new")}},
		"moved":     {{ID: g.Entry.ID, Team: "red", Hash: g.Entry.Hash}},
	} {
		doc := &config.Document{Teams: []config.Team{{Name: "blue"}, {Name: "red"}}, Keys: keys}
		if NewKeyring(doc).IsInForce(caller) {
			t.Errorf("%s: key is still valid", name)
		}
	}
}

// Guards against a team that can use a service without a route to it.
func TestAllowed(t *testing.T) {
	ring, _ := testRing(t)
	for _, c := range []struct {
		team, service string
		want          outcome.Reason
	}{
		{"blue", "chat", ""},
		{"", "ping", ""},
		{"red", "ping", ""},
		{"", "chat", outcome.KeyMissing},
		{"red", "chat", outcome.RouteForbidden},
		{"blue", "other", outcome.RouteForbidden},
		{"blue", "none", outcome.ServiceUnknown},
	} {
		refusal := ring.CheckAccess(c.team, c.service)
		if c.want == "" && refusal != nil || c.want != "" && (refusal == nil || refusal.Reason != c.want) {
			t.Errorf("%+v: %v", c, refusal)
		}
	}
}

// Guards against forwarding a key to a target in any header, trailer or query parameter (invariant I5).
func TestStrippedRequestHoldsNoKey(t *testing.T) {
	ring, g := testRing(t)
	rapidtest.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{"Authorization", "cookie", "X_Api_Key", "Proxy-Authorization", "Referer", "X-Note", "Accept"})
		values := rapid.SampledFrom([]string{"Bearer " + g.Bearer, "http://h/?k=" + g.Bearer + "&x=1", "a.b." + g.Bearer, "text/html"})
		header := http.Header{}
		for range rapid.IntRange(0, 6).Draw(t, "fields") {
			name := names.Draw(t, "name")
			header[name] = append(header[name], values.Draw(t, "value"))
		}
		ring.StripHeader(header)
		for name, got := range header {
			if credentialHeaders[canonicalName(name)] || strings.Contains(strings.Join(got, " "), g.Bearer) {
				t.Fatalf("%s: %q was not stripped", name, got)
			}
		}
		query := rapid.SampledFrom([]string{"key=", "API_KEY=", "q=%42earer%20", "x=1&access_token=", "a;key=."}).Draw(t, "query") + g.Bearer
		escaped := strings.ReplaceAll(query, ".", "%2e")
		for _, raw := range []string{query, escaped} {
			if got := ring.StripQuery(raw); strings.Contains(got, g.Bearer[20:]) {
				t.Fatalf("%q became %q", raw, got)
			}
		}
	})
	header := http.Header{"Trailer": {"Authorization, X-Sum"}, "Accept": {"a"}}
	ring.StripHeader(header)
	if header.Get("Trailer") != "X-Sum" || header.Get("Accept") != "a" {
		t.Errorf("headers without credentials changed: %v", header)
	}
	if got := ring.StripQuery("key=1&b=%20x&&c"); got != "key=1&b=%20x&c" {
		t.Errorf("query without credentials changed: %q", got)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	ring, g := testRing(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := ring.Authenticate("Bearer " + g.Bearer); refusal != nil {
			b.Fatal(refusal)
		}
	}
}

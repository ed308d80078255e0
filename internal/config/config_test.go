package config

import (
	"strings"
	"testing"
)

const validConfig = `kind = "configuration"
[[teams]]
name = "marne"
[[teams]]
name = "odet"
weight = 3
[[keys]]
id = "abcd"
team = "odet"
hash = "` + zeroHash + `"
[[services]]
name = "chat"
type = "engine"
[[routes]]
service = "chat"
teams = ["marne", "odet"]
[[budget]]
from = 2026-12-01T00:00:00Z
per_hour = 12.5
`

const zeroHash = "0000000000000000000000000000000000000000000000000000000000000000"

// Guards against a parsed configuration without the defaults that the schema specifies.
func TestParseAddsDefaults(t *testing.T) {
	d, err := Parse("f.toml", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if d.Teams[0].Weight != 1 || d.Teams[1].Weight != 3 || d.Services[0].TimeoutMs != 30000 || d.Services[0].Class != ServiceClassLatency {
		t.Errorf("defaults: %+v %+v", d.Teams, d.Services)
	}
	if d.Budget[0].PerHour != 12.5 || d.Budget[0].From.Year() != 2026 {
		t.Errorf("budget: %+v", d.Budget)
	}
}

// Guards against accepting an invalid configuration, and against error messages without the line or the allowed values.
func TestParseNamesLineAndAllowedValue(t *testing.T) {
	replace := func(old, text string) string { return strings.Replace(validConfig, old, text, 1) }
	for _, c := range []struct{ name, data, want string }{
		{"empty", "", "f.toml:1: file is empty"},
		{"blank", " \n\n", "f.toml:1: file is empty"},
		{"binary", "kind\x00", "f.toml:1: file is binary"},
		{"syntax", replace(`name = "odet"`, `name = = 3`), "f.toml:5: "},
		{"no kind", replace(`kind = "configuration"`, ""), `f.toml:1: missing kind; write kind = "configuration"`},
		{"other kind", replace(`"configuration"`, `"instance"`), `f.toml:1: kind is "instance"; expected "configuration"`},
		{"unknown key", replace("weight = 3", "wieght = 3"), "f.toml:6: unknown key teams[1].wieght; allowed here: leaving, max_concurrency, name, weight"},
		{"unknown table", validConfig + "[extra]\na = 1\n", "f.toml:20: unknown key extra; allowed here: budget"},
		{"type", replace("weight = 3", `weight = "3"`), "f.toml:6: teams[1].weight is a string; allowed: integer"},
		{"bounds", replace("weight = 3", "weight = 0"), "f.toml:6: teams[1].weight: allowed: integer, at least 1, at most 1000"},
		{"enum", replace(`type = "engine"`, `type = "motor"`), "f.toml:13: services[0].type: allowed: string, one of [engine plain]"},
		{"missing", replace(`team = "odet"`, ""), "f.toml:7: keys[0] lacks team"},
		{"no service", replace("[[services]]\nname = \"chat\"\ntype = \"engine\"\n", ""), "f.toml:1: the document lacks services"},
		{"unknown team", replace(`team = "odet"`, `team = "orne"`), `f.toml:7: keys[0] "abcd": names team "orne", which does not exist`},
		{"team twice", replace(`"marne"`, `"odet"`), `f.toml:4: teams[1] "odet": stands twice`},
		{"open and teams", replace("teams = [", "open = true\nteams = ["), `f.toml:14: routes[0] "chat": needs either teams or open = true`},
		{"inline", replace("[[teams]]\nname = \"marne\"\n[[teams]]\nname = \"odet\"\nweight = 3\n", "teams = [\n {name = \"marne\"},\n {name = \"odet\", weight = -1},\n]\n"), "f.toml:4: teams[1].weight: allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.data))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

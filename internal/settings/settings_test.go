package settings

import (
	"strings"
	"testing"
)

const validSettings = `kind = "instance"
[instance]
id = "entry-1"
region = "brittany"
zone = "rennes"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
peer_advertise = "127.0.0.1:8081"
[platform]
url = "http://127.0.0.1:9000"
[peers]
secrets = ["0123456789abcdef"]
[admin]
token = "0123456789abcdef"
`

// Guards against accepting invalid settings, and against error messages without the line or the allowed values.
func TestParse(t *testing.T) {
	s, err := Parse("s.toml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.TimeoutMs != 1000 || s.Instance.DrainSeconds != 300 || s.Log.Level != LevelInfo {
		t.Errorf("defaults: %+v", s)
	}
	for _, c := range []struct{ old, text, want string }{
		{"id = \"entry-1\"", "id = \"Entry 1\"", "s.toml:3: instance.id: allowed: string, matching"},
		{"[platform]", "[platform]\ntimeout_ms = 1", "s.toml:10: platform.timeout_ms: allowed: integer, at least 50, at most 30000"},
		{"[platform]", "[platform]\ntimeout = 1", "s.toml:10: unknown key platform.timeout; allowed here: timeout_ms, token, url"},
		{"zone = \"rennes\"", "zoen = \"rennes\"", "s.toml:5: unknown key instance.zoen; allowed here: drain_seconds, id"},
		{"secrets = [\"0123456789abcdef\"]", "secrets = []", "s.toml:12: peers.secrets: allowed: array, at least 1 items"},
		{"kind = \"instance\"", "kind = \"configuration\"", `s.toml:1: kind is "configuration"; expected "instance"`},
	} {
		_, err := Parse("s.toml", []byte(strings.Replace(validSettings, c.old, c.text, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.text, err, c.want)
		}
	}
}

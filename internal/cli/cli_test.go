package cli

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

func execute(args ...string) (code int, out, stderr string) {
	var o, e bytes.Buffer
	code = Run(args, Streams{In: strings.NewReader(""), Out: &o, Err: &e})
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// clearEnvironment unsets the environment variables that set flags.
func clearEnvironment(t *testing.T) {
	for _, name := range []string{"EGRETSPAR_URL", "EGRETSPAR_ADMIN_TOKEN", "EGRETSPAR_KEY"} {
		t.Setenv(name, "")
		_ = os.Unsetenv(name)
	}
}

// expectFailure runs a command that must exit with code, print one line that contains text to standard error and print
// nothing to standard output.
func expectFailure(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	got, out, stderr := execute(args...)
	oneLine := strings.Count(stderr, "\n") == 1 && strings.HasPrefix(stderr, "egretspar: ") && strings.HasSuffix(stderr, "\n")
	if got != code || out != "" || !oneLine || !strings.Contains(stderr, text) {
		t.Errorf("%v: code %d, want %d with %q; output %q, errors %q", args, got, code, text, out, stderr)
	}
}

// Guards against a command without help, and against a command that accepts an unknown flag or an extra argument.
func TestEveryCommand(t *testing.T) {
	clearEnvironment(t)
	parser, err := kong.New(&commands{}, kong.Name("egretspar"))
	if err != nil {
		t.Fatal(err)
	}
	leaves := parser.Model.Leaves(false)
	if len(leaves) < 15 {
		t.Errorf("%d commands, want at least 15", len(leaves))
	}
	for _, leaf := range leaves {
		command := strings.Fields(leaf.Path())
		code, out, stderr := execute(append(command, "--help")...)
		if code != ExitOK || stderr != "" || !strings.Contains(strings.Join(strings.Fields(out), " "), leaf.Help) {
			t.Errorf("%v --help: code %d, output %q, errors %q", command, code, out, stderr)
		}
		expectFailure(t, ExitUsage, "unknown flag --no-such-flag", append(command, "--no-such-flag")...)
		expectFailure(t, ExitUsage, "", append(command, "a", "b", "c")...)
	}
	if code, out, _ := execute(); code != ExitOK || !strings.Contains(out, "Exit codes") {
		t.Errorf("no command: code %d, output %q", code, out)
	}
}

// Guards against a command that runs without its required arguments or with values of the wrong type.
func TestBadArguments(t *testing.T) {
	clearEnvironment(t)
	for line, text := range map[string]string{
		"config": "expected one of", "key": "expected one of", "standin": "expected one of", "step": "run", "no-such": "unexpected argument",
		"serve": "--config", "config check": "<file>", "config diff": "<old>", "config diff a": "<new>", "config apply": "--token", "config apply --url a --token b": "<file>",
		"config get": "--url", "config history": "--url", "key create": "--team", "key withdraw --url a --token b": "<id>", "key withdraw a": "--url",
		"status": "--url", "drain": "--token", "step run --url a --key b": "<file>", "step run a": "--url", "step run a --url b": "--key", "bench": "<file>",
		"demo --seed x": "--seed", "demo --log /dev/null/x": "/dev/null/x", "standin engine --slots x": "--slots",
		"standin platform --instance-lag x": "--instance-lag", "standin plain --latency x": "--latency",
		"status --output x --url a --token b": "--output", "bench a --output x": "--output",
		"step run a --url b --key c --version-number x": "--version-number", "config apply a --url b --token c --revision x": "--revision",
	} {
		expectFailure(t, ExitUsage, text, strings.Fields(line)...)
	}
}

// withUnknownKey returns the content of the valid file name, or testConfig if name is empty, with an unknown key on the
// second line.
func withUnknownKey(t *testing.T, name string) string {
	text := testConfig
	if name != "" {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		text = string(data)
	}
	_, rest, _ := strings.Cut(text, "kind = ")
	return "\nnonsense = 1\nkind = " + rest
}

// Guards against an invalid file that is accepted, or whose error does not name the file and the line.
func TestBadFiles(t *testing.T) {
	clearEnvironment(t)
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	for name, text := range map[string]string{
		"empty": "\n", "binary": "\x00\xff", "kind": "kind = \"other\"\n", "syntax": "\nkind = \n",
		"instance": withUnknownKey(t, "../../examples/local/entry-1.toml"), "configuration": withUnknownKey(t, ""),
		"experiment": withUnknownKey(t, "../../experiments/poison.toml"),
		"valid":      testConfig, "unknown.json": `{"nonsense":1,` + testSpec[1:], "huge.json": strings.Replace(testSpec, ":2", ":2000000000", 1),
	} {
		writeFile(t, file(name), text)
	}
	operator := " --url http://127.0.0.1:1 --token t"
	for command, kind := range map[string]string{
		"serve --config %s": "instance", "config check %s": "configuration", "config diff %s " + file("valid"): "configuration",
		"config diff " + file("valid") + " %s": "configuration", "config apply %s" + operator: "configuration", "bench %s": "experiment",
	} {
		for name, text := range map[string]string{
			"missing": "no such file", "": "is a directory", "empty": "empty:1: file is empty", "binary": "binary:1: file is binary",
			"kind": `kind:1: kind is "other"`, "syntax": "syntax:2: ", kind: kind + ":2: unknown key nonsense",
		} {
			expectFailure(t, ExitUsage, text, strings.Fields(fmt.Sprintf(command, file(name)))...)
		}
	}
	expectFailure(t, ExitUsage, "instance:2: unknown key nonsense", "config", "check", file("instance"))
	expectFailure(t, ExitUsage, "-:1: file is empty", "config", "check", "-")
	for name, text := range map[string]string{
		"missing": "no such file", "": "is a directory", "empty": "as JSON: EOF", "binary": "as JSON", "valid": "as JSON",
		"unknown.json": "'nonsense'", "huge.json": "/samples_per_group: maximum",
	} {
		expectFailure(t, ExitUsage, text, "step", "run", file(name), "--url", "http://127.0.0.1:1", "--key", "k")
	}
}

// Guards against a lost connection, a wrong token or a conflict that looks like success to an operator.
func TestOperatorFailures(t *testing.T) {
	clearEnvironment(t)
	dir := t.TempDir()
	changed, spec := filepath.Join(dir, "changed"), filepath.Join(dir, "spec")
	writeFile(t, changed, strings.Replace(testConfig, "max = 2", "max = 3", 1))
	writeFile(t, spec, testSpec)
	server := startFakeInstance(t, &fakeInstance{current: 9, state: "in_force"})
	closed := closedURL(t)
	for _, line := range []string{"config apply " + changed, "config get", "config history", "key withdraw first1", "status", "drain"} {
		command := strings.Fields(line)
		expectFailure(t, ExitNoResponse, "refused", append(command, "--url", closed, "--token", testToken)...)
		expectFailure(t, ExitRefused, "admin_forbidden", append(command, server[0], server[1], "--token", "wrong")...)
		if len(command) > 2 {
			expectFailure(t, ExitRefused, "revision 7 by ann, but the current revision is 9 by bo", append(command, server...)...)
		}
	}
	expectFailure(t, ExitNoResponse, "no instance responded", "step", "run", spec, "--url", closed, "--key", "k", "--give-up", "100ms")
	expectFailure(t, ExitRefused, "admin_forbidden", "step", "run", spec, server[0], server[1], "--key", "k")
}

// closedURL returns the URL of a port that refuses connections, because its listener was closed.
func closedURL(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

// Guards against a difference that is not listed, an item that is listed without a difference, and an apply that does
// not print what it changed.
func TestConfigDiffAndApply(t *testing.T) {
	clearEnvironment(t)
	dir := t.TempDir()
	older, newer := filepath.Join(dir, "old"), filepath.Join(dir, "new")
	writeFile(t, older, testConfig)
	writeFile(t, newer, strings.NewReplacer("second", "third3", "max = 2", "max = 3").Replace(testConfig))
	const want = "- key second\n+ key third3\n~ pool chat/rennes/on_demand\n"
	server := startFakeInstance(t, &fakeInstance{current: 7, state: "in_force"})
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"config", "diff", older, newer}, want},
		{[]string{"config", "diff", older, older}, ""},
		{append([]string{"config", "apply", newer}, server...), want + "revision 8 is in_force\n"},
		{[]string{"config", "check", older}, older + ": valid configuration\n"},
	} {
		if code, out, stderr := execute(c.args...); code != ExitOK || out != c.want || stderr != "" {
			t.Errorf("%v: code %d, output %q, errors %q", c.args, code, out, stderr)
		}
	}
}

// Guards against an instance on the users' platform that starts without its settings, or whose error does not say that
// they are missing.
func TestFleetNeedsSettings(t *testing.T) {
	clearEnvironment(t)
	expectFailure(t, ExitUsage, "is not set", "fleet")
}

package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/egretspar/egretspar/internal/cli"
)

// Guards against an invalid file for which the command returns a wrong exit code or writes a page.
func TestReportExitCodes(t *testing.T) {
	const result = `{"experiment":{"kind":"experiment"},"figures":[{"name":"a","value":1}]}`
	for input, code := range map[string]int{result: cli.ExitOK, "{}": cli.ExitUsage, "x": cli.ExitUsage} {
		out := filepath.Join(t.TempDir(), "page.html")
		var stderr bytes.Buffer
		got := cli.Run([]string{"report", "-", "--out", out}, cli.Streams{In: strings.NewReader(input), Err: &stderr})
		_, err := os.Stat(out)
		ok, lines := code == cli.ExitOK, strings.Count(stderr.String(), "\n")
		if got != code || (err == nil) != ok || (lines == 1) == ok {
			t.Errorf("%s: exit code %d, want %d; page: %v; %d lines: %s", input, got, code, err, lines, &stderr)
		}
	}
}

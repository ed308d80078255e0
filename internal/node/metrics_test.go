package node

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against a gauge that is exported but missing from docs/operations/metrics.md.
func TestEveryGaugeIsDocumented(t *testing.T) {
	source, err := os.ReadFile("gauges.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/operations/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`"(egretspar\.[a-z.]+)"`).FindAllStringSubmatch(string(source), -1)
	if len(names) == 0 {
		t.Fatal("no gauge found in gauges.go")
	}
	text := strings.ReplaceAll(string(page), "`_", "`egretspar_lease_")
	for _, match := range names {
		if name := strings.ReplaceAll(match[1], ".", "_"); !strings.Contains(text, "`"+name) {
			t.Errorf("%s is missing from docs/operations/metrics.md", name)
		}
	}
}

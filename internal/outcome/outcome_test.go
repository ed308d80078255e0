package outcome

import (
	"os"
	"strings"
	"testing"
)

// Guards against an entry of the list without a status code or message. Its refusals would be written with
// status 0 or an empty message.
func TestEveryReasonIsComplete(t *testing.T) {
	for _, r := range Reasons() {
		info := reasons[r]
		if info.status < 400 || info.message == "" || info.outcome == Ran {
			t.Errorf("reason %s has an incomplete entry: %+v", r, info)
		}
	}
}

// Guards against a reason that appears in responses or metrics but is missing in the operators' documentation.
func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/reasons.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Reasons() {
		if !strings.Contains(string(page), "| `"+string(r)+"` | ") {
			t.Errorf("refusal reason %s is not documented in docs/operations/reasons.md", r)
		}
	}
	for _, r := range RetryReasons() {
		if !strings.Contains(string(page), "| `"+string(r)+"` | ") {
			t.Errorf("retry reason %s is not documented in docs/operations/reasons.md", r)
		}
	}
}

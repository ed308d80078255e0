package outcome

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Guards against an entry of the list without a status code or message. Its refusals would be written with
// status 0 or an empty message.
func TestEveryReasonIsComplete(t *testing.T) {
	declared := declaredReasons(t)
	if len(declared) != len(reasons) {
		t.Errorf("%d reasons are declared, %d are in the list", len(declared), len(reasons))
	}
	for _, r := range declared {
		info, ok := reasons[r]
		if !ok || info.status < 400 || info.message == "" || info.outcome == Ran {
			t.Errorf("reason %s has no entry or an incomplete one: %+v", r, info)
		}
	}
}

// declaredReasons returns the values of all constants of type Reason in the source.
func declaredReasons(t *testing.T) []Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "reasons.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var all []Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		name, isIdent := spec.Type.(*ast.Ident)
		value, isLiteral := spec.Values[0].(*ast.BasicLit)
		if isIdent && isLiteral && name.Name == "Reason" {
			text, err := strconv.Unquote(value.Value)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, Reason(text))
		}
		return true
	})
	return all
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

package report_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/egretspar/egretspar/internal/report"
)

func render(t *testing.T, documents ...string) string {
	t.Helper()
	var results []*report.Result
	for _, document := range documents {
		r, err := report.Parse(`<i>"file".json`, []byte(document))
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, r)
	}
	var page bytes.Buffer
	if err := report.Write(&page, results); err != nil {
		t.Fatal(err)
	}
	return page.String()
}

// Guards against markup from a result file that reaches the tables or the charts without escaping.
func TestEscaping(t *testing.T) {
	document := `{"experiment":{"kind":"experiment","name":"<b>&x","workload":"<u>"},
		"figures":[{"name":"<script>","value":1,"unit":"<em>","goal":"<= 2","met":true}]}`
	page := render(t, document, document)
	if strings.Count(page, "<svg") != 1 {
		t.Fatal("the page lacks the chart")
	}
	for _, markup := range []string{"<i>", "<b>", "<u>", "<script", "<em>", "<= 2", "<?xml"} {
		if strings.Contains(page, markup) {
			t.Errorf("the page contains %s", markup)
		}
	}
}

// Guards against a figure without a goal that is shown as missed, and against a missed goal that is not shown.
func TestGoals(t *testing.T) {
	page := render(t, `{"experiment":{"kind":"experiment"},"figures":[
		{"name":"a","value":1,"unit":"ms"},{"name":"b","value":3,"unit":"ms","goal":"<= 2","met":false}]}`)
	for _, cells := range []string{`none</td><td class=""></td>`, `&lt;= 2</td><td class="no">no</td>`, `: 1 missed</p>`} {
		if !strings.Contains(page, cells) {
			t.Errorf("the page lacks %s", cells)
		}
	}
}

// Guards against charts that have only one result or mix units, and against coordinates that are not finite because of
// zero or extreme values.
func TestCharts(t *testing.T) {
	type pair struct{ first, second string }
	for c, want := range map[pair]int{
		{`{"name":"a","value":1}`, `{"name":"a","value":2}`}:                        1,
		{`{"name":"a","value":1},{"name":"a","value":2}`, `{"name":"b","value":2}`}: 0,
		{`{"name":"a","value":1,"unit":"s"}`, `{"name":"a","value":2,"unit":"ms"}`}: 0,
		{`{"name":"a","value":0}`, `{"name":"a","value":0}`}:                        1,
		{`{"name":"a","value":-1.7e308}`, `{"name":"a","value":1.7e308}`}:           1,
		{`{"name":"a","value":5e-324}`, `{"name":"a","value":0}`}:                   1,
	} {
		const head = `{"experiment":{"kind":"experiment","name":"測定 🙂"},"figures":[`
		page := render(t, head+c.first+"]}", head+c.second+"]}")
		got := strings.Count(page, "<svg")
		if got != want || strings.Contains(page, "NaN") || strings.Contains(page, "Inf") {
			t.Errorf("%v: %d charts, want %d with finite coordinates: %s", c, got, want, page)
		}
	}
}

// Guards against invalid input that is accepted and yields an empty page.
func TestParseBadInput(t *testing.T) {
	for document, want := range map[string]string{
		``:                                     "r.json: not JSON: unexpected end of JSON input",
		`kind = "experiment"`:                  "r.json: not JSON: invalid character 'k' looking for beginning of value",
		`{} {}`:                                "r.json: not JSON: invalid character '{' after top-level value",
		`[]`:                                   "r.json: not a bench result: unexpected array in the document",
		`{"figures":3}`:                        "r.json: not a bench result: unexpected number in figures",
		`{"instances":[]}`:                     `r.json: not a bench result: experiment.kind is ""; allowed: "experiment"`,
		`{"experiment":{"kind":"experiment"}}`: "r.json: no figures",
		`{"experiment":{"kind":"experiment"},"figures":[{"value":1}]}`: "r.json: figures[0] lacks a name",
	} {
		if _, err := report.Parse("r.json", []byte(document)); err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", document, err, want)
		}
	}
}

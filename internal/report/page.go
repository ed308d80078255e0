package report

import (
	_ "embed" // page.html
	"html/template"
	"io"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/bench"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"value": formatValue,
	"met":   metText,
}).Parse(pageHTML))

type page struct {
	Results []*Result
	Charts  []chart
}

type chart struct {
	Name string
	SVG  template.HTML
}

// Write writes the results as an HTML page: one table per result, and one chart per figure that several results have.
func Write(w io.Writer, results []*Result) error {
	p := page{Results: results}
	for _, c := range compareResults(results) {
		svg, err := c.renderSVG()
		if err != nil {
			return errors.WithMessagef(err, "chart of %s", c.name)
		}
		p.Charts = append(p.Charts, chart{c.name, svg})
	}
	return errors.WithStack(pageTemplate.Execute(w, p))
}

// metText returns yes or no, or an empty text for a figure without a goal.
func metText(f bench.Figure) string {
	switch {
	case f.Met == nil:
		return ""
	case *f.Met:
		return "yes"
	}
	return "no"
}

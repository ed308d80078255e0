package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Lengths in points.
const (
	chartWidth vg.Length = 520
	axisHeight vg.Length = 50
	rowHeight  vg.Length = 24
	barHeight  vg.Length = 14
	margin     vg.Length = 6
)

const (
	// halfRow is half the distance between two bars on the axis of names, where the bar of row n is drawn at n.
	halfRow = 0.5

	// axisRangeFactor extends the value axis, so that the value label after the longest bar fits.
	axisRangeFactor = 1.2

	// maxChartValue is the largest magnitude that is drawn. The axis multiplies its bounds by each other, and the
	// products overflow for larger values.
	maxChartValue = 1e100
)

var barColor = color.RGBA{R: 0x3b, G: 0x6e, B: 0xa5, A: 0xff}

// renderSVG draws the comparison as horizontal bars, with the first result at the top.
func (c comparison) renderSVG() (template.HTML, error) {
	p := plot.New()
	setFonts(p)
	values, names := c.rows()
	bars, err := plotter.NewBarChart(values, barHeight)
	if err != nil {
		return "", errors.WithStack(err)
	}
	bars.Horizontal = true
	bars.Color = barColor
	bars.LineStyle.Width = 0
	labels, err := valueLabels(values, p.X.Tick.Label)
	if err != nil {
		return "", err
	}
	p.Add(bars, labels)
	p.NominalY(names...)
	p.X.Label.Text = c.unit
	p.X.Min, p.X.Max = axisRange(values)
	p.Y.Min, p.Y.Max = -halfRow, float64(len(values))-halfRow
	return encodeSVG(p, axisHeight+rowHeight*vg.Length(len(values)))
}

// rows returns the values and names from the bottom row to the top row. Values are limited to maxChartValue.
func (c comparison) rows() (plotter.Values, []string) {
	n := len(c.bars)
	values := make(plotter.Values, n)
	names := make([]string, n)
	for i, b := range c.bars {
		values[n-1-i] = min(max(b.value, -maxChartValue), maxChartValue)
		names[n-1-i] = b.label
	}
	return values, names
}

func valueLabels(values plotter.Values, style draw.TextStyle) (*plotter.Labels, error) {
	var data plotter.XYLabels
	for row, value := range values {
		data.XYs = append(data.XYs, plotter.XY{X: max(value, 0), Y: float64(row)})
		data.Labels = append(data.Labels, " "+formatValue(value))
	}
	labels, err := plotter.NewLabels(data)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i] = style
		labels.TextStyle[i].XAlign = draw.XLeft
		labels.TextStyle[i].YAlign = draw.YCenter
	}
	return labels, nil
}

// axisRange returns the bounds of the value axis. They always include zero, so that the lengths of the bars are
// proportional to the values.
func axisRange(values plotter.Values) (low, high float64) {
	for _, v := range values {
		low = min(low, v)
		high = max(high, v)
	}
	if low == high {
		return 0, 1
	}
	return low, low + (high-low)*axisRangeFactor
}

func setFonts(p *plot.Plot) {
	for _, f := range []*font.Font{&p.X.Label.TextStyle.Font, &p.X.Tick.Label.Font, &p.Y.Tick.Label.Font} {
		f.Variant = "Sans"
	}
}

// encodeSVG returns the plot as an svg element without the XML declaration, which HTML doesn't allow. The canvas
// escapes all text that it draws, so the result is safe as template.HTML.
func encodeSVG(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, height)
	p.Draw(draw.Crop(draw.New(canvas), margin, -margin, margin, -margin))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.WithStack(err)
	}
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", errors.New("the canvas wrote no svg element")
	}
	return template.HTML(out.Bytes()[start:]), nil
}

func formatValue(v float64) string { return fmt.Sprintf("%.4g", v) }

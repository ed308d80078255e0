package report

// figureKey identifies a figure across results. Values in different units are not compared.
type figureKey struct {
	name, unit string
}

// bar is the value of a figure in one result.
type bar struct {
	label string
	value float64
}

// comparison holds the values of one figure in the order of the results.
type comparison struct {
	figureKey
	bars []bar
}

// compareResults returns the figures that occur in at least two results, in the order of their first occurrence.
func compareResults(results []*Result) []comparison {
	var order []figureKey
	bars := map[figureKey][]bar{}
	for _, r := range results {
		for key, value := range r.distinctFigures() {
			if bars[key] == nil {
				order = append(order, key)
			}
			bars[key] = append(bars[key], bar{r.label(), value})
		}
	}
	var comparisons []comparison
	for _, key := range order {
		if len(bars[key]) > 1 {
			comparisons = append(comparisons, comparison{key, bars[key]})
		}
	}
	return comparisons
}

// distinctFigures yields each figure of the result once, with its first value: a figure that is repeated in one result
// must not count as an occurrence in another result.
func (r *Result) distinctFigures() func(yield func(figureKey, float64) bool) {
	return func(yield func(figureKey, float64) bool) {
		seen := map[figureKey]bool{}
		for _, f := range r.Figures {
			key := figureKey{f.Name, f.Unit}
			if seen[key] {
				continue
			}
			seen[key] = true
			if !yield(key, f.Value) {
				return
			}
		}
	}
}

func (r *Result) label() string {
	return truncateLabel(r.File + ": " + r.Experiment.Name)
}

// maxLabelLength limits a bar label, in characters. Longer labels leave no room for the bars.
const maxLabelLength = 40

// truncateLabel cuts the start of a long label and keeps its end, where file names differ most often.
func truncateLabel(label string) string {
	runes := []rune(label)
	if len(runes) <= maxLabelLength {
		return label
	}
	return "…" + string(runes[len(runes)-maxLabelLength+1:])
}

// Package bench runs experiments: it sends load through entry instances to emulated targets, with an emulated
// platform, all in one process on loopback. The callers, the emulated targets and the emulated platform count the
// figures; the instances under test do not.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/tomldoc"
)

// Kind is the value of the field kind in an experiment file.
const Kind = "experiment"

var experimentSchema = tomldoc.MustSchema(Kind, "experiment.schema.json")

// Parse decodes and validates the content of an experiment file.
func Parse(file string, data []byte) (*Experiment, error) {
	var e Experiment
	if err := experimentSchema.Decode(file, data, &e); err != nil {
		return nil, err
	}
	return &e, nil
}

// Figure is one measured value. Goal is empty and Met is nil if the figure has no goal.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Goal  string  `json:"goal,omitempty"`
	Met   *bool   `json:"met,omitempty"`
}

// Result holds the figures of one experiment.
type Result struct {
	Experiment Experiment `json:"experiment"`
	Figures    []Figure   `json:"figures"`
}

func (r *Result) add(name, unit string, value float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit})
}

func (r *Result) addAtMost(name, unit string, value, goal float64) {
	met := value <= goal
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit, Goal: fmt.Sprintf("<= %g", goal), Met: &met})
}

func (r *Result) addAtLeast(name, unit string, value, goal float64) {
	met := value >= goal
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit, Goal: fmt.Sprintf(">= %g", goal), Met: &met})
}

// MissedGoals returns the names of the figures that don't meet their goals.
func (r *Result) MissedGoals() []string {
	var names []string
	for _, f := range r.Figures {
		if f.Met != nil && !*f.Met {
			names = append(names, f.Name)
		}
	}
	return names
}

// WriteJSON writes the result as one JSON object.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(r))
}

// WriteTable writes the result as a text table.
func (r *Result) WriteTable(out io.Writer) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintf(w, "%s (%s)\n", r.Experiment.Name, r.Experiment.Workload)
	fmt.Fprintln(w, "FIGURE\tVALUE\tUNIT\tGOAL\tMET")
	for _, f := range r.Figures {
		met := ""
		if f.Met != nil {
			met = fmt.Sprint(*f.Met)
		}
		fmt.Fprintf(w, "%s\t%.4g\t%s\t%s\t%s\n", f.Name, f.Value, f.Unit, f.Goal, met)
	}
	return errors.WithStack(w.Flush())
}

type workloadFunc func(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error)

var workloads = map[Workload]workloadFunc{
	WorkloadForwarding: runForwarding,
	WorkloadThroughput: runThroughput,
	WorkloadIdle:       runIdle,
	WorkloadFairness:   runFairness,
	WorkloadSteps:      runSteps,
	WorkloadPoison:     runPoison,
	WorkloadControl:    runControl,
	WorkloadBookings:   runBookings,
	WorkloadOutage:     runOutage,
}

// Run runs one experiment and returns its figures.
func Run(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	run, ok := workloads[e.Workload]
	if !ok {
		return nil, errors.Errorf("unknown workload %q", e.Workload)
	}
	return run(ctx, e, log)
}

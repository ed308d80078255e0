package cli

import (
	"cmp"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/configcheck"
	"github.com/egretspar/egretspar/platform"
)

type fleetCheckCommand struct {
	File    string `arg:"" help:"File with the configuration as JSON; - is standard input."`
	Against string `help:"File with the configuration to compare with, for example the one in force."`
	outputFormat
}

// Run prints the findings. The exit code tells the highest severity.
func (c *fleetCheckCommand) Run(streams Streams) error {
	data, err := readFile(c.File, streams)
	if err != nil {
		return err
	}
	against, err := c.readAgainst(streams)
	if err != nil {
		return err
	}
	findings, err := platform.CheckConfig(string(data), against)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrap(err, c.Against))
	}
	if err := configFindingTable.print(c.outputFormat, streams.Out, findings); err != nil {
		return err
	}
	return c.result(findings)
}

// readAgainst returns the configuration to compare with, or nil without one.
func (c *fleetCheckCommand) readAgainst(streams Streams) (*string, error) {
	if c.Against == "" {
		return nil, nil
	}
	data, err := readFile(c.Against, streams)
	text := string(data)
	return &text, err
}

// result returns the error for the highest severity, or nil if there are neither errors nor warnings.
func (c *fleetCheckCommand) result(findings []platform.ConfigFinding) error {
	count := map[string]int{}
	for _, f := range findings {
		count[f.Severity]++
	}
	failed, warned := count[string(configcheck.Error)], count[string(configcheck.Warning)]
	code := ExitWarnings
	switch {
	case failed > 0:
		code = ExitUsage
	case warned == 0:
		return nil
	}
	return withExitCode(code, errors.Errorf("%s: errors: %d, warnings: %d", c.File, failed, warned))
}

var configFindingTable = table[platform.ConfigFinding]{
	header: "SEVERITY\tPLACE\tFINDING\tREMEDY",
	row: func(w io.Writer, f platform.ConfigFinding) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Severity, f.Place, f.Finding, cmp.Or(f.Remedy, "-"))
	},
}

package cli

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/bench"
	"github.com/egretspar/egretspar/internal/settings"
	"github.com/egretspar/egretspar/internal/telemetry"
)

type benchCommand struct {
	File   string `arg:"" help:"Experiment file, or - for standard input."`
	Output string `enum:"table,json" default:"table" help:"Format: table or json."`
}

// Run runs the experiment and prints its figures. It returns an error if a figure misses its goal.
func (c *benchCommand) Run(ctx context.Context, streams Streams) error {
	data, err := readFile(c.File, streams)
	if err != nil {
		return err
	}
	experiment, err := bench.Parse(c.File, data)
	if err != nil {
		return err
	}
	result, err := bench.Run(ctx, *experiment, telemetry.NewLogger(streams.Err, settings.LevelError))
	if err != nil {
		return err
	}
	write := result.WriteTable
	if c.Output == "json" {
		write = result.WriteJSON
	}
	if err := write(streams.Out); err != nil {
		return err
	}
	if missed := result.MissedGoals(); len(missed) > 0 {
		return withExitCode(ExitFailed, errors.Errorf("goals missed: %v", missed))
	}
	return nil
}

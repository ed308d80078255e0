package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/platform"
)

// fleetCommands are the commands for the users' platform.
type fleetCommands struct {
	Run     fleetRunCommand     `cmd:"" default:"1" help:"Run an entry instance (the default)."`
	Targets fleetTargetsCommand `cmd:"" help:"List the targets that an instance knows, with their states."`
	Check   fleetCheckCommand   `cmd:"" help:"Check a configuration before it is put in force. Exit code 2: errors, 5: warnings only."`
}

type fleetRunCommand struct{}

// Run serves requests until SIGTERM. Missing or invalid settings are a usage error.
func (c *fleetRunCommand) Run(streams Streams) error {
	err := platform.Serve(streams.Out)
	if errors.Is(err, platform.ErrInvalidSettings) {
		return withExitCode(ExitUsage, err)
	}
	return err
}

type fleetTargetsCommand struct {
	Address string `arg:"" help:"IP address of the instance, and the port of its metrics unless that is 9464."`
	outputFormat
}

// Run prints a line for each target.
func (c *fleetTargetsCommand) Run(ctx context.Context, streams Streams) error {
	statuses, err := platform.ListTargets(ctx, c.Address)
	if err != nil {
		return withExitCode(ExitNoResponse, err)
	}
	return fleetTargetTable.print(c.outputFormat, streams.Out, statuses)
}

var fleetTargetTable = table[platform.TargetStatus]{
	header: "TARGET\tSERVICE\tZONE\tSLOTS\tSTATE\tFOR\tWARM IN",
	row: func(w io.Writer, s platform.TargetStatus) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", s.ID, s.Service, s.Zone, s.Slots, s.State, secondsText(s.StateAgeMs), warmText(s.ColdLeftMs))
	},
}

// warmText returns the time until a target is warm, or "-" if it is.
func warmText(coldLeftMs int64) string {
	if coldLeftMs == 0 {
		return "-"
	}
	return secondsText(coldLeftMs)
}

func secondsText(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/egretspar/egretspar/internal/demo"
	"github.com/egretspar/egretspar/internal/settings"
	"github.com/egretspar/egretspar/internal/telemetry"
)

type demoCommand struct {
	Seed int64  `default:"1" help:"Random seed of the workload and the faults."`
	Log  string `help:"File that receives the instances' logs; - is standard error."`
}

// Run runs the demo. It prints progress lines, then the report as one JSON object on the last line.
func (c *demoCommand) Run(ctx context.Context, streams Streams) error {
	logs, err := c.openLog(streams)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	report, err := demo.Run(ctx, demo.Options{
		Seed: c.Seed, Progress: streams.Out, Log: telemetry.NewLogger(logs, settings.LevelInfo),
	})
	if err != nil {
		return err
	}
	line, marshalErr := json.Marshal(report)
	if marshalErr != nil {
		return marshalErr
	}
	fmt.Fprintf(streams.Out, "%s\n", line)
	return withExitCode(ExitFailed, report.Err())
}

func (c *demoCommand) openLog(streams Streams) (io.Writer, error) {
	switch c.Log {
	case "":
		return io.Discard, nil
	case standardStreamName:
		return streams.Err, nil
	}
	return os.Create(c.Log)
}

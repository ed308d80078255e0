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
	Seed int64  `default:"1" help:"Seed of workload and faults."`
	Log  string `help:"File that receives the instances' logs; - is standard error."`
}

// Run prints progress and, as its last line, the report as one JSON object.
func (c *demoCommand) Run(ctx context.Context, streams Streams) error {
	logs, err := c.logs(streams)
	if err != nil {
		return exit(ExitUsage, err)
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
	return exit(ExitFailed, report.Err())
}

func (c *demoCommand) logs(streams Streams) (io.Writer, error) {
	switch c.Log {
	case "":
		return io.Discard, nil
	case stdinName:
		return streams.Err, nil
	}
	return os.Create(c.Log)
}

package cli

import (
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/platform"
)

type fleetCommand struct{}

// Run serves requests until SIGTERM. Missing or invalid settings are a usage error.
func (c *fleetCommand) Run(streams Streams) error {
	err := platform.Serve(streams.Out)
	if errors.Is(err, platform.ErrInvalidSettings) {
		return withExitCode(ExitUsage, err)
	}
	return err
}

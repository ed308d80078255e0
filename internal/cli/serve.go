package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/node"
	"github.com/egretspar/egretspar/internal/settings"
	"github.com/egretspar/egretspar/internal/telemetry"
)

type serveCommand struct {
	SettingsFile string `name:"config" required:"" help:"Settings file of the instance."`
}

// Run serves requests until SIGTERM or an interrupt. The first signal starts a graceful shutdown; a second signal stops
// the instance immediately.
func (c *serveCommand) Run(streams Streams) error {
	data, err := readFile(c.SettingsFile, streams)
	if err != nil {
		return err
	}
	s, err := settings.Parse(c.SettingsFile, data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, err := node.New(ctx, s, telemetry.NewLogger(streams.Err, s.Log.Level))
	if err != nil {
		return errors.Wrap(err, "start instance")
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		<-signals
		n.RequestDrain()
		<-signals
		cancel()
	}()
	return n.Run(ctx)
}

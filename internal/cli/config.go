package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/settings"
	"github.com/egretspar/egretspar/internal/tomldoc"
	"github.com/egretspar/egretspar/internal/version"
)

// standardStreamName is the file name that selects a standard stream: standard input for files to read, standard error
// for logs.
const standardStreamName = "-"

// readFile reads the file name, or standard input if name is standardStreamName.
func readFile(name string, streams Streams) ([]byte, error) {
	if name == standardStreamName {
		data, err := io.ReadAll(streams.In)
		return data, errors.WithStack(err)
	}
	data, err := os.ReadFile(name)
	return data, withExitCode(ExitUsage, err)
}

type checkCommand struct {
	File string `arg:"" help:"Settings file of an instance or configuration file, distinguished by its key kind; - is standard input."`
}

// Run checks a settings or configuration file.
func (c *checkCommand) Run(streams Streams) error {
	data, err := readFile(c.File, streams)
	if err != nil {
		return err
	}
	kind, err := tomldoc.Kind(c.File, data)
	if err != nil {
		return err
	}
	switch kind {
	case settings.Kind:
		_, err = settings.Parse(c.File, data)
	default:
		_, err = config.Parse(c.File, data)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%s: valid %s\n", c.File, kind)
	return nil
}

type diffCommand struct {
	Old string `arg:"" help:"Configuration file, or - for standard input."`
	New string `arg:"" help:"Configuration file, or - for standard input."`
}

// Run prints the items that differ between two configurations.
func (c *diffCommand) Run(streams Streams) error {
	older, err := parseConfig(c.Old, streams)
	if err != nil {
		return err
	}
	newer, err := parseConfig(c.New, streams)
	if err != nil {
		return err
	}
	for _, change := range config.Diff(older, newer) {
		fmt.Fprintln(streams.Out, change)
	}
	return nil
}

func parseConfig(name string, streams Streams) (*config.Document, error) {
	data, err := readFile(name, streams)
	if err != nil {
		return nil, err
	}
	return config.Parse(name, data)
}

type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run(streams Streams) error {
	fmt.Fprintf(streams.Out, "egretspar %s\n", version.Version)
	return nil
}

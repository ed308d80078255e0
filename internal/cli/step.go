package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/client"
	"github.com/egretspar/egretspar/internal/step"
	"github.com/egretspar/egretspar/schema"
)

type stepCommands struct {
	Run stepRunCommand `cmd:"" help:"Run a step and print its samples as JSON lines."`
}

type stepRunCommand struct {
	File          string        `arg:"" help:"Step specification as JSON, or - for standard input."`
	URL           []string      `required:"" env:"EGRETSPAR_URL" help:"Base URL of an entry instance or of the balancer; may be repeated."`
	Key           string        `required:"" env:"EGRETSPAR_KEY" help:"Key of the team."`
	VersionNumber int           `default:"0" help:"Weight version of the trainer."`
	Cursor        string        `help:"File that records which samples were printed; if it exists, the step resumes from it. After a crash the last sample may be printed again."`
	GiveUp        time.Duration `default:"1m" help:"End the run when no instance has responded for this time. Must be longer than a poll (4 s)."`
}

// Run prints each sample once and returns when the step is complete.
func (c *stepRunCommand) Run(ctx context.Context, streams Streams) error {
	spec, err := parseSpec(c.File, streams)
	if err != nil {
		return err
	}
	cursor, err := loadCursor(c.Cursor, spec)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newContactWatchdog(c.GiveUp, cancel)
	defer watchdog.stop()
	cl := &client.Client{BaseURLs: c.URL, Key: c.Key, HTTP: &http.Client{Transport: watchdog}}
	printer := newSamplePrinter(c.Cursor, spec, cursor, streams)
	err = cl.ResumeStep(ctx, spec, &cursor.Cursor, func() int { return c.VersionNumber }, printer.printSample)
	return stepResult(err, context.Cause(ctx))
}

// stepResult adds the exit code to err. cause is the reason why the context was cancelled, or nil.
func stepResult(err, cause error) error {
	var noContact *noContactError
	var refused *client.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(cause, &noContact):
		return withExitCode(ExitNoResponse, noContact)
	case errors.As(err, &refused):
		return withExitCode(ExitRefused, err)
	}
	return withExitCode(ExitFailed, err)
}

// parseSpec reads a step specification and checks it against the schema. The limits of the schema also bound the memory
// that the slots of the step take.
func parseSpec(name string, streams Streams) (api.StepSpec, error) {
	var spec api.StepSpec
	data, err := readFile(name, streams)
	if err != nil {
		return spec, err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return spec, withExitCode(ExitUsage, errors.Wrapf(err, "%s: expected a step specification as JSON", name))
	}
	if err := specSchema().Validate(value); err != nil {
		return spec, withExitCode(ExitUsage, errors.Errorf("%s: %s", name, firstViolation(err)))
	}
	return spec, withExitCode(ExitUsage, errors.Wrap(json.Unmarshal(data, &spec), name))
}

func specSchema() *jsonschema.Schema {
	const file = "trainer.schema.json"
	data, err := schema.Files.ReadFile(file)
	if err != nil {
		panic(err)
	}
	root, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(file, root); err != nil {
		panic(err)
	}
	return compiler.MustCompile(file + "#/$defs/StepSpec")
}

// firstViolation describes the first schema violation on one line.
func firstViolation(err error) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	for _, unit := range invalid.BasicOutput().Errors {
		if unit.Error != nil {
			return "at " + pointerText(unit.InstanceLocation) + ": " + unit.Error.String()
		}
	}
	return "not a step specification"
}

func pointerText(pointer string) string {
	if pointer == "" {
		return "/"
	}
	return pointer
}

// savedCursor is the content of a cursor file.
type savedCursor struct {
	// Step is the ID of the step. A trainer's cursor may lack it and is then used for the step of the specification.
	Step string `json:"step"`
	client.Cursor
}

func loadCursor(name string, spec api.StepSpec) (*savedCursor, error) {
	cursor := &savedCursor{Step: spec.ID}
	if name == "" {
		return cursor, nil
	}
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return cursor, nil
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := json.Unmarshal(data, cursor); err != nil {
		return nil, errors.Wrapf(err, "%s: expected a cursor as JSON", name)
	}
	if cursor.Step != spec.ID {
		return nil, errors.Errorf("%s: cursor belongs to step %q, not %q", name, cursor.Step, spec.ID)
	}
	_, err = step.DecodeBitmap(cursor.Have, step.Slots(spec))
	return cursor, errors.Wrap(err, name)
}

// save replaces the file atomically, so that a crash of the process never leaves an incomplete cursor.
func (s *savedCursor) save(name string) error {
	const mode = 0o600
	data, err := json.Marshal(s)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(name+".new", append(data, '\n'), mode); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(name+".new", name))
}

// Package cli implements the egretspar commands.
package cli

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/willabides/kongplete"

	standincli "github.com/egretspar/egretspar/internal/standin/cli"
	"github.com/egretspar/egretspar/internal/tomldoc"
)

// Exit codes.
const (
	ExitOK         = 0
	ExitFailed     = 1 // the operation failed, or a run violated an invariant
	ExitUsage      = 2 // invalid arguments or an invalid file
	ExitRefused    = 3 // an instance refused the operation
	ExitNoResponse = 4 // no instance could be reached, or its response was lost
	ExitWarnings   = 5 // a check found warnings, and no errors
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// withExitCode adds an exit code to err. It returns nil if err is nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{code, err}
}

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

type commands struct {
	Serve   serveCommand       `cmd:"" help:"Run an entry instance until SIGTERM."`
	Fleet   fleetCommands      `cmd:"" help:"Run an entry instance on the users' platform, with settings from environment variables, or inspect one."`
	Config  configCommands     `cmd:"" help:"Check, compare, apply and read configurations."`
	Key     keyCommands        `cmd:"" help:"Create and withdraw keys."`
	Team    teamCommands       `cmd:"" help:"List and show teams."`
	Target  targetCommands     `cmd:"" help:"List and show targets."`
	Usage   usageCommands      `cmd:"" help:"List and show how many requests an instance has served."`
	Step    stepCommands       `cmd:"" help:"Run training steps."`
	Status  statusCommand      `cmd:"" help:"Show instances, targets, teams and leases."`
	Drain   drainCommand       `cmd:"" help:"Shut down an instance without interrupting requests in progress."`
	Standin standincli.Command `cmd:"" help:"Run an emulated platform, engine or plain service."`
	Demo    demoCommand        `cmd:"" help:"Run a training step and bookings while faults are injected, all on loopback in one process."`
	Bench   benchCommand       `cmd:"" help:"Run an experiment on loopback and print its figures."`
	Report  reportCommand      `cmd:"" help:"Write bench results as one HTML page."`
	Version versionCommand     `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print the shell code that enables completion of commands and flags."`
}

// Run executes the command line args and returns the exit code.
func Run(args []string, streams Streams) int {
	// net/http logs unexpected responses with their bytes through the standard logger. These bytes may contain the
	// text of a sample.
	log.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("egretspar"),
		kong.Description("Rollout service for reinforcement learning: entry instances between callers and targets.\n\n"+
			"Exit codes: 0 success, 1 failed, 2 invalid arguments or file, 3 refused, 4 no response, 5 warnings."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(parserExit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Bind(streams),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		panic(err)
	}
	return run(parser, args, streams)
}

// parserExit is the panic value that carries the exit code from kong's exit hook to run, for example after help.
type parserExit int

func run(parser *kong.Kong, args []string, streams Streams) (code int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case parserExit:
			code = int(r)
		default:
			panic(r)
		}
	}()
	if len(args) == 0 {
		args = []string{"--help"}
	}
	// Prints the completions and exits the process if the shell has asked for completions.
	kongplete.Complete(parser)
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(streams.Err, "egretspar: %s\n", err)
		return ExitUsage
	}
	return reportError(ctx.Run(), streams)
}

// reportError prints err to standard error and returns the exit code for it.
func reportError(err error, streams Streams) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(streams.Err, "egretspar: %s\n", err)
	var exitErr *ExitError
	var documentErr *tomldoc.Error
	switch {
	case errors.As(err, &exitErr):
		return exitErr.Code
	case errors.As(err, &documentErr), os.IsNotExist(errors.Cause(err)):
		return ExitUsage
	}
	return ExitFailed
}

// Command egretspar runs entry instances and provides the command-line tools for their operators and trainers.
package main

import (
	"os"

	"github.com/egretspar/egretspar/internal/cli"
	// The package takes effect when the process starts.
	_ "github.com/egretspar/egretspar/internal/earlysignal"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

// Command review-2 plays the cases of the second review. It starts instances of egretspar as separate processes, and plays the
// platform, the engines and the clients itself. It exits with 1 if the rule of a case was broken, with 0 if it held, and with 2
// if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errNotRun reports that the conditions of a case did not come about.
var errNotRun = errors.New("the case could not run")

// play runs one case. It returns whether the rule was broken.
type play func(*world) (broken bool, err error)

var cases = map[string]play{
	"streams-of-two-versions": playStreams,
	"jobs-of-lost-machines":   playLostMachines,
	"crashing-after-restarts": playRestarts,
	"large-crashing-request":  playLarge,
	"refused-but-run":         playRefused,
	"job-of-former-service":   playFormerService,
	"calls-of-former-holder":  playFormerHolder,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitNotRun
	}
	selected, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := selected(w)
	switch {
	case err != nil:
		w.noteLast("not run: %v", err)
		return exitNotRun
	case broken:
		w.noteLast("the rule was broken")
		return exitBroken
	}
	w.noteLast("the rule held")
	return exitHeld
}

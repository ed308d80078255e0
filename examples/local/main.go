// Command local prints a configuration for the stand-ins of docs/operations/first-steps.md. The optional
// arguments, each of the form ID:HASH, are the keys of the teams shop and trainer, in this order.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/egretspar/egretspar/opsconfig"
)

func main() {
	b := opsconfig.New()
	shop := b.Team("shop")
	trainer := b.Team("trainer", opsconfig.Weight(2))
	for i, team := range []opsconfig.Team{shop, trainer} {
		if i+1 >= len(os.Args) {
			break
		}
		id, hash, ok := strings.Cut(os.Args[i+1], ":")
		if !ok {
			fmt.Fprintf(os.Stderr, "argument %q does not have the form ID:HASH\n", os.Args[i+1])
			os.Exit(2)
		}
		b.Key(team, id, hash)
	}
	booking := b.PlainService("booking", opsconfig.Latency, opsconfig.Timeout(5*time.Second))
	training := b.EngineService("training", opsconfig.Training, opsconfig.Timeout(time.Minute), opsconfig.StalenessVersions(1))
	b.Route(booking, shop)
	b.Route(training, trainer)
	b.Target("booking-1", booking, "http://127.0.0.1:7920", "rennes", opsconfig.Slots(64))
	b.Target("training-1", training, "http://127.0.0.1:7911", "rennes")
	b.Target("training-2", training, "http://127.0.0.1:7912", "brest")
	b.UsageWindows(time.Minute, 5*time.Second)
	b.Main()
}

// Command kerlann prints the configuration of Kerlann Logiciel: engines for bookings and engines for training,
// in three availability zones in Brittany.
package main

import (
	"fmt"
	"time"

	"github.com/egretspar/egretspar/opsconfig"
)

var zones = []string{"rennes", "brest", "vannes"}

const (
	onDemandPrice    = 3.2
	reclaimablePrice = 1.1
)

func main() { buildConfiguration().Main() }

func buildConfiguration() *opsconfig.Builder {
	b := opsconfig.New()
	booking := b.EngineService("booking", opsconfig.Latency, opsconfig.Timeout(10*time.Second), opsconfig.QueueLimit(512))
	training := b.EngineService("training", opsconfig.Training, opsconfig.Timeout(4*time.Minute), opsconfig.StalenessVersions(1))
	var teams []opsconfig.Team
	for i, weight := range []int{6, 6, 4, 1, 1, 1, 1} {
		teams = append(teams, b.Team(fmt.Sprintf("shop-%d", i+1), opsconfig.Weight(weight)))
	}
	trainer := b.Team("assistant", opsconfig.Weight(4))
	b.Route(booking, teams...)
	b.Route(training, trainer)
	for _, zone := range zones {
		b.Pool(opsconfig.Pool{Service: booking, Zone: zone, Supply: opsconfig.OnDemand, Min: 1, Max: 2, Slots: 16, PricePerHour: onDemandPrice})
		b.Pool(opsconfig.Pool{Service: training, Zone: zone, Supply: opsconfig.Reclaimable, Max: 4, Slots: 32, PricePerHour: reclaimablePrice})
		b.Pool(opsconfig.Pool{Service: training, Zone: zone, Supply: opsconfig.OnDemand, Max: 2, Slots: 32, PricePerHour: onDemandPrice})
	}
	b.Budget(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), 36)
	b.Budget(time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC), 24)
	b.UsageWindows(time.Hour, 10*time.Second)
	return b
}

// Command hanbit prints the configuration of Hanbit Scrapware: a bin status service, engines for lid advice
// and engines for training a sorting model, in four availability zones.
package main

import (
	"fmt"
	"time"

	"github.com/egretspar/egretspar/opsconfig"
)

var zones = []string{"kr-central-a", "kr-central-b", "kr-central-c", "kr-central-d"}

const (
	onDemandPrice    = 2.9
	reclaimablePrice = 0.9
)

func main() { buildConfiguration().Main() }

func buildConfiguration() *opsconfig.Builder {
	b := opsconfig.New()
	status := b.PlainService("bin-status", opsconfig.Latency, opsconfig.Timeout(2*time.Second), opsconfig.QueueLimit(2048))
	advice := b.EngineService("lid-advice", opsconfig.Latency, opsconfig.Timeout(5*time.Second))
	sorting := b.EngineService("sorting", opsconfig.Training, opsconfig.Timeout(4*time.Minute), opsconfig.StalenessVersions(2))
	var teams []opsconfig.Team
	for i, weight := range []int{8, 5, 2, 1, 1, 1, 1} {
		teams = append(teams, b.Team(fmt.Sprintf("coop-%d", i+1), opsconfig.Weight(weight)))
	}
	trainer := b.Team("sorting-model", opsconfig.Weight(4))
	b.Route(status, teams...)
	b.Route(advice, teams...)
	b.Route(sorting, trainer)
	for _, zone := range zones {
		b.Pool(opsconfig.Pool{Service: advice, Zone: zone, Supply: opsconfig.OnDemand, Min: 1, Max: 1, Slots: 16, PricePerHour: onDemandPrice})
		b.Pool(opsconfig.Pool{Service: sorting, Zone: zone, Supply: opsconfig.Reclaimable, Max: 3, Slots: 32, PricePerHour: reclaimablePrice})
		b.Pool(opsconfig.Pool{Service: sorting, Zone: zone, Supply: opsconfig.OnDemand, Max: 1, Slots: 32, PricePerHour: onDemandPrice})
	}
	for i, zone := range zones {
		b.Target(fmt.Sprintf("bin-status-%d", i+1), status, fmt.Sprintf("http://10.20.%d.10:8080", i), zone, opsconfig.Slots(64))
	}
	b.Budget(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), 28)
	b.Budget(time.Date(2027, 2, 1, 0, 0, 0, 0, time.UTC), 20)
	b.UsageWindows(time.Hour, 10*time.Second)
	return b
}

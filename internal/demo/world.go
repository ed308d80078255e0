package demo

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	papi "github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/plain"
	"github.com/egretspar/egretspar/internal/standin/platform"
	"github.com/egretspar/egretspar/internal/testbed"
	"github.com/egretspar/egretspar/opsconfig"
)

const (
	serviceTraining = "training"
	serviceAdvice   = "advice"
	serviceDigest   = "digest"
	serviceBooking  = "booking"
	teamTrainer     = "assistant"
	teamShop        = "shop"

	keyTrainer   = "trainer"
	keyShop      = "shop"
	keyWithdrawn = "withdrawn"

	trainingEngines = 4
	adviceEngines   = 2
	digestEngines   = 2
	bookingServices = 2
	entryInstances  = 3

	onDemandPerHour    = 3.2
	reclaimablePerHour = 1.1
)

// trainingEngine returns the options of the training engines.
func trainingEngine(seed int64, versions *engine.VersionLog) engine.Options {
	return engine.Options{
		Slots: 32, TokenTime: 3 * time.Millisecond, BatchTime: 50 * time.Microsecond, LengthMedian: 48, LengthSigma: 0.7,
		LoadTime: 300 * time.Millisecond, SwapTime: 20 * time.Millisecond, Seed: uint64(seed), Version: 1, Versions: versions,
	}
}

func spec(seed int64, versions *engine.VersionLog, log zerolog.Logger) testbed.Spec {
	return testbed.Spec{
		Seed: seed, Zones: []string{"rennes", "brest"}, Instances: entryInstances, Log: log,
		Platform: platform.Options{Seed: uint64(seed), InstanceLag: 300 * time.Millisecond, WeightReadsPerSecond: 10},
		Keys:     map[string]string{keyTrainer: teamTrainer, keyShop: teamShop, keyWithdrawn: teamShop},
		Engines: []testbed.Engines{
			{Service: serviceTraining, Count: trainingEngines, Supply: opsconfig.Reclaimable, Options: trainingEngine(seed, versions)},
			{Service: serviceAdvice, Count: adviceEngines, Supply: opsconfig.OnDemand, Options: engine.Options{
				Slots: 16, TokenTime: 2 * time.Millisecond, BatchTime: 50 * time.Microsecond, LengthMedian: adviceMedian, LengthSigma: adviceSigma,
				Seed: uint64(seed) + 100, Version: 1,
			}},
			{Service: serviceDigest, Count: digestEngines, Supply: opsconfig.OnDemand, Options: engine.Options{
				Slots: 32, TokenTime: 2 * time.Millisecond, LengthMedian: digestMedian, Seed: uint64(seed) + 150, Version: 1,
			}},
		},
		Plain: []testbed.PlainTargets{{Service: serviceBooking, Count: bookingServices, Slots: 64, Options: plain.Options{
			Seed: uint64(seed) + 200, Behavior: plain.Behavior{Latency: 2 * time.Millisecond, Jitter: 3 * time.Millisecond},
		}}},
	}
}

// configuration prints the configuration with or without the key that is withdrawn during the run.
func (r *run) configuration(withExtraKey bool) ([]byte, error) {
	b := opsconfig.New()
	trainer := b.Team(teamTrainer, opsconfig.Weight(2))
	shop := b.Team(teamShop)
	services := map[string]opsconfig.Service{
		serviceTraining: b.EngineService(serviceTraining, opsconfig.Training, opsconfig.StalenessVersions(1), opsconfig.Timeout(20*time.Second)),
		serviceAdvice:   b.EngineService(serviceAdvice, opsconfig.Latency, opsconfig.Timeout(10*time.Second)),
		serviceDigest:   b.EngineService(serviceDigest, opsconfig.Latency, opsconfig.Timeout(time.Minute)),
		serviceBooking:  b.PlainService(serviceBooking, opsconfig.Latency, opsconfig.Timeout(5*time.Second)),
	}
	b.Route(services[serviceTraining], trainer)
	b.Route(services[serviceAdvice], shop)
	b.Route(services[serviceDigest], shop)
	b.Route(services[serviceBooking], shop)
	for name, k := range r.bed.Keys {
		if name == keyWithdrawn && !withExtraKey {
			continue
		}
		team := shop
		if k.Entry.Team == teamTrainer {
			team = trainer
		}
		b.Key(team, k.Entry.ID, k.Entry.Hash)
	}
	r.bed.AddTargets(b, services)
	b.UsageWindows(2*time.Second, time.Second)
	return b.TOML()
}

// release publishes a weight version of the training service.
func (r *run) release(version int) {
	r.bed.Platform.Release(papi.Release{Service: serviceTraining, Version: version, Object: fmt.Sprintf("weights/%d", version)})
}

func (r *run) engines() []*engine.Engine {
	var all []*engine.Engine
	for _, group := range r.bed.Engines {
		all = append(all, group...)
	}
	return all
}

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

	onDemandPricePerHour    = 3.2
	reclaimablePricePerHour = 1.1
)

// trainingEngineOptions returns the options of the training engines.
func trainingEngineOptions(seed int64, versions *engine.VersionLog) engine.Options {
	return engine.Options{
		Slots: 32, TokenTime: 3 * time.Millisecond, BatchTime: 50 * time.Microsecond, LengthMedian: 48, LengthSigma: 0.7,
		LoadTime: 300 * time.Millisecond, SwapTime: 20 * time.Millisecond, Seed: uint64(seed), Version: 1, Versions: versions,
	}
}

func testbedSpec(seed int64, versions *engine.VersionLog, log zerolog.Logger) testbed.Spec {
	return testbed.Spec{
		Seed: seed, Zones: []string{"rennes", "brest"}, Instances: entryInstances, Log: log,
		Platform: platform.Options{Seed: uint64(seed), InstanceLag: 300 * time.Millisecond, WeightReadsPerSecond: 10},
		Keys:     map[string]string{keyTrainer: teamTrainer, keyShop: teamShop, keyWithdrawn: teamShop},
		Engines: []testbed.EngineSpec{
			{Service: serviceTraining, Count: trainingEngines, Supply: opsconfig.Reclaimable, Options: trainingEngineOptions(seed, versions)},
			{Service: serviceAdvice, Count: adviceEngines, Supply: opsconfig.OnDemand, Options: engine.Options{
				Slots: 16, TokenTime: 2 * time.Millisecond, BatchTime: 50 * time.Microsecond, LengthMedian: adviceMedianTokens, LengthSigma: adviceLengthSigma,
				Seed: uint64(seed) + 100, Version: 1,
			}},
			{Service: serviceDigest, Count: digestEngines, Supply: opsconfig.OnDemand, Options: engine.Options{
				Slots: 32, TokenTime: 2 * time.Millisecond, LengthMedian: digestMedianTokens, Seed: uint64(seed) + 150, Version: 1,
			}},
		},
		Plain: []testbed.PlainTargets{{Service: serviceBooking, Count: bookingServices, Slots: 64, Options: plain.Options{
			Seed: uint64(seed) + 200, Behavior: plain.Behavior{Latency: 2 * time.Millisecond, Jitter: 3 * time.Millisecond},
		}}},
	}
}

// configuration returns the configuration document, with or without the key that is withdrawn during the run.
func (r *run) configuration(includeWithdrawnKey bool) ([]byte, error) {
	builder := opsconfig.New()
	trainer := builder.Team(teamTrainer, opsconfig.Weight(2))
	shop := builder.Team(teamShop)
	services := map[string]opsconfig.Service{
		serviceTraining: builder.EngineService(serviceTraining, opsconfig.Training, opsconfig.StalenessVersions(1), opsconfig.Timeout(20*time.Second)),
		serviceAdvice:   builder.EngineService(serviceAdvice, opsconfig.Latency, opsconfig.Timeout(10*time.Second)),
		serviceDigest:   builder.EngineService(serviceDigest, opsconfig.Latency, opsconfig.Timeout(time.Minute)),
		serviceBooking:  builder.PlainService(serviceBooking, opsconfig.Latency, opsconfig.Timeout(5*time.Second)),
	}
	builder.Route(services[serviceTraining], trainer)
	builder.Route(services[serviceAdvice], shop)
	builder.Route(services[serviceDigest], shop)
	builder.Route(services[serviceBooking], shop)
	for name, k := range r.bed.Keys {
		if name == keyWithdrawn && !includeWithdrawnKey {
			continue
		}
		team := shop
		if k.Entry.Team == teamTrainer {
			team = trainer
		}
		builder.Key(team, k.Entry.ID, k.Entry.Hash)
	}
	r.bed.AddTargets(builder, services)
	builder.UsageWindows(2*time.Second, time.Second)
	return builder.TOML()
}

// releaseWeights publishes a weight version of the training service.
func (r *run) releaseWeights(version int) {
	r.bed.Platform.Release(papi.Release{Service: serviceTraining, Version: version, Object: fmt.Sprintf("weights/%d", version)})
}

func (r *run) allEngines() []*engine.Engine {
	var all []*engine.Engine
	for _, group := range r.bed.Engines {
		all = append(all, group...)
	}
	return all
}

package bench

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/platform"
	"github.com/egretspar/egretspar/internal/testbed"
	"github.com/egretspar/egretspar/opsconfig"
)

const (
	servicePlain  = "status"
	serviceEngine = "chat"
	teamSmall     = "small"
	teamLarge     = "large"
	// instanceLag is the age of the instance list that the platform returns.
	instanceLag = 300 * time.Millisecond
	// plainTargetSlots exceeds the connections that send to plain services, so that the targets' capacity
	// doesn't limit the load.
	plainTargetSlots = 4096
)

// environment is a running testbed with a load balancer in front of its instances.
type environment struct {
	*testbed.Testbed
	balancer     *testbed.Balancer
	stopBalancer context.CancelFunc
	background   conc.WaitGroup
}

// startEnvironment starts a testbed with one plain service and one engine service that both teams may use, and
// applies its configuration.
func startEnvironment(ctx context.Context, e Experiment, o engine.Options, log zerolog.Logger) (*environment, error) {
	o.Seed, o.Version = uint64(e.Seed), 1
	bed, err := testbed.Start(testbed.Spec{
		Seed: int64(e.Seed), Zones: []string{"a", "b"}, Instances: e.Instances, Log: log,
		Platform: platform.Options{Seed: uint64(e.Seed), InstanceLag: instanceLag, WeightReadsPerSecond: 10},
		Keys:     map[string]string{teamSmall: teamSmall, teamLarge: teamLarge},
		Engines:  []testbed.EngineSpec{{Service: serviceEngine, Count: e.Engines, Supply: opsconfig.Reclaimable, Options: o}},
		Plain:    []testbed.PlainTargets{{Service: servicePlain, Count: 2, Slots: plainTargetSlots}},
	})
	if err != nil {
		return nil, err
	}
	b := &environment{Testbed: bed, balancer: testbed.NewBalancer(bed.Instances)}
	balancerCtx, stopBalancer := context.WithCancel(ctx)
	b.stopBalancer = stopBalancer
	b.background.Go(func() { b.balancer.Run(balancerCtx) })
	body, err := b.configuration()
	if err == nil {
		_, err = bed.ApplyInitialConfig(ctx, b.balancer, body)
	}
	if err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

func (b *environment) configuration() ([]byte, error) {
	builder := opsconfig.New()
	small, large := builder.Team(teamSmall), builder.Team(teamLarge)
	services := map[string]opsconfig.Service{
		servicePlain: builder.PlainService(servicePlain, opsconfig.Latency, opsconfig.Timeout(10*time.Second), opsconfig.QueueLimit(100_000)),
		serviceEngine: builder.EngineService(serviceEngine, opsconfig.Training, opsconfig.Timeout(time.Minute), opsconfig.QueueLimit(100_000),
			opsconfig.StalenessVersions(1)),
	}
	builder.Route(services[servicePlain], small, large)
	builder.Route(services[serviceEngine], small, large)
	builder.Key(small, b.Keys[teamSmall].Entry.ID, b.Keys[teamSmall].Entry.Hash)
	builder.Key(large, b.Keys[teamLarge].Entry.ID, b.Keys[teamLarge].Entry.Hash)
	b.AddTargets(builder, services)
	builder.UsageWindows(10*time.Second, time.Second)
	return builder.TOML()
}

func (b *environment) stop() {
	b.stopBalancer()
	b.background.Wait()
	b.Close()
}

func measurementDuration(e Experiment) time.Duration {
	return time.Duration(e.Seconds * float64(time.Second))
}

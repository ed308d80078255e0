package bench

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/platform"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// outageWarmUp is the time in which the instances reach a steady state before the outage.
	outageWarmUp       = 3 * time.Second
	minServedFraction  = 0.999
	maxRecoverySeconds = 10
)

// runOutage takes the platform down for the duration of the experiment while idempotent requests and training steps
// continue. It then measures the time until a configuration can be applied again.
func runOutage(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	o := engine.Options{Slots: stepSlots, TokenTime: stepTokenTime, BatchTime: stepBatchTime, LengthMedian: stepLengthMedian, LengthSigma: stepLengthSigma, Versions: engine.NewVersionLog()}
	b, err := startEnvironment(ctx, e, o, log)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	var releasedVersion atomic.Int64
	releasedVersion.Store(1)
	time.Sleep(outageWarmUp)
	b.Platform.InjectAll(platform.Fault{Down: true})
	counts := &stepCounts{durations: newLatencies(), versionLog: o.Versions}
	var trainer conc.WaitGroup
	trainer.Go(func() {
		for number := range e.Steps {
			b.runStep(ctx, e, number, &releasedVersion, counts)
		}
	})
	client := newHTTPClient(e.Connections)
	times := openLoop(ctx, e.Rate, e.Connections, measurementDuration(e), func(ctx context.Context) bool {
		return get(ctx, client, b.balancer.Pick()+"/svc/"+servicePlain+"/x", b.Keys[teamSmall].Bearer)
	})
	trainer.Wait()
	b.Platform.ClearAll()
	r := b.stepResult(e, counts)
	served, failed := times.count()
	r.addAtLeast("requests_served_in_outage", "fraction", float64(served)/float64(served+failed), minServedFraction)
	recovery, err := b.measureRecovery(ctx)
	r.addAtMost("apply_after_outage", "s", recovery.Seconds(), maxRecoverySeconds)
	return r, err
}

// measureRecovery returns the time from the end of the outage until a configuration is in force.
func (b *environment) measureRecovery(ctx context.Context) (time.Duration, error) {
	body, err := b.configuration()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	for {
		_, err := b.Apply(ctx, b.Instances[0], 1, append(body, "# after the outage\n"...))
		if err == nil || !wait.Sleep(ctx, 100*time.Millisecond) || time.Since(start) > maxRecoverySeconds*time.Second {
			return time.Since(start), err
		}
	}
}

// Package demo runs training steps and bookings while faults happen. The platform, the engines, the plain services
// and the entry instances run in one process on loopback. The results are counted outside the instances: by the
// callers, the emulated targets and the emulated platform.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/testbed"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// maxRunTime is the time after which a run is stopped.
	maxRunTime = 28 * time.Second
	stepCount  = 3
	// maxUsageWindowWait limits the wait for the last usage windows.
	maxUsageWindowWait = 6 * time.Second
	pollInterval       = 50 * time.Millisecond
)

// Options configure a run.
type Options struct {
	// Seed makes the workload and the faults repeatable.
	Seed int64
	// Progress receives a line for each event; Log receives the instances' logs.
	Progress io.Writer
	Log      zerolog.Logger
}

// run holds the state of one run of the demo.
type run struct {
	bed       *testbed.Testbed
	random    *rand.Rand
	options   Options
	startedAt time.Time

	versionLog *engine.VersionLog
	balancer   *testbed.Balancer
	trainer    *trainer
	callers    *callers
	keyProber  *keyProber

	revision       int
	withdrawalTime time.Duration
	withdrawnAt    time.Time
	// drainedURL and drainStarted are guarded by callers.mu.
	drainedURL     string
	drainStarted   bool
	drainCompleted bool
	engineDownTime time.Duration
}

// Run runs the demo once and returns its report, which lists the requirements that were not met.
func Run(ctx context.Context, options Options) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	versions := engine.NewVersionLog()
	bed, err := testbed.Start(testbedSpec(options.Seed, versions, options.Log))
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	r := &run{
		bed: bed, random: rand.New(rand.NewSource(options.Seed)), options: options, startedAt: time.Now(),
		balancer: testbed.NewBalancer(bed.Instances), versionLog: versions,
	}
	var background conc.WaitGroup
	balancerCtx, stopBalancer := context.WithCancel(ctx)
	background.Go(func() { r.balancer.Run(balancerCtx) })
	defer background.Wait()
	defer stopBalancer()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	workloadErr := r.runWorkload(ctx)
	r.awaitUsageWindows(ctx)
	report := r.buildReport()
	report.UnmetRequirements = report.unmetRequirements()
	if workloadErr != nil {
		report.UnmetRequirements = append(report.UnmetRequirements, workloadErr.Error())
	}
	if ctx.Err() != nil {
		report.UnmetRequirements = append(report.UnmetRequirements, fmt.Sprintf("the run was stopped after its time limit of %v", maxRunTime))
	}
	return report, nil
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, "[%5.1f s] %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start applies the first configuration and waits until every instance is ready.
func (r *run) start(ctx context.Context) error {
	r.releaseWeights(1)
	body, err := r.configuration(true)
	if err != nil {
		return err
	}
	r.progress("started a platform, %d engines, %d plain services and %d entry instances", len(r.allEngines()), len(r.bed.Plain[serviceBooking]), len(r.bed.Instances))
	start := time.Now()
	result, err := r.bed.ApplyInitialConfig(ctx, r.balancer, body)
	if err != nil {
		return err
	}
	r.revision = result.Revision
	r.progress("configuration revision %d is %s and all instances are ready after %d ms", result.Revision, result.State, time.Since(start).Milliseconds())
	return nil
}

// runWorkload runs training steps and bookings while faults are injected.
func (r *run) runWorkload(ctx context.Context) error {
	r.trainer = newTrainer(r.balancer, r.bed.Keys[keyTrainer].Bearer, r.versionLog)
	r.callers = newCallers(r.balancer, r.bed.Keys[keyShop].Bearer, r.isDraining)
	r.keyProber = newKeyProber(r.bed.Keys[keyWithdrawn].Bearer)
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var background conc.WaitGroup
	background.Go(func() { r.callers.run(callersCtx, r.options.Seed) })
	background.Go(func() { r.keyProber.run(callersCtx, r.bed.Instances) })
	faultsDone := make(chan error, 1)
	background.Go(func() { faultsDone <- r.injectFaults(ctx) })
	for number := 1; number <= stepCount; number++ {
		r.progress("step %d: requested %d samples", number, stepGroups*samplesPerGroup)
		if err := r.trainer.runStep(ctx, number); err != nil {
			r.progress("step %d failed: %v", number, err)
			break
		}
		r.progress("step %d: complete", number)
		r.trainer.simulateOptimizer(ctx)
	}
	err := <-faultsDone
	stopCallers()
	background.Wait()
	return err
}

// injectFaults injects the faults in a fixed order, at times that vary with the seed.
func (r *run) injectFaults(ctx context.Context) error {
	withJitter := func(base time.Duration) time.Duration {
		return base + time.Duration(r.random.Int63n(int64(400*time.Millisecond)))
	}
	crashedEngine := r.bed.Engines[serviceTraining][r.random.Intn(len(r.bed.Engines[serviceTraining]))]
	drainedInstance := r.bed.Instances[r.random.Intn(len(r.bed.Instances))]
	applyInstance := r.bed.Instances[r.random.Intn(len(r.bed.Instances))]
	if applyInstance == drainedInstance {
		applyInstance = r.bed.Instances[(r.random.Intn(len(r.bed.Instances)-1)+1+instanceIndex(r.bed.Instances, drainedInstance))%len(r.bed.Instances)]
	}
	wait.Sleep(ctx, withJitter(400*time.Millisecond))
	crashedEngine.Crash()
	crashedAt := time.Now()
	r.progress("a training engine crashed in the middle of the step")
	wait.Sleep(ctx, withJitter(300*time.Millisecond))
	r.releaseWeights(2)
	r.trainer.version.Store(2)
	r.progress("weight version 2 released in the middle of the step")
	wait.Sleep(ctx, withJitter(600*time.Millisecond))
	if err := r.withdrawKey(ctx, applyInstance); err != nil {
		return err
	}
	wait.Sleep(ctx, withJitter(300*time.Millisecond))
	if err := crashedEngine.Restart(1); err != nil {
		return err
	}
	r.engineDownTime = time.Since(crashedAt)
	r.progress("the crashed engine restarted with its old weights")
	r.startDrain(drainedInstance)
	wait.Sleep(ctx, withJitter(500*time.Millisecond))
	r.releaseWeights(3)
	r.trainer.version.Store(3)
	r.progress("weight version 3 released")
	return r.awaitDrain(ctx, drainedInstance)
}

func instanceIndex(instances []*testbed.Instance, wanted *testbed.Instance) int {
	for i, n := range instances {
		if n == wanted {
			return i
		}
	}
	return -1
}

func (r *run) withdrawKey(ctx context.Context, instance *testbed.Instance) error {
	body, err := r.configuration(false)
	if err != nil {
		return err
	}
	r.withdrawnAt = time.Now()
	result, err := r.bed.Apply(ctx, instance, r.revision, body)
	if err != nil {
		return err
	}
	r.revision, r.withdrawalTime = result.Revision, time.Since(r.withdrawnAt)
	r.progress("a key was withdrawn: revision %d is %s after %d ms", result.Revision, result.State, time.Since(r.withdrawnAt).Milliseconds())
	if result.State != api.StateInForce {
		return errors.Errorf("the withdrawal of the key is not in force: its state is %s", result.State)
	}
	return nil
}

func (r *run) startDrain(instance *testbed.Instance) {
	r.callers.update(func() { r.drainedURL, r.drainStarted = instance.URL, true })
	instance.Node.RequestDrain()
	r.progress("%s started to drain under load", instance.ID)
}

// isDraining takes the lock of callers: it must not be called while that lock is held.
func (r *run) isDraining(instanceURL string) bool {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	return r.drainStarted && instanceURL == r.drainedURL
}

func (r *run) awaitDrain(ctx context.Context, instance *testbed.Instance) error {
	select {
	case <-instance.Stopped:
		r.drainCompleted = true
		r.progress("%s finished its requests and stopped", instance.ID)
	case <-ctx.Done():
		r.progress("%s did not stop", instance.ID)
	}
	return nil
}

// awaitUsageWindows waits until the usage of the work so far can have been reported: until there are two usage windows,
// but at most maxUsageWindowWait.
func (r *run) awaitUsageWindows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxUsageWindowWait)
	defer cancel()
	minWindows := 2
	for len(r.bed.Platform.Observed().Windows) < minWindows && wait.Sleep(ctx, pollInterval) {
		continue
	}
	r.progress("%d usage windows reported", len(r.bed.Platform.Observed().Windows))
}

// Package demo runs a training step and bookings through faults: platform, engines, plain services and
// entry instances in one process on loopback, counted from the callers' side.
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
	// limit ends a run that does not end by itself.
	limit = 28 * time.Second
	steps = 3
	// windowWait is the longest wait for the last usage windows.
	windowWait   = 6 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Options select a run.
type Options struct {
	// Seed makes the workload and the faults the same again.
	Seed int64
	// Progress receives a line for each event; Log receives the instances' logs.
	Progress io.Writer
	Log      zerolog.Logger
}

// run is one run of the demo.
type run struct {
	bed     *testbed.Bed
	random  *rand.Rand
	options Options
	begun   time.Time

	versions  *engine.VersionLog
	balancer  *testbed.Balancer
	trainer   *trainer
	callers   *callers
	keyHolder *keyHolder

	revision      int
	withdrawal    time.Duration
	withdrawnAt   time.Time
	drainedURL    string
	drainStarted  bool
	drainComplete bool
	crashedFor    time.Duration
}

// Run makes one run and returns its report, which names what was not as required.
func Run(ctx context.Context, options Options) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	versions := engine.NewVersionLog()
	bed, err := testbed.Start(spec(options.Seed, versions, options.Log))
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	r := &run{
		bed: bed, random: rand.New(rand.NewSource(options.Seed)), options: options, begun: time.Now(),
		balancer: testbed.NewBalancer(bed.Instances), versions: versions,
	}
	var background conc.WaitGroup
	balancerCtx, stopBalancer := context.WithCancel(ctx)
	background.Go(func() { r.balancer.Run(balancerCtx) })
	defer background.Wait()
	defer stopBalancer()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	faults := r.work(ctx)
	r.awaitWindows(ctx)
	report := r.report()
	report.OutOfBounds = report.check()
	if faults != nil {
		report.OutOfBounds = append(report.OutOfBounds, faults.Error())
	}
	if ctx.Err() != nil {
		report.OutOfBounds = append(report.OutOfBounds, fmt.Sprintf("the run was cut off after %v", limit))
	}
	return report, nil
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, "[%5.1f s] %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// start applies the first configuration and waits until every instance is ready.
func (r *run) start(ctx context.Context) error {
	r.release(1)
	body, err := r.configuration(true)
	if err != nil {
		return err
	}
	r.progress("started a platform, %d engines, %d plain services and %d entry instances", len(r.engines()), len(r.bed.Plain[serviceBooking]), len(r.bed.Instances))
	begun := time.Now()
	result, err := r.bed.ApplyFirst(ctx, r.balancer, body)
	if err != nil {
		return err
	}
	r.revision = result.Revision
	r.progress("configuration revision %d is %s and all instances are ready after %d ms", result.Revision, result.State, time.Since(begun).Milliseconds())
	return nil
}

// work runs steps and bookings while faults happen.
func (r *run) work(ctx context.Context) error {
	r.trainer = newTrainer(r.balancer, r.bed.Keys[keyTrainer].Bearer, r.versions)
	r.callers = newCallers(r.balancer, r.bed.Keys[keyShop].Bearer, r.isDraining)
	r.keyHolder = newKeyHolder(r.bed.Keys[keyWithdrawn].Bearer)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load conc.WaitGroup
	load.Go(func() { r.callers.run(loadCtx, r.options.Seed) })
	load.Go(func() { r.keyHolder.run(loadCtx, r.bed.Instances) })
	faults := make(chan error, 1)
	load.Go(func() { faults <- r.faults(ctx) })
	for number := 1; number <= steps; number++ {
		r.progress("step %d: %d samples asked for", number, stepGroups*samplesPerGroup)
		if err := r.trainer.step(ctx, number); err != nil {
			r.progress("step %d ended early: %v", number, err)
			break
		}
		r.progress("step %d: complete", number)
		r.trainer.train(ctx)
	}
	err := <-faults
	stopLoad()
	load.Wait()
	return err
}

// faults happen at times that vary with the seed.
func (r *run) faults(ctx context.Context) error {
	jitter := func(base time.Duration) time.Duration {
		return base + time.Duration(r.random.Int63n(int64(400*time.Millisecond)))
	}
	crashed := r.bed.Engines[serviceTraining][r.random.Intn(len(r.bed.Engines[serviceTraining]))]
	drained := r.bed.Instances[r.random.Intn(len(r.bed.Instances))]
	applyTo := r.bed.Instances[r.random.Intn(len(r.bed.Instances))]
	if applyTo == drained {
		applyTo = r.bed.Instances[(r.random.Intn(len(r.bed.Instances)-1)+1+index(r.bed.Instances, drained))%len(r.bed.Instances)]
	}
	wait.Sleep(ctx, jitter(400*time.Millisecond))
	crashed.Crash()
	crashedAt := time.Now()
	r.progress("a training engine crashed in the middle of the step")
	wait.Sleep(ctx, jitter(300*time.Millisecond))
	r.release(2)
	r.trainer.version.Store(2)
	r.progress("weight version 2 released in the middle of the step")
	wait.Sleep(ctx, jitter(600*time.Millisecond))
	if err := r.withdraw(ctx, applyTo); err != nil {
		return err
	}
	wait.Sleep(ctx, jitter(300*time.Millisecond))
	if err := crashed.Restart(1); err != nil {
		return err
	}
	r.crashedFor = time.Since(crashedAt)
	r.progress("the crashed engine restarted with its old weights")
	r.drain(drained)
	wait.Sleep(ctx, jitter(500*time.Millisecond))
	r.release(3)
	r.trainer.version.Store(3)
	r.progress("weight version 3 released")
	return r.awaitDrain(ctx, drained)
}

func index(nodes []*testbed.Instance, wanted *testbed.Instance) int {
	for i, n := range nodes {
		if n == wanted {
			return i
		}
	}
	return -1
}

func (r *run) withdraw(ctx context.Context, at *testbed.Instance) error {
	body, err := r.configuration(false)
	if err != nil {
		return err
	}
	r.withdrawnAt = time.Now()
	result, err := r.bed.Apply(ctx, at, r.revision, body)
	if err != nil {
		return err
	}
	r.revision, r.withdrawal = result.Revision, time.Since(r.withdrawnAt)
	r.progress("a key was withdrawn: revision %d is %s after %d ms", result.Revision, result.State, time.Since(r.withdrawnAt).Milliseconds())
	if result.State != api.StateInForce {
		return errors.Errorf("the withdrawal is only %s", result.State)
	}
	return nil
}

func (r *run) drain(n *testbed.Instance) {
	r.callers.count(func() { r.drainedURL, r.drainStarted = n.URL, true })
	n.Node.RequestDrain()
	r.progress("%s began a planned stop under load", n.ID)
}

// isDraining is called with the callers' lock free.
func (r *run) isDraining(url string) bool {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	return r.drainStarted && url == r.drainedURL
}

func (r *run) awaitDrain(ctx context.Context, n *testbed.Instance) error {
	select {
	case <-n.Stopped:
		r.drainComplete = true
		r.progress("%s stopped after its last request", n.ID)
	case <-ctx.Done():
		r.progress("%s did not stop", n.ID)
	}
	return nil
}

// awaitWindows waits until the windows of the work so far can have been reported.
func (r *run) awaitWindows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, windowWait)
	defer cancel()
	wanted := 2
	for len(r.bed.Platform.Observed().Windows) < wanted && wait.Sleep(ctx, pollInterval) {
		continue
	}
	r.progress("%d usage windows reported", len(r.bed.Platform.Observed().Windows))
}

package bench

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/client"
	papi "github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	stepTimeout                    = time.Minute
	stepStalenessVersions          = 1
	stepMaxTokens                  = 256
	stepTokenTime                  = 4 * time.Millisecond
	stepBatchTime                  = 40 * time.Microsecond
	stepLengthMedian               = 32
	stepLengthSigma                = 0.8
	stepSlots                      = 32
	faultInterval                  = 400 * time.Millisecond
	engineRestartDelay             = 600 * time.Millisecond
	faultsPerRelease               = 4
	maxSegmentWritesPer1000Samples = 20
)

// stepCounts holds what the trainer counted and measured over all steps.
type stepCounts struct {
	// broken counts samples whose text is empty, lacks or repeats tokens, or has more or fewer tokens than its spans.
	requested, delivered, duplicate, stale, mislabelled, broken, failedSteps int
	durations                                                                *latencies
	// minTotalDuration is the shortest time in which the engines could have produced the samples of all steps.
	minTotalDuration time.Duration
	totalDuration    time.Duration
	versionLog       *engine.VersionLog
}

// stepEngineOptions returns the options of the engines that serve training steps.
func stepEngineOptions() engine.Options {
	return engine.Options{
		Slots: stepSlots, TokenTime: stepTokenTime, BatchTime: stepBatchTime, LengthMedian: stepLengthMedian, LengthSigma: stepLengthSigma,
		LoadTime: 200 * time.Millisecond, SwapTime: 10 * time.Millisecond,
	}
}

// runSteps runs training steps one after the other and injects faults if the experiment enables them.
func runSteps(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	o := stepEngineOptions()
	o.Versions = engine.NewVersionLog()
	b, err := startEnvironment(ctx, e, o, log)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	var releasedVersion atomic.Int64
	releasedVersion.Store(1)
	b.releaseWeights(1)
	faultsCtx, stopFaults := context.WithCancel(ctx)
	var faults conc.WaitGroup
	if e.Faults {
		faults.Go(func() { b.injectFaults(faultsCtx, e, &releasedVersion) })
	}
	counts := &stepCounts{durations: newLatencies(), versionLog: o.Versions}
	for number := range e.Steps {
		b.runStep(ctx, e, number, &releasedVersion, counts)
	}
	stopFaults()
	faults.Wait()
	return b.stepResult(e, counts), nil
}

func (b *environment) releaseWeights(version int) {
	b.Platform.Release(papi.Release{Service: serviceEngine, Version: version, Object: fmt.Sprintf("weights/%d", version)})
}

func (b *environment) runStep(ctx context.Context, e Experiment, number int, releasedVersion *atomic.Int64, counts *stepCounts) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	spec := api.StepSpec{
		ID: fmt.Sprintf("step-%d-%d", e.Seed, number), Service: serviceEngine, SamplesPerGroup: e.SamplesPerGroup, MaxTokens: stepMaxTokens,
		StalenessVersions: stepStalenessVersions, DeadlineMs: int(stepTimeout.Milliseconds()),
	}
	for g := range e.Groups {
		spec.Groups = append(spec.Groups, fmt.Sprintf("%s case %d of step %d", strings.Repeat("Sort the scraps. ", 32), g, number))
	}
	trainer := &client.Client{
		BaseURLs: []string{"http://balancer"}, Key: b.Keys[teamSmall].Bearer, Wait: time.Second,
		HTTP: &http.Client{Transport: b.balancer.RoundTripper(&http.Transport{MaxIdleConnsPerHost: 4})},
	}
	received := map[[2]int]bool{}
	polledVersion, tokens, longestSample := 0, 0, 0
	start := time.Now()
	err := trainer.RunStep(ctx, spec,
		func() int { polledVersion = int(releasedVersion.Load()); return polledVersion },
		func(s api.Sample) error {
			n := counts.receiveSample(s, received, polledVersion)
			tokens, longestSample = tokens+n, max(longestSample, n)
			return nil
		})
	elapsed := time.Since(start)
	counts.requested += e.Groups * e.SamplesPerGroup
	counts.totalDuration += elapsed
	counts.minTotalDuration += stepEngineOptions().MinStepDuration(e.Engines, tokens, longestSample)
	counts.durations.record(elapsed, err == nil)
	if err != nil {
		counts.failedSteps++
	}
}

// receiveSample checks a sample against the weight version that the trainer sent in its poll, and returns the number of
// its tokens (0 for a duplicate).
func (c *stepCounts) receiveSample(s api.Sample, received map[[2]int]bool, polledVersion int) int {
	sampleKey := [2]int{s.Group, s.Index}
	if received[sampleKey] {
		c.duplicate++
		return 0
	}
	received[sampleKey] = true
	c.delivered++
	labelledTokens, stale, mislabelled := 0, false, false
	for _, span := range s.Spans {
		mislabelled = mislabelled || !c.versionLog.GeneratedBy(s.Text, labelledTokens, labelledTokens+span.Tokens, span.Version)
		labelledTokens += span.Tokens
		stale = stale || span.Version < polledVersion-stepStalenessVersions
	}
	if stale {
		c.stale++
	}
	if mislabelled {
		c.mislabelled++
	}
	tokens, continuous := engine.CountContiguousTokens(s.Text)
	if !continuous || tokens == 0 || tokens != labelledTokens {
		c.broken++
	}
	return tokens
}

// injectFaults crashes engines, kills instances and releases weights, one event at a time, until ctx is done.
func (b *environment) injectFaults(ctx context.Context, e Experiment, releasedVersion *atomic.Int64) {
	random := rand.New(rand.NewSource(int64(e.Seed)))
	var restarts conc.WaitGroup
	defer restarts.Wait()
	for n := 1; wait.Sleep(ctx, faultInterval+time.Duration(random.Int63n(int64(faultInterval)))); n++ {
		switch {
		case n%faultsPerRelease == 0:
			next := releasedVersion.Load() + 1
			b.releaseWeights(int(next))
			releasedVersion.Store(next)
		case n%faultsPerRelease == 2 && len(b.Instances) > 1:
			b.replaceInstance(random)
		default:
			crashedEngine := b.Engines[serviceEngine][random.Intn(e.Engines)]
			crashedEngine.Crash()
			restarts.Go(func() {
				wait.Sleep(ctx, engineRestartDelay)
				// An engine that fails to restart stays down, which the figures show.
				_ = crashedEngine.Restart(int(releasedVersion.Load()))
			})
		}
	}
}

// replaceInstance kills a random instance and starts another one.
func (b *environment) replaceInstance(random *rand.Rand) {
	old := b.Instances[random.Intn(len(b.Instances))]
	replacement, err := b.Replace(old)
	if err == nil {
		b.balancer.Replace(old.URL, replacement.URL)
	}
}

func (b *environment) stepResult(e Experiment, counts *stepCounts) *Result {
	r := &Result{Experiment: e}
	r.add("samples_requested", "samples", float64(counts.requested))
	r.add("samples_delivered", "samples", float64(counts.delivered))
	r.addAtMost("samples_duplicate", "samples", float64(counts.duplicate), 0)
	r.addAtMost("samples_missing", "samples", float64(counts.requested-counts.delivered), 0)
	r.addAtMost("samples_over_staleness", "samples", float64(counts.stale), 0)
	r.addAtMost("samples_mislabelled", "samples", float64(counts.mislabelled), 0)
	r.addAtMost("samples_broken", "samples", float64(counts.broken), 0)
	r.addAtMost("steps_failed", "steps", float64(counts.failedSteps), 0)
	r.add("step_time_p50", "ms", counts.durations.quantile(50)/1000)
	r.add("step_time_p99", "ms", counts.durations.quantile(99)/1000)
	r.add("step_time_over_engine_bound", "ratio", counts.totalDuration.Seconds()/counts.minTotalDuration.Seconds())
	segments := len(b.Platform.ObjectKeys("steps/"))
	r.addAtMost("segment_writes_per_1000_samples", "writes", float64(segments)*1000/float64(max(counts.delivered, 1)), maxSegmentWritesPer1000Samples)
	return r
}

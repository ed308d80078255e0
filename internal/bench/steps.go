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
	stepTimeout        = time.Minute
	stepStaleness      = 1
	stepMaxTokens      = 256
	stepTokenTime      = 4 * time.Millisecond
	stepBatchTime      = 40 * time.Microsecond
	stepLengthMedian   = 32
	stepLengthSigma    = 0.8
	stepSlots          = 32
	faultInterval      = 400 * time.Millisecond
	engineDownTime     = 600 * time.Millisecond
	releaseEveryFaults = 4
	storeWritesGoal    = 20
)

// stepCounts are counted at the trainer.
type stepCounts struct {
	requested, delivered, duplicate, stale, mislabelled, broken, failedSteps int
	times                                                                    *latencies
	bound                                                                    time.Duration
	waited                                                                   time.Duration
	versions                                                                 *engine.VersionLog
}

// stepEngine returns the options of the engines.
func stepEngine() engine.Options {
	return engine.Options{
		Slots: stepSlots, TokenTime: stepTokenTime, BatchTime: stepBatchTime, LengthMedian: stepLengthMedian, LengthSigma: stepLengthSigma,
		LoadTime: 200 * time.Millisecond, SwapTime: 10 * time.Millisecond,
	}
}

// steps runs training steps one after the other, with faults if the experiment asks for them.
func steps(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	o := stepEngine()
	o.Versions = engine.NewVersionLog()
	b, err := start(ctx, e, o, log)
	if err != nil {
		return nil, err
	}
	defer b.close()
	var version atomic.Int64
	version.Store(1)
	b.release(1)
	faultsCtx, stopFaults := context.WithCancel(ctx)
	var faults conc.WaitGroup
	if e.Faults {
		faults.Go(func() { b.faults(faultsCtx, e, &version) })
	}
	counts := &stepCounts{times: newLatencies(), versions: o.Versions}
	for number := range e.Steps {
		b.step(ctx, e, number, &version, counts)
	}
	stopFaults()
	faults.Wait()
	return b.stepResult(e, counts), nil
}

func (b *bench) release(version int) {
	b.Platform.Release(papi.Release{Service: serviceEngine, Version: version, Object: fmt.Sprintf("weights/%d", version)})
}

func (b *bench) step(ctx context.Context, e Experiment, number int, version *atomic.Int64, counts *stepCounts) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	spec := api.StepSpec{
		ID: fmt.Sprintf("step-%d-%d", e.Seed, number), Service: serviceEngine, SamplesPerGroup: e.SamplesPerGroup, MaxTokens: stepMaxTokens,
		StalenessVersions: stepStaleness, DeadlineMs: int(stepTimeout.Milliseconds()),
	}
	for g := range e.Groups {
		spec.Groups = append(spec.Groups, fmt.Sprintf("%s case %d of step %d", strings.Repeat("Sort the scraps. ", 32), g, number))
	}
	trainer := &client.Client{
		BaseURLs: []string{"http://balancer"}, Key: b.Keys[teamSmall].Bearer, Wait: time.Second,
		HTTP: &http.Client{Transport: b.balancer.RoundTripper(&http.Transport{MaxIdleConnsPerHost: 4})},
	}
	seen := map[[2]int]bool{}
	polled, tokens, longest := 0, 0, 0
	begun := time.Now()
	err := trainer.RunStep(ctx, spec,
		func() int { polled = int(version.Load()); return polled },
		func(s api.Sample) error {
			n := counts.receive(s, seen, polled)
			tokens, longest = tokens+n, max(longest, n)
			return nil
		})
	took := time.Since(begun)
	counts.requested += e.Groups * e.SamplesPerGroup
	counts.waited += took
	counts.bound += stepEngine().ShortestStep(e.Engines, tokens, longest)
	counts.times.record(took, err == nil)
	if err != nil {
		counts.failedSteps++
	}
}

// receive judges a sample against the version that the trainer named in the poll, and returns its tokens.
func (c *stepCounts) receive(s api.Sample, seen map[[2]int]bool, polled int) int {
	slot := [2]int{s.Group, s.Index}
	if seen[slot] {
		c.duplicate++
		return 0
	}
	seen[slot] = true
	c.delivered++
	labelled, stale, wrong := 0, false, false
	for _, span := range s.Spans {
		wrong = wrong || !c.versions.Produced(s.Text, labelled, labelled+span.Tokens, span.Version)
		labelled += span.Tokens
		stale = stale || span.Version < polled-stepStaleness
	}
	if stale {
		c.stale++
	}
	if wrong {
		c.mislabelled++
	}
	tokens, whole := engine.Continuous(s.Text)
	if !whole || tokens == 0 || tokens != labelled {
		c.broken++
	}
	return tokens
}

// faults crashes engines and instances and releases weights, one event at a time, until ctx ends.
func (b *bench) faults(ctx context.Context, e Experiment, version *atomic.Int64) {
	random := rand.New(rand.NewSource(int64(e.Seed)))
	var restarts conc.WaitGroup
	defer restarts.Wait()
	for n := 1; wait.Sleep(ctx, faultInterval+time.Duration(random.Int63n(int64(faultInterval)))); n++ {
		switch {
		case n%releaseEveryFaults == 0:
			next := version.Load() + 1
			b.release(int(next))
			version.Store(next)
		case n%releaseEveryFaults == 2 && len(b.Instances) > 1:
			b.replaceInstance(random)
		default:
			crashed := b.Engines[serviceEngine][random.Intn(e.Engines)]
			crashed.Crash()
			restarts.Go(func() {
				wait.Sleep(ctx, engineDownTime)
				// An engine that cannot restart stays down, which the figures show.
				_ = crashed.Restart(int(version.Load()))
			})
		}
	}
}

// replaceInstance kills a random instance and starts another one.
func (b *bench) replaceInstance(random *rand.Rand) {
	old := b.Instances[random.Intn(len(b.Instances))]
	replacement, err := b.Replace(old)
	if err == nil {
		b.balancer.Replace(old.URL, replacement.URL)
	}
}

func (b *bench) stepResult(e Experiment, c *stepCounts) *Result {
	r := &Result{Experiment: e}
	r.add("samples_requested", "samples", float64(c.requested))
	r.add("samples_delivered", "samples", float64(c.delivered))
	r.atMost("samples_duplicate", "samples", float64(c.duplicate), 0)
	r.atMost("samples_missing", "samples", float64(c.requested-c.delivered), 0)
	r.atMost("samples_over_staleness", "samples", float64(c.stale), 0)
	r.atMost("samples_mislabelled", "samples", float64(c.mislabelled), 0)
	r.atMost("samples_broken", "samples", float64(c.broken), 0)
	r.atMost("steps_failed", "steps", float64(c.failedSteps), 0)
	r.add("step_time_p50", "ms", c.times.quantile(50)/1000)
	r.add("step_time_p99", "ms", c.times.quantile(99)/1000)
	r.add("step_time_over_engine_bound", "ratio", c.waited.Seconds()/c.bound.Seconds())
	segments := len(b.Platform.ObjectKeys("steps/"))
	r.atMost("segment_writes_per_1000_samples", "writes", float64(segments)*1000/float64(max(c.delivered, 1)), storeWritesGoal)
	return r
}

package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/client"
	standinengine "github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/testbed"
)

const (
	stepGroups           = 48
	samplesPerGroup      = 8
	sampleMaxTokens      = 400
	maxStalenessVersions = 1
	// optimizerDuration is the simulated time of the optimizer after a step has delivered all of its samples.
	optimizerDuration = 700 * time.Millisecond
)

// trainer runs training steps and counts the samples that it receives.
type trainer struct {
	client     *client.Client
	versionLog *standinengine.VersionLog
	version    atomic.Int64

	mu          sync.Mutex
	delivered   int
	duplicate   int
	stale       int
	mislabelled int
	// broken counts samples whose text is empty, lacks or repeats tokens, or has more or fewer tokens than its spans.
	broken    int
	requested int
	waitTime  time.Duration
	// minWaitTime is the shortest time in which the engines could have produced the samples of all steps.
	minWaitTime   time.Duration
	optimizerTime time.Duration
}

func newTrainer(b *testbed.Balancer, key string, versions *standinengine.VersionLog) *trainer {
	// The balancer has no affinity: consecutive polls go to different instances.
	transport := b.RoundTripper(&http.Transport{MaxIdleConnsPerHost: 8})
	t := &trainer{versionLog: versions, client: &client.Client{BaseURLs: []string{"http://balancer"}, Key: key, HTTP: &http.Client{Transport: transport}, Wait: time.Second}}
	t.version.Store(1)
	return t
}

// runStep runs one step and returns when all of its samples have arrived.
func (t *trainer) runStep(ctx context.Context, number int) error {
	spec := api.StepSpec{
		ID: fmt.Sprintf("step-%d", number), Service: serviceTraining, SamplesPerGroup: samplesPerGroup,
		MaxTokens: sampleMaxTokens, StalenessVersions: maxStalenessVersions, DeadlineMs: 60_000,
	}
	for g := range stepGroups {
		spec.Groups = append(spec.Groups, fmt.Sprintf("%s Case %d of step %d.", strings.Repeat("Sort the scraps of the following list. ", 14), g, number))
	}
	t.mu.Lock()
	t.requested += stepGroups * samplesPerGroup
	t.mu.Unlock()
	received := map[[2]int]bool{}
	polledVersion, tokens, longestSample := 0, 0, 0
	start := time.Now()
	err := t.client.RunStep(ctx, spec,
		func() int { polledVersion = int(t.version.Load()); return polledVersion },
		func(s api.Sample) error {
			n := t.receiveSample(s, received, polledVersion)
			tokens, longestSample = tokens+n, max(longestSample, n)
			return nil
		})
	t.mu.Lock()
	t.waitTime += time.Since(start)
	t.minWaitTime += trainingEngineOptions(0, nil).MinStepDuration(trainingEngines, tokens, longestSample)
	t.mu.Unlock()
	return err
}

// simulateOptimizer waits for the duration of an optimizer step.
func (t *trainer) simulateOptimizer(ctx context.Context) {
	start := time.Now()
	select {
	case <-time.After(optimizerDuration):
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.optimizerTime += time.Since(start)
	t.mu.Unlock()
}

// receiveSample checks a sample against polledVersion, the weight version that the trainer sent in its poll. It returns
// the number of the sample's tokens (0 for a duplicate).
func (t *trainer) receiveSample(s api.Sample, received map[[2]int]bool, polledVersion int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sampleKey := [2]int{s.Group, s.Index}
	if received[sampleKey] {
		t.duplicate++
		return 0
	}
	received[sampleKey] = true
	t.delivered++
	for _, span := range s.Spans {
		if span.Version < polledVersion-maxStalenessVersions {
			t.stale++
			break
		}
	}
	if !t.hasCorrectVersions(s) {
		t.mislabelled++
	}
	tokens, continuous := standinengine.CountContiguousTokens(s.Text)
	if !continuous || tokens != countSpanTokens(s.Spans) || tokens == 0 {
		t.broken++
	}
	return tokens
}

// hasCorrectVersions reports whether the spans of a sample name the weight versions that the engines recorded.
func (t *trainer) hasCorrectVersions(s api.Sample) bool {
	position := 0
	for _, span := range s.Spans {
		if !t.versionLog.GeneratedBy(s.Text, position, position+span.Tokens, span.Version) {
			return false
		}
		position += span.Tokens
	}
	return true
}

func countSpanTokens(spans []api.Span) int {
	n := 0
	for _, span := range spans {
		n += span.Tokens
	}
	return n
}

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
	stepGroups        = 48
	samplesPerGroup   = 8
	sampleMaxTokens   = 400
	stalenessVersions = 1
	// trainTime stands for the optimizer's work after the samples of a step are complete.
	trainTime = 700 * time.Millisecond
)

// trainer runs steps and counts what it receives.
type trainer struct {
	client   *client.Client
	versions *standinengine.VersionLog
	version  atomic.Int64

	mu        sync.Mutex
	delivered int
	duplicate int
	stale     int
	wrong     int
	broken    int
	requested int
	waited    time.Duration
	// bound is the shortest time in which all engines could have produced the steps.
	bound   time.Duration
	trained time.Duration
}

func newTrainer(b *testbed.Balancer, key string, versions *standinengine.VersionLog) *trainer {
	// Every poll goes to another instance, as a balancer without affinity does.
	transport := b.RoundTripper(&http.Transport{MaxIdleConnsPerHost: 8})
	t := &trainer{versions: versions, client: &client.Client{BaseURLs: []string{"http://balancer"}, Key: key, HTTP: &http.Client{Transport: transport}, Wait: time.Second}}
	t.version.Store(1)
	return t
}

// step runs one step and returns when all of its samples have arrived.
func (t *trainer) step(ctx context.Context, number int) error {
	spec := api.StepSpec{
		ID: fmt.Sprintf("step-%d", number), Service: serviceTraining, SamplesPerGroup: samplesPerGroup,
		MaxTokens: sampleMaxTokens, StalenessVersions: stalenessVersions, DeadlineMs: 60_000,
	}
	for g := range stepGroups {
		spec.Groups = append(spec.Groups, fmt.Sprintf("%s Case %d of step %d.", strings.Repeat("Sort the scraps of the following list. ", 14), g, number))
	}
	t.mu.Lock()
	t.requested += stepGroups * samplesPerGroup
	t.mu.Unlock()
	seen := map[[2]int]bool{}
	polled, tokens, longest := 0, 0, 0
	begun := time.Now()
	err := t.client.RunStep(ctx, spec,
		func() int { polled = int(t.version.Load()); return polled },
		func(s api.Sample) error {
			n := t.receive(s, seen, polled)
			tokens, longest = tokens+n, max(longest, n)
			return nil
		})
	t.mu.Lock()
	t.waited += time.Since(begun)
	t.bound += trainingEngine(0, nil).ShortestStep(trainingEngines, tokens, longest)
	t.mu.Unlock()
	return err
}

// train stands for the optimizer step.
func (t *trainer) train(ctx context.Context) {
	begun := time.Now()
	select {
	case <-time.After(trainTime):
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.trained += time.Since(begun)
	t.mu.Unlock()
}

// receive judges a sample and returns its tokens. polled is the version that the trainer named in the poll.
func (t *trainer) receive(s api.Sample, seen map[[2]int]bool, polled int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	slot := [2]int{s.Group, s.Index}
	if seen[slot] {
		t.duplicate++
		return 0
	}
	seen[slot] = true
	t.delivered++
	for _, span := range s.Spans {
		if span.Version < polled-stalenessVersions {
			t.stale++
			break
		}
	}
	if !t.isLabelledRight(s) {
		t.wrong++
	}
	got, whole := standinengine.Continuous(s.Text)
	if !whole || got != spanTokens(s.Spans) || got == 0 {
		t.broken++
	}
	return got
}

// isLabelledRight compares the spans of a sample with what the engines recorded.
func (t *trainer) isLabelledRight(s api.Sample) bool {
	position := 0
	for _, span := range s.Spans {
		if !t.versions.Produced(s.Text, position, position+span.Tokens, span.Version) {
			return false
		}
		position += span.Tokens
	}
	return true
}

func spanTokens(spans []api.Span) int {
	n := 0
	for _, span := range spans {
		n += span.Tokens
	}
	return n
}

// Package rollout owns steps: it opens them, runs their generations, serves the trainers' polls, and writes
// finished samples to object segments that the next owner can load.
package rollout

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/step"
)

// Generator runs one sequence on some target and calls chunk for each part of the output, in order. An
// error of chunk ends the generation.
type Generator interface {
	Generate(ctx context.Context, g engine.Generation, chunk func(engine.Chunk) error) *outcome.Refusal
}

// Objects is the platform's object store. Each key is written once.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
}

// Peers knows the owner of a key and calls other instances.
type Peers interface {
	Owner(key string) (instance string, local bool)
	Call(ctx context.Context, instance string, call peer.Call) (peer.Reply, error)
}

// Successors is implemented by Peers that know the order in which instances take over a key, the owner
// first. With it, instances that cannot reach the owner agree on its successor. Without it, each of them
// serves the step itself, and a trainer behind a load balancer finds its step on some instances only.
type Successors interface {
	Successors(key string) []string
}

// Usage records the work done for teams.
type Usage interface {
	Record(team, service string, promptTokens, generatedTokens int, target time.Duration)
}

// Scorer requests the score of a finished sample from a scoring service.
type Scorer interface {
	Score(ctx context.Context, team, service, prompt, text string) (float64, *outcome.Refusal)
}

const (
	// maintenanceInterval is the period of straggler, expiry and ownership checks.
	maintenanceInterval = 250 * time.Millisecond
	// maxSegmentLoadWait limits how long a newly opened step waits for the segments of an earlier owner
	// before it generates. Starting without them may generate some tokens twice but does no other harm.
	maxSegmentLoadWait = 2 * time.Second
	// unownedIdleTimeout is how long a step that another instance owns stays here after the
	// trainer's last poll.
	unownedIdleTimeout = 5 * time.Second
	// maxSteps limits the steps that one instance serves.
	maxSteps = 4096
)

// Options holds the dependencies of a Service. Usage, Scorer and Counter may be nil.
type Options struct {
	Instance  string
	Generator Generator
	Objects   Objects
	Peers     Peers
	Usage     Usage
	Scorer    Scorer
	Counter   outcome.Counter
	Log       zerolog.Logger
	// Stragglers decides which slow generations are hedged, moved or restarted; nil means none.
	Stragglers step.StragglerRule
}

// Service owns the steps of one instance.
type Service struct {
	options Options
	writer  *segmentWriter
	wake    chan struct{}
	workers conc.WaitGroup

	mu             sync.Mutex
	steps          map[stepKey]*activeStep
	expiredAt      map[stepKey]time.Time
	suspectedUntil map[string]time.Time
	doc            *config.Document
	shares         map[string]*serviceShare
	// A stopping service starts no generations and opens no steps; a draining one also refuses polls.
	stopping bool
	draining bool
	runCtx   context.Context
}

// New returns a service. It generates nothing until Run and ApplyConfig are called.
func New(o Options) *Service {
	writerID := o.Instance + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	return &Service{
		options:        o,
		writer:         newSegmentWriter(o.Objects, o.Log, writerID),
		wake:           make(chan struct{}, 1),
		steps:          map[stepKey]*activeStep{},
		expiredAt:      map[stepKey]time.Time{},
		suspectedUntil: map[string]time.Time{},
		shares:         map[string]*serviceShare{},
	}
}

// Run starts generations and writes segments until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	if s.runCtx != nil {
		s.mu.Unlock()
		return errors.New("rollout service is already running")
	}
	s.runCtx = ctx
	s.mu.Unlock()
	var loops conc.WaitGroup
	loops.Go(func() { s.dispatchLoop(ctx) })
	loops.Go(func() { s.writer.run(ctx) })
	loops.Wait()
	// From here on no step may be opened, since that would start a worker while Run waits for all of them.
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.workers.Wait()
	return nil
}

// ApplyConfig applies a configuration. Steps end when their team or service is no longer listed or the team
// may no longer use the service.
func (s *Service) ApplyConfig(doc *config.Document) {
	s.mu.Lock()
	s.doc = doc
	s.updateShares(doc)
	var ended []*activeStep
	for key, a := range s.steps {
		if team := findTeam(doc, key.team); team != nil && team.Leaving && !s.stopping && !a.specWriteStarted {
			a.specWriteStarted = true
			s.workers.Go(func() { s.writeSpec(s.runCtx, a) })
		}
		if findTeam(doc, key.team) == nil || findService(doc, a.service) == nil || !routeAllows(doc, key.team, a.service) {
			delete(s.steps, key)
			ended = append(ended, a)
		}
	}
	s.mu.Unlock()
	for _, a := range ended {
		a.end()
	}
	s.wakeDispatcher()
}

// wakeDispatcher wakes the dispatch loop. It does nothing if a wake-up is already pending.
func (s *Service) wakeDispatcher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) countRetry(reason outcome.RetryReason) {
	if s.options.Counter != nil && reason != "" {
		s.options.Counter.CountRetry(reason)
	}
}

func findTeam(doc *config.Document, name string) *config.Team {
	for i := range doc.Teams {
		if doc.Teams[i].Name == name {
			return &doc.Teams[i]
		}
	}
	return nil
}

func findService(doc *config.Document, name string) *config.Service {
	for i := range doc.Services {
		if doc.Services[i].Name == name {
			return &doc.Services[i]
		}
	}
	return nil
}

func routeAllows(doc *config.Document, team, service string) bool {
	for _, r := range doc.Routes {
		if r.Service != service {
			continue
		}
		if r.Open {
			return true
		}
		for _, t := range r.Teams {
			if t == team {
				return true
			}
		}
	}
	return false
}

package rollout

import (
	"cmp"
	"context"
	"slices"

	"github.com/egretspar/egretspar/internal/step"
	"github.com/egretspar/egretspar/internal/wait"
)

// Drain ends all steps on this instance before a graceful shutdown. It suspends the generations, then writes
// their tokens and all unwritten samples while polls are still served from memory. Polls are refused only after
// that, so that the next owner finds everything in the store when it opens a step. Drain must be called while
// Run is active, because Run writes the segments.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	steps := s.activeSteps()
	for _, a := range steps {
		s.suspendAndEnqueue(a)
	}
	err := s.flush(ctx)
	s.mu.Lock()
	s.draining = true
	clear(s.steps)
	s.mu.Unlock()
	for _, a := range steps {
		a.end()
	}
	return err
}

// flush writes the queued samples and retries a failed write until ctx ends.
func (s *Service) flush(ctx context.Context) error {
	for {
		err := s.writer.flush(ctx)
		if err == nil || !wait.Sleep(ctx, putBackoff) {
			return err
		}
	}
}

// suspendAndEnqueue suspends a step and queues its partial sequences for writing.
func (s *Service) suspendAndEnqueue(a *activeStep) {
	for _, r := range a.suspend() {
		s.writer.enqueue(segmentItem{step: a, record: r})
	}
}

// handOver ends a step that another instance owns and queues its partial sequences for writing.
func (s *Service) handOver(a *activeStep) {
	s.suspendAndEnqueue(a)
	s.mu.Lock()
	delete(s.steps, a.key)
	s.mu.Unlock()
	a.end()
	s.options.Log.Info().Str("team", a.key.team).Str("step", a.key.id).Msg("step handed over to its owner")
}

func (s *Service) activeSteps() []*activeStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	steps := make([]*activeStep, 0, len(s.steps))
	for _, a := range s.steps {
		steps = append(steps, a)
	}
	return steps
}

// StepStatus describes a step for operators.
type StepStatus struct {
	Team, Step, Service string
	// Open is the number of slots that are not in the trainer's bitmap, Running the number of generations
	// in progress.
	Open, Running int
	Counts        step.Counts
}

// Status returns the steps that this instance serves, by team and id.
func (s *Service) Status() []StepStatus {
	steps := s.activeSteps()
	all := make([]StepStatus, len(steps))
	for i, a := range steps {
		all[i] = a.status()
	}
	slices.SortFunc(all, func(x, y StepStatus) int {
		return cmp.Or(cmp.Compare(x.Team, y.Team), cmp.Compare(x.Step, y.Step))
	})
	return all
}

func (a *activeStep) status() StepStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return StepStatus{
		Team:    a.key.team,
		Step:    a.key.id,
		Service: a.service,
		Open:    a.state.Open(),
		Running: a.state.Running(),
		Counts:  a.state.Counts(),
	}
}

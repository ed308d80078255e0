package rollout

import (
	"context"
	"reflect"
	"time"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/step"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// defaultPollWait and maxPollWait are the schema's default and limit for the wait of a poll.
	defaultPollWait = time.Second
	maxPollWait     = time.Minute
	// coalesceDelay lets samples that finish at almost the same time share a response.
	coalesceDelay = 5 * time.Millisecond
)

// Open opens a step at its owner. Opening the same specification again has no further effect.
func (s *Service) Open(ctx context.Context, team string, spec api.StepSpec) *outcome.Refusal {
	key := stepKey{team: team, id: spec.ID}
	if refusal := s.checkOpen(ctx, key, spec); refusal != nil {
		return refusal
	}
	if refusal, done := s.forwardOpen(ctx, key, spec); done {
		return refusal
	}
	return s.openLocal(key, spec)
}

// checkOpen returns a refusal if the specification is invalid or the team may not open the step.
func (s *Service) checkOpen(ctx context.Context, key stepKey, spec api.StepSpec) *outcome.Refusal {
	if !step.IsValidSpec(spec) {
		return outcome.Refuse(outcome.RequestInvalid)
	}
	s.mu.Lock()
	doc := s.doc
	_, open := s.steps[key]
	s.mu.Unlock()
	if doc == nil {
		return outcome.Refuse(outcome.ConfigStale)
	}
	service := findService(doc, spec.Service)
	team := findTeam(doc, key.team)
	switch {
	case service == nil || service.Type != config.TypeEngine:
		return outcome.Refuse(outcome.ServiceUnknown)
	case team == nil || !routeAllows(doc, key.team, spec.Service):
		return outcome.Refuse(outcome.RouteForbidden)
	case spec.StalenessVersions > service.StalenessBound():
		refusal := outcome.Refuse(outcome.RequestInvalid)
		refusal.Message = "staleness_versions is above the limit of the service"
		return refusal
	case team.Leaving && !open && !s.wasOpenedBefore(ctx, key):
		return outcome.Refuse(outcome.TeamLeaving)
	}
	return nil
}

func (s *Service) openLocal(key stepKey, spec api.StepSpec) *outcome.Refusal {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.runCtx == nil {
		return outcome.Refuse(outcome.Draining)
	}
	newStep := newActiveStep(key, spec, s.options.Stragglers, now)
	if a, ok := s.steps[key]; ok {
		if !reflect.DeepEqual(a.spec(), newStep.spec()) {
			return outcome.Refuse(outcome.StepMismatch)
		}
		return nil
	}
	if len(s.steps) >= maxSteps {
		return outcome.Refuse(outcome.QueueFull)
	}
	s.steps[key] = newStep
	delete(s.expiredAt, key)
	ctx := s.runCtx
	s.workers.Go(func() { s.loadSegments(ctx, newStep) })
	s.options.Log.Info().Str("team", key.team).Str("step", key.id).Int("slots", step.Slots(spec)).Msg("step opened")
	return nil
}

// Poll serves one poll: at the owner of the step if it responds in time, and on this instance otherwise.
func (s *Service) Poll(ctx context.Context, team, stepID string, req api.PollRequest) (*api.PollAnswer, *outcome.Refusal) {
	key := stepKey{team: team, id: stepID}
	deadline := time.Now().Add(pollWait(req))
	if answer, refusal, done := s.forwardPoll(ctx, key, req, deadline); done {
		return answer, refusal
	}
	return s.pollLocal(ctx, key, req, deadline)
}

func pollWait(req api.PollRequest) time.Duration {
	if req.WaitMs <= 0 {
		return defaultPollWait
	}
	return min(maxPollWait, time.Duration(req.WaitMs)*time.Millisecond)
}

func (s *Service) pollLocal(ctx context.Context, key stepKey, req api.PollRequest, deadline time.Time) (*api.PollAnswer, *outcome.Refusal) {
	a, refusal := s.findStep(key)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		answer, changed, refusal := s.pollOnce(a, req, deadline)
		if answer != nil || refusal != nil {
			return answer, refusal
		}
		select {
		case <-changed:
			wait.Sleep(ctx, coalesceDelay)
		case <-timer.C:
		case <-ctx.Done():
			return nil, outcome.Refuse(outcome.CallerDisconnected)
		}
	}
}

func (s *Service) findStep(key stepKey) (*activeStep, *outcome.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, outcome.Refuse(outcome.Draining)
	}
	if a, ok := s.steps[key]; ok {
		return a, nil
	}
	if _, ok := s.expiredAt[key]; ok {
		return nil, outcome.Refuse(outcome.StepExpired)
	}
	return nil, outcome.Refuse(outcome.StepUnknown)
}

// pollOnce returns a response if there are samples, the step is done or has ended, or the deadline has
// passed. Otherwise it returns the channel that is closed at the next change.
func (s *Service) pollOnce(a *activeStep, req api.PollRequest, deadline time.Time) (*api.PollAnswer, <-chan struct{}, *outcome.Refusal) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.state.Counts().DroppedStale
	answer, cancel, refusal := a.state.Poll(req, now)
	if refusal != nil {
		return nil, nil, refusal
	}
	for range a.state.Counts().DroppedStale - before {
		s.countRetry(outcome.RetryStale)
	}
	a.cancelAttempts(cancel)
	s.wakeDispatcher()
	pastDeadline := !now.Before(deadline)
	if len(answer.Samples) == 0 && !answer.Done && pastDeadline {
		if blocked := a.state.PermanentRefusal(); blocked != nil {
			return nil, nil, blocked
		}
	}
	if len(answer.Samples) > 0 || answer.Done || pastDeadline || a.ended {
		return answer, nil, nil
	}
	return nil, a.changed, nil
}

// Cancel ends a step. Cancelling an unknown step has no effect.
func (s *Service) Cancel(ctx context.Context, team, stepID string) *outcome.Refusal {
	key := stepKey{team: team, id: stepID}
	s.cancelLocal(key)
	refusal, _ := s.forwardCancel(ctx, key)
	return refusal
}

func (s *Service) cancelLocal(key stepKey) {
	s.mu.Lock()
	a, ok := s.steps[key]
	delete(s.steps, key)
	s.mu.Unlock()
	if ok {
		a.end()
	}
}

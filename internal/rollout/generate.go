package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/reward"
	"github.com/egretspar/egretspar/internal/step"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// bytesPerToken estimates the prompt tokens for usage, since engines do not report them.
	bytesPerToken = 4
	// maxScoreAttempts limits the calls to a scoring service. If no attempt succeeds, the sample is delivered without a
	// score.
	maxScoreAttempts = 3
)

var errStopped = errors.New("generation no longer needed")

func (s *Service) dispatchLoop(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case now := <-tick.C:
			s.maintainSteps(ctx, now)
		}
		s.dispatch(ctx, time.Now())
	}
}

// dispatch starts generations until each service uses its capacity or has no work.
func (s *Service) dispatch(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || ctx.Err() != nil {
		return
	}
	for service, candidates := range s.stepsWithWork(now) {
		s.fillCapacity(ctx, s.shareOf(service), candidates, now)
	}
}

// fillCapacity starts generations of the candidates until the service is at its limit. The caller holds mu.
func (s *Service) fillCapacity(ctx context.Context, v *serviceShare, candidates []*activeStep, now time.Time) {
	for v.running < v.limit {
		a := v.pickStep(candidates)
		if a == nil {
			return
		}
		genCtx, task, ok := a.nextTask(ctx, now)
		if !ok {
			candidates = withoutStep(candidates, a)
			continue
		}
		s.startGeneration(genCtx, a, task)
	}
}

func withoutStep(steps []*activeStep, removed *activeStep) []*activeStep {
	kept := make([]*activeStep, 0, len(steps))
	for _, a := range steps {
		if a != removed {
			kept = append(kept, a)
		}
	}
	return kept
}

// startGeneration runs a task in a new goroutine. The caller holds mu.
func (s *Service) startGeneration(ctx context.Context, a *activeStep, task step.Task) {
	s.shareOf(a.service).addRunning(a.key.team, 1)
	s.workers.Go(func() { s.generate(ctx, a, task) })
}

func (s *Service) generate(ctx context.Context, a *activeStep, task step.Task) {
	var meter usageMeter
	spec := a.spec()
	refusal := s.options.Generator.Generate(ctx, engine.Generation{
		Team:         a.key.team,
		Service:      spec.Service,
		Prompt:       task.Prompt,
		MaxTokens:    spec.MaxTokens,
		Temperature:  *spec.Temperature,
		Seed:         task.Resume.Seed,
		ResumeText:   task.Resume.Text,
		ResumeTokens: task.Resume.Tokens(),
		MinVersion:   task.MinVersion,
		Exclude:      task.Exclude,
	}, func(c engine.Chunk) error {
		now := time.Now()
		meter.add(c, now)
		if a.addChunk(task.Attempt, c, now) == step.Stop {
			return errStopped
		}
		return nil
	})
	meter.report(s.options.Usage, a, task, time.Now())
	s.mu.Lock()
	s.shareOf(a.service).addRunning(a.key.team, -1)
	s.mu.Unlock()
	s.wakeDispatcher()
	s.endAttempt(ctx, a, task, refusal)
	a.releaseAttempt(task.Attempt)
	s.wakeDispatcher()
}

// endAttempt reports the result of a generation to the step and queues a finished sample for writing.
func (s *Service) endAttempt(ctx context.Context, a *activeStep, task step.Task, refusal *outcome.Refusal) {
	if refusal != nil {
		s.countRetry(a.failAttempt(task.Attempt, refusal, time.Now()).Retry)
		return
	}
	score := s.scoreSample(ctx, a, task)
	result := a.finishAttempt(task.Attempt, score, time.Now())
	s.countRetry(result.Retry)
	if result.Sample != nil {
		s.writer.enqueue(segmentItem{step: a, record: *result.Sample})
	}
}

func (s *Service) scoreSample(ctx context.Context, a *activeStep, task step.Task) *float64 {
	spec := a.spec()
	if s.options.Scorer == nil || spec.ScoringService == nil || *spec.ScoringService == "" {
		return nil
	}
	record, ok := a.previewSample(task.Attempt)
	if !ok {
		return nil
	}
	call := reward.Call{}
	for {
		value, refusal := s.options.Scorer.Score(ctx, a.key.team, *spec.ScoringService, task.Prompt, record.Text)
		if refusal == nil {
			return &value
		}
		if call.Record(reward.Failed, maxScoreAttempts, time.Now()) == reward.GiveUp {
			break
		}
		if !wait.Sleep(ctx, time.Until(call.NotBefore())) {
			return nil
		}
	}
	s.options.Log.Warn().Str("step", a.key.id).Str("service", *spec.ScoringService).Msg("scoring failed, sample delivered without a score")
	return nil
}

// usageMeter measures one generation for usage. The time before the first token does not count as
// target time.
type usageMeter struct {
	tokens       int
	firstChunkAt time.Time
}

func (m *usageMeter) add(c engine.Chunk, now time.Time) {
	if m.firstChunkAt.IsZero() {
		m.firstChunkAt = now
	}
	m.tokens += c.Tokens
}

func (m *usageMeter) report(u Usage, a *activeStep, task step.Task, now time.Time) {
	if u == nil || m.firstChunkAt.IsZero() {
		return
	}
	prompt := (len(task.Prompt) + len(task.Resume.Text)) / bytesPerToken
	u.Record(a.key.team, a.service, prompt, m.tokens, now.Sub(m.firstChunkAt))
}

// maintainSteps reclaims capacity between teams and checks stragglers, expiry and ownership of every step.
func (s *Service) maintainSteps(ctx context.Context, now time.Time) {
	s.mu.Lock()
	s.reclaimCapacity(now)
	s.mu.Unlock()
	for _, a := range s.activeSteps() {
		switch {
		case a.isExpired(now):
			s.expireStep(a, now)
		case s.isIdleUnowned(a, now):
			s.handOver(a)
		default:
			s.handleStragglers(ctx, a, now)
		}
	}
}

func (s *Service) expireStep(a *activeStep, now time.Time) {
	s.mu.Lock()
	delete(s.steps, a.key)
	s.rememberExpired(a.key, now)
	s.mu.Unlock()
	a.end()
	s.options.Log.Info().Str("team", a.key.team).Str("step", a.key.id).Msg("step expired")
}

// rememberExpired records that a step expired, so that a late poll is refused as step_expired and not as
// step_unknown. It keeps at most maxSteps records and removes those that are older than an hour.
func (s *Service) rememberExpired(key stepKey, now time.Time) {
	for old, at := range s.expiredAt {
		if now.Sub(at) > time.Hour || len(s.expiredAt) >= maxSteps {
			delete(s.expiredAt, old)
		}
	}
	s.expiredAt[key] = now
}

// isIdleUnowned reports whether another instance owns the step and the trainer no longer polls it here.
func (s *Service) isIdleUnowned(a *activeStep, now time.Time) bool {
	_, local := s.options.Peers.Owner(a.key.ownerKey())
	return !local && now.Sub(a.lastPoll()) > unownedIdleTimeout
}

// handleStragglers starts and cancels the attempts that the straggler rule selects.
func (s *Service) handleStragglers(ctx context.Context, a *activeStep, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.suspended {
		return
	}
	tasks, cancel := a.state.Stragglers(now)
	a.cancelAttempts(cancel)
	for _, task := range tasks {
		s.countRetry(outcome.RetryHedge)
		s.startGeneration(a.newAttemptContext(ctx, task), a, task)
	}
}

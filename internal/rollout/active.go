package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/step"
)

// stepKey identifies a step. It contains the team, so that no team can reach another team's step.
type stepKey struct{ team, id string }

// ownerKey is the key that determines which instance owns the step.
func (k stepKey) ownerKey() string { return k.team + "/" + k.id }

// objectPrefix is the common prefix of the step's object keys in the store.
func (k stepKey) objectPrefix() string { return "steps/" + k.team + "/" + k.id + "/" }

// specObjectKey is the key of the step's specification, which is stored next to the segments.
func (k stepKey) specObjectKey() string { return k.objectPrefix() + "spec" }

// activeStep is a step that this instance serves.
type activeStep struct {
	key      stepKey
	openedAt time.Time
	// specWriteStarted is set when a write of the specification to the store has been started. The
	// service's mutex guards it.
	specWriteStarted bool
	service          string

	mu      sync.Mutex
	state   *step.Step
	cancels map[step.AttemptID]context.CancelFunc
	// changed is closed and replaced whenever waiting polls should check the state again.
	changed        chan struct{}
	segmentsLoaded bool
	// A suspended step starts no more generations on this instance; an ended step also serves no polls.
	suspended bool
	ended     bool
}

func newActiveStep(key stepKey, spec api.StepSpec, rule step.StragglerRule, now time.Time) *activeStep {
	return &activeStep{
		key:      key,
		openedAt: now,
		service:  spec.Service,
		state:    step.New(spec, rule, now),
		cancels:  map[step.AttemptID]context.CancelFunc{},
		changed:  make(chan struct{}),
	}
}

// notify wakes waiting polls. The caller holds mu.
func (a *activeStep) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// cancelAttempts cancels the generations of the given attempts. The caller holds mu.
func (a *activeStep) cancelAttempts(ids []step.AttemptID) {
	for _, id := range ids {
		if cancel, ok := a.cancels[id]; ok {
			cancel()
		}
	}
}

// end cancels all generations and wakes waiting polls.
func (a *activeStep) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	for _, cancel := range a.cancels {
		cancel()
	}
	a.notify()
}

// suspend cancels all generations for good and returns their partial sequences, so that the next owner can
// continue them. Polls are still served.
func (a *activeStep) suspend() []step.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspended = true
	for id, cancel := range a.cancels {
		a.state.Suspend(id)
		cancel()
	}
	return a.state.Partials()
}

// preempt suspends up to n running generations to free capacity for another team. Their tokens are kept.
func (a *activeStep) preempt(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := a.state.PreemptionCandidates(n)
	for _, id := range ids {
		a.state.Suspend(id)
	}
	a.cancelAttempts(ids)
	return len(ids)
}

// hasWork reports whether the step can start a generation now.
func (a *activeStep) hasWork(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canGenerate(now) && a.state.HasWork(now)
}

func (a *activeStep) canGenerate(now time.Time) bool {
	return !a.ended && !a.suspended && (a.segmentsLoaded || now.Sub(a.openedAt) >= maxSegmentLoadWait)
}

// nextTask takes the next task of the step and returns it with the context of its generation.
func (a *activeStep) nextTask(parent context.Context, now time.Time) (context.Context, step.Task, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.canGenerate(now) {
		return nil, step.Task{}, false
	}
	task, ok := a.state.Next(now)
	if !ok {
		return nil, task, false
	}
	return a.newAttemptContext(parent, task), task, true
}

// newAttemptContext returns the context of an attempt and registers its cancel function. The caller
// holds mu.
func (a *activeStep) newAttemptContext(parent context.Context, task step.Task) context.Context {
	ctx, cancel := context.WithCancel(parent)
	a.cancels[task.Attempt] = cancel
	return ctx
}

// releaseAttempt calls and removes the cancel function of an attempt whose generation has returned.
func (a *activeStep) releaseAttempt(id step.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancels[id]; ok {
		cancel()
		delete(a.cancels, id)
	}
}

func (a *activeStep) addChunk(id step.AttemptID, c engine.Chunk, now time.Time) step.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.AddChunk(id, c, now)
}

func (a *activeStep) previewSample(id step.AttemptID) (*step.Record, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Preview(id)
}

func (a *activeStep) finishAttempt(id step.AttemptID, score *float64, now time.Time) step.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := a.state.Finish(id, score, now)
	a.cancelAttempts(result.Cancel)
	if result.Sample != nil {
		a.notify()
	}
	return result
}

func (a *activeStep) failAttempt(id step.AttemptID, refusal *outcome.Refusal, now time.Time) step.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Fail(id, refusal, now)
}

func (a *activeStep) addRecords(records []step.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		a.cancelAttempts(a.state.AddRecord(r))
	}
	a.notify()
}

func (a *activeStep) markSegmentsLoaded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.segmentsLoaded = true
}

func (a *activeStep) isConfirmed(slot int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Confirmed(slot)
}

func (a *activeStep) spec() api.StepSpec {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Spec()
}

func (a *activeStep) lastPoll() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.LastPoll()
}

func (a *activeStep) isExpired(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Expired(now)
}

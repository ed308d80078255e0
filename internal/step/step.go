// Package step implements the state machine of one training step: which slots are open, which samples are ready,
// what to generate next and what a poll returns. A slot is one sample of one group; it is open until the trainer
// confirms that it has the sample. The package does no I/O, and callers pass in the time.
package step

import (
	"time"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
)

const (
	// MaxSlots limits the slots of one step, so that a specification cannot exhaust the memory of the step's
	// owner: a slot takes about 150 B even without a sample.
	MaxSlots = 1 << 20

	// Defaults of the trainer schema for fields that a specification leaves out.
	defaultMaxTokens   = 1024
	defaultTemperature = 1.0
	defaultDeadline    = 10 * time.Minute

	// maxRetainedBytes limits the text of the samples that are kept after the trainer confirmed them. A trainer
	// that resumes from an earlier checkpoint gets them without generating them again. 2,048 samples of 1,000
	// tokens fit; the memory goal of an instance is 32 MB.
	maxRetainedBytes = 8 << 20
	// minRetryDelay and maxRetryDelay are the bounds of the exponential backoff of a slot after a failed attempt.
	// A Retry-After time of at most maxRetryDelay is ignored: it is advice for callers that do not know the
	// service's targets, and waiting 1 s for each lost engine would delay the whole step.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxExcludedTargets limits the targets that one slot excludes, for example after mislabelled output, so that
	// it cannot exclude every target of a small service.
	maxExcludedTargets = 2
)

// AttemptID identifies one attempt within a step.
type AttemptID int

// Kind is the reason for an attempt.
type Kind int

// Kinds of attempts.
const (
	// First is the first attempt of a slot.
	First Kind = iota
	// Replacement repeats a slot whose earlier attempt was stale, rejected or lost.
	Replacement
	// Move continues, on another target, a sequence that a slow target was generating.
	Move
	// Hedge runs in parallel with an attempt that has stalled.
	Hedge
)

// Record is a finished or partial sample with the data needed to check its staleness.
type Record struct {
	Slot   int        `json:"slot"`
	Text   string     `json:"text"`
	Spans  []api.Span `json:"spans"`
	Target string     `json:"target,omitempty"`
	Score  *float64   `json:"score,omitempty"`
	// Seed is the seed of the whole sequence. A continuation on another target reuses it, so that an engine
	// that samples by seed and position generates the same sequence.
	Seed int64 `json:"seed"`
	// FirstTokenAt is the arrival time of the oldest token.
	FirstTokenAt time.Time `json:"begun"`
	Complete     bool      `json:"complete"`
}

// Tokens returns the total number of tokens of all spans.
func (r *Record) Tokens() int {
	sum := 0
	for _, s := range r.Spans {
		sum += s.Tokens
	}
	return sum
}

// oldestVersion returns the oldest weight version of the record, which must have at least one span.
func (r *Record) oldestVersion() int {
	v := r.Spans[0].Version
	for _, s := range r.Spans[1:] {
		v = min(v, s.Version)
	}
	return v
}

// Task is one generation to run. Resume holds the seed and the tokens to continue from.
type Task struct {
	Attempt    AttemptID
	Kind       Kind
	Slot       int
	Prompt     string
	MinVersion int
	Resume     Record
	Exclude    []string
}

// slot is the state of one sample of a group.
type slot struct {
	// confirmed means that the slot is in the trainer's have bitmap; otherwise it is open.
	confirmed bool
	// queued means that the slot is in retryQueue or delayedRetries.
	queued bool
	// issued means that the slot had its turn in issueOrder.
	issued bool
	// ready is the finished sample.
	ready *Record
	// partial is the saved output that the next attempt continues.
	partial         *Record
	attempts        []AttemptID
	attemptCount    int
	failures        int
	retryAt         time.Time
	excludedTargets []string
	// permanentRefusal is a refusal that a retry cannot overcome, see isPermanent.
	permanentRefusal *outcome.Refusal
}

func (s *slot) needsAttempt() bool {
	return !s.confirmed && s.ready == nil && len(s.attempts) == 0
}

// Counts holds the running totals of a step.
type Counts struct {
	// DroppedStale counts the finished samples that became stale before the trainer confirmed them.
	DroppedStale int
	// Unlabelled counts the attempts rejected because their weight versions could not be trusted.
	Unlabelled int
	// Replaced counts the sequences that are generated again because of staleness or a mislabelled version.
	Replaced     int
	Hedged       int
	Moved        int
	TokensKept   int
	TokensWasted int
	// TokensReprocessed counts the generated tokens that another target processes again after a move or hedge.
	TokensReprocessed int
}

// Step is the state of one step. It is not safe for concurrent use.
type Step struct {
	spec          api.StepSpec
	stragglerRule StragglerRule
	slots         []slot
	order         issueOrder
	retryQueue    []int
	// delayedRetries holds the slots that wait for their retryAt, retryQueue those that may start.
	delayedRetries []int
	attempts       map[AttemptID]*attempt
	lastAttemptID  AttemptID
	// finishedLengths holds the lengths of the finished members of each group.
	finishedLengths [][]int
	tokenRates      slidingWindow
	firstTokenWaits slidingWindow
	// slowTargets holds the time at which each target was last found to be slow.
	slowTargets    map[string]time.Time
	trainerVersion int
	openSlots      int
	retainedBytes  int
	lastPoll       time.Time
	counts         Counts
	// hedgedTokens is the predicted number of tokens that hedges generate a second time.
	hedgedTokens int
}

// New returns the state of a newly opened step. With a nil rule, stragglers are neither moved nor hedged.
func New(spec api.StepSpec, rule StragglerRule, now time.Time) *Step {
	s := &Step{
		spec:            withDefaults(spec),
		stragglerRule:   rule,
		slots:           make([]slot, Slots(spec)),
		attempts:        map[AttemptID]*attempt{},
		slowTargets:     map[string]time.Time{},
		finishedLengths: make([][]int, len(spec.Groups)),
		openSlots:       Slots(spec),
		order:           newIssueOrder(len(spec.Groups)),
		lastPoll:        now,
	}
	return s
}

// Slots returns the number of slots of a specification.
func Slots(spec api.StepSpec) int { return len(spec.Groups) * spec.SamplesPerGroup }

// IsValidSpec reports whether a specification is within the schema's limits.
func IsValidSpec(spec api.StepSpec) bool {
	switch {
	case len(spec.Groups) == 0 || len(spec.Groups) > MaxSlots:
		return false
	case spec.SamplesPerGroup < 1 || spec.SamplesPerGroup > MaxSlots/len(spec.Groups):
		return false
	case spec.StalenessVersions < 0 || spec.MaxTokens < 0 || spec.DeadlineMs < 0:
		return false
	case (spec.Temperature != nil && *spec.Temperature < 0) || (spec.StalenessMs != nil && *spec.StalenessMs < 0):
		return false
	}
	return validID(spec.ID)
}

func validID(id string) bool {
	if id == "" || len(id) > 128 || id == "." || id == ".." {
		return false
	}
	for _, c := range id {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '_' && c != '-' && c != '.' {
			return false
		}
	}
	return true
}

func withDefaults(spec api.StepSpec) api.StepSpec {
	if spec.MaxTokens == 0 {
		spec.MaxTokens = defaultMaxTokens
	}
	if spec.Temperature == nil {
		spec.Temperature = new(defaultTemperature)
	}
	if spec.DeadlineMs == 0 {
		spec.DeadlineMs = int(defaultDeadline / time.Millisecond)
	}
	return spec
}

// Spec returns the specification with defaults filled in.
func (s *Step) Spec() api.StepSpec { return s.spec }

// Counts returns the running totals.
func (s *Step) Counts() Counts { return s.counts }

// Running returns the number of attempts in progress.
func (s *Step) Running() int { return len(s.attempts) }

// Open returns the number of open slots, that is, those whose sample the trainer does not have.
func (s *Step) Open() int { return s.openSlots }

// Expired reports whether the last poll was longer ago than the step's deadline.
func (s *Step) Expired(now time.Time) bool {
	return now.Sub(s.lastPoll) > time.Duration(s.spec.DeadlineMs)*time.Millisecond
}

// LastPoll returns the time of the last poll, or of the opening of the step if there was none.
func (s *Step) LastPoll() time.Time { return s.lastPoll }

// PermanentRefusal returns a refusal if every open slot was refused permanently, otherwise nil.
func (s *Step) PermanentRefusal() *outcome.Refusal {
	var refusal *outcome.Refusal
	for i := range s.slots {
		sl := &s.slots[i]
		if sl.confirmed {
			continue
		}
		if sl.permanentRefusal == nil {
			return nil
		}
		refusal = sl.permanentRefusal
	}
	return refusal
}

// AddRecord adds a record that an earlier owner wrote. The first complete record of a slot is used and later ones are
// ignored. It returns the attempts that are no longer needed.
func (s *Step) AddRecord(r Record) []AttemptID {
	if r.Slot < 0 || r.Slot >= len(s.slots) || len(r.Spans) == 0 {
		return nil
	}
	sl := &s.slots[r.Slot]
	if sl.ready != nil || sl.confirmed {
		return nil
	}
	if !r.Complete {
		if sl.partial == nil || sl.partial.Tokens() < r.Tokens() {
			s.adoptTokens(sl, r.Tokens())
			sl.partial = &r
		}
		return nil
	}
	cancel := s.cancelAttempts(r.Slot)
	s.adoptTokens(sl, r.Tokens())
	s.setReady(r.Slot, &r)
	return cancel
}

// adoptTokens counts the tokens of a record of another owner, which replaces the slot's partial sequence, as kept.
func (s *Step) adoptTokens(sl *slot, tokens int) {
	if sl.partial != nil {
		s.recountAsWasted(sl.partial)
	}
	s.counts.TokensKept += tokens
}

func (s *Step) setReady(i int, r *Record) {
	sl := &s.slots[i]
	sl.ready = r
	sl.partial = nil
	sl.permanentRefusal = nil
	g := i / s.spec.SamplesPerGroup
	s.finishedLengths[g] = append(s.finishedLengths[g], r.Tokens())
}

// enqueueRetry queues a slot to be started again. A slot that was not issued yet follows issueOrder instead.
func (s *Step) enqueueRetry(i int) {
	if s.slots[i].queued || !s.slots[i].issued {
		return
	}
	s.slots[i].queued = true
	s.retryQueue = append(s.retryQueue, i)
}

// delayRetry queues a slot to be started again at the given time.
func (s *Step) delayRetry(i int, until time.Time) {
	sl := &s.slots[i]
	if sl.queued {
		return
	}
	sl.queued = true
	sl.retryAt = until
	s.delayedRetries = append(s.delayedRetries, i)
}

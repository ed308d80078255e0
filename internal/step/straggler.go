package step

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// slidingWindowSize is the number of attempts from which the median token rate and the median wait for the
	// first token are computed.
	slidingWindowSize = 64
	// minRateCount is the number of known token rates below which no attempt is considered slow.
	minRateCount = 4
	// minObservation is the time since the first token below which the rate is not evaluated, because it is noisy
	// at the start of a stream. Without it, a sequence that has just moved counts as slow and moves again.
	minObservation = 2 * time.Second
	// slowTargetTTL is how long new attempts avoid a target after a sequence was moved away from it or hedged.
	slowTargetTTL = 10 * time.Second
)

// Action is the decision of a StragglerRule on a running attempt.
type Action int

// Actions on a running attempt.
const (
	// Keep changes nothing.
	Keep Action = iota
	// MoveAway continues the sequence on another target and cancels the attempt.
	MoveAway
	// StartHedge starts a hedge on another target and lets the attempt continue.
	StartHedge
	// Restart discards the sequence and generates it again.
	Restart
)

// AttemptView holds what a straggler rule knows about one running attempt.
type AttemptView struct {
	// Tokens is the number of tokens generated so far, including those from earlier targets.
	Tokens int
	// Predicted is the expected final length, derived from finished members of the group.
	Predicted int
	// Rate is the token rate of this attempt and MedianRate the median rate of the step, in tokens/s. MedianRate is 0
	// while too few rates are known.
	Rate, MedianRate float64
	// Observed is the time since the first token of this attempt.
	Observed time.Duration
	// Age is the time since the attempt started, and SinceLastToken the time since its last token.
	Age, SinceLastToken time.Duration
	// HedgeBudget is the number of tokens that may still be generated twice.
	HedgeBudget int
	// Waited is the time since the start of an attempt that has no token yet, and 0 for others. MedianFirstTokenWait is
	// the step's median of the time to the first token. Both include the time in queues.
	Waited, MedianFirstTokenWait time.Duration
	// Attempts is the number of attempts that the slot has had.
	Attempts int
	// HasHedge means that another attempt of the same slot is running. A slot has more than one only if one is a
	// hedge.
	HasHedge bool
}

// StragglerRule decides about running attempts.
type StragglerRule interface {
	Decide(v AttemptView) Action
}

// Predictive moves a sequence away from a slow target when its predicted remainder would finish at least MinGain
// earlier on another one, and hedges a sequence whose target sends no tokens. It never restarts a sequence because
// it is long: new outputs are shorter than long ones on average, so restarts would bias the samples towards short
// outputs.
type Predictive struct {
	// MinGain is the smallest predicted time saving that justifies a move.
	MinGain time.Duration
	// SlowFactor is the fraction of the median rate below which an attempt counts as slow.
	SlowFactor float64
	// Stall is the time without a token after which an attempt is hedged, or moved if the budget is too small.
	Stall time.Duration
}

// queueWaitFactor is the multiple of the median wait for the first token that an attempt must exceed to be moved. It
// prevents moving an attempt that waits in a queue like all others.
const queueWaitFactor = 4

// maxMoves limits the prefill work that moving one sequence can cause.
const maxMoves = 4

// DefaultPredictive returns the default rule. TestStragglerRulesOnTrace compares it with other rules.
func DefaultPredictive() Predictive {
	return Predictive{MinGain: 3 * time.Second, SlowFactor: 0.6, Stall: 3 * time.Second}
}

// Decide implements StragglerRule.
func (p Predictive) Decide(v AttemptView) Action {
	if v.Waited > 0 {
		if v.Waited > max(p.Stall, queueWaitFactor*v.MedianFirstTokenWait) && v.MedianRate > 0 && v.Attempts <= maxMoves && !v.HasHedge {
			return MoveAway
		}
		return Keep
	}
	remainingTokens := max(1, v.Predicted-v.Tokens)
	isSilent := v.SinceLastToken >= p.Stall
	mayBeFast := v.MedianRate == 0 || v.Rate >= p.SlowFactor*v.MedianRate || v.Observed < minObservation
	switch {
	case v.Attempts > maxMoves, isSilent && v.HasHedge, !isSilent && mayBeFast:
		return Keep
	case isSilent && v.HedgeBudget >= remainingTokens:
		return StartHedge
	case isSilent:
		return MoveAway
	}
	timeOnThisTarget := secondsToDuration(float64(remainingTokens) / v.Rate)
	timeOnMedianTarget := secondsToDuration(float64(remainingTokens) / v.MedianRate)
	if timeOnThisTarget-timeOnMedianTarget < p.MinGain {
		return Keep
	}
	return MoveAway
}

// secondsToDuration converts seconds to a duration; the limit avoids an overflow.
func secondsToDuration(s float64) time.Duration {
	const maxSeconds = 1e6
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// hedgeBudgetShare is the share of the kept tokens of a step that hedges may generate a second time.
const hedgeBudgetShare = 0.03

// stepMedians holds the medians of a step that its attempts are compared with.
type stepMedians struct {
	tokenRate      float64
	firstTokenWait time.Duration
}

// Stragglers applies the rule to the running attempts. It returns the tasks to start and the attempts to cancel; a
// sequence that is moved or restarted appears in both.
func (s *Step) Stragglers(now time.Time) (tasks []Task, cancel []AttemptID) {
	if s.stragglerRule == nil {
		return nil, nil
	}
	medians := stepMedians{tokenRate: s.medianTokenRate(now), firstTokenWait: secondsToDuration(s.firstTokenWaits.median())}
	for _, id := range s.runningIDs() {
		a := s.attempts[id]
		if a == nil || a.generationDone {
			continue
		}
		switch s.stragglerRule.Decide(s.attemptView(a, medians, now)) {
		case MoveAway:
			tasks = append(tasks, s.moveAttempt(a, now))
			cancel = append(cancel, id)
		case StartHedge:
			tasks = append(tasks, s.hedgeAttempt(a, now))
		case Restart:
			s.dropAttempt(a)
			s.dropPartial(&s.slots[a.slot])
			s.slots[a.slot].excludeTarget(a.target)
			tasks = append(tasks, s.startAttempt(a.slot, Replacement, now))
			cancel = append(cancel, id)
		case Keep:
		}
	}
	return tasks, cancel
}

func (s *Step) dropPartial(sl *slot) {
	if sl.partial != nil {
		s.recountAsWasted(sl.partial)
		sl.partial = nil
	}
}

func (s *Step) runningIDs() []AttemptID {
	ids := make([]AttemptID, 0, len(s.attempts))
	for id := range s.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *Step) attemptView(a *attempt, medians stepMedians, now time.Time) AttemptView {
	tokens := a.rec.Tokens()
	v := AttemptView{
		Tokens:      tokens,
		MedianRate:  medians.tokenRate,
		Age:         now.Sub(a.started),
		HedgeBudget: s.hedgeBudget(),
		Attempts:    s.slots[a.slot].attemptCount,
		HasHedge:    len(s.slots[a.slot].attempts) > 1,
	}
	if a.firstChunkAt.IsZero() {
		v.Waited = v.Age
		v.MedianFirstTokenWait = medians.firstTokenWait
		return v
	}
	v.Predicted = s.predictLength(a.slot/s.spec.SamplesPerGroup, tokens)
	v.Rate = a.rate(now)
	v.Observed = now.Sub(a.firstChunkAt)
	v.SinceLastToken = now.Sub(a.lastChunkAt)
	return v
}

// hedgeBudget returns the number of tokens that hedges may still generate a second time.
func (s *Step) hedgeBudget() int {
	keptTokens := s.counts.TokensKept
	return int(hedgeBudgetShare*float64(keptTokens)) - s.hedgedTokens
}

// moveAttempt continues the sequence of a on another target. That target processes the prompt and the tokens so far
// again, but no token is generated twice.
func (s *Step) moveAttempt(a *attempt, now time.Time) Task {
	s.removeAttempt(a)
	s.keepPartial(a)
	s.counts.Moved++
	s.counts.TokensReprocessed += a.rec.Tokens()
	s.markTargetSlow(a, now)
	return s.startAttempt(a.slot, Move, now)
}

// markTargetSlow excludes the target of a for its slot, and for other new attempts during slowTargetTTL. The target
// is unknown before the first token.
func (s *Step) markTargetSlow(a *attempt, now time.Time) {
	if a.target == "" {
		return
	}
	s.slots[a.slot].excludeTarget(a.target)
	s.slowTargets[a.target] = now
}

// targetsToExclude returns the targets that a new attempt avoids: those excluded for the slot, and up to
// maxExcludedTargets of those found slow most recently.
func (s *Step) targetsToExclude(sl *slot, now time.Time) []string {
	exclude := slices.Clone(sl.excludedTargets)
	var slowTargets []string
	for target, markedAt := range s.slowTargets {
		if now.Sub(markedAt) < slowTargetTTL {
			slowTargets = append(slowTargets, target)
		}
	}
	slices.SortFunc(slowTargets, func(a, b string) int {
		return cmp.Or(s.slowTargets[b].Compare(s.slowTargets[a]), strings.Compare(a, b))
	})
	for _, target := range slowTargets[:min(len(slowTargets), maxExcludedTargets)] {
		if !slices.Contains(exclude, target) {
			exclude = append(exclude, target)
		}
	}
	return exclude
}

// hedgeAttempt continues the sequence of a on another target while a keeps running. The first to finish yields the
// sample.
func (s *Step) hedgeAttempt(a *attempt, now time.Time) Task {
	sl := &s.slots[a.slot]
	remainingTokens := s.predictLength(a.slot/s.spec.SamplesPerGroup, a.rec.Tokens()) - a.rec.Tokens()
	s.hedgedTokens += max(1, remainingTokens)
	s.counts.Hedged++
	s.counts.TokensReprocessed += a.rec.Tokens()
	if sl.partial == nil || sl.partial.Tokens() < a.rec.Tokens() {
		sl.partial = a.snapshot()
		s.counts.TokensKept += a.newTokens - a.countedTokens
		a.countedTokens = a.newTokens
	}
	s.markTargetSlow(a, now)
	return s.startAttempt(a.slot, Hedge, now)
}

// predictLength returns the expected final length of a member of the group that already has the given number of
// tokens: the median length of the finished members that were longer. If none was longer, the expected remainder
// grows with the length so far, because lengths are heavy-tailed.
func (s *Step) predictLength(group, tokens int) int {
	longer := make([]int, 0, len(s.finishedLengths[group]))
	for _, n := range s.finishedLengths[group] {
		if n > tokens {
			longer = append(longer, n)
		}
	}
	predicted := tokens + tokens/2 + 1
	if len(longer) > 0 {
		slices.Sort(longer)
		predicted = longer[len(longer)/2]
	}
	return min(predicted, max(s.spec.MaxTokens, tokens+1))
}

// rate returns the token rate of the attempt since its first token, or 0 if it is unknown.
func (a *attempt) rate(now time.Time) float64 {
	if a.firstChunkAt.IsZero() || now.Sub(a.firstChunkAt) <= 0 {
		return 0
	}
	return float64(a.newTokens) / now.Sub(a.firstChunkAt).Seconds()
}

// medianTokenRate returns the median rate of finished and running attempts, or 0 if fewer than minRateCount are
// known.
func (s *Step) medianTokenRate(now time.Time) float64 {
	rates := slices.Clone(s.tokenRates.values)
	for _, a := range s.attempts {
		if !a.firstChunkAt.IsZero() && now.Sub(a.firstChunkAt) >= minObservation {
			rates = append(rates, a.rate(now))
		}
	}
	if len(rates) < minRateCount {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// slidingWindow holds the latest slidingWindowSize values of a measurement.
type slidingWindow struct {
	values []float64
	next   int
}

// add records a value; values that are not positive are ignored.
func (w *slidingWindow) add(value float64) {
	if value <= 0 {
		return
	}
	if len(w.values) < slidingWindowSize {
		w.values = append(w.values, value)
		return
	}
	w.values[w.next] = value
	w.next = (w.next + 1) % slidingWindowSize
}

func (w *slidingWindow) median() float64 {
	if len(w.values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w.values))
	return sorted[len(sorted)/2]
}

package step

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
)

type attempt struct {
	id   AttemptID
	slot int
	kind Kind
	// text is the text of the whole sequence so far; rec.Text is only the part that an earlier attempt generated.
	text strings.Builder
	rec  Record
	// newTokens is the number of tokens that this attempt itself generated.
	newTokens int
	started   time.Time
	// firstChunkAt and lastChunkAt are zero before the first chunk.
	firstChunkAt, lastChunkAt time.Time
	target                    string
	version                   int
	mislabelled               bool
	generationDone            bool
	// countedTokens is the part of newTokens that Counts.TokensKept includes already, because another attempt
	// continues from them.
	countedTokens int
}

// Verdict tells a running generation whether to continue.
type Verdict int

// Verdicts on a chunk.
const (
	Continue Verdict = iota
	Stop
)

// Next returns the next generation to run.
func (s *Step) Next(now time.Time) (Task, bool) {
	i, ok := s.peekSlot(now)
	if !ok {
		return Task{}, false
	}
	s.popSlot(i)
	kind := First
	if s.slots[i].attemptCount > 0 {
		kind = Replacement
	}
	return s.startAttempt(i, kind, now), true
}

// HasWork reports whether Next has a task now.
func (s *Step) HasWork(now time.Time) bool {
	_, ok := s.peekSlot(now)
	return ok
}

func (s *Step) startAttempt(i int, kind Kind, now time.Time) Task {
	sl := &s.slots[i]
	s.lastAttemptID++
	a := &attempt{id: s.lastAttemptID, slot: i, kind: kind, started: now}
	task := Task{Attempt: a.id, Kind: kind, Slot: i, MinVersion: s.minVersion()}
	sl.attemptCount++
	if sl.partial != nil {
		a.rec = cloneRecord(sl.partial)
		a.text.WriteString(sl.partial.Text)
	} else {
		a.rec.Seed = s.sequenceSeed(i, sl.attemptCount)
	}
	a.rec.Slot = i
	task.Resume = cloneRecord(&a.rec)
	sl.attempts = append(sl.attempts, a.id)
	s.attempts[a.id] = a
	task.Prompt = s.spec.Groups[i/s.spec.SamplesPerGroup]
	task.Exclude = s.targetsToExclude(sl, now)
	return task
}

// sequenceSeed returns a seed that differs for each sequence of each slot.
func (s *Step) sequenceSeed(i, attemptNumber int) int64 {
	d := xxhash.NewWithSeed(uint64(i)<<20 | uint64(attemptNumber&0xfffff))
	_, _ = d.WriteString(s.spec.ID)
	return int64(d.Sum64() >> 1)
}

// minVersion returns the oldest weight version that a new generation may use.
func (s *Step) minVersion() int { return max(0, s.trainerVersion-s.spec.StalenessVersions) }

// AddChunk appends tokens to an attempt and tells whether the attempt should continue.
func (s *Step) AddChunk(id AttemptID, c engine.Chunk, now time.Time) Verdict {
	a, ok := s.attempts[id]
	if !ok || a.mislabelled {
		return Stop
	}
	if c.Tokens <= 0 && c.Text == "" {
		return Continue
	}
	if !a.checkVersion(c) {
		a.mislabelled = true
		return Stop
	}
	if a.firstChunkAt.IsZero() {
		a.firstChunkAt = now
		s.firstTokenWaits.add(now.Sub(a.started).Seconds())
	}
	a.lastChunkAt = now
	a.appendChunk(c, now)
	if s.isStale(&a.rec, now) {
		s.dropAttempt(a)
		s.dropStalePartial(&s.slots[a.slot], now)
		s.slots[a.slot].excludeTarget(a.target)
		s.counts.Replaced++
		s.scheduleRetry(a.slot, now, 0)
		return Stop
	}
	return Continue
}

// checkVersion records the target and version of a chunk and reports whether the version can be trusted. A stream
// ends when its target restarts, so the version never decreases within a stream from one target. Another target
// may have an older version.
func (a *attempt) checkVersion(c engine.Chunk) bool {
	if c.Version <= 0 || c.Target == a.target && c.Version < a.version {
		a.target = c.Target
		return false
	}
	a.target = c.Target
	a.version = c.Version
	return true
}

func (a *attempt) appendChunk(c engine.Chunk, now time.Time) {
	n := max(1, c.Tokens)
	if a.rec.FirstTokenAt.IsZero() {
		a.rec.FirstTokenAt = now
	}
	a.text.WriteString(c.Text)
	a.newTokens += n
	a.rec.Target = c.Target
	last := len(a.rec.Spans) - 1
	if last >= 0 && a.rec.Spans[last].Version == c.Version {
		a.rec.Spans[last].Tokens += n
		return
	}
	a.rec.Spans = append(a.rec.Spans, api.Span{Version: c.Version, Tokens: n})
}

// snapshot returns a copy of the record with the text so far.
func (a *attempt) snapshot() *Record {
	r := cloneRecord(&a.rec)
	r.Text = a.text.String()
	return &r
}

func cloneRecord(r *Record) Record {
	c := *r
	c.Spans = slices.Clone(r.Spans)
	return c
}

// Result is the outcome of an attempt that ended.
type Result struct {
	// Sample is the finished sample, or nil if the attempt produced none.
	Sample *Record
	// Cancel lists attempts of the same slot that are no longer needed.
	Cancel []AttemptID
	// Retry is the reason why the slot is generated again, or empty if it is not.
	Retry outcome.RetryReason
}

// Preview returns the record that Finish would accept, so that it can be scored before the attempt ends. From
// then on the attempt counts as generated and is never treated as a straggler, however long its scoring takes.
func (s *Step) Preview(id AttemptID) (*Record, bool) {
	a, ok := s.attempts[id]
	if !ok || a.mislabelled || len(a.rec.Spans) == 0 {
		return nil, false
	}
	a.generationDone = true
	return a.snapshot(), true
}

// Finish ends an attempt whose generation is complete.
func (s *Step) Finish(id AttemptID, score *float64, now time.Time) Result {
	a, ok := s.attempts[id]
	if !ok {
		return Result{}
	}
	if a.mislabelled || len(a.rec.Spans) == 0 {
		return s.rejectMislabelled(a, now)
	}
	s.removeAttempt(a)
	s.tokenRates.add(a.rate(now))
	rec := a.snapshot()
	rec.Complete = true
	rec.Score = score
	cancel := s.cancelAttempts(a.slot)
	s.setReady(a.slot, rec)
	s.counts.TokensKept += a.newTokens - a.countedTokens
	return Result{Sample: rec, Cancel: cancel}
}

// rejectMislabelled discards an attempt without trustworthy weight versions and schedules its slot again.
func (s *Step) rejectMislabelled(a *attempt, now time.Time) Result {
	s.counts.Unlabelled++
	s.counts.Replaced++
	s.dropAttempt(a)
	sl := &s.slots[a.slot]
	if a.target != "" {
		sl.excludeTarget(a.target)
	}
	s.scheduleRetry(a.slot, now, 0)
	return Result{Retry: outcome.RetryUnlabelled}
}

// Fail ends an attempt that was refused or whose connection broke. The next attempt continues from its tokens.
func (s *Step) Fail(id AttemptID, refusal *outcome.Refusal, now time.Time) Result {
	a, ok := s.attempts[id]
	if !ok {
		return Result{}
	}
	if a.mislabelled {
		return s.rejectMislabelled(a, now)
	}
	s.removeAttempt(a)
	s.keepPartial(a)
	switch {
	case isPermanent(refusal.Reason):
		s.slots[a.slot].permanentRefusal = refusal
	case refusal.Reason == outcome.NoTarget:
		// In a small service, every target may be excluded.
		s.slots[a.slot].excludedTargets = nil
		clear(s.slowTargets)
	}
	s.scheduleRetry(a.slot, now, refusal.RetryAfter)
	if refusal.Outcome == outcome.NotRun {
		return Result{Retry: outcome.RetryRefused}
	}
	return Result{Retry: outcome.RetryResponseLost}
}

// Suspend ends an attempt for a reason other than a failure of its target, for example a graceful shutdown. Its
// tokens are kept and the slot may run again at once.
func (s *Step) Suspend(id AttemptID) {
	a, ok := s.attempts[id]
	if !ok {
		return
	}
	s.removeAttempt(a)
	if !a.mislabelled {
		s.keepPartial(a)
	}
	s.enqueueRetry(a.slot)
}

// PreemptionCandidates returns up to n running attempts, those with the fewest tokens first because they cost the least
// to continue later. It does not end them.
func (s *Step) PreemptionCandidates(n int) []AttemptID {
	ids := slices.DeleteFunc(s.runningIDs(), func(id AttemptID) bool { return s.attempts[id].generationDone })
	slices.SortStableFunc(ids, func(x, y AttemptID) int {
		return s.attempts[x].rec.Tokens() - s.attempts[y].rec.Tokens()
	})
	return ids[:min(n, len(ids))]
}

// isPermanent reports whether a retry with the same input would be refused for the same reason.
func isPermanent(reason outcome.Reason) bool {
	switch reason {
	case outcome.Quarantined, outcome.RequestInvalid, outcome.RequestTooLarge, outcome.RouteForbidden,
		outcome.ServiceUnknown, outcome.KeyWithdrawn:
		return true
	}
	return false
}

// keepPartial saves the output of an attempt that ended as the partial sequence of its slot, if the slot still
// needs one and the output is longer than the saved one.
func (s *Step) keepPartial(a *attempt) {
	sl := &s.slots[a.slot]
	savedTokens := 0
	if sl.partial != nil {
		savedTokens = sl.partial.Tokens()
	}
	if sl.confirmed || sl.ready != nil || a.rec.Tokens() <= savedTokens {
		s.counts.TokensWasted += a.newTokens - a.countedTokens
		return
	}
	sl.partial = a.snapshot()
	sl.failures = 0
	s.counts.TokensKept += a.newTokens - a.countedTokens
}

// scheduleRetry queues slot i again after a backoff, or after retryAfter if that is longer than maxRetryDelay.
func (s *Step) scheduleRetry(i int, now time.Time, retryAfter time.Duration) {
	sl := &s.slots[i]
	sl.failures++
	delay := min(maxRetryDelay, minRetryDelay<<min(sl.failures-1, 10))
	if retryAfter > maxRetryDelay {
		delay = retryAfter
	}
	s.delayRetry(i, now.Add(delay))
}

// excludeTarget prevents later attempts of the slot from running on target. If more than maxExcludedTargets are
// excluded, the oldest exclusion is dropped.
func (sl *slot) excludeTarget(target string) {
	if slices.Contains(sl.excludedTargets, target) {
		return
	}
	sl.excludedTargets = append(sl.excludedTargets, target)
	if len(sl.excludedTargets) > maxExcludedTargets {
		sl.excludedTargets = sl.excludedTargets[1:]
	}
}

func (s *Step) removeAttempt(a *attempt) {
	delete(s.attempts, a.id)
	sl := &s.slots[a.slot]
	sl.attempts = slices.DeleteFunc(sl.attempts, func(id AttemptID) bool { return id == a.id })
}

// dropAttempt removes an attempt and counts its tokens as wasted.
func (s *Step) dropAttempt(a *attempt) {
	s.removeAttempt(a)
	s.counts.TokensWasted += a.newTokens - a.countedTokens
}

// cancelAttempts drops all attempts of slot i and returns them.
func (s *Step) cancelAttempts(i int) []AttemptID {
	cancel := slices.Clone(s.slots[i].attempts)
	for _, id := range cancel {
		s.dropAttempt(s.attempts[id])
	}
	return cancel
}

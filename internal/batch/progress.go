package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/placement"
	"github.com/egretspar/egretspar/internal/reward"
)

// Ending is the way in which one run of an item ended.
type Ending int

const (
	// Complete means that the engine sent the whole text.
	Complete Ending = iota
	// NotRun means that the engine refused the item.
	NotRun
	// Failed means that the engine reported that the run failed.
	Failed
	// Impossible means that the engine reported that the item can never succeed.
	Impossible
	// Unreachable means that no connection could be opened, so nothing was sent.
	Unreachable
	// Broken means that the response ended early or stalled.
	Broken
	// Stale means that the job does not allow the engine's weight version.
	Stale
	// Cancelled means that this instance cancelled the run because it no longer runs the job.
	Cancelled
	// Moved means that this instance cancelled the run so that the item continues at another engine.
	Moved
)

// itemState is the state of one item of an owned job.
type itemState struct {
	item   *Item
	text   Text
	engine string
	// avoidEngine is the engine of the last run if the next run should use another one.
	avoidEngine string
	running     bool
	// startedAt is when the current run started, startEvent the last event before it; cancel cancels the run.
	startedAt     time.Time
	startEvent    int
	cancel        context.CancelFunc
	moveRequested bool
	// moveTo is the destination of a requested move until the next run. leftEngines are those that the item left by moves
	// to faster ones.
	moveTo      string
	moveReason  outcome.RetryReason
	leftEngines []string
	// savedEvent is the ID of the last event in a stored segment.
	savedEvent int
	// savedBytes is the length of the output up to savedEvent.
	savedBytes int
	done       bool
	// textComplete is set when the text is the whole output of the item. savedComplete is set when a stored segment says
	// so.
	textComplete, savedComplete bool
	// textEndedAt is when this instance learned that the text is complete.
	textEndedAt time.Time
	// reward is the state of the item's reward call, rewardRunning is set while an attempt is running, and rewardTarget
	// is the target of the last attempt.
	reward        reward.Call
	rewardRunning bool
	rewardTarget  string
	// failures counts the runs that an engine reported as failed, breaks the broken ones since the last new event.
	failures int
	breaks   int
	// notBefore is the earliest time of the next run, waitsSince when the item became pending after its text
	// last grew.
	notBefore, waitsSince time.Time
	// hasStoredText is set when an earlier job or a former owner stored text of the item, even if this job cannot
	// use it.
	hasStoredText bool
}

// progress is the state of all items of an owned job. It does no I/O and is not safe for concurrent use.
type progress struct {
	job   *Job
	items map[string]*itemState
	// pending holds the items to run, in the order in which they start.
	pending []*itemState
	// awaitingReward holds items whose text is complete and whose score is not known yet.
	awaitingReward []*itemState
	// unlisted holds results that are not in the list yet.
	unlisted    []Result
	listedCount int
	openCount   int
	// meanExpectedEvents is the mean of the items' expected numbers of events.
	meanExpectedEvents float64
}

func newProgress(job *Job) *progress {
	p := &progress{job: job, items: make(map[string]*itemState, len(job.Items)), openCount: len(job.Items)}
	for i := range job.Items {
		item := &job.Items[i]
		s := &itemState{item: item}
		p.items[item.ID] = s
		p.pending = append(p.pending, s)
		p.meanExpectedEvents += float64(p.expectedEvents(s)) / float64(len(job.Items))
	}
	p.sortPending()
	return p
}

// sortPending sorts the pending items in the order in which they start. Items with stored text come first, because
// the caller needs them in any case. The others start in descending order of their expected length, because the
// longest item determines when its group is complete.
func (p *progress) sortPending() {
	slices.SortStableFunc(p.pending, func(a, b *itemState) int {
		if a.hasStoredText != b.hasStoredText {
			if a.hasStoredText {
				return -1
			}
			return 1
		}
		return cmp.Compare(p.remainingEvents(b), p.remainingEvents(a))
	})
}

// defaultExpectedEvents is the expected number of events of an item without an estimate.
const defaultExpectedEvents = 25

// expectedEvents returns the expected number of events of an item.
func (p *progress) expectedEvents(s *itemState) int {
	if s.item.Estimate <= 0 || p.job.EventTokens <= 0 {
		return defaultExpectedEvents
	}
	return max(1, s.item.Estimate/p.job.EventTokens)
}

// remainingEvents returns the expected number of events until the end of an item. It is at least half of the events
// so far, because estimates are often far off: an item that has exceeded its estimate is probably one of the few
// long ones.
func (p *progress) remainingEvents(s *itemState) int {
	return max(p.expectedEvents(s)-s.text.Last, s.text.Last/2, 1)
}

// relativeLength returns the expected remaining length of an item, relative to the mean expected length of the job's
// items.
func (p *progress) relativeLength(s *itemState) float64 {
	return float64(p.remainingEvents(s)) / p.meanExpectedEvents
}

// applyListed marks the items whose results are in the list as done. results continue the list from listedCount on.
func (p *progress) applyListed(results []Result) {
	for _, r := range results {
		s := p.items[r.ID]
		if s == nil || s.done {
			continue
		}
		s.done = true
		s.textComplete = !r.Failed
		if s.textComplete {
			s.text = Text{Output: []byte(r.Output), Last: max(1, s.text.Last), Versions: r.Versions}
		}
		p.openCount--
	}
	p.listedCount += len(results)
	p.unlisted = slices.DeleteFunc(p.unlisted, func(r Result) bool {
		return slices.ContainsFunc(results, func(l Result) bool { return l.ID == r.ID })
	})
	p.dropDonePending()
}

// dropDonePending removes the items from pending that need no run.
func (p *progress) dropDonePending() {
	p.pending = slices.DeleteFunc(p.pending, func(s *itemState) bool { return s.done || s.textComplete })
}

// applyTexts sets the texts of items to stored texts that the job can use.
func (p *progress) applyTexts(texts map[string]storedText, now time.Time) {
	for id, t := range texts {
		s := p.items[id]
		if s == nil || s.done {
			continue
		}
		s.hasStoredText = true
		if s.running || s.text.Last > 0 || !t.Text.isUsableFor(p.job) {
			continue
		}
		s.text, s.waitsSince = t.Text, now
		if t.Whole {
			p.completeText(s, now)
		}
	}
	p.dropDonePending()
	p.sortPending()
}

// startRun records the start of a run.
func (p *progress) startRun(s *itemState, engine string, now time.Time, cancel context.CancelFunc) {
	s.running, s.engine, s.startedAt, s.cancel, s.moveRequested, s.moveTo = true, engine, now, cancel, false, ""
	s.startEvent = s.text.Last
	p.pending = slices.DeleteFunc(p.pending, func(o *itemState) bool { return o == s })
}

const (
	// notRunBackoff is the delay before an item is placed again after its engine refused it or had a weight version
	// that the job does not allow.
	notRunBackoff = 50 * time.Millisecond
	// failureBackoff is the base of the delay after a failed run. The delay doubles with each failure, up to 16 times
	// the base.
	failureBackoff = 100 * time.Millisecond
)

const (
	// minBreakDelay is the delay after the first broken run of an item without text, or the second one in a row of an item
	// with text. It doubles up to maxBreakDelay, so that one item does not take every engine at once, and is at most a
	// breakDelayFraction of the time that the item has left.
	minBreakDelay      = 200 * time.Millisecond
	maxBreakDelay      = 3200 * time.Millisecond
	breakDelayFraction = 8
)

// breakDelay returns the delay after a broken run. An item is never presumed to crash engines: it is owed until it expires.
func (p *progress) breakDelay(s *itemState, now time.Time) time.Duration {
	steps := s.breaks - 1
	if s.text.Last > 0 {
		steps--
	}
	if steps < 0 {
		return 0
	}
	left := p.job.Submitted.Add(p.job.Life).Sub(now)
	return max(minBreakDelay, min(minBreakDelay<<min(steps, 10), maxBreakDelay, left/breakDelayFraction))
}

// endRun records the end of a run. It returns the reason for a retry, or "" if there is none to count.
func (p *progress) endRun(s *itemState, ending Ending, now time.Time) outcome.RetryReason {
	s.running = false
	s.avoidEngine = ""
	if s.done {
		return ""
	}
	switch ending {
	case Complete:
		p.completeText(s, now)
		return ""
	case Impossible:
		p.failItem(s)
		return ""
	case Failed:
		s.failures++
		if s.failures >= max(1, p.job.MaxAttempts) {
			p.failItem(s)
			return ""
		}
		s.avoidEngine = s.engine
		return p.requeue(s, now, now.Add(failureBackoff<<min(s.failures, 4)), outcome.RetryResponseLost)
	case NotRun:
		s.avoidEngine = s.engine
		return p.requeue(s, now, now.Add(notRunBackoff), outcome.RetryRefused)
	case Unreachable:
		s.avoidEngine = s.engine
		return p.requeue(s, now, now, outcome.RetryConnect)
	case Stale:
		return p.requeue(s, now, now.Add(notRunBackoff), outcome.RetryStale)
	case Moved:
		s.avoidEngine = s.engine
		return p.requeue(s, now, now, s.moveReason)
	case Broken:
		s.avoidEngine = s.engine
		if s.text.Last > s.startEvent {
			s.breaks = 0
		} else {
			s.breaks++
		}
		reason := outcome.RetryResponseLost
		switch {
		case s.breaks > 1:
			reason = outcome.RetryBrokenAgain
		case s.text.Last > 0:
			reason = outcome.RetryResume
		}
		return p.requeue(s, now, now.Add(p.breakDelay(s, now)), reason)
	}
	return p.requeue(s, now, now, "")
}

// dropText makes an item begin again. The next segment begins at the start, so that it is not joined to stored ones.
func (s *itemState) dropText() {
	s.text = Text{}
	s.savedEvent, s.savedBytes, s.savedComplete = 0, 0, false
}

// isStranded reports whether no engine can continue the text of a pending item, or not within the time that it takes to
// generate it again. isServed tells whether any engine has the text's software version, and generationTime is the time for
// the text.
func (s *itemState) isStranded(isServed bool, generationTime time.Duration, now time.Time) bool {
	return !isServed || now.Sub(s.waitsSince) >= generationTime
}

// requeue makes an item pending again and returns reason.
func (p *progress) requeue(s *itemState, now, notBefore time.Time, reason outcome.RetryReason) outcome.RetryReason {
	s.notBefore = notBefore
	if s.text.Last != s.startEvent || s.waitsSince.IsZero() {
		s.waitsSince = now
	}
	// Items that ran before are placed first, because their groups wait for them.
	p.pending = slices.Insert(p.pending, 0, s)
	return reason
}

func (p *progress) failItem(s *itemState) {
	p.addResult(s, Result{ID: s.item.ID, Failed: true})
}

// completeText records that an item's text is complete. An item with a reward request still needs its score.
func (p *progress) completeText(s *itemState, now time.Time) {
	s.textComplete, s.textEndedAt = true, now
	if s.item.Reward != nil {
		p.awaitingReward = append(p.awaitingReward, s)
		return
	}
	p.addResult(s, Result{ID: s.item.ID, Output: string(s.text.Output), Versions: s.text.Versions})
}

func (p *progress) addResult(s *itemState, r Result) {
	s.done = true
	p.openCount--
	p.unlisted = append(p.unlisted, r)
}

// failOpenItems records a failed result for every open item.
func (p *progress) failOpenItems() {
	for _, s := range p.items {
		if !s.done {
			p.failItem(s)
		}
	}
	p.pending, p.awaitingReward = nil, nil
}

// storedText is the text of an item as stored for later jobs and owners. Whole is set when the text is complete.
type storedText struct {
	Text  Text
	Whole bool
}

// textsOfOpenGroups returns the texts of all items, complete ones included, of groups with open items.
func (p *progress) textsOfOpenGroups() map[string]storedText {
	openGroups := map[string]bool{}
	for _, s := range p.items {
		if !s.done {
			openGroups[s.item.Group] = true
		}
	}
	texts := map[string]storedText{}
	for id, s := range p.items {
		if openGroups[s.item.Group] && (s.textComplete || s.text.Last > 0) {
			texts[id] = s.copyText()
		}
	}
	return texts
}

// copyText returns a copy of the text, which later events do not change.
func (s *itemState) copyText() storedText {
	t := s.text
	t.Output = slices.Clone(t.Output)
	t.Versions = slices.Clone(t.Versions)
	return storedText{Text: t, Whole: s.textComplete}
}

// runningItems returns the items that are running and not about to move.
func (p *progress) runningItems() []placement.Running {
	var all []placement.Running
	for id, s := range p.items {
		if s.running && !s.moveRequested {
			all = append(all, placement.Running{
				Key: id, Engine: s.engine, Group: s.item.Group, HasText: s.text.Last > 0, Software: s.text.Software, Remaining: p.remainingEvents(s), Since: s.startedAt,
				Left: s.leftEngines,
			})
		}
	}
	return all
}

// runningCount returns the number of items that are running.
func (p *progress) runningCount() int {
	n := 0
	for _, s := range p.items {
		if s.running {
			n++
		}
	}
	return n
}

// segment is the part of an item's text from the event after After up to Last. Versions are those of the text up to
// Last. Whole is set when the text ends with Last.
type segment struct {
	After    int
	Output   []byte
	Last     int
	Versions []int
	Software string
	Whole    bool
}

// takeUnsaved returns the segments that are not stored yet and marks them as stored.
func (p *progress) takeUnsaved() map[string]segment {
	segments := map[string]segment{}
	for id, s := range p.items {
		if s.done || s.text.Last == s.savedEvent && s.textComplete == s.savedComplete {
			continue
		}
		if s.savedEvent > s.text.Last {
			s.savedEvent, s.savedBytes = 0, 0
		}
		segments[id] = segment{
			After: s.savedEvent, Output: slices.Clone(s.text.Output[s.savedBytes:]), Last: s.text.Last, Versions: slices.Clone(s.text.Versions),
			Software: s.text.Software, Whole: s.textComplete,
		}
		s.savedEvent, s.savedBytes, s.savedComplete = s.text.Last, len(s.text.Output), s.textComplete
	}
	return segments
}

// markUnsaved marks the texts of segments as not stored after a write that failed. The segments may have been stored
// nevertheless, so the next segment of each item begins at the start.
func (p *progress) markUnsaved(segments map[string]segment) {
	for id := range segments {
		s := p.items[id]
		s.savedEvent, s.savedBytes, s.savedComplete = 0, 0, false
	}
}

// Package usage meters the usage of teams, writes it to the object store, closes usage windows and reports them to the
// platform's intake.
//
// Each instance writes statements: objects that hold the sum of everything it metered in one window so far. The
// statement with the highest sequence number replaces the earlier ones. Therefore a statement whose response was lost
// need not be sent again, and a statement that arrives late has no effect.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// maxOpenWindows limits the windows that an instance keeps in memory while the object store is unavailable. With
// windows of one hour it corresponds to 42 days.
const maxOpenWindows = 1024

// usageKey is the key by which usage is summed.
type usageKey struct{ team, service string }

// usageSums is the usage of one service by one team. targetTime is the time for which requests occupied a target.
type usageSums struct {
	requests, promptTokens, generatedTokens int64
	targetTime                              time.Duration
}

func (s *usageSums) add(o usageSums) {
	s.requests += o.requests
	s.promptTokens += o.promptTokens
	s.generatedTokens += o.generatedTokens
	s.targetTime += o.targetTime
}

func (s *usageSums) subtract(o usageSums) {
	s.add(usageSums{
		requests: -o.requests, promptTokens: -o.promptTokens, generatedTokens: -o.generatedTokens,
		targetTime: -o.targetTime,
	})
}

// statement is the content of one usage object. Start is the start time of the instance in Unix milliseconds.
type statement struct {
	Window   int64   `json:"window"`
	Instance string  `json:"instance"`
	Start    int64   `json:"start"`
	Sequence int64   `json:"sequence"`
	Totals   []total `json:"totals"`
}

// total is the usage of one service by one team in a statement. The time is rounded to milliseconds only here, so that
// differences between successive rounded sums add up exactly to the last rounded sum.
type total struct {
	Team      string `json:"team"`
	Service   string `json:"service"`
	Requests  int64  `json:"requests"`
	Prompt    int64  `json:"prompt"`
	Generated int64  `json:"generated"`
	TargetMs  int64  `json:"target_ms"`
}

// openWindow is the usage that one instance metered in one window.
type openWindow struct {
	start, end int64
	totals     map[usageKey]usageSums
	// changes counts the recorded additions; confirmedChanges is the number of them that a stored statement covers.
	changes, confirmedChanges int64
	sequence                  int64
}

// ledger holds the open windows, oldest first, and the usage of windows that were dropped before they were stored.
// Windows are identified by their start in Unix seconds and never overlap, even when the configured length changes.
type ledger struct {
	windows []*openWindow
	dropped usageSums
}

func (l *ledger) add(now time.Time, length time.Duration, key usageKey, s usageSums) {
	window := l.windowAt(now.Unix(), int64(length/time.Second))
	total := window.totals[key]
	total.add(s)
	window.totals[key] = total
	window.changes++
}

// windowAt returns the window that contains a time, and opens it if necessary. After the clock is set back, it keeps
// returning the newest window.
func (l *ledger) windowAt(now, length int64) *openWindow {
	start := now - now%length
	if n := len(l.windows); n > 0 {
		newest := l.windows[n-1]
		if now < newest.end {
			return newest
		}
		start = max(start, newest.end)
	}
	window := &openWindow{start: start, end: nextBoundary(start, length), totals: map[usageKey]usageSums{}}
	l.windows = append(l.windows, window)
	l.dropExcessWindow()
	return window
}

// dropExcessWindow drops the oldest window if there are more than maxOpenWindows.
func (l *ledger) dropExcessWindow() {
	if len(l.windows) <= maxOpenWindows {
		return
	}
	oldest := l.windows[0]
	if oldest.changes > oldest.confirmedChanges {
		for _, s := range oldest.totals {
			l.dropped.add(s)
		}
	}
	l.windows = l.windows[1:]
}

// nextBoundary returns the first multiple of length after start.
func nextBoundary(start, length int64) int64 { return start - start%length + length }

// unconfirmedStatements returns a statement for every window with changes that no stored statement covers.
func (l *ledger) unconfirmedStatements(instance string, startedUnixMs int64) []pendingStatement {
	var all []pendingStatement
	for _, w := range l.windows {
		if w.changes == w.confirmedChanges {
			continue
		}
		w.sequence++
		content := statement{
			Window: w.start, Instance: instance, Start: startedUnixMs, Sequence: w.sequence,
			Totals: sortedTotals(w.totals),
		}
		all = append(all, pendingStatement{window: w, changes: w.changes, content: content})
	}
	return all
}

// pendingStatement is a statement that is being written and the number of changes that it covers.
type pendingStatement struct {
	window  *openWindow
	changes int64
	content statement
}

func (l *ledger) confirm(p pendingStatement) {
	p.window.confirmedChanges = max(p.window.confirmedChanges, p.changes)
}

// dropStoredWindows drops the windows that have ended and are stored completely. It keeps the newest window, because
// that determines the start of the next one.
func (l *ledger) dropStoredWindows(now time.Time) {
	newest := len(l.windows) - 1
	kept := l.windows[:0]
	for i, w := range l.windows {
		if i == newest || w.changes > w.confirmedChanges || now.Unix() < w.end {
			kept = append(kept, w)
		}
	}
	l.windows = kept
}

func sortedTotals(totals map[usageKey]usageSums) []total {
	all := make([]total, 0, len(totals))
	for key, s := range totals {
		all = append(all, total{
			Team: key.team, Service: key.service, Requests: s.requests, Prompt: s.promptTokens, Generated: s.generatedTokens,
			TargetMs: s.targetTime.Milliseconds(),
		})
	}
	slices.SortFunc(all, func(a, b total) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
	})
	return all
}

// accumulator sums the statements of several instances.
type accumulator map[usageKey]usageSums

func (a accumulator) add(s statement) {
	for _, t := range s.Totals {
		a.apply(t, (*usageSums).add)
	}
}

func (a accumulator) subtract(s statement) {
	for _, t := range s.Totals {
		a.apply(t, (*usageSums).subtract)
	}
}

func (a accumulator) apply(t total, operation func(*usageSums, usageSums)) {
	key := usageKey{team: t.Team, service: t.Service}
	s := a[key]
	targetTime := time.Duration(t.TargetMs) * time.Millisecond
	operation(&s, usageSums{requests: t.Requests, promptTokens: t.Prompt, generatedTokens: t.Generated, targetTime: targetTime})
	a[key] = s
}

// teamUsages returns the sums that are not zero in the intake's format.
func (a accumulator) teamUsages() []api.TeamUsage {
	all := []api.TeamUsage{}
	for key, s := range a {
		if s == (usageSums{}) {
			continue
		}
		all = append(all, newTeamUsage(key, s))
	}
	slices.SortFunc(all, func(a, b api.TeamUsage) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(*a.Service, *b.Service))
	})
	return all
}

func newTeamUsage(key usageKey, s usageSums) api.TeamUsage {
	requests, promptTokens, generatedTokens := int(s.requests), int(s.promptTokens), int(s.generatedTokens)
	targetMs := int(s.targetTime.Milliseconds())
	return api.TeamUsage{
		Team: key.team, Service: &key.service, Requests: &requests, PromptTokens: &promptTokens,
		GeneratedTokens: &generatedTokens, TargetMs: &targetMs,
	}
}

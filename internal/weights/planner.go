// Package weights updates engines to new weight versions. Planner and Worker let an engine load a version while it
// keeps serving the old one, and then swap; only a fraction of a service's engines swaps at once. RollingPlanner and
// RollingWorker serve engines that load and switch in one step.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	// These limit how many engines load from the rate-limited weight store at once. The limit starts at
	// initialConcurrentFetches, grows by one with each successful load and halves when the store refuses a fetch.
	minConcurrentFetches     = 8
	initialConcurrentFetches = 256
	maxConcurrentFetches     = 1024
	// maxSwappingFraction is the fraction of a service's engines that may swap at once. An engine generates nothing
	// while it swaps.
	maxSwappingFraction = 0.25
	// failuresBeforeQuarantine is the number of consecutive failures after which an engine is quarantined.
	failuresBeforeQuarantine = 5
	// initialBackoff is the backoff after the first failure; it doubles with each further one. The backoffs between
	// five attempts add up to 3.75 s, which leaves time to reach the goal of 9 s for a release.
	initialBackoff = 250 * time.Millisecond
	// initialQuarantine is how long a quarantined engine gets no order; the time doubles with each failure that
	// follows, up to maxQuarantine.
	initialQuarantine = 30 * time.Second
	maxQuarantine     = 10 * time.Minute
)

// Phase is what an engine is doing.
type Phase int

// Phases of an engine.
const (
	Idle Phase = iota
	Loading
	Swapping
)

// Action is one order to one engine.
type Action struct {
	Target target.Target
	Order  engine.WeightOrder
}

// Result tells how an action ended.
type Result int

// Results of actions.
const (
	Succeeded Result = iota
	Failed
	// RateLimited means that the weight store refused the fetch because of its rate limit.
	RateLimited
)

// engineState is what the planner knows about one engine.
type engineState struct {
	target target.Target
	// hasReported is set by the first load report; before it the versions are unknown.
	hasReported bool
	phase       Phase
	// activeVersion is in use, loadedVersion is loaded and ready to swap in; 0 means none.
	activeVersion, loadedVersion int
	// startNumber changes when the engine restarts.
	startNumber int
	// failures counts consecutive failures.
	failures int
	// notBefore is the earliest time of the next action.
	notBefore time.Time
	// quarantines counts the quarantines since the last successful swap, restart or release.
	quarantines   int
	lastActionEnd time.Time
}

func (e *engineState) isQuarantined() bool { return e.quarantines > 0 }

// Planner decides which engine loads or swaps next. It is not safe for concurrent use.
type Planner struct {
	engines  map[string]*engineState
	releases map[string]api.Release
	// fetchLimit is the number of engines that may load at once.
	fetchLimit    int
	activeFetches int
	// activeSwaps counts the engines that are swapping, by service.
	activeSwaps        map[string]int
	fetchLimitHalvedAt time.Time
}

// NewPlanner returns a planner without engines.
func NewPlanner() *Planner {
	return &Planner{
		engines:     map[string]*engineState{},
		releases:    map[string]api.Release{},
		activeSwaps: map[string]int{},
		fetchLimit:  initialConcurrentFetches,
	}
}

// SetTargets replaces the set of engines. Running actions on removed engines must still be reported with Report.
func (p *Planner) SetTargets(targets []target.Target) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.ID] = true
		if e, ok := p.engines[t.ID]; ok {
			e.target = t
			continue
		}
		p.engines[t.ID] = &engineState{target: t}
	}
	for id, e := range p.engines {
		if !listed[id] && e.phase == Idle {
			delete(p.engines, id)
		}
	}
}

// SetRelease sets the latest version of a service and returns whether it is newer than the previous one. Other
// releases are ignored, because a lagging replica of the weight store must not roll engines back.
func (p *Planner) SetRelease(r api.Release) bool {
	if current, ok := p.releases[r.Service]; ok && current.Version >= r.Version {
		return false
	}
	p.releases[r.Service] = r
	for _, e := range p.engines {
		if e.target.Service == r.Service {
			e.failures, e.quarantines, e.notBefore = 0, 0, time.Time{}
		}
	}
	return true
}

// Observe records a load report that was requested at the given time. It returns true when the engine has
// restarted or reports an older version than before. A report that was requested before the end of the engine's
// last action may show the state before that action and is ignored.
func (p *Planner) Observe(id string, load engine.Load, requested time.Time) bool {
	e, ok := p.engines[id]
	if !ok || e.phase != Idle || requested.Before(e.lastActionEnd) {
		return false
	}
	startNumber := optional.Value(load.StartNumber)
	restarted := e.hasReported && (startNumber != e.startNumber || load.WeightVersion < e.activeVersion)
	if restarted {
		e.failures, e.quarantines, e.notBefore = 0, 0, time.Time{}
	}
	e.hasReported = true
	e.startNumber = startNumber
	e.activeVersion = load.WeightVersion
	e.loadedVersion = optional.Value(load.LoadedVersion)
	return restarted
}

// Plan returns the actions to start now. Each must be reported with Report.
func (p *Planner) Plan(now time.Time, term int) []Action {
	var actions []Action
	engineCounts := p.enginesPerService()
	for _, e := range p.dueEngines(now) {
		r := p.releases[e.target.Service]
		switch {
		case e.loadedVersion == r.Version && p.activeSwaps[e.target.Service] < maxConcurrentSwaps(engineCounts[e.target.Service]):
			e.phase = Swapping
			p.activeSwaps[e.target.Service]++
			actions = append(actions, newAction(e, r, engine.PhaseSwap, term))
		case e.loadedVersion != r.Version && p.activeFetches < p.fetchLimit:
			e.phase = Loading
			p.activeFetches++
			actions = append(actions, newAction(e, r, engine.PhaseLoad, term))
		}
	}
	return actions
}

// dueEngines returns the engines that need an action now. Those with the most failures come first: their backoffs make
// them the last to reach the release, and after failuresBeforeQuarantine failures they are quarantined.
func (p *Planner) dueEngines(now time.Time) []*engineState {
	var due []*engineState
	for _, e := range p.engines {
		r, released := p.releases[e.target.Service]
		if released && e.hasReported && e.phase == Idle && e.activeVersion < r.Version && !e.target.Draining && !e.notBefore.After(now) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *engineState) int {
		return cmp.Or(cmp.Compare(b.failures, a.failures), cmp.Compare(a.target.ID, b.target.ID))
	})
	return due
}

func newAction(e *engineState, r api.Release, phase engine.Phase, term int) Action {
	order := engine.WeightOrder{Phase: phase, Term: term, Version: r.Version}
	if phase == engine.PhaseLoad {
		object := r.Object
		order.Object = &object
	}
	return Action{Target: e.target, Order: order}
}

func (p *Planner) enginesPerService() map[string]int {
	counts := map[string]int{}
	for _, e := range p.engines {
		if !e.target.Draining {
			counts[e.target.Service]++
		}
	}
	return counts
}

// maxConcurrentSwaps returns how many engines of a service may swap at once. It is less than the number of engines for
// every service that has more than one, so that the service never stops.
func maxConcurrentSwaps(engines int) int { return max(1, int(maxSwappingFraction*float64(engines))) }

// Report records the result of an action. It returns true when a failure has quarantined the engine.
func (p *Planner) Report(a Action, result Result, now time.Time) bool {
	if a.Order.Phase == engine.PhaseLoad {
		p.activeFetches--
	} else {
		p.activeSwaps[a.Target.Service]--
	}
	p.adaptFetchLimit(a, result, now)
	e, ok := p.engines[a.Target.ID]
	if !ok {
		return false
	}
	e.phase = Idle
	e.lastActionEnd = now
	switch result {
	case Succeeded:
		e.recordSuccess(a.Order)
	case RateLimited:
		e.notBefore = now.Add(initialBackoff)
	case Failed:
		return e.recordFailure(now)
	}
	return false
}

func (e *engineState) recordSuccess(o engine.WeightOrder) {
	e.failures = 0
	if o.Phase == engine.PhaseLoad {
		e.loadedVersion = o.Version
		return
	}
	e.activeVersion = o.Version
	e.quarantines = 0
}

// recordFailure sets the backoff or quarantine of the engine and returns true if it is quarantined. It also clears
// loadedVersion, because after a failed swap it is unknown what the engine has loaded.
func (e *engineState) recordFailure(now time.Time) bool {
	e.loadedVersion = 0
	e.failures++
	if e.failures < failuresBeforeQuarantine && e.quarantines == 0 {
		e.notBefore = now.Add(initialBackoff << (e.failures - 1))
		return false
	}
	quarantine := min(maxQuarantine, initialQuarantine<<min(e.quarantines, 10))
	e.quarantines++
	e.notBefore = now.Add(quarantine)
	return true
}

// adaptFetchLimit raises the fetch limit after a successful load and halves it after a refusal of the weight store,
// at most once per second, because the refusals of one burst arrive together.
func (p *Planner) adaptFetchLimit(a Action, result Result, now time.Time) {
	switch {
	case result == Succeeded && a.Order.Phase == engine.PhaseLoad:
		p.fetchLimit = min(maxConcurrentFetches, p.fetchLimit+1)
	case result == RateLimited && now.Sub(p.fetchLimitHalvedAt) >= time.Second:
		p.fetchLimit = max(minConcurrentFetches, p.fetchLimit/2)
		p.fetchLimitHalvedAt = now
	}
}

// Progress counts the engines of a service by the state of their update.
type Progress struct {
	Engines, UpToDate, Quarantined, Unreported int
	// Outdated counts the engines whose version is too old for the staleness bound, so that trainers can't use them.
	Outdated int
}

// Progress returns the progress of a service whose steps accept weights that are up to stalenessBound versions older
// than the latest.
func (p *Planner) Progress(service string, stalenessBound int) Progress {
	var progress Progress
	release := p.releases[service]
	for _, e := range p.engines {
		if e.target.Service != service || e.target.Draining {
			continue
		}
		progress.Engines++
		switch {
		case !e.hasReported:
			progress.Unreported++
		case e.activeVersion >= release.Version:
			progress.UpToDate++
		case e.isQuarantined():
			progress.Quarantined++
		}
		if e.hasReported && e.activeVersion < release.Version-stalenessBound {
			progress.Outdated++
		}
	}
	return progress
}

// Version returns the version that an engine uses, and false if it has not reported one yet. An engine keeps serving
// its old version to requests whose staleness bound allows it.
func (p *Planner) Version(id string) (int, bool) {
	e, ok := p.engines[id]
	if !ok || !e.hasReported {
		return 0, false
	}
	return e.activeVersion, true
}

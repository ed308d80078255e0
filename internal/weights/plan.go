// Package weights brings new weight versions to engines: it loads them beside the running version and
// then swaps, a part of each service at a time.
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
	// minFetches, startFetches and maxFetches bound the concurrent loads from the weight store, which is
	// rate-limited. The limit grows by one with each success and halves when the store is busy.
	minFetches   = 8
	startFetches = 256
	maxFetches   = 1024
	// swapShare is the share of a service's engines that may swap at once. An engine generates nothing
	// while it swaps.
	swapShare = 0.25
	// maxTries is the number of failures in a row after which an engine is quarantined.
	maxTries = 5
	// retryBase is the first wait after a failure; it doubles. Five tries take 3.75 s of the goal of 9 s.
	retryBase = 250 * time.Millisecond
	// quarantineBase and quarantineLimit bound the pause of a quarantined engine before its next try.
	quarantineBase  = 30 * time.Second
	quarantineLimit = 10 * time.Minute
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
	// Busy means that the weight store refused the fetch because of its rate limit.
	Busy
)

type engineState struct {
	target target.Target
	known  bool
	phase  Phase
	// version is in use, loaded is ready to swap in.
	version, loaded int
	start           int
	failures        int
	notBefore       time.Time
	quarantines     int
	// changed is the end of the last action.
	changed time.Time
}

func (e *engineState) quarantined() bool { return e.quarantines > 0 }

// Planner decides which engine loads or swaps next. It is not safe for concurrent use.
type Planner struct {
	engines    map[string]*engineState
	releases   map[string]api.Release
	fetchLimit int
	fetching   int
	swapping   map[string]int
	halved     time.Time
}

// NewPlanner returns a planner without engines.
func NewPlanner() *Planner {
	return &Planner{
		engines:    map[string]*engineState{},
		releases:   map[string]api.Release{},
		swapping:   map[string]int{},
		fetchLimit: startFetches,
	}
}

// SetTargets replaces the set of engines. Actions of removed engines still have to be reported.
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

// SetRelease names the latest version of a service. An older one than known is ignored, because a
// lagging replica of the weight store must not take engines back.
func (p *Planner) SetRelease(r api.Release) bool {
	if known, ok := p.releases[r.Service]; ok && known.Version >= r.Version {
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

// Observe takes a load report that was requested at the given time. It returns true when the engine has
// restarted or gone back to an older version. A report requested before the end of the engine's last
// action may show the state before it and is ignored.
func (p *Planner) Observe(id string, load engine.Load, requested time.Time) bool {
	e, ok := p.engines[id]
	if !ok || e.phase != Idle || requested.Before(e.changed) {
		return false
	}
	start := optional.Value(load.StartNumber)
	restarted := e.known && (start != e.start || load.WeightVersion < e.version)
	if restarted {
		e.failures, e.quarantines, e.notBefore = 0, 0, time.Time{}
	}
	e.known = true
	e.start = start
	e.version = load.WeightVersion
	e.loaded = optional.Value(load.LoadedVersion)
	return restarted
}

// Plan returns the actions to start now. Each must be reported with Report.
func (p *Planner) Plan(now time.Time, term int) []Action {
	var actions []Action
	sizes := p.serviceSizes()
	for _, e := range p.waiting(now) {
		r := p.releases[e.target.Service]
		switch {
		case e.loaded == r.Version && p.swapping[e.target.Service] < swapLimit(sizes[e.target.Service]):
			e.phase = Swapping
			p.swapping[e.target.Service]++
			actions = append(actions, action(e, r, engine.PhaseSwap, term))
		case e.loaded != r.Version && p.fetching < p.fetchLimit:
			e.phase = Loading
			p.fetching++
			actions = append(actions, action(e, r, engine.PhaseLoad, term))
		}
	}
	return actions
}

// waiting returns the engines that need work now, those with the most failures first: an engine that failed needs the
// longest time, and after maxTries it waits in quarantine.
func (p *Planner) waiting(now time.Time) []*engineState {
	var found []*engineState
	for _, e := range p.engines {
		r, released := p.releases[e.target.Service]
		if released && e.known && e.phase == Idle && e.version < r.Version && !e.target.Leaving && !e.notBefore.After(now) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *engineState) int {
		return cmp.Or(cmp.Compare(b.failures, a.failures), cmp.Compare(a.target.ID, b.target.ID))
	})
	return found
}

func action(e *engineState, r api.Release, phase engine.Phase, term int) Action {
	order := engine.WeightOrder{Phase: phase, Term: term, Version: r.Version}
	if phase == engine.PhaseLoad {
		object := r.Object
		order.Object = &object
	}
	return Action{Target: e.target, Order: order}
}

func (p *Planner) serviceSizes() map[string]int {
	sizes := map[string]int{}
	for _, e := range p.engines {
		if !e.target.Leaving {
			sizes[e.target.Service]++
		}
	}
	return sizes
}

// swapLimit is below the number of engines for every service that has more than one.
func swapLimit(engines int) int { return max(1, int(swapShare*float64(engines))) }

// Report ends an action. It returns true when the engine is now quarantined.
func (p *Planner) Report(a Action, result Result, now time.Time) bool {
	if a.Order.Phase == engine.PhaseLoad {
		p.fetching--
	} else {
		p.swapping[a.Target.Service]--
	}
	p.adapt(a, result, now)
	e, ok := p.engines[a.Target.ID]
	if !ok {
		return false
	}
	e.phase = Idle
	e.changed = now
	switch result {
	case Succeeded:
		e.succeed(a.Order)
	case Busy:
		e.notBefore = now.Add(retryBase)
	case Failed:
		return e.fail(now)
	}
	return false
}

func (e *engineState) succeed(o engine.WeightOrder) {
	e.failures = 0
	if o.Phase == engine.PhaseLoad {
		e.loaded = o.Version
		return
	}
	e.version = o.Version
	e.quarantines = 0
}

// fail also forgets what the engine has loaded, since a failed swap leaves that unknown.
func (e *engineState) fail(now time.Time) bool {
	e.loaded = 0
	e.failures++
	if e.failures < maxTries && e.quarantines == 0 {
		e.notBefore = now.Add(retryBase << (e.failures - 1))
		return false
	}
	wait := min(quarantineLimit, quarantineBase<<min(e.quarantines, 10))
	e.quarantines++
	e.notBefore = now.Add(wait)
	return true
}

// adapt changes the fetch limit. It is halved once per second at most, because the refusals of one burst
// arrive together.
func (p *Planner) adapt(a Action, result Result, now time.Time) {
	switch {
	case result == Succeeded && a.Order.Phase == engine.PhaseLoad:
		p.fetchLimit = min(maxFetches, p.fetchLimit+1)
	case result == Busy && now.Sub(p.halved) >= time.Second:
		p.fetchLimit = max(minFetches, p.fetchLimit/2)
		p.halved = now
	}
}

// Progress counts the engines of a service by their version.
type Progress struct {
	Engines, Current, Quarantined, Unknown int
	// Outdated engines have a version below the staleness bound and are of no use to trainers.
	Outdated int
}

// Progress returns the state of a service whose steps accept versions up to bound behind the latest.
func (p *Planner) Progress(service string, bound int) Progress {
	var g Progress
	release := p.releases[service]
	for _, e := range p.engines {
		if e.target.Service != service || e.target.Leaving {
			continue
		}
		g.Engines++
		switch {
		case !e.known:
			g.Unknown++
		case e.version >= release.Version:
			g.Current++
		case e.quarantined():
			g.Quarantined++
		}
		if e.known && e.version < release.Version-bound {
			g.Outdated++
		}
	}
	return g
}

// Version returns the version that an engine uses, as far as known. An engine keeps serving its old
// version while it is inside the staleness bound of the requests.
func (p *Planner) Version(id string) (int, bool) {
	e, ok := p.engines[id]
	if !ok || !e.known {
		return 0, false
	}
	return e.version, true
}

package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

const (
	// minConcurrentLoads is the first and the lowest limit of concurrent loads. Engines share the bandwidth for
	// fetching weights: beyond a number that depends on the deployment, more concurrent loads finish no earlier and
	// keep more engines from starting requests. Each fast load raises the limit by loadLimitIncrease, and until the
	// first slow load by initialLoadLimitIncrease, which doubles the limit in the time of one load. A slow load
	// multiplies it by loadLimitDecreaseFactor, and the result becomes the ceiling of the limit. Every load raises the
	// ceiling by ceilingIncrease, because the bandwidth may grow.
	minConcurrentLoads       = 2
	initialLoadLimitIncrease = 1
	loadLimitIncrease        = 0.5
	loadLimitDecreaseFactor  = 0.8
	ceilingIncrease          = 0.02
	// Both are ratios of a load's duration to the shortest load so far: a load above slowLoadRatio reduces the limit
	// of concurrent loads, and one below fastLoadRatio raises it.
	slowLoadRatio = 1.35
	fastLoadRatio = 1.2
	// newReleaseDelay is how long engines that are only one version behind get no order after a release. Jobs are
	// submitted right after a release, and an engine that is loading starts none of their items.
	newReleaseDelay = 600 * time.Millisecond
	// loadTimeout is how long a load may take before the order is sent again.
	loadTimeout = 2500 * time.Millisecond
	// orderRetryDelay is the pause after an order that was not accepted, before it is sent again.
	orderRetryDelay = 300 * time.Millisecond
)

// RollingOrder tells an engine to load a weight version of a model and to switch to it.
type RollingOrder struct {
	Target  live.Target
	Model   string
	Version int
}

// rollingEngineState is what the planner knows about one engine.
type rollingEngineState struct {
	// startNumber changes when the engine restarts.
	startNumber int64
	// loadingVersion is the version that the engine is loading; 0 means none.
	loadingVersion int
	loadingModel   string
	orderedAt      time.Time
	// notBefore is the earliest time of the next order.
	notBefore time.Time
}

// RollingPlanner plans orders for engines that load and switch in one step. Each engine gets the newest version of the
// model that it is assigned to. A RollingPlanner does no I/O and is not safe for concurrent use.
type RollingPlanner struct {
	engines map[string]*rollingEngineState
	// loadLimit is the number of engines that may load at once. It does not exceed loadLimitCeiling, which is 0
	// (no ceiling) until the first slow load.
	loadLimit, loadLimitCeiling float64
	// limitReducedAt is when a slow load last reduced loadLimit.
	limitReducedAt time.Time
	// shortestLoad is the duration of the fastest load so far; 0 means that none has finished.
	shortestLoad time.Duration
	releases     map[string]release
}

// release is the newest version of a model.
type release struct {
	version    int
	releasedAt time.Time
	// interval is the moving average of the time between two releases; 0 before the second one.
	interval time.Duration
}

// NewRollingPlanner returns a planner without engines.
func NewRollingPlanner() *RollingPlanner {
	return &RollingPlanner{engines: map[string]*rollingEngineState{}, releases: map[string]release{}, loadLimit: minConcurrentLoads}
}

// Plan returns the orders to send now. Each must be reported with RecordSent.
func (r *RollingPlanner) Plan(now time.Time, engines []live.Target, models []string, releases map[string]int) []RollingOrder {
	assigned := Assign(engines, models)
	loading := r.updateEngines(now, engines)
	r.recordReleases(now, releases)
	limit := int(r.loadLimit)
	var orders []RollingOrder
	for _, t := range r.dueEngines(now, engines, assigned, releases) {
		if loading >= limit {
			break
		}
		model := assigned[t.ID]
		s := r.engines[t.ID]
		s.loadingVersion, s.loadingModel, s.orderedAt = releases[model], model, now
		loading++
		orders = append(orders, RollingOrder{Target: t, Model: model, Version: releases[model]})
	}
	return orders
}

// recordReleases updates the time at which each model's newest version was released, and the interval between releases.
func (r *RollingPlanner) recordReleases(now time.Time, releases map[string]int) {
	for model, version := range releases {
		previous, ok := r.releases[model]
		if ok && previous.version >= version {
			continue
		}
		next := release{version: version, releasedAt: now, interval: previous.interval}
		if ok {
			gap := now.Sub(previous.releasedAt) / time.Duration(version-previous.version)
			if next.interval == 0 {
				next.interval = gap
			}
			next.interval = (3*next.interval + gap) / 4
		}
		r.releases[model] = next
	}
}

// RecordLoadTime adapts the limit of concurrent loads to a load that took loadTime from its order and ends now. A load
// that began before the limit was last reduced does not show how fast loads are under the reduced limit, so it updates
// only the shortest load time and the ceiling.
func (r *RollingPlanner) RecordLoadTime(loadTime time.Duration, now time.Time) {
	if r.shortestLoad == 0 || loadTime < r.shortestLoad {
		r.shortestLoad = loadTime
	}
	ratio := float64(loadTime) / float64(r.shortestLoad)
	switch {
	case now.Add(-loadTime).Before(r.limitReducedAt):
	case ratio > slowLoadRatio:
		r.loadLimitCeiling = max(minConcurrentLoads, r.loadLimit*loadLimitDecreaseFactor)
		r.loadLimit = r.loadLimitCeiling
		r.limitReducedAt = now
	case ratio < fastLoadRatio && r.loadLimitCeiling == 0:
		r.loadLimit += initialLoadLimitIncrease
	case ratio < fastLoadRatio:
		r.loadLimit += loadLimitIncrease
	}
	if r.loadLimitCeiling > 0 {
		r.loadLimitCeiling += ceilingIncrease
		r.loadLimit = min(r.loadLimit, r.loadLimitCeiling)
	}
}

// LoadLimit is what a planner has learned about the bandwidth for loads. A new lease holder continues with it.
type LoadLimit struct {
	// Limit is the number of engines that may load at once, and Ceiling its upper bound; a Ceiling of 0 means none.
	Limit   float64 `json:"limit"`
	Ceiling float64 `json:"ceiling,omitempty"`
	// ShortestLoadMs is the duration of the fastest load in milliseconds.
	ShortestLoadMs int64 `json:"shortest_load_ms"`
}

// Limit returns what the planner has learned, or the zero value before the first load.
func (r *RollingPlanner) Limit() LoadLimit {
	if r.shortestLoad == 0 {
		return LoadLimit{}
	}
	return LoadLimit{Limit: r.loadLimit, Ceiling: r.loadLimitCeiling, ShortestLoadMs: r.shortestLoad.Milliseconds()}
}

// Restore continues with what an earlier lease holder has learned, unless this planner has learned something itself.
func (r *RollingPlanner) Restore(learned LoadLimit) {
	if r.shortestLoad > 0 || learned.ShortestLoadMs <= 0 {
		return
	}
	r.loadLimit = max(minConcurrentLoads, learned.Limit)
	r.loadLimitCeiling = max(0, learned.Ceiling)
	r.shortestLoad = time.Duration(learned.ShortestLoadMs) * time.Millisecond
}

// SustainableEngines returns the number of engines whose weights can be kept up to date: as many as can load in the
// time in which two versions of their model are released. It is 0 while the load time or the time between releases is
// unknown. The load limit sometimes exceeds what the bandwidth allows; loadLimitDecreaseFactor compensates for that.
func (r *RollingPlanner) SustainableEngines() int {
	if r.shortestLoad == 0 {
		return 0
	}
	var interval time.Duration
	models := 0
	for _, release := range r.releases {
		if release.interval > 0 {
			interval += release.interval
			models++
		}
	}
	if models == 0 {
		return 0
	}
	return int(2 * loadLimitDecreaseFactor * r.loadLimit * float64(interval) / float64(models) / float64(r.shortestLoad))
}

// updateEngines matches the planner's state to the listed engines and the versions that they report, and returns how
// many engines are loading.
func (r *RollingPlanner) updateEngines(now time.Time, engines []live.Target) int {
	listed := map[string]bool{}
	loading := 0
	for _, t := range engines {
		listed[t.ID] = true
		s := r.engines[t.ID]
		if s == nil || s.startNumber != t.StartNumber {
			s = &rollingEngineState{startNumber: t.StartNumber}
			r.engines[t.ID] = s
		}
		if s.loadingVersion > 0 && (t.Versions[s.loadingModel] >= s.loadingVersion || now.Sub(s.orderedAt) > loadTimeout) {
			s.loadingVersion = 0
		}
		if s.loadingVersion > 0 {
			loading++
		}
	}
	for id := range r.engines {
		if !listed[id] {
			delete(r.engines, id)
		}
	}
	return loading
}

// dueEngines returns the engines that need an order now, those that are the most versions behind first.
func (r *RollingPlanner) dueEngines(now time.Time, engines []live.Target, assigned map[string]string, releases map[string]int) []live.Target {
	var due []live.Target
	for _, t := range engines {
		s := r.engines[t.ID]
		versionsBehind := releases[assigned[t.ID]] - t.Versions[assigned[t.ID]]
		if s.loadingVersion > 0 || versionsBehind <= 0 || now.Before(s.notBefore) {
			continue
		}
		if versionsBehind == 1 && now.Sub(r.releases[assigned[t.ID]].releasedAt) < newReleaseDelay {
			continue
		}
		due = append(due, t)
	}
	versionsBehind := func(t live.Target) int { return releases[assigned[t.ID]] - t.Versions[assigned[t.ID]] }
	slices.SortFunc(due, func(a, b live.Target) int {
		return cmp.Or(cmp.Compare(versionsBehind(b), versionsBehind(a)), cmp.Compare(a.ID, b.ID))
	})
	return due
}

// RecordSent records whether an engine accepted an order. The caller reports an order without a response as accepted,
// because the engine may be loading.
func (r *RollingPlanner) RecordSent(o RollingOrder, accepted bool, now time.Time) {
	s := r.engines[o.Target.ID]
	if s == nil || accepted {
		return
	}
	s.loadingVersion = 0
	s.notBefore = now.Add(orderRetryDelay)
}

// RecordLoadedVersion records that an engine has loaded a version. The engine's entry in the list of engines may show
// it later.
func (r *RollingPlanner) RecordLoadedVersion(id string, version int) {
	if s := r.engines[id]; s != nil && s.loadingVersion > 0 && version >= s.loadingVersion {
		s.loadingVersion = 0
	}
}

// Package placement decides on which engine an item of a batch job runs. It does no I/O and has no clock.
//
// It is designed for this load: jobs of a hundred items arrive at once, the items of a group share a prompt, a few
// items are ten times as long as the others, and the caller waits for nearly all groups. A step therefore lasts as
// long as its longest items, so these start first and on engines with few other requests.
package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refusalBackoff is how long an engine gets no items after it refused one.
	refusalBackoff = 150 * time.Millisecond
	// minFailureBackoff is how long an engine gets no items after its connection broke. It doubles with each further
	// failure up to maxFailureBackoff.
	minFailureBackoff = 300 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// sharedPromptBonus is subtracted from the cost of an engine that runs another item with the same prompt. The unit
	// of costs is relative load: running items per slot.
	sharedPromptBonus = 0.15
	// speedWeight is the weight of an engine's slowness in its cost for an item of average length. For longer items the
	// weight is multiplied by their relative length, up to maxLengthFactor.
	speedWeight     = 1.0
	maxLengthFactor = 5.0
	// defaultEventInterval is assumed while no engine was measured.
	defaultEventInterval = 50 * time.Millisecond
	// fullEnginePenalty is added to the cost of an engine whose slots are all taken by items of this and other
	// instances.
	fullEnginePenalty = 1.0
	// unassignedPenalty keeps items off engines that are assigned to another model while other engines have free slots.
	unassignedPenalty = 1.0
)

// Engine describes an engine with respect to one model.
type Engine struct {
	ID    string
	Slots int
	// Version is the weight version of the model; 0 means unknown.
	Version int
	// Assigned engines get new weights of the model.
	Assigned bool
	// Software is the version of the engine's software.
	Software string
	// Limited engines name a limit of requests, so Limits decides when they get one.
	Limited bool
	// StartNumber identifies the engine's current run. It changes when the engine restarts.
	StartNumber int64
	// MaxStarts is the number of runs that this instance may start on the engine in a second, if StartsLimited is set.
	StartsLimited bool
	MaxStarts     int
}

// Request describes an item to place.
type Request struct {
	// Group names the items that share a prompt.
	Group string
	// MinVersion is the oldest weight version that may run the item.
	MinVersion int
	// Length is the expected length relative to the average of the job's items; 0 counts as 1.
	Length float64
	// Continues is set for an item that has text. Only engines with the version Software may continue it.
	Continues bool
	Software  string
	// Avoid is the engine on which the item failed last. Its cost is raised, so that other engines are preferred.
	Avoid string
	// Prefer is the engine for which a move of the item was decided. It is chosen while it has a free slot.
	Prefer string
}

// Result tells how an item's run ended.
type Result int

const (
	// OK means that the engine worked as it should, whatever the outcome for the item.
	OK Result = iota
	// Refused means that the engine refused the item.
	Refused
	// Broken means that the engine could not be reached or that its response ended early.
	Broken
)

type engine struct {
	Engine
	// listed is false once SetEngines no longer names the engine: it finishes its items and gets no new ones.
	listed         bool
	running        int
	runningByGroup map[string]int
	// announced is the number of running items in the last report of this instance, knownToPeers that in the one before.
	announced, knownToPeers int
	backoffUntil            time.Time
	failures                int
	// eventInterval is the moving average of the time between two events of one item; 0 means unknown.
	eventInterval time.Duration
	measuredAt    time.Time
	speed         speed
	means         loadMeans
}

// Pool is the set of engines that run one model's items. It is not safe for concurrent use.
type Pool struct {
	engines    map[string]*engine
	engineList []*engine
	// limits is asked about engines that are limited; anyLimited is set if some engine is.
	limits     Limits
	anyLimited bool
	// starts counts the runs that the pools of this instance started lately.
	starts StartCounter
	// peers holds the last reports of the other instances.
	peers peers
	// loadEffect is the effect of the load on event intervals.
	loadEffect loadEffect
}

// Limits tells which engines must not get an item now because of the limits that they name.
type Limits interface {
	MayUse(engine string, now time.Time) bool
}

// StartCounter tells how many runs may still start on an engine now, given the number that may start in a second.
type StartCounter interface {
	Left(engine string, perSecond int, now time.Time) int
}

// NewPool returns a pool without engines. limits is not used without limited engines.
func NewPool(limits Limits) *Pool {
	return &Pool{engines: map[string]*engine{}, limits: limits, peers: newPeers(), loadEffect: newLoadEffect()}
}

// SetStartCounter sets the counter of the starts of all pools. It is needed only if the starts on some engine are limited.
func (p *Pool) SetStartCounter(c StartCounter) { p.starts = c }

// SetEngines replaces the list of engines. Engines that are no longer listed get no new items.
func (p *Pool) SetEngines(listed []Engine) {
	for _, e := range p.engines {
		e.listed = false
	}
	hasNew := false
	for _, l := range listed {
		e := p.engines[l.ID]
		if e == nil {
			e = &engine{runningByGroup: map[string]int{}}
			p.engines[l.ID], p.engineList, hasNew = e, append(p.engineList, e), true
		}
		if e.StartNumber != l.StartNumber {
			e.failures, e.backoffUntil, e.eventInterval = 0, time.Time{}, 0
			e.speed, e.means = speed{}, loadMeans{}
		}
		// An engine whose entry expired may be listed again with an older description of the same run.
		if e.StartNumber == l.StartNumber && e.Version > l.Version {
			l.Version = e.Version
		}
		e.Engine, e.listed = l, true
	}
	p.dropEngines()
	if hasNew {
		slices.SortFunc(p.engineList, func(a, b *engine) int { return strings.Compare(a.ID, b.ID) })
	}
}

// dropEngines removes the engines that are not listed and run no item.
func (p *Pool) dropEngines() {
	p.anyLimited = false
	p.engineList = slices.DeleteFunc(p.engineList, func(e *engine) bool {
		if !e.listed && e.running == 0 {
			delete(p.engines, e.ID)
			return true
		}
		p.anyLimited = p.anyLimited || e.listed && e.Limited
		return false
	})
}

// Limited returns the limited engines that items of at least minVersion are meant for.
func (p *Pool) Limited(minVersion int) []string {
	var ids []string
	for _, e := range p.engineList {
		if e.listed && e.Limited && e.Assigned && e.Version >= minVersion {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Serves reports whether an engine with a software version may run items of at least minVersion, now or later.
func (p *Pool) Serves(software string, minVersion int) bool {
	return slices.ContainsFunc(p.engineList, func(e *engine) bool {
		return e.listed && e.Software == software && e.Version >= minVersion
	})
}

// GenerationTime returns how long the fastest engine probably takes to generate events.
func (p *Pool) GenerationTime(events int) time.Duration {
	interval := p.shortestInterval()
	if interval == 0 {
		interval = defaultEventInterval
	}
	return time.Duration(events) * interval
}

// canAccept reports whether an engine can get an item now.
func (p *Pool) canAccept(e *engine, minVersion int, now time.Time) bool {
	return p.isUsable(e, minVersion, now) && p.startsLeft(e, now) > 0
}

// isUsable reports whether an engine can get an item now but for the limit of starts.
func (p *Pool) isUsable(e *engine, minVersion int, now time.Time) bool {
	return e.listed && e.Version >= minVersion && e.running < e.Slots && !now.Before(e.backoffUntil) &&
		(!e.Limited || p.limits.MayUse(e.ID, now))
}

// HoldsStarts reports whether an engine has room for items of at least minVersion, but may get none now because of the limit
// of starts.
func (p *Pool) HoldsStarts(minVersion int, now time.Time) bool {
	return slices.ContainsFunc(p.engineList, func(e *engine) bool {
		return e.StartsLimited && p.isUsable(e, minVersion, now) && p.startsLeft(e, now) <= 0
	})
}

// startsLeft returns how many runs may start on an engine now because of the starts before.
func (p *Pool) startsLeft(e *engine, now time.Time) int {
	if !e.StartsLimited {
		return e.Slots
	}
	return p.starts.Left(e.ID, e.MaxStarts, now)
}

// Place returns the engine with the lowest cost for an item, or false if no engine can accept it.
func (p *Pool) Place(r Request, now time.Time) (string, bool) {
	var best *engine
	var bestCost float64
	shortest := p.shortestInterval()
	peerRunning := p.peerRunning(now)
	for _, e := range p.engineList {
		if r.Continues && e.Software != r.Software || !p.canAccept(e, r.MinVersion, now) || !p.hasRoom(e, peerRunning) {
			continue
		}
		if e.ID == r.Prefer && e.running+peerRunning[e.ID] < e.Slots {
			return e.ID, true
		}
		cost := e.cost(r, peerRunning[e.ID]) + e.slowness(shortest)*speedWeight*min(maxLengthFactor, relativeLength(r))
		if best == nil || cost < bestCost || cost == bestCost && tieBreaker(e, r) < tieBreaker(best, r) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

func relativeLength(r Request) float64 {
	if r.Length <= 0 {
		return 1
	}
	return r.Length
}

// tieBreaker orders engines of equal cost. The order differs between groups and is stable for one group.
func tieBreaker(e *engine, r Request) uint64 { return xxhash.Sum64String(r.Group + e.ID) }

// cost returns the relative load of the engine with the item, plus penalties and bonuses. A full engine queues further
// items, so it is still usable but costs more, because the item would start earlier on another engine.
func (e *engine) cost(r Request, peerRunning int) float64 {
	cost := float64(e.running+peerRunning+1) / float64(max(1, e.Slots))
	if e.running+peerRunning >= e.Slots {
		cost += fullEnginePenalty
	}
	if e.runningByGroup[r.Group] > 0 {
		cost -= sharedPromptBonus
	}
	if !e.Assigned {
		cost += unassignedPenalty
	}
	if e.ID == r.Avoid {
		cost += 2 * unassignedPenalty
	}
	return cost
}

// Begin records that an item was sent to an engine.
func (p *Pool) Begin(id, group string) {
	if e := p.engines[id]; e != nil {
		e.running++
		e.runningByGroup[group]++
	}
}

// End records that an item no longer runs on an engine.
func (p *Pool) End(id, group string, result Result, now time.Time) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.running--
	if e.runningByGroup[group]--; e.runningByGroup[group] <= 0 {
		delete(e.runningByGroup, group)
	}
	switch result {
	case OK:
		e.failures = 0
	case Refused:
		e.backOff(now, refusalBackoff)
	case Broken:
		e.backOff(now, min(maxFailureBackoff, minFailureBackoff<<min(e.failures, 4)))
		e.failures++
	}
}

func (e *engine) backOff(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
}

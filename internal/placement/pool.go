// Package placement decides on which engine an item of a batch job runs. It does no I/O and has no clock.
//
// The load pattern it answers: jobs of a hundred items arrive at once, the items of a group share a prompt, a
// few items are ten times as long as the others, and the caller waits for nearly all groups. A step therefore
// lasts as long as its longest items, so these start first and on engines with few other requests.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refusedPause is how long an engine that turned an item away gets no other.
	refusedPause = 150 * time.Millisecond
	// brokenPause is the first pause of an engine whose connection broke; it doubles up to maxPause.
	brokenPause = 300 * time.Millisecond
	maxPause    = 2 * time.Second
	// groupBonus is the worth of a shared prompt in units of relative load.
	groupBonus = 0.15
	// speedWeight is the worth of an engine's speed for an item of average length, in units of relative load.
	// Longer items count more, up to longest times the average.
	speedWeight = 1.0
	longest     = 5.0
	// rateGain is the weight of a new measurement of an engine's speed.
	rateGain = 0.4
	// rateLife is the age at which a measurement counts nothing, because slowdowns pass.
	rateLife = 10 * time.Second
	// queueCost is the cost of an engine whose slots are all taken, with those of other instances.
	queueCost = 1.0
	// foreignLife is how long a report of another instance counts; it reports every 300 ms.
	foreignLife = time.Second
	// foreignPenalty keeps items from engines that are assigned to another model while there is room elsewhere.
	foreignPenalty = 1.0
)

// Engine is what placement knows of an engine for one model.
type Engine struct {
	ID    string
	Slots int
	// Version is the weight version of the model; 0 means unknown.
	Version int
	// Assigned engines get new weights of the model.
	Assigned bool
	// Born tells runs of one engine apart.
	Born int64
}

// Request describes an item to place.
type Request struct {
	// Group names the items that share a prompt.
	Group string
	// MinVersion is the oldest weight version that may run the item.
	MinVersion int
	// Length is the expected length relative to the average of the job's items; 0 counts as 1.
	Length float64
	// Avoid is an engine on which the item failed last; it is used if there is no other.
	Avoid string
}

// Result tells how an item's run ended.
type Result int

const (
	// OK means that the engine did its work, whatever the outcome for the item.
	OK Result = iota
	// Refused means that the engine turned the item away.
	Refused
	// Broken means that the engine could not be reached or its answer broke off.
	Broken
)

type engine struct {
	Engine
	listed    bool
	running   int
	groups    map[string]int
	notBefore time.Time
	failures  int
	// pace is the time between two events of one item on this engine; 0 means unknown.
	pace   time.Duration
	paceAt time.Time
}

// Pool is the set of engines that run one model's items. It is not safe for concurrent use.
type Pool struct {
	engines map[string]*engine
	order   []*engine
	// foreign is what other instances run, by instance.
	foreign map[string]foreignLoad
}

// foreignLoad is the number of items that another instance runs on each engine.
type foreignLoad struct {
	running map[string]int
	at      time.Time
}

// NewPool returns a pool without engines.
func NewPool() *Pool {
	return &Pool{engines: map[string]*engine{}, foreign: map[string]foreignLoad{}}
}

// SetForeign records what another instance runs. It counts until foreignLife has passed.
func (p *Pool) SetForeign(instance string, running map[string]int, now time.Time) {
	p.foreign[instance] = foreignLoad{running: running, at: now}
}

// Running returns the number of items that run on each engine.
func (p *Pool) Running() map[string]int {
	all := map[string]int{}
	for id, e := range p.engines {
		if e.running > 0 {
			all[id] = e.running
		}
	}
	return all
}

// elsewhere returns the number of items that other instances run on each engine.
func (p *Pool) elsewhere(now time.Time) map[string]int {
	all := map[string]int{}
	for instance, f := range p.foreign {
		if now.Sub(f.at) > foreignLife {
			delete(p.foreign, instance)
			continue
		}
		for id, n := range f.running {
			all[id] += n
		}
	}
	return all
}

// SetEngines replaces the engines. Engines that are no longer listed get no new item.
func (p *Pool) SetEngines(listed []Engine) {
	for _, e := range p.engines {
		e.listed = false
	}
	for _, l := range listed {
		e := p.engines[l.ID]
		if e == nil {
			e = &engine{groups: map[string]int{}}
			p.engines[l.ID] = e
		}
		if e.Born != l.Born {
			e.failures, e.notBefore, e.pace = 0, time.Time{}, 0
		}
		// An engine whose entry lapsed may come back with an older description of the same run.
		if e.Born == l.Born && e.Version > l.Version {
			l.Version = e.Version
		}
		e.Engine, e.listed = l, true
	}
	p.order = p.order[:0]
	for id, e := range p.engines {
		if !e.listed && e.running == 0 {
			delete(p.engines, id)
			continue
		}
		p.order = append(p.order, e)
	}
}

func (e *engine) usable(minVersion int, now time.Time) bool {
	return e.listed && e.Version >= minVersion && e.running < e.Slots && !now.Before(e.notBefore)
}

// Place returns the engine for an item, or false if none has room.
func (p *Pool) Place(r Request, now time.Time) (string, bool) {
	var best *engine
	var bestCost float64
	fastest := p.fastest(now)
	elsewhere := p.elsewhere(now)
	for _, e := range p.order {
		if !e.usable(r.MinVersion, now) {
			continue
		}
		cost := e.cost(r, elsewhere[e.ID]) + e.slowness(fastest, now)*speedWeight*min(longest, length(r))
		if best == nil || cost < bestCost || cost == bestCost && tie(e, r) < tie(best, r) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

func length(r Request) float64 {
	if r.Length <= 0 {
		return 1
	}
	return r.Length
}

// Measure records the time between two events of an item on an engine.
func (p *Pool) Measure(id string, pace time.Duration, now time.Time) {
	e := p.engines[id]
	if e == nil || pace <= 0 {
		return
	}
	if e.pace == 0 || now.Sub(e.paceAt) > rateLife {
		e.pace = pace
	} else {
		e.pace += time.Duration(rateGain * float64(pace-e.pace))
	}
	e.paceAt = now
}

// Paces returns the measurements that are still of use, by engine.
func (p *Pool) Paces(now time.Time) map[string]time.Duration {
	paces := map[string]time.Duration{}
	for id, e := range p.engines {
		if pace := e.known(now); pace > 0 {
			paces[id] = pace
		}
	}
	return paces
}

// known returns the pace of an engine, or 0 if it is unknown.
func (e *engine) known(now time.Time) time.Duration {
	if e.pace == 0 || now.Sub(e.paceAt) > rateLife {
		return 0
	}
	return e.pace
}

// fastest returns the shortest known pace, or 0.
func (p *Pool) fastest(now time.Time) time.Duration {
	var best time.Duration
	for _, e := range p.order {
		if pace := e.known(now); pace > 0 && (best == 0 || pace < best) {
			best = pace
		}
	}
	return best
}

// unknownSlowness is the slowness of an engine without measurements. It lies between those of fast and slow
// engines, so that unknown ones are tried.
const unknownSlowness = 0.1

// slowness is the relative excess of an engine's pace over the fastest.
func (e *engine) slowness(fastest time.Duration, now time.Time) float64 {
	pace := e.known(now)
	if pace == 0 || fastest == 0 {
		return unknownSlowness
	}
	return float64(pace-fastest) / float64(fastest)
}

// tie orders engines of equal cost differently for each group, and always alike for one group.
func tie(e *engine, r Request) uint64 { return xxhash.Sum64String(r.Group + e.ID) }

// cost is the relative load of an engine with the item. Items beyond its slots wait there, which the queue of the
// engine bears but other engines make shorter.
func (e *engine) cost(r Request, elsewhere int) float64 {
	cost := float64(e.running+elsewhere+1) / float64(max(1, e.Slots))
	if e.running+elsewhere >= e.Slots {
		cost += queueCost
	}
	if e.groups[r.Group] > 0 {
		cost -= groupBonus
	}
	if !e.Assigned {
		cost += foreignPenalty
	}
	if e.ID == r.Avoid {
		cost += 2 * foreignPenalty
	}
	return cost
}

// Begin records that an item was sent to an engine.
func (p *Pool) Begin(id, group string) {
	if e := p.engines[id]; e != nil {
		e.running++
		e.groups[group]++
	}
}

// End records the end of a run.
func (p *Pool) End(id, group string, result Result, now time.Time) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.running--
	if e.groups[group]--; e.groups[group] <= 0 {
		delete(e.groups, group)
	}
	switch result {
	case OK:
		e.failures = 0
	case Refused:
		e.pause(now, refusedPause)
	case Broken:
		e.pause(now, min(maxPause, brokenPause<<min(e.failures, 4)))
		e.failures++
	}
}

func (e *engine) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.notBefore) {
		e.notBefore = until
	}
}

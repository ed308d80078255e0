package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveCost is the time that an item loses when it continues on another engine: a new connection, a new place in
	// the engine's batch and the prefill of the text so far.
	moveCost = 250 * time.Millisecond
	// minIntervalReduction is the share by which the other engine's event interval must be shorter. Without it, noise
	// in the measurements would cause moves.
	minIntervalReduction = 0.15
	// minRunTimeBeforeMove is how long an item stays on the engine where it was placed, unless the engine is leaving.
	minRunTimeBeforeMove = 500 * time.Millisecond
	// maxMovesPerCall limits the moves of one call, because each move changes the load of two engines.
	maxMovesPerCall = 6
)

// Running is an item that an engine is running.
type Running struct {
	// Key identifies the item for the caller of Moves.
	Key    string
	Engine string
	Group  string
	// HasText is set for an item that has text. Only engines with the version Software may continue it.
	HasText  bool
	Software string
	// Remaining is the expected number of events until the item completes.
	Remaining int
	// Since is when the item started on the engine.
	Since time.Time
}

// Move is an item that should continue on another engine.
type Move struct {
	Key  string
	From string
	To   string
}

// Moves returns the running items that would complete earlier on another engine with a free slot, and the items of
// engines that are leaving, if another engine has a free slot for them. The longest items
// determine when a step completes; most items complete long before that, so fast engines have free slots in the
// second half of a step.
func (p *Pool) Moves(running []Running, minVersion int, now time.Time) []Move {
	slices.SortFunc(running, func(a, b Running) int {
		return cmp.Or(cmp.Compare(p.remainingTime(b, now), p.remainingTime(a, now)), cmp.Compare(a.Key, b.Key))
	})
	additionalRunning := p.peerRunning(now)
	var moves []Move
	movesTo := map[string]int{}
	for _, r := range running {
		if len(moves) >= maxMovesPerCall {
			break
		}
		to := p.moveDestination(r, minVersion, additionalRunning, now)
		if to == "" || !p.mayStart(p.engines[to], movesTo[to]+1, now) {
			continue
		}
		additionalRunning[to]++
		movesTo[to]++
		moves = append(moves, Move{Key: r.Key, From: r.Engine, To: to})
	}
	return moves
}

// remainingTime returns the expected time until the item completes on its current engine. For an engine that is leaving
// it returns a very large value, so that Moves handles these items first.
func (p *Pool) remainingTime(r Running, now time.Time) time.Duration {
	e := p.engines[r.Engine]
	if e == nil || !e.listed {
		return time.Duration(1<<62 - 1)
	}
	return time.Duration(r.Remaining) * e.currentInterval(now)
}

// moveDestination returns the engine to which the item should move, or "" if it should stay. additionalRunning holds
// what the running counts of the engines do not include, by engine: the items of other instances and earlier moves of
// the same call.
func (p *Pool) moveDestination(r Running, minVersion int, additionalRunning map[string]int, now time.Time) string {
	from := p.engines[r.Engine]
	isLeaving := from == nil || !from.listed
	var interval time.Duration
	if !isLeaving {
		if now.Sub(r.Since) < minRunTimeBeforeMove {
			return ""
		}
		if interval = from.currentInterval(now); interval == 0 {
			return ""
		}
	}
	best := ""
	var bestInterval time.Duration
	for _, e := range p.engineList {
		if e.ID == r.Engine || r.HasText && e.Software != r.Software || !p.canAccept(e, minVersion, now) || e.running+additionalRunning[e.ID] >= e.Slots || !e.Assigned && !isLeaving {
			continue
		}
		candidateInterval := e.currentInterval(now)
		if isLeaving {
			if best == "" || candidateInterval > 0 && (bestInterval == 0 || candidateInterval < bestInterval) {
				best, bestInterval = e.ID, candidateInterval
			}
			continue
		}
		if candidateInterval == 0 || float64(candidateInterval) > (1-minIntervalReduction)*float64(interval) {
			continue
		}
		if time.Duration(r.Remaining)*(interval-candidateInterval) > moveCost && (best == "" || candidateInterval < bestInterval) {
			best, bestInterval = e.ID, candidateInterval
		}
	}
	return best
}

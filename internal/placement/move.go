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
	// movePrice is the gain that a move must exceed beyond moveCost, because it also takes time from other items of the
	// engine. The price of a further move of the same item is a multiple of it.
	movePrice = 50 * time.Millisecond
	// minIntervalReduction is the share by which the other engine's event interval must be shorter. Without it, noise
	// in the measurements would cause moves.
	minIntervalReduction = 0.15
	// endFraction is the part of the expected end of the step below which an item's end does not matter. Estimates of
	// lengths are often far off, and the caller does not wait for all groups.
	endFraction = 0.07
	// minRunTimeBeforeMove is how long an item stays on the engine where it was placed, unless the engine is leaving.
	minRunTimeBeforeMove = 500 * time.Millisecond
	// maxMovesPerCall limits the moves of one call, because each move changes the load of two engines.
	maxMovesPerCall = 6
	// leavingTime stands for the remaining time of an item whose engine is leaving.
	leavingTime = time.Duration(1<<62 - 1)
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
	// Left holds the engines that the item left by a move because another one was faster. It does not return to them.
	Left []string
}

// Move is an item that should continue on another engine.
type Move struct {
	Key  string
	From string
	To   string
	// Leaving is set if the item moves because its engine is leaving. The fields below are 0 then.
	Leaving bool
	// FromInterval and ToInterval are the expected event intervals of the item at both engines.
	FromInterval, ToInterval time.Duration
	// Gain is the time by which the move brings the end of the step forward, and Price what it had to exceed.
	Gain, Price time.Duration
	// StepEnd is the time until the expected end of the step.
	StepEnd time.Duration
}

// Moves returns the running items whose move to another engine with a free slot brings the end of their step forward, and
// the items of engines that are leaving, if another engine has a free slot for them. The longest items
// determine when a step completes; most items complete long before that, so fast engines have free slots in the
// second half of a step.
func (p *Pool) Moves(running []Running, minVersion int, now time.Time) []Move {
	stay := make(map[string]time.Duration, len(running))
	for _, r := range running {
		stay[r.Key] = p.remainingTime(r, now)
	}
	slices.SortFunc(running, func(a, b Running) int {
		return cmp.Or(cmp.Compare(stay[b.Key], stay[a.Key]), cmp.Compare(a.Key, b.Key))
	})
	m := newMover(p, minVersion, now)
	m.stepEnd = m.reachableEnd(running, stay)
	return m.moves(running, stay)
}

// remainingTime returns the expected time until the item completes on its current engine, or 0 if it is unknown. For an
// engine that is leaving it returns leavingTime, so that Moves handles these items first.
func (p *Pool) remainingTime(r Running, now time.Time) time.Duration {
	e := p.engines[r.Engine]
	if e == nil || !e.listed {
		return leavingTime
	}
	return time.Duration(r.Remaining) * p.expectedInterval(e, 0, now)
}

// mover decides the moves of one call.
type mover struct {
	pool *Pool
	// free holds the engines with a free slot, those with the shortest expected intervals first.
	free []candidate
	// stepEnd is the time until all items can be complete if those that gain from it move.
	stepEnd time.Duration
	now     time.Time
}

// candidate is an engine with free slots.
type candidate struct {
	engine *engine
	free   int
	// added is the number of items that earlier moves of the call bring to the engine.
	added int
	// interval is the expected event interval of one more item; 0 means unknown.
	interval time.Duration
}

func newMover(p *Pool, minVersion int, now time.Time) *mover {
	m := &mover{pool: p, now: now}
	peerRunning := p.peerRunning(now)
	for _, e := range p.engineList {
		free := min(e.Slots-e.running-peerRunning[e.ID], p.startsLeft(e, now))
		if free > 0 && p.canAccept(e, minVersion, now) {
			m.free = append(m.free, candidate{engine: e, free: free, interval: p.expectedInterval(e, 1, now)})
		}
	}
	m.sortFree()
	return m
}

func (m *mover) sortFree() {
	slices.SortStableFunc(m.free, func(a, b candidate) int {
		if (a.interval == 0) != (b.interval == 0) {
			return cmp.Compare(b.interval, a.interval)
		}
		return cmp.Compare(a.interval, b.interval)
	})
}

func (m *mover) moves(running []Running, stay map[string]time.Duration) []Move {
	var moves []Move
	for _, r := range running {
		if len(moves) >= maxMovesPerCall || len(m.free) == 0 || stay[r.Key] < m.worthwhileEnd() {
			break
		}
		move, ok := m.move(r, stay[r.Key])
		if !ok {
			continue
		}
		m.take(move.To)
		moves = append(moves, move)
	}
	return moves
}

// take records that an item moves to an engine.
func (m *mover) take(id string) {
	i := slices.IndexFunc(m.free, func(c candidate) bool { return c.engine.ID == id })
	c := &m.free[i]
	if c.added++; c.added >= c.free {
		m.free = slices.Delete(m.free, i, i+1)
		return
	}
	c.interval = m.pool.expectedInterval(c.engine, 1+c.added, m.now)
	m.sortFree()
}

// worthwhileEnd is the time up to which no item has to be complete earlier.
func (m *mover) worthwhileEnd() time.Duration { return time.Duration(endFraction * float64(m.stepEnd)) }

// reachableEnd returns the time until the last item can be complete if each may move to the fastest free engine.
func (m *mover) reachableEnd(running []Running, stay map[string]time.Duration) time.Duration {
	var fastest time.Duration
	if i := slices.IndexFunc(m.free, func(c candidate) bool { return c.engine.Assigned }); i >= 0 {
		fastest = m.free[i].interval
	}
	var end time.Duration
	for _, r := range running {
		t := stay[r.Key]
		if fastest > 0 {
			t = min(t, time.Duration(r.Remaining)*fastest+moveCost)
		}
		if t < leavingTime {
			end = max(end, t)
		}
	}
	return end
}

// move returns the move of an item that takes the time stay on its current engine, or false if it should stay.
func (m *mover) move(r Running, stay time.Duration) (Move, bool) {
	if stay == leavingTime {
		return m.moveFromLeaving(r)
	}
	if m.now.Sub(r.Since) < minRunTimeBeforeMove || stay == 0 {
		return Move{}, false
	}
	to, ok := m.fastestFor(r, true)
	fromInterval := stay / time.Duration(max(1, r.Remaining))
	if !ok || to.interval == 0 || float64(to.interval) > (1-minIntervalReduction)*float64(fromInterval) {
		return Move{}, false
	}
	movedEnd := time.Duration(r.Remaining)*to.interval + moveCost
	gain := stay - max(movedEnd, m.worthwhileEnd())
	price := movePrice * time.Duration(1+len(r.Left))
	if gain <= price {
		return Move{}, false
	}
	return Move{
		Key: r.Key, From: r.Engine, To: to.engine.ID, FromInterval: fromInterval, ToInterval: to.interval, Gain: gain, Price: price, StepEnd: m.stepEnd,
	}, true
}

// moveFromLeaving returns the move of an item whose engine is leaving. Any engine with a free slot will do.
func (m *mover) moveFromLeaving(r Running) (Move, bool) {
	to, ok := m.fastestFor(r, false)
	if !ok {
		return Move{}, false
	}
	return Move{Key: r.Key, From: r.Engine, To: to.engine.ID, Leaving: true}, true
}

// fastestFor returns the engine with the shortest expected interval that may continue an item.
func (m *mover) fastestFor(r Running, mustBeAssigned bool) (candidate, bool) {
	for _, c := range m.free {
		e := c.engine
		if e.ID == r.Engine || r.HasText && e.Software != r.Software || mustBeAssigned && (!e.Assigned || slices.Contains(r.Left, e.ID)) {
			continue
		}
		return c, true
	}
	return candidate{}, false
}

package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func engines(n, slots int) []Engine {
	var all []Engine
	for i := range n {
		all = append(all, Engine{ID: fmt.Sprint("e", i), Slots: slots, Version: 5, Assigned: true})
	}
	return all
}

// Guards against placement on engines that are full, too old, paused or no longer listed.
func TestPlaceUsesOnlyUsableEngines(t *testing.T) {
	cases := []struct {
		name   string
		engine Engine
		change func(p *Pool)
		ok     bool
	}{
		{"free", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(*Pool) {}, true},
		{"assigned to another model", Engine{ID: "a", Slots: 1, Version: 3}, func(*Pool) {}, true},
		{"old weights", Engine{ID: "a", Slots: 1, Version: 2, Assigned: true}, func(*Pool) {}, false},
		{"full", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) { p.Begin("a", "g") }, false},
		{"refused lately", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) {
			p.Begin("a", "g")
			p.End("a", "g", Refused, start)
		}, false},
		{"broken lately", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) {
			p.Begin("a", "g")
			p.End("a", "g", Broken, start)
		}, false},
		{"restarted after it broke", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) {
			p.Begin("a", "g")
			p.End("a", "g", Broken, start)
			p.SetEngines([]Engine{{ID: "a", Slots: 1, Version: 3, Assigned: true, Born: 7}})
		}, true},
		{"gone", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) { p.SetEngines(nil) }, false},
	}
	for _, c := range cases {
		p := NewPool()
		p.SetEngines([]Engine{c.engine})
		c.change(p)
		if _, ok := p.Place(Request{Group: "g", MinVersion: 3}, start); ok != c.ok {
			t.Errorf("%s: placed %v", c.name, ok)
		}
	}
}

// Guards against a move that costs more than it gains, and against items that stay where they end late.
func TestMoves(t *testing.T) {
	cases := []struct {
		name      string
		pace      time.Duration
		remaining int
		running   time.Duration
		move      bool
	}{
		{"slow engine, long item", 135 * time.Millisecond, 50, time.Second, true},
		{"somewhat slow engine, long item", 52 * time.Millisecond, 60, time.Second, true},
		{"somewhat slow engine, short item", 52 * time.Millisecond, 10, time.Second, false},
		{"equal engine", 42 * time.Millisecond, 150, time.Second, false},
		{"just begun", 135 * time.Millisecond, 50, 100 * time.Millisecond, false},
	}
	for _, c := range cases {
		p := NewPool()
		p.SetEngines(engines(2, 4))
		p.Begin("e0", "g")
		p.Measure("e0", c.pace, start)
		p.Measure("e1", 39*time.Millisecond, start)
		moves := p.Moves([]Running{{Key: "k", Engine: "e0", Group: "g", Remaining: c.remaining, Since: start.Add(-c.running)}}, 0, start)
		if (len(moves) == 1) != c.move {
			t.Errorf("%s: moves %v", c.name, moves)
		}
	}
}

// Guards against measurements of a slowdown that passed.
func TestOldPaceIsForgotten(t *testing.T) {
	p := NewPool()
	p.SetEngines(engines(1, 4))
	p.Measure("e0", 135*time.Millisecond, start)
	if n := len(p.Paces(start.Add(rateLife + time.Second))); n != 0 {
		t.Errorf("%d paces are known", n)
	}
	p.Measure("e0", 40*time.Millisecond, start.Add(rateLife+time.Second))
	if got := p.Paces(start.Add(rateLife + time.Second))["e0"]; got != 40*time.Millisecond {
		t.Errorf("pace %v", got)
	}
}

// The recorded pattern of kerlann scale-1: a step of 14 groups of 8 items every 4 s on engines of which a third
// makes events in 52 ms instead of 39 and one is slowed to 135 ms. An item has 24 events, one in twelve five
// times as many. The caller waits for 13 of 14 groups.
const (
	replayGroups = 14
	replaySize   = 8
	replaySteps  = 40
	replayEvery  = 4 * time.Second
)

func replayPace(engine int) time.Duration {
	switch engine % 6 {
	case 0, 1:
		return 52 * time.Millisecond
	case 2:
		return 135 * time.Millisecond
	}
	return 39 * time.Millisecond
}

type replayItem struct {
	key, group string
	step       int
	length     int
	estimate   int
	done       int
	engine     string
	since      time.Time
	finished   time.Time
}

func replayItems(random *rand.Rand) []*replayItem {
	var items []*replayItem
	for step := range replaySteps {
		for g := range replayGroups {
			for i := range replaySize {
				events := 20 * math.Exp(0.7*random.NormFloat64())
				if random.Float64() < 0.08 {
					events *= 5
				}
				length := int(min(171, max(1, events)))
				items = append(items, &replayItem{
					key: fmt.Sprint(step, "-", g, "-", i), group: fmt.Sprint(step, "-", g), step: step, length: length,
					estimate: max(1, int(float64(length)*math.Exp(0.5*random.NormFloat64()))),
				})
			}
		}
	}
	return items
}

// policy is a way to place items. The baselines know neither speeds nor lengths.
type policy struct {
	name   string
	speeds bool
	// choose replaces the pool's choice, if set; running counts the items on each engine.
	choose func(fleet []Engine, running map[string]int) (string, bool)
}

// firstFree chooses the first engine with a free slot, beginning at one of the fleet.
func firstFree(fleet []Engine, running map[string]int, from int) (int, bool) {
	for n := range fleet {
		i := (from + n) % len(fleet)
		if running[fleet[i].ID] < fleet[i].Slots {
			return i, true
		}
	}
	return 0, false
}

// firstCome fills one engine after the other.
func firstCome() policy {
	return policy{name: "first come", choose: func(fleet []Engine, running map[string]int) (string, bool) {
		i, ok := firstFree(fleet, running, 0)
		return fleet[i].ID, ok
	}}
}

// roundRobin takes the engines in turn.
func roundRobin() policy {
	next := 0
	return policy{name: "round robin", choose: func(fleet []Engine, running map[string]int) (string, bool) {
		i, ok := firstFree(fleet, running, next)
		if ok {
			next = i + 1
		}
		return fleet[i].ID, ok
	}}
}

// replay plays the pattern in ticks and returns the mean time until the wanted groups of a step were complete.
func replay(pol policy) time.Duration {
	items := replayItems(rand.New(rand.NewPCG(7, 11)))
	p := NewPool()
	fleet := engines(6, 12)
	p.SetEngines(fleet)
	paces := map[string]time.Duration{}
	for i, e := range fleet {
		paces[e.ID] = replayPace(i)
	}
	const tick = 13 * time.Millisecond
	progress := map[*replayItem]time.Duration{}
	var waiting, running []*replayItem
	next := 0
	for now := start; next < len(items) || len(waiting)+len(running) > 0; now = now.Add(tick) {
		for next < len(items) && !start.Add(time.Duration(items[next].step)*replayEvery).After(now) {
			waiting = append(waiting, items[next])
			next++
		}
		if pol.speeds {
			longestFirst(waiting)
		}
		waiting, running = placeAll(p, pol, fleet, waiting, running, now)
		if pol.speeds && len(waiting) == 0 {
			waiting, running = moveAll(p, running, now)
		}
		running = advance(p, pol, running, progress, paces, tick, now)
	}
	return meanStep(items)
}

func longestFirst(items []*replayItem) {
	h := itemHeap(items)
	heap.Init(&h)
	var sorted []*replayItem
	for h.Len() > 0 {
		sorted = append(sorted, heap.Pop(&h).(*replayItem))
	}
	copy(items, sorted)
}

type itemHeap []*replayItem

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].estimate > h[j].estimate }
func (h itemHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)        { *h = append(*h, x.(*replayItem)) }
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

func placeAll(p *Pool, pol policy, fleet []Engine, waiting, running []*replayItem, now time.Time) (left, started []*replayItem) {
	for _, item := range waiting {
		r := Request{Group: item.group}
		if pol.speeds {
			r.Length = float64(item.estimate) / 24
		}
		id, ok := "", false
		if pol.choose != nil {
			id, ok = pol.choose(fleet, p.Running())
		} else {
			id, ok = p.Place(r, now)
		}
		if !ok {
			left = append(left, item)
			continue
		}
		p.Begin(id, item.group)
		item.engine, item.since = id, now
		running = append(running, item)
	}
	return left, running
}

func moveAll(p *Pool, running []*replayItem, now time.Time) (waiting, left []*replayItem) {
	byKey := map[string]*replayItem{}
	var all []Running
	for _, item := range running {
		byKey[item.key] = item
		all = append(all, Running{
			Key: item.key, Engine: item.engine, Group: item.group, Since: item.since,
			Remaining: max(item.estimate-item.done, item.done/2, 1),
		})
	}
	for _, m := range p.Moves(all, 0, now) {
		item := byKey[m.Key]
		p.End(item.engine, item.group, OK, now)
		waiting = append(waiting, item)
		delete(byKey, m.Key)
	}
	for _, item := range running {
		if byKey[item.key] != nil {
			left = append(left, item)
		}
	}
	return waiting, left
}

func advance(p *Pool, pol policy, running []*replayItem, progress map[*replayItem]time.Duration, paces map[string]time.Duration, tick time.Duration, now time.Time) []*replayItem {
	var left []*replayItem
	for _, item := range running {
		progress[item] += tick
		for progress[item] >= paces[item.engine] && item.done < item.length {
			progress[item] -= paces[item.engine]
			item.done++
			if pol.speeds && item.done%6 == 0 {
				p.Measure(item.engine, paces[item.engine], now)
			}
		}
		if item.done < item.length {
			left = append(left, item)
			continue
		}
		item.finished = now
		p.End(item.engine, item.group, OK, now)
	}
	return left
}

func meanStep(items []*replayItem) time.Duration {
	var sum time.Duration
	for step := range replaySteps {
		groups := map[string]time.Time{}
		for _, item := range items {
			if item.step == step && item.finished.After(groups[item.group]) {
				groups[item.group] = item.finished
			}
		}
		var last, second time.Time
		for _, at := range groups {
			switch {
			case at.After(last):
				last, second = at, last
			case at.After(second):
				second = at
			}
		}
		sum += second.Sub(start.Add(time.Duration(step) * replayEvery))
	}
	return sum / replaySteps
}

// bound is the mean step if each item ran alone on the fastest engine from the start of its step.
func bound() time.Duration {
	items := replayItems(rand.New(rand.NewPCG(7, 11)))
	for _, item := range items {
		at := start.Add(time.Duration(item.step) * replayEvery)
		item.finished = at.Add(time.Duration(item.length) * 39 * time.Millisecond)
	}
	return meanStep(items)
}

// Guards against the loss of what speeds and lengths gain over the plain ways of placement on the recorded pattern,
// and against steps that last longer than their longest items for other reasons.
func TestReplayStepTimes(t *testing.T) {
	measured := replay(policy{name: "speeds and lengths", speeds: true})
	ideal := bound()
	t.Logf("mean step: speeds and lengths %v, bound %v", measured, ideal)
	for _, baseline := range []policy{{name: "least loaded"}, roundRobin(), firstCome()} {
		step := replay(baseline)
		t.Logf("mean step: %s %v", baseline.name, step)
		if measured >= step {
			t.Errorf("mean step %v, %s %v", measured, baseline.name, step)
		}
	}
	if measured > ideal*11/10 {
		t.Errorf("mean step %v, want at most 10%% above the bound of %v", measured, ideal)
	}
}

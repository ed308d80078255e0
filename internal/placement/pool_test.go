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

func newEngines(n, slots int) []Engine {
	var all []Engine
	for i := range n {
		all = append(all, Engine{ID: fmt.Sprint("e", i), Slots: slots, Version: 5, Assigned: true})
	}
	return all
}

// Guards against placement on engines that are full, have old weights, are in backoff or are no longer listed.
func TestPlaceUsesOnlyUsableEngines(t *testing.T) {
	cases := []struct {
		name       string
		engine     Engine
		arrange    func(p *Pool)
		wantPlaced bool
	}{
		{"free", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(*Pool) {}, true},
		{"assigned to another model", Engine{ID: "a", Slots: 1, Version: 3}, func(*Pool) {}, true},
		{"old weights", Engine{ID: "a", Slots: 1, Version: 2, Assigned: true}, func(*Pool) {}, false},
		{"full", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) { p.Begin("a", "g") }, false},
		{"refused recently", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) {
			p.Begin("a", "g")
			p.End("a", "g", Refused, start)
		}, false},
		{"broken recently", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) {
			p.Begin("a", "g")
			p.End("a", "g", Broken, start)
		}, false},
		{"restarted after it broke", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) {
			p.Begin("a", "g")
			p.End("a", "g", Broken, start)
			p.SetEngines([]Engine{{ID: "a", Slots: 1, Version: 3, Assigned: true, StartNumber: 7}})
		}, true},
		{"no longer listed", Engine{ID: "a", Slots: 1, Version: 3, Assigned: true}, func(p *Pool) { p.SetEngines(nil) }, false},
	}
	for _, c := range cases {
		p := NewPool(nil)
		p.SetEngines([]Engine{c.engine})
		c.arrange(p)
		if _, ok := p.Place(Request{Group: "g", MinVersion: 3}, start); ok != c.wantPlaced {
			t.Errorf("%s: placed %v", c.name, ok)
		}
	}
}

// Guards against moves that cost more time than they save, and against long items that stay on a slow engine.
func TestMoves(t *testing.T) {
	cases := []struct {
		name       string
		interval   time.Duration
		remaining  int
		runningFor time.Duration
		wantMove   bool
	}{
		{"slow engine, long item", 135 * time.Millisecond, 50, time.Second, true},
		{"somewhat slow engine, long item", 52 * time.Millisecond, 60, time.Second, true},
		{"somewhat slow engine, short item", 52 * time.Millisecond, 10, time.Second, false},
		{"equal engine", 42 * time.Millisecond, 150, time.Second, false},
		{"just started", 135 * time.Millisecond, 50, 100 * time.Millisecond, false},
	}
	for _, c := range cases {
		p := NewPool(nil)
		p.SetEngines(newEngines(2, 4))
		p.Begin("e0", "g")
		p.RecordEventInterval("e0", c.interval, start)
		p.RecordEventInterval("e1", 39*time.Millisecond, start)
		moves := p.Moves([]Running{{Key: "k", Engine: "e0", Group: "g", Remaining: c.remaining, Since: start.Add(-c.runningFor)}}, 0, start)
		if (len(moves) == 1) != c.wantMove {
			t.Errorf("%s: moves %v", c.name, moves)
		}
	}
}

// Guards against measurements of a past slowdown that still count.
func TestIntervalMeasurementsExpire(t *testing.T) {
	p := NewPool(nil)
	p.SetEngines(newEngines(1, 4))
	p.RecordEventInterval("e0", 135*time.Millisecond, start)
	if n := len(p.EventIntervals(start.Add(intervalTTL + time.Second))); n != 0 {
		t.Errorf("%d intervals, want none: they have expired", n)
	}
	p.RecordEventInterval("e0", 40*time.Millisecond, start.Add(intervalTTL+time.Second))
	if got := p.EventIntervals(start.Add(intervalTTL + time.Second))["e0"]; got != 40*time.Millisecond {
		t.Errorf("event interval %v, want 40ms", got)
	}
}

// The load recorded in the kerlann run scale-1: every 4 s a step of 14 groups of 8 items. A third of the engines has an
// event interval of 52 ms instead of 39 ms, and one is slowed to 135 ms. An item has 24 events, one item in twelve has
// five times as many. The caller waits for 13 of the 14 groups.
const (
	replayGroups       = 14
	replayGroupSize    = 8
	replaySteps        = 40
	replayStepInterval = 4 * time.Second
)

func replayEventInterval(engine int) time.Duration {
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
	eventsDone int
	engine     string
	since      time.Time
	finished   time.Time
}

func replayItems(random *rand.Rand) []*replayItem {
	var items []*replayItem
	for step := range replaySteps {
		for g := range replayGroups {
			for i := range replayGroupSize {
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

// policy is a placement policy. The baselines use neither engine speeds nor item lengths.
type policy struct {
	name                 string
	usesSpeedsAndLengths bool
	// choose replaces Pool.Place if it is set. running is the number of items on each engine.
	choose func(fleet []Engine, running map[string]int) (string, bool)
}

// nextFree returns the index of the first engine with a free slot, searching from index first.
func nextFree(fleet []Engine, running map[string]int, first int) (int, bool) {
	for n := range fleet {
		i := (first + n) % len(fleet)
		if running[fleet[i].ID] < fleet[i].Slots {
			return i, true
		}
	}
	return 0, false
}

// firstFit fills one engine after another.
func firstFit() policy {
	return policy{name: "first fit", choose: func(fleet []Engine, running map[string]int) (string, bool) {
		i, ok := nextFree(fleet, running, 0)
		return fleet[i].ID, ok
	}}
}

// roundRobin takes the engines in turn.
func roundRobin() policy {
	next := 0
	return policy{name: "round robin", choose: func(fleet []Engine, running map[string]int) (string, bool) {
		i, ok := nextFree(fleet, running, next)
		if ok {
			next = i + 1
		}
		return fleet[i].ID, ok
	}}
}

// replay simulates the recorded load in ticks and returns the mean time until 13 of the 14 groups of a step completed.
func replay(pol policy) time.Duration {
	items := replayItems(rand.New(rand.NewPCG(7, 11)))
	p := NewPool(nil)
	fleet := newEngines(6, 12)
	p.SetEngines(fleet)
	intervals := map[string]time.Duration{}
	for i, e := range fleet {
		intervals[e.ID] = replayEventInterval(i)
	}
	const tick = 13 * time.Millisecond
	progress := map[*replayItem]time.Duration{}
	var waiting, running []*replayItem
	next := 0
	for now := start; next < len(items) || len(waiting)+len(running) > 0; now = now.Add(tick) {
		for next < len(items) && !start.Add(time.Duration(items[next].step)*replayStepInterval).After(now) {
			waiting = append(waiting, items[next])
			next++
		}
		if pol.usesSpeedsAndLengths {
			sortLongestFirst(waiting)
		}
		waiting, running = placeAll(p, pol, fleet, waiting, running, now)
		if pol.usesSpeedsAndLengths && len(waiting) == 0 {
			waiting, running = applyMoves(p, running, now)
		}
		running = advance(p, pol, running, progress, intervals, tick, now)
	}
	return meanStepTime(items)
}

func sortLongestFirst(items []*replayItem) {
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

func placeAll(p *Pool, pol policy, fleet []Engine, waiting, running []*replayItem, now time.Time) (stillWaiting, nowRunning []*replayItem) {
	for _, item := range waiting {
		r := Request{Group: item.group}
		if pol.usesSpeedsAndLengths {
			r.Length = float64(item.estimate) / 24
		}
		id, ok := "", false
		if pol.choose != nil {
			id, ok = pol.choose(fleet, p.Running())
		} else {
			id, ok = p.Place(r, now)
		}
		if !ok {
			stillWaiting = append(stillWaiting, item)
			continue
		}
		p.Begin(id, item.group)
		item.engine, item.since = id, now
		running = append(running, item)
	}
	return stillWaiting, running
}

func applyMoves(p *Pool, running []*replayItem, now time.Time) (waiting, stillRunning []*replayItem) {
	byKey := map[string]*replayItem{}
	var all []Running
	for _, item := range running {
		byKey[item.key] = item
		all = append(all, Running{
			Key: item.key, Engine: item.engine, Group: item.group, Since: item.since,
			Remaining: max(item.estimate-item.eventsDone, item.eventsDone/2, 1),
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
			stillRunning = append(stillRunning, item)
		}
	}
	return waiting, stillRunning
}

func advance(p *Pool, pol policy, running []*replayItem, progress map[*replayItem]time.Duration, intervals map[string]time.Duration, tick time.Duration, now time.Time) []*replayItem {
	var stillRunning []*replayItem
	for _, item := range running {
		progress[item] += tick
		for progress[item] >= intervals[item.engine] && item.eventsDone < item.length {
			progress[item] -= intervals[item.engine]
			item.eventsDone++
			if pol.usesSpeedsAndLengths && item.eventsDone%6 == 0 {
				p.RecordEventInterval(item.engine, intervals[item.engine], now)
			}
		}
		if item.eventsDone < item.length {
			stillRunning = append(stillRunning, item)
			continue
		}
		item.finished = now
		p.End(item.engine, item.group, OK, now)
	}
	return stillRunning
}

func meanStepTime(items []*replayItem) time.Duration {
	var sum time.Duration
	for step := range replaySteps {
		groups := map[string]time.Time{}
		for _, item := range items {
			if item.step == step && item.finished.After(groups[item.group]) {
				groups[item.group] = item.finished
			}
		}
		var last, secondLast time.Time
		for _, finished := range groups {
			switch {
			case finished.After(last):
				last, secondLast = finished, last
			case finished.After(secondLast):
				secondLast = finished
			}
		}
		sum += secondLast.Sub(start.Add(time.Duration(step) * replayStepInterval))
	}
	return sum / replaySteps
}

// idealStepTime returns the mean step time if each item ran alone on the fastest engine from the start of its step.
func idealStepTime() time.Duration {
	items := replayItems(rand.New(rand.NewPCG(7, 11)))
	for _, item := range items {
		stepStart := start.Add(time.Duration(item.step) * replayStepInterval)
		item.finished = stepStart.Add(time.Duration(item.length) * 39 * time.Millisecond)
	}
	return meanStepTime(items)
}

// Guards against a policy that is no better than the baselines on the recorded load although it uses speeds and
// lengths, and against steps that last longer than their longest items require.
func TestReplayStepTimes(t *testing.T) {
	measuredStep := replay(policy{name: "speeds and lengths", usesSpeedsAndLengths: true})
	ideal := idealStepTime()
	t.Logf("mean step time: speeds and lengths %v, lower bound %v", measuredStep, ideal)
	for _, baseline := range []policy{{name: "least loaded"}, roundRobin(), firstFit()} {
		baselineStep := replay(baseline)
		t.Logf("mean step time: %s %v", baseline.name, baselineStep)
		if measuredStep >= baselineStep {
			t.Errorf("mean step time %v, want less than %s with %v", measuredStep, baseline.name, baselineStep)
		}
	}
	if measuredStep > ideal*11/10 {
		t.Errorf("mean step time %v, want at most 10%% above the lower bound of %v", measuredStep, ideal)
	}
}

// fakeLimits names the engines that may get no item.
type fakeLimits map[string]bool

func (l fakeLimits) MayUse(engine string, _ time.Time) bool { return !l[engine] }

// Guards against an item at a limited engine without a permit, and against items that queue at full engines while
// limited ones could take them soon.
func TestLimitedEngines(t *testing.T) {
	now := time.Now()
	limits := fakeLimits{"e1": true}
	p := NewPool(limits)
	list := func(limited bool) {
		p.SetEngines([]Engine{{ID: "e1", Slots: 2, Assigned: true, Limited: limited, Version: 3}, {ID: "e2", Slots: 2, Assigned: true, Version: 3}})
	}
	list(true)
	if got := p.Limited(3); len(got) != 1 || got[0] != "e1" {
		t.Errorf("limited engines %v", got)
	}
	if got := p.Limited(4); len(got) != 0 {
		t.Errorf("limited engines of a newer version %v", got)
	}
	for range 2 {
		id, ok := p.Place(Request{Group: "g"}, now)
		if !ok || id != "e2" {
			t.Fatalf("placed at %q, %v", id, ok)
		}
		p.Begin(id, "g")
	}
	p.End("e2", "g", OK, now)
	p.SetPeerLoad("other", map[string]int{"e2": 1}, now)
	if id, ok := p.Place(Request{Group: "g"}, now); ok {
		t.Errorf("item queues at full engine %q", id)
	}
	limits["e1"] = false
	if id, ok := p.Place(Request{Group: "g"}, now); !ok || id != "e1" {
		t.Errorf("with a permit placed at %q, %v", id, ok)
	}
	list(false)
	limits["e1"] = true
	p.Begin("e1", "g")
	p.Begin("e1", "g")
	if id, ok := p.Place(Request{Group: "g"}, now); !ok || id != "e2" {
		t.Errorf("without limits placed at %q, %v", id, ok)
	}
}

package placement

import (
	"testing"
	"time"
)

// runMeasured records an interval for e0 and 40 ms for e1 every 200 ms for a time. It returns the end and the first move.
func runMeasured(p *Pool, from time.Time, d, interval time.Duration) (end time.Time, move Move, moved bool) {
	end = from.Add(d)
	for now := from; now.Before(end); now = now.Add(200 * time.Millisecond) {
		p.RecordEventInterval("e0", interval, now)
		p.RecordEventInterval("e1", 40*time.Millisecond, now)
		moves := p.Moves([]Running{{Key: "k", Engine: "e0", Group: "g", Remaining: 100, Since: start}}, 0, now)
		if len(moves) > 0 {
			return now, moves[0], true
		}
	}
	return end, Move{}, false
}

// Guards against moves because of noise, and against items that stay on an engine that has slowed down for good.
func TestMovesFollowLastingSpeed(t *testing.T) {
	p := NewPool(nil)
	p.SetEngines(newEngines(2, 4))
	p.Begin("e0", "g")
	now := start.Add(time.Second)
	for range 6 {
		var moved bool
		if now, _, moved = runMeasured(p, now, 2400*time.Millisecond, 40*time.Millisecond); moved {
			t.Fatal("moved from an engine of the same speed")
		}
		if now, _, moved = runMeasured(p, now, 600*time.Millisecond, 100*time.Millisecond); moved {
			t.Fatal("moved because of noise")
		}
	}
	now, _, _ = runMeasured(p, now, 2400*time.Millisecond, 40*time.Millisecond)
	end, move, moved := runMeasured(p, now, 4*time.Second, 100*time.Millisecond)
	if !moved {
		t.Fatal("not moved within 4 s from an engine that slowed down for good")
	}
	t.Logf("moved after %v: %+v", end.Sub(now), move)
	if move.Gain <= move.Price || move.FromInterval <= move.ToInterval {
		t.Errorf("move %+v without gain", move)
	}
	p.End("e0", "g", OK, now)
	p.Begin("e1", "g")
	back := Running{Key: "k", Engine: "e1", Group: "g", Remaining: 100, Since: start, Left: []string{"e0"}}
	for range 40 {
		p.RecordEventInterval("e1", 200*time.Millisecond, end)
		p.RecordEventInterval("e0", 40*time.Millisecond, end)
		end = end.Add(200 * time.Millisecond)
	}
	if moves := p.Moves([]Running{back}, 0, end); len(moves) > 0 {
		t.Errorf("moved back: %+v", moves)
	}
}

// Guards against lasting speeds that are forgotten when the owner changes, or kept when the engine restarts.
func TestSpeedsAreInheritedForOneRun(t *testing.T) {
	first, table := NewPool(nil), NewSpeedTable()
	first.SetEngines(newEngines(2, 4))
	now, _, _ := runMeasured(first, start, 3*time.Second, 90*time.Millisecond)
	for id, s := range first.Speeds() {
		table.Learn(id, s, now)
	}
	next := NewPool(nil)
	next.SetEngines(newEngines(2, 4))
	next.Inherit(table.Of)
	e0, e1 := next.engines["e0"].speed.lasting, next.engines["e1"].speed.lasting
	if e1 == 0 || float64(e0) < 2*float64(e1) {
		t.Errorf("inherited %v and %v, want more than twice as much for the first", e0, e1)
	}
	if len(next.Speeds()) > 0 {
		t.Error("an inherited speed is reported as measured")
	}
	restarted := newEngines(1, 4)
	restarted[0].StartNumber = 2
	next.SetEngines(restarted)
	next.Inherit(table.Of)
	if got := next.engines["e0"].speed.lasting; got != 0 {
		t.Errorf("the restarted engine has the speed %v of its earlier run", got)
	}
}

// Guards against a loaded engine that counts as a slow one: both have the same speed, but the event interval grows by a half
// with the load, and the load changes.
func TestSpeedIsCorrectedForLoad(t *testing.T) {
	p := NewPool(nil)
	p.SetEngines(newEngines(2, 8))
	now := start
	for i := range 400 {
		loads := map[string]int{"e0": 2 + i/40%2*6, "e1": i / 40 % 2 * 4}
		p.SetPeerLoad("peer", loads, now)
		for id, n := range loads {
			p.RecordEventInterval(id, time.Duration(float64(40*time.Millisecond)*(1+0.5*float64(n)/8)), now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	e0, e1 := p.engines["e0"].speed.lasting, p.engines["e1"].speed.lasting
	if ratio := float64(e0) / float64(e1); ratio < 0.95 || ratio > 1.05 {
		t.Errorf("lasting intervals %v and %v, want about the same", e0, e1)
	}
}

// Guards against reported speeds that are kept for ever after their engines are gone.
func TestSpeedTableDropsOldReports(t *testing.T) {
	table := NewSpeedTable()
	table.Learn("gone", Speed{Interval: time.Millisecond, Windows: 3}, start)
	table.Learn("e0", Speed{Interval: time.Millisecond, Windows: 3}, start.Add(speedTTL+time.Second))
	if _, ok := table.Of("gone"); ok {
		t.Error("an old report is kept")
	}
}

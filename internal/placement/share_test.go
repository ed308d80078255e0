package placement

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an owner that keeps all slots while another one waits, against slots that stay free although items wait,
// and against a limit on the items of owners beside earlier builds.
func TestAllowance(t *testing.T) {
	cases := []struct {
		name               string
		running, demand    int
		peerRunning        int
		peerDemand         map[string]int
		wantLeast, wantMax int
	}{
		{"enough slots", 10, 20, 5, map[string]int{"other": 15}, 20, 25},
		{"newcomer waits, all slots taken", 40, 200, 0, map[string]int{"other": 200}, 20, 20},
		{"newcomer", 0, 200, 40, map[string]int{"other": 200}, 20, 20},
		{"others need little", 0, 200, 5, map[string]int{"other": 5}, 35, 35},
		{"two others", 0, 200, 26, map[string]int{"other": 200, "third": 200}, 13, 14},
		{"other owner of the same route", 0, 100, 30, map[string]int{"own": 300}, 10, 10},
		{"earlier build", 0, 200, 40, nil, 200, 200},
		{"owner of another model", 40, 200, 0, map[string]int{}, 200, 200},
	}
	for _, c := range cases {
		p := NewPool(nil)
		p.SetEngines(newEngines(5, 8))
		for i := range c.running {
			p.Begin(fmt.Sprint("e", i%5), "g")
		}
		running := map[string]int{}
		for i := range c.peerRunning {
			running[fmt.Sprint("e", i%5)]++
		}
		p.SetPeerReport("peer", running, c.peerDemand, start)
		got := p.Allowance("own", map[string]RouteLoad{"own": {Demand: c.demand, Running: c.running}}, start)
		if got < c.wantLeast || got > c.wantMax {
			t.Errorf("%s: %d items allowed, want %d to %d", c.name, got, c.wantLeast, c.wantMax)
		}
	}
}

// Guards against an owner that leaves slots of engines of other models unused while its own engines are full.
func TestAllowanceOnOtherEngines(t *testing.T) {
	p := NewPool(nil)
	engines := newEngines(4, 8)
	engines[2].Assigned, engines[3].Assigned, engines[3].Version = false, false, 0
	p.SetEngines(engines)
	p.SetPeerReport("peer", map[string]int{"e0": 8, "e2": 3}, map[string]int{"other": 100}, start)
	if got := p.Allowance("own", map[string]RouteLoad{"own": {Demand: 100}}, start); got != 13 {
		t.Errorf("%d items allowed, want the share of 8 and 5 free slots", got)
	}
}

// Guards against placement as if others had left while the store does not respond, and against slots that are kept for an
// owner that crashed.
func TestPeerReportsExpire(t *testing.T) {
	p := NewPool(nil)
	p.SetEngines(newEngines(1, 8))
	p.SetPeerReport("peer", map[string]int{"e0": 8}, map[string]int{"other": 8}, start)
	if got := p.peerRunning(start.Add(5 * time.Second))["e0"]; got != 8 {
		t.Errorf("%d items of the other instance during an outage of the store, want 8", got)
	}
	if got := p.peerRunning(start.Add(maxPeerLoadAge + time.Second))["e0"]; got != 0 {
		t.Errorf("%d items of an instance that is silent for too long", got)
	}
	p.SetPeerReport("peer", map[string]int{"e0": 8}, map[string]int{"other": 8}, start)
	p.RecordReportArrival(start.Add(peerLoadTTL + time.Millisecond))
	if got := p.peerRunning(start.Add(peerLoadTTL + time.Millisecond))["e0"]; got != 0 {
		t.Errorf("%d items of an instance that is silent while others report", got)
	}
}

// Guards against owners that start more items on an engine than it can queue before they learn of each other.
func TestUnseenItemsAreBounded(t *testing.T) {
	const owners = 8
	total := 0
	for owner := range owners {
		p := NewPool(nil)
		p.SetEngines(newEngines(1, 8))
		for peer := range owners {
			if peer != owner {
				p.SetPeerReport(fmt.Sprint(peer), nil, map[string]int{"other": 0}, start)
			}
		}
		for range 100 {
			if id, ok := p.Place(Request{Group: "g"}, start); ok {
				p.Begin(id, "g")
				total++
			}
		}
	}
	if total > unreportedLoad*8 {
		t.Errorf("%d items on an engine with 8 slots", total)
	}
}

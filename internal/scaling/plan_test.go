package scaling

import (
	"testing"
	"time"
)

var begin = time.Unix(9000, 0)

var testBounds = Bounds{Min: 1, Max: 8, Slots: 12}

func threeZones() []Zone {
	return []Zone{{Name: "a", Price: 1, OnDemand: 4}, {Name: "b", Price: 0.8, OnDemand: 4}, {Name: "c", Price: 1.25, OnDemand: 4}}
}

func sumCounts(orders []Order) (reclaimable, onDemand int) {
	for _, o := range orders {
		if o.Reclaimable {
			reclaimable += o.Count
		} else {
			onDemand += o.Count
		}
	}
	return reclaimable, onDemand
}

// Guards against orders that are based on an incomplete list of engines: in the kerlann run scale-1 the first plan saw
// only three engines and removed nine.
func TestNoOrderWithoutNeed(t *testing.T) {
	p := NewPlanner()
	if orders := p.Plan(begin, threeZones()[:1], testBounds, 0); len(orders) != 0 {
		t.Errorf("orders without load: %v", orders)
	}
	if orders := p.Plan(begin, threeZones(), testBounds, 100); len(orders) != 0 {
		t.Errorf("orders for a load that the engines can run: %v", orders)
	}
}

// Guards against too few engines for the load, and against on-demand engines where reclaimable ones are available.
func TestScaleUpPrefersReclaimableEngines(t *testing.T) {
	p := NewPlanner()
	reclaimable, onDemand := sumCounts(p.Plan(begin, threeZones(), testBounds, 228))
	// 228 items at three quarters of 12 slots need 26 engines; 12 are running.
	if onDemand != 0 {
		t.Errorf("%d engines ordered on demand, want none", onDemand)
	}
	if reclaimable < 12 || reclaimable > 14 {
		t.Errorf("%d reclaimable engines, want 12 to 14", reclaimable)
	}
}

func acceptAll(p *Planner, orders []Order) {
	for _, o := range orders {
		p.RecordAccepted(o)
	}
}

// Guards against counts that follow the load up and down within each step.
func TestCountsDoNotOscillate(t *testing.T) {
	p := NewPlanner()
	zones := threeZones()
	acceptAll(p, p.Plan(begin, zones, testBounds, 228))
	for i := range zones {
		zones[i].Reclaimable = 4
	}
	for s := 1; s < 60; s++ {
		load := 228
		if s%2 == 0 {
			load = 114
		}
		if orders := p.Plan(begin.Add(time.Duration(s)*time.Second), zones, testBounds, load); len(orders) != 0 {
			t.Fatalf("orders after %d s: %v", s, orders)
		}
	}
}

// Guards against engines that are kept and paid for long after the load has dropped, and against a scale-down below the
// engines that ran before the first order.
func TestSurplusIsRemoved(t *testing.T) {
	p := NewPlanner()
	zones := threeZones()
	acceptAll(p, p.Plan(begin, zones, testBounds, 228))
	for i := range zones {
		zones[i].Reclaimable = 4
	}
	for s := 1; s < 120; s++ {
		acceptAll(p, p.Plan(begin.Add(time.Duration(s)*time.Second), zones, testBounds, 20))
	}
	for _, z := range p.zonesByPrice() {
		if z.ordered != (Count{OnDemand: 4}) {
			t.Errorf("%s: %+v, want the four initial engines", z.Name, z.ordered)
		}
	}
}

// Guards against orders that are repeated at once in a zone without available engines, and against too few engines
// although other zones or the other kind have some.
func TestOtherZonesReplaceUnavailableZone(t *testing.T) {
	p := NewPlanner()
	for _, o := range p.Plan(begin, threeZones(), testBounds, 228) {
		if o.Zone == "b" {
			p.RecordNoCapacity(o, begin)
			continue
		}
		p.RecordAccepted(o)
	}
	for _, o := range p.Plan(begin.Add(time.Second), threeZones(), testBounds, 228) {
		if o.Zone == "b" && o.Reclaimable {
			t.Errorf("order in zone b repeated at once: %+v", o)
		}
		p.RecordAccepted(o)
	}
	if n := p.orderedTotal(); n < 24 {
		t.Errorf("%d engines, want at least the 24 that the zones allow", n)
	}
}

// Guards against reclaimed engines that still count as running.
func TestReclaimedEnginesAreReplaced(t *testing.T) {
	p := NewPlanner()
	zones := threeZones()
	acceptAll(p, p.Plan(begin, zones, testBounds, 228))
	for i := range zones {
		zones[i].Reclaimable = 4
	}
	zones[0].Reclaimable = 0
	p.Plan(begin.Add(time.Second), zones, testBounds, 228)
	orders := p.Plan(begin.Add(time.Second+maxStartTime+time.Second), zones, testBounds, 228)
	if len(orders) == 0 {
		t.Error("no order that replaces the reclaimed engines")
	}
}

// Guards against more engines than can be kept at new weights.
func TestMaxUpToDateLimitsScaleUp(t *testing.T) {
	p := NewPlanner()
	bounds := testBounds
	bounds.MaxUpToDate = 15
	acceptAll(p, p.Plan(begin, threeZones(), bounds, 228))
	if n := p.orderedTotal(); n != 15 {
		t.Errorf("%d engines, want 15", n)
	}
}

// Guards against reclaimable engines of an evacuated zone that count as reclaimed: a later order for the zone would remove them.
func TestEvacuatedEnginesAreNotReclaimed(t *testing.T) {
	p := NewPlanner()
	zones := threeZones()
	acceptAll(p, p.Plan(begin, zones, testBounds, 228))
	for i := range zones {
		zones[i].Reclaimable = 4
	}
	p.Plan(begin.Add(time.Second), zones, testBounds, 228)
	want := p.zones["a"].ordered
	during := []Zone{{Name: "a", Evacuated: true}, zones[1], zones[2]}
	for s := 2; s < 90; s++ {
		acceptAll(p, p.Plan(begin.Add(time.Duration(s)*time.Second), during, testBounds, 100))
	}
	p.Plan(begin.Add(90*time.Second), zones, testBounds, 100)
	if got := p.zones["a"].ordered; got != want || got.Reclaimable == 0 {
		t.Errorf("zone a has %+v after its evacuation, want %+v", got, want)
	}
}

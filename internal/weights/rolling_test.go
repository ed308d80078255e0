package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

var testStart = time.Unix(5000, 0)

func testEngines(n int, versions map[string]int) []live.Target {
	var all []live.Target
	for i := range n {
		all = append(all, live.Target{ID: fmt.Sprintf("e%02d", i), Slots: 12, Versions: versions})
	}
	return all
}

// Guards against an unequal distribution of engines among models, and against one removed engine that reassigns many
// others.
func TestAssignIsBalancedAndStable(t *testing.T) {
	models := []string{"a", "b", "c"}
	engines := testEngines(13, nil)
	before := Assign(engines, models)
	counts := map[string]int{}
	for _, m := range before {
		counts[m]++
	}
	for _, m := range models {
		if counts[m] < 3 || counts[m] > 5 {
			t.Errorf("model %s has %d of 13 engines, want 3 to 5", m, counts[m])
		}
	}
	after := Assign(engines[:12], models)
	moved := 0
	for id, m := range after {
		if before[id] != m {
			moved++
		}
	}
	if moved > 2 {
		t.Errorf("%d engines were reassigned after one was removed, want at most 2", moved)
	}
	if len(Assign(engines, nil)) != 0 {
		t.Error("engines are assigned although there are no models")
	}
}

// Guards against more concurrent loads than the limit, orders to engines that already have the newest version, and
// orders right after a release, when jobs are submitted.
func TestRollingPlan(t *testing.T) {
	models := []string{"m"}
	r := NewRollingPlanner()
	engines := testEngines(12, map[string]int{"m": 1})
	if got := r.Plan(testStart, engines, models, map[string]int{"m": 1}); len(got) != 0 {
		t.Fatalf("orders although all engines have the newest version: %v", got)
	}
	release := map[string]int{"m": 2}
	if got := r.Plan(testStart, engines, models, release); len(got) != 0 {
		t.Errorf("%d orders right after the release, want none before newReleaseDelay has passed", len(got))
	}
	now := testStart.Add(newReleaseDelay)
	first := r.Plan(now, engines, models, release)
	if len(first) != 2 {
		t.Fatalf("%d orders for 12 engines, want 2", len(first))
	}
	if again := r.Plan(now, engines, models, release); len(again) != 0 {
		t.Errorf("%d more orders while 2 engines load, want none", len(again))
	}
	r.RecordLoadedVersion(first[0].Target.ID, 2)
	for i := range engines {
		if engines[i].ID == first[0].Target.ID {
			engines[i].Versions = map[string]int{"m": 2}
		}
	}
	if next := r.Plan(now, engines, models, release); len(next) != 1 || next[0].Target.ID == first[0].Target.ID {
		t.Errorf("orders after one load finished: %v, want one for another engine", next)
	}
}

// Guards against a load limit that depends on the number of engines in the first plan and never grows. In the
// deployment "hanbit grown scale-1" the first plan had two engines, and 45 engines then loaded two at a time for 30 s.
func TestRollingLoadLimitGrowsFromSmallFleet(t *testing.T) {
	r := NewRollingPlanner()
	r.Plan(testStart, testEngines(2, map[string]int{"m": 1}), []string{"m"}, map[string]int{"m": 1})
	engines := testEngines(45, map[string]int{"m": 1})
	now := testStart.Add(time.Second)
	maxOrders := 0
	for range 40 {
		orders := r.Plan(now, engines, []string{"m"}, map[string]int{"m": 3})
		maxOrders = max(maxOrders, len(orders))
		for _, o := range orders {
			r.RecordSent(o, true, now)
			r.RecordLoadTime(time.Second, now)
			r.RecordLoadedVersion(o.Target.ID, 3)
		}
		now = now.Add(time.Second)
	}
	if maxOrders < 9 {
		t.Errorf("at most %d of 45 engines loaded at once, want at least 9 because loads stayed fast", maxOrders)
	}
}

// Guards against orders that reach an engine with the oldest weights last: it becomes too stale for the next step while
// engines with newer weights load.
func TestRollingLoadsOldestFirst(t *testing.T) {
	r := NewRollingPlanner()
	engines := testEngines(10, map[string]int{"m": 4})
	engines[7].Versions = map[string]int{"m": 3}
	orders := r.Plan(testStart, engines, []string{"m"}, map[string]int{"m": 5})
	if len(orders) != 1 || orders[0].Target.ID != "e07" {
		t.Errorf("orders %v, want only one for e07 before newReleaseDelay has passed", orders)
	}
}

// Guards against an order that is not sent again after the engine refused it, did not load, or restarted.
func TestRollingRetriesOrders(t *testing.T) {
	cases := []struct {
		name      string
		simulate  func(r *RollingPlanner, o RollingOrder, engines []live.Target)
		elapsed   time.Duration
		wantRetry bool
	}{
		{"accepted and loading", func(r *RollingPlanner, o RollingOrder, _ []live.Target) { r.RecordSent(o, true, testStart) }, time.Second, false},
		{"refused, before the retry delay", func(r *RollingPlanner, o RollingOrder, _ []live.Target) { r.RecordSent(o, false, testStart) }, 0, false},
		{"refused, after the retry delay", func(r *RollingPlanner, o RollingOrder, _ []live.Target) { r.RecordSent(o, false, testStart) }, orderRetryDelay, true},
		{"accepted, but not loaded within the timeout", func(r *RollingPlanner, o RollingOrder, _ []live.Target) { r.RecordSent(o, true, testStart) }, loadTimeout + time.Second, true},
		{"accepted, then the engine restarted", func(r *RollingPlanner, o RollingOrder, engines []live.Target) {
			r.RecordSent(o, true, testStart)
			engines[0].StartNumber = 9
		}, 100 * time.Millisecond, true},
	}
	for _, c := range cases {
		r := NewRollingPlanner()
		engines := testEngines(1, map[string]int{"m": 1})
		orders := r.Plan(testStart, engines, []string{"m"}, map[string]int{"m": 3})
		if len(orders) != 1 {
			t.Fatalf("%s: %d orders, want 1", c.name, len(orders))
		}
		c.simulate(r, orders[0], engines)
		retries := r.Plan(testStart.Add(c.elapsed), engines, []string{"m"}, map[string]int{"m": 3})
		if (len(retries) == 1) != c.wantRetry {
			t.Errorf("%s: orders %v in the second plan", c.name, retries)
		}
	}
}

// Guards against too many concurrent loads, which finish no earlier and keep more engines from starting items, and
// against too few where more would be as fast. The cases follow recorded deployments: in "kerlann scale-1" 24 engines
// share a bandwidth that loads two engines in 0.9 s, in "hanbit grown scale-1" 45 engines share one that loads nine.
func TestRollingAdaptsToBandwidth(t *testing.T) {
	for _, c := range []struct{ engines, fullSpeedLoads, minSustainable, maxSustainable int }{{24, 2, 15, 30}, {45, 9, 60, 140}} {
		t.Run(fmt.Sprint(c.engines), func(t *testing.T) {
			simulateReleases(t, c.engines, c.fullSpeedLoads, c.minSustainable, c.maxSustainable)
		})
	}
}

// simulatedFleet is a number of engines that share the bandwidth for fetching weights.
type simulatedFleet struct {
	planner *RollingPlanner
	engines []live.Target
	// fullSpeedLoads is the number of engines that can load at once in simulatedLoadTime.
	fullSpeedLoads int
	now            time.Time
	loadStart      map[string]time.Time
	progress       map[string]float64
	totalLoadTime  time.Duration
	loads          int
}

const (
	simulationTick    = 50 * time.Millisecond
	simulatedLoadTime = 900 * time.Millisecond
)

func newSimulatedFleet(count, fullSpeedLoads int) *simulatedFleet {
	return &simulatedFleet{
		planner: NewRollingPlanner(), engines: testEngines(count, map[string]int{"m": 1}), fullSpeedLoads: fullSpeedLoads, now: testStart,
		loadStart: map[string]time.Time{}, progress: map[string]float64{},
	}
}

// run advances the simulation while a version is the newest.
func (f *simulatedFleet) run(version int, length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(simulationTick) {
		for _, o := range f.planner.Plan(f.now, f.engines, []string{"m"}, map[string]int{"m": version}) {
			f.planner.RecordSent(o, true, f.now)
			f.loadStart[o.Target.ID] = f.now
		}
		share := min(1, float64(f.fullSpeedLoads)/float64(max(1, len(f.loadStart))))
		for id := range f.loadStart {
			f.totalLoadTime += simulationTick
			f.progress[id] += simulationTick.Seconds() / simulatedLoadTime.Seconds() * share
			if f.progress[id] >= 1 {
				f.finishLoad(id, version)
			}
		}
	}
}

func (f *simulatedFleet) finishLoad(id string, version int) {
	f.planner.RecordLoadTime(f.now.Sub(f.loadStart[id])+simulationTick, f.now)
	f.planner.RecordLoadedVersion(id, version)
	f.loads++
	for i := range f.engines {
		if f.engines[i].ID == id {
			f.engines[i].Versions = map[string]int{"m": version}
		}
	}
	delete(f.loadStart, id)
	delete(f.progress, id)
}

// countVersion returns the number of engines with at least a version.
func (f *simulatedFleet) countVersion(version int) int {
	n := 0
	for _, e := range f.engines {
		if e.Versions["m"] >= version {
			n++
		}
	}
	return n
}

func simulateReleases(t *testing.T, count, fullSpeedLoads, minSustainable, maxSustainable int) {
	f := newSimulatedFleet(count, fullSpeedLoads)
	for version := 2; version <= 7; version++ {
		f.run(version, 5*time.Second)
	}
	if n := f.planner.SustainableEngines(); n < minSustainable || n > maxSustainable {
		t.Errorf("SustainableEngines() = %d, want %d to %d", n, minSustainable, maxSustainable)
	}
	// A load takes 0.9 s if no more engines load at once than the bandwidth allows.
	idealLoadTime := time.Duration(f.loads) * simulatedLoadTime
	if f.totalLoadTime > idealLoadTime*3/2 {
		t.Errorf("all loads took %v, want at most 1.5 times %v", f.totalLoadTime, idealLoadTime)
	}
	recentEngines := f.countVersion(6)
	if loadable := min(count, 2*fullSpeedLoads*5); recentEngines < loadable*3/4 {
		t.Errorf("%d of %d engines have one of the two newest versions, want %d", recentEngines, count, loadable*3/4)
	}
}

// Guards against a new lease holder that loads new weights a few engines at a time although the bandwidth allows many:
// after a takeover all engines are one or two versions behind, and the steps of all trainers wait for them. The cases
// follow a recorded deployment of 102 engines, of which 20 load at full speed.
func TestRollingSpeedAfterTakeover(t *testing.T) {
	cases := []struct {
		name     string
		restores bool
		// wantLoaded is the number of engines that must have the newest version after 6 s: those that 20 concurrent loads
		// allow in that time, less those of the given number of load times.
		wantLoaded int
	}{
		{"nothing is known", false, 20*6 - 4*20},
		{"the former holder's limit is known", true, 20*6 - 2*20},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newSimulatedFleet(102, 20)
			for version := 2; version <= 7; version++ {
				f.run(version, 8*time.Second)
			}
			learned := f.planner.Limit()
			f.planner = NewRollingPlanner()
			if tc.restores {
				f.planner.Restore(learned)
			}
			clear(f.loadStart)
			clear(f.progress)
			f.run(9, 6*time.Second)
			if n := f.countVersion(9); n < tc.wantLoaded {
				t.Errorf("%d engines have the newest version 6 s after the takeover, want %d", n, tc.wantLoaded)
			}
		})
	}
}

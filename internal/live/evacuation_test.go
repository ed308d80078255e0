package live

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against a target whose state depends on the order in which its entry, its responses and the evacuations of zones become
// known, and against an evacuation that changes what the target itself said.
func TestStateDoesNotDependOnOrder(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		zones, evacuated := []string{"a", "b", "c"}, map[string]bool{}
		listed := map[string]bool{}
		view := NewView()
		view.AwaitEvacuations()
		isKnown := false
		var leaving time.Time
		events := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 30).Draw(t, "events")
		for n, kind := range events {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch kind {
			case 0:
				evacuated[zone] = !evacuated[zone]
				if !view.SetEvacuated(zone, evacuated[zone]) || view.SetEvacuated(zone, evacuated[zone]) {
					t.Fatal("a change of a zone is not new once")
				}
			case 1:
				listed[zone] = rapid.Bool().Draw(t, "draining")
				view.SetTarget(Target{ID: zone, Zone: zone, Draining: listed[zone]})
			case 2:
				view.EvacuationsKnown()
				isKnown = true
			case 3:
				delete(listed, zone)
				view.RemoveTarget(zone)
			case 4:
				view.SetTarget(Target{ID: "leaving", Zone: "a"})
				leaving = start.Add(time.Hour + time.Duration(n)*time.Second)
				view.ObserveLeaving("leaving", true, leaving)
			}
			for zone, draining := range listed {
				got, ok := view.Target(zone)
				if !ok || got.Evacuated != evacuated[zone] || got.Draining != (draining || evacuated[zone] || !isKnown) {
					t.Fatalf("zone %s, listed as draining %v, evacuated %v, known %v: %+v", zone, draining, evacuated[zone], isKnown, got)
				}
			}
			if got, _ := view.Target("leaving"); !leaving.IsZero() && (!got.Draining || got.Evacuated != evacuated["a"]) {
				t.Fatalf("target that leaves: %+v", got)
			}
		}
		maps.DeleteFunc(evacuated, func(_ string, is bool) bool { return !is })
		if got, want := view.EvacuatedZones(), slices.Sorted(maps.Keys(evacuated)); !slices.Equal(got, want) {
			t.Fatalf("evacuated zones %v, want %v", got, want)
		}
	})
}

// Guards against a state that hides a stronger one, and against the age of another state.
func TestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := NewView()
		view.SetTarget(Target{ID: "e", Zone: "z", ColdUntil: time.Now().Add(3 * time.Second)})
		expect := func(state State, age, cold time.Duration) {
			t.Helper()
			if got := view.States(time.Now())[0]; got.State != state || got.Age != age || got.ColdFor != cold {
				t.Errorf("%s for %v, cold for %v; want %s, %v, %v", got.State, got.Age, got.ColdFor, state, age, cold)
			}
		}
		time.Sleep(time.Second)
		expect(Cold, time.Second, 2*time.Second)
		view.SetEvacuated("z", true)
		time.Sleep(time.Second)
		expect(Evacuated, time.Second, time.Second)
		view.SetTarget(Target{ID: "e", Zone: "z", Draining: true, ColdUntil: time.Now().Add(time.Second)})
		time.Sleep(time.Second)
		expect(Evacuated, 2*time.Second, 0)
		view.SetEvacuated("z", false)
		time.Sleep(time.Second)
		expect(Draining, time.Second, 0)
		view.SetTarget(Target{ID: "e", Zone: "z", StartNumber: 1, ColdUntil: time.Now().Add(time.Second)})
		time.Sleep(3 * time.Second)
		expect(Ready, 2*time.Second, 0)
	})
}

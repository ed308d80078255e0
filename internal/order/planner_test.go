package order

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretspar/egretspar/internal/config"
)

// Guards against a plan that exceeds a pool's limit or the budget, or that does not cover the booking service's demand
// after the loss of a zone although the pools would allow it.
func TestPlanProperties(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		zoneCount := rapid.IntRange(1, 5).Draw(t, "zones")
		budget := float64(rapid.IntRange(0, 200).Draw(t, "budget"))
		document := &config.Document{
			Services: []config.Service{{Name: "booking", Class: config.ServiceClassLatency}, {Name: "train"}},
			Budget:   []config.BudgetStep{{From: traceStart, PerHour: budget}},
		}
		for n := range zoneCount {
			for _, service := range []string{"booking", "train"} {
				for class, price := range map[config.Class]float64{config.ClassOnDemand: 3, config.ClassReclaimable: 1} {
					document.Pools = append(document.Pools, config.Pool{
						Service: service, Zone: fmt.Sprint(n), Class: class, Slots: targetSlots, PricePerHour: price,
						Max: rapid.IntRange(0, 6).Draw(t, "max"),
					})
				}
			}
		}
		bookingSlots := float64(rapid.IntRange(0, 120).Draw(t, "booking"))
		planner := NewPlanner()
		planner.ApplyConfig(document)
		planner.RecordDemand(traceStart, []Demand{{Service: "booking", Slots: bookingSlots}, {Service: "train", Slots: 64}})
		checkPlan(t, document, planner.Plan(traceStart.Add(time.Second), Observation{}), bookingSlots, budget)
	})
}

func checkPlan(t *rapid.T, document *config.Document, counts TargetCounts, bookingSlots, budget float64) {
	spend, maxTotal, total := 0.0, 0.0, 0.0
	byZone, maxByZone := map[string]float64{}, map[string]float64{}
	for _, pool := range document.Pools {
		count := counts[configuredPool(pool)]
		if count < 0 || count > pool.Max {
			t.Fatalf("planned %d targets in a pool of at most %d", count, pool.Max)
		}
		spend += float64(count) * pool.PricePerHour
		if pool.Service == "booking" {
			byZone[pool.Zone] += float64(count * targetSlots)
			maxByZone[pool.Zone] += float64(pool.Max * targetSlots)
			total += float64(count * targetSlots)
			maxTotal += float64(pool.Max * targetSlots)
		}
	}
	if spend > budget+1e-6 {
		t.Fatalf("planned spend %v exceeds the budget %v", spend, budget)
	}
	// The most expensive zone-redundant plan for 120 slots costs at most 3 * 24 per hour, which a budget of 100 covers.
	if budget < 100 {
		return
	}
	canSurviveZoneLoss := bookingSlots > 0
	for zone := range maxByZone {
		canSurviveZoneLoss = canSurviveZoneLoss && maxTotal-maxByZone[zone] >= bookingSlots+targetSlots
	}
	for zone := range byZone {
		if canSurviveZoneLoss && total-byZone[zone] < bookingSlots {
			t.Fatalf("booking requires %v slots, but only %v remain without zone %s", bookingSlots, total-byZone[zone], zone)
		}
	}
}

// Guards against a plan that, on a small budget, leaves one latency service short of targets while another has more
// than it requires.
func TestSmallBudgetIsShared(t *testing.T) {
	document := &config.Document{}
	for _, service := range []string{"booking", "status"} {
		document.Services = append(document.Services, config.Service{Name: service, Class: config.ServiceClassLatency})
		for n := range 3 {
			document.Pools = append(document.Pools, config.Pool{Service: service, Zone: fmt.Sprint(n), Class: config.ClassReclaimable, Slots: 1, PricePerHour: 1, Max: 20})
		}
	}
	for budget, want := range map[float64][2]int{5: {2, 2}, 8: {4, 4}, 10: {6, 4}, 12: {6, 6}} {
		document.Budget = []config.BudgetStep{{From: traceStart, PerHour: budget}}
		planner := NewPlanner()
		planner.ApplyConfig(document)
		planner.RecordDemand(traceStart, []Demand{{Service: "booking", Slots: 4}, {Service: "status", Slots: 4}})
		got := map[string]int{}
		for pool, count := range planner.Plan(traceStart, Observation{}) {
			got[pool.Service] += count
		}
		if got["booking"]+got["status"] > int(budget) || got["booking"] < want[0] || got["status"] < want[1] {
			t.Errorf("budget %v: planned %v, want at least %v and no more than the budget", budget, got, want)
		}
	}
}

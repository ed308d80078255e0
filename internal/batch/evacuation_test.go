package batch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

// newZonedCluster returns a cluster with two engines in each of the zones y and z and a scoring target in z. The engines in z have
// a software version.
func newZonedCluster(t *testing.T, software string) *cluster {
	c := newCluster(t)
	for i, zone := range []string{"z", "z", "y", "y"} {
		target := live.Target{ID: fmt.Sprint("e", i), Service: testService, Slots: 8, Versions: map[string]int{testModel: 1}, Zone: zone, Software: "v1"}
		if zone == "z" {
			target.Software = software
		}
		c.view.SetTarget(target)
	}
	c.view.SetTarget(live.Target{ID: "s0", Service: testScoringService, Slots: 6, Zone: "z"})
	return c
}

// runsInZ returns the number of runs that began at the engines of zone z.
func (f *fakeRunner) runsInZ() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runLog {
		if r.Target.Zone == "z" {
			n++
		}
	}
	return n
}

// Guards against items that begin in an evacuated zone or stay there although engines of their software version have room in
// another; against items that lose text on the way, or leave although no such engine has room; and against a zone that is not
// used again, or items that are not run, after the end.
func TestItemsDuringEvacuation(t *testing.T) {
	for _, tc := range []struct {
		name     string
		software string
		zones    []string
		// lasts is how long the evacuation lasts.
		lasts time.Duration
		// leave and wait are whether items leave zone z, and whether a job that comes during the evacuation waits.
		leave, wait bool
	}{
		{"room elsewhere", "v1", []string{"z"}, 3 * time.Second, true, false},
		{"no engine of the version elsewhere", "v2", []string{"z"}, 3 * time.Second, false, false},
		{"two zones, all there are", "v1", []string{"z", "y"}, 5 * time.Second, false, true},
		{"ended halfway", "v1", []string{"z"}, 100 * time.Millisecond, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newZonedCluster(t, tc.software)
				a := c.start("a/1")
				defer c.stop(a)
				job, later, last := newJob("job", 12), newJob("later", 4), newJob("last", 24)
				for _, item := range job.Items {
					c.runner.lengths[item.ID] = 100
				}
				accept(t, a, job)
				time.Sleep(time.Second)
				set := func(evacuated bool) {
					for _, zone := range tc.zones {
						c.view.SetEvacuated(zone, evacuated)
					}
					a.Wake()
				}
				set(true)
				began := c.runner.runsInZ()
				if began == 0 || len(rewardCapacities(c.view.Targets())) > 2-len(tc.zones) {
					t.Errorf("%d runs in zone z; capacities for rewards %v", began, rewardCapacities(c.view.Targets()))
				}
				accept(t, a, later)
				time.Sleep(tc.lasts)
				if n := c.runner.runsInZ() - began; n > 0 {
					t.Errorf("%d runs began in the evacuated zone", n)
				}
				for _, item := range job.Items {
					runs := c.runner.runs(item.ID)
					hasLeft := len(runs) > 1 && runs[len(runs)-1].Target.Zone == "y"
					if runs[0].Target.Zone == "z" && tc.lasts >= time.Second && hasLeft != tc.leave {
						t.Errorf("%s left the zone: %v; %d runs", item.ID, hasLeft, len(runs))
					}
				}
				if waits := len(c.runner.runs(later.Items[0].ID)) == 0; waits != tc.wait {
					t.Errorf("a job during the evacuation waits: %v", waits)
				}
				set(false)
				c.checkResults(later, c.readAll(a, later))
				c.checkResults(job, c.readAll(a, job))
				for _, item := range job.Items {
					if got := c.runner.eventCount(item.ID); got > 101 {
						t.Errorf("%s was generated again: %d events", item.ID, got)
					}
				}
				before := c.runner.runsInZ()
				accept(t, a, last)
				c.checkResults(last, c.readAll(a, last))
				if c.runner.runsInZ() == before {
					t.Error("zone z is not used after the evacuation")
				}
			})
		})
	}
}

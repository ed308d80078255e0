package batch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/ownership"
)

// addEngines adds engines to the four of a new cluster until there are n.
func (c *cluster) addEngines(n int) {
	for i := 4; i < n; i++ {
		c.view.SetTarget(live.Target{ID: fmt.Sprint("e", i), Service: testService, Slots: 8, Versions: map[string]int{testModel: 1}})
	}
}

func newStep(step, items int) *Job {
	job := newJob(fmt.Sprint("step", step), items)
	job.Step = step
	return job
}

// Guards against a new owner for each step, which opens connections of its own to all engines: a trainer submits a step
// every 4 s through any instance.
func TestStepsStayWithTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.addEngines(ownership.MinEnginesToKeepOwner)
		var instances []*testInstance
		for i := range 8 {
			instances = append(instances, c.start(fmt.Sprint("n", i, "/1")))
		}
		defer c.stop(instances...)
		for step := range 10 {
			job := newStep(step, 16)
			start := time.Now()
			accept(t, instances[(3*step)%8], job)
			c.checkResults(job, c.readAll(instances[step%8], job))
			if elapsed := time.Since(start); elapsed > 900*time.Millisecond {
				t.Errorf("step %d took %v", step, elapsed)
			}
			if err := instances[0].End(t.Context(), job.ID, job.Team); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			if row, err := instances[1].refreshRow(t.Context(), job.ID); err != nil || row.Owner != "n0/1" {
				t.Errorf("step %d: owner %q, error %v", step, row.Owner, err)
			}
		}
	})
}

// Guards against a step that is lost, or that waits for long, because it was assigned to an owner that fails at that
// moment.
func TestAssignedOwnerFails(t *testing.T) {
	cases := []struct {
		name string
		fail func(*testInstance)
		// delay is the time from the failure to the next step.
		delay time.Duration
		limit time.Duration
	}{
		{"killed just before", func(n *testInstance) { n.kill() }, 0, 4 * time.Second},
		{"killed before", func(n *testInstance) { n.kill() }, ownership.MaxHeartbeatAge + 300*time.Millisecond, 1500 * time.Millisecond},
		{"cut off from the store", func(n *testInstance) { n.link.setBlocked(true) }, 0, 4 * time.Second},
		{"drains", func(n *testInstance) { n.Drain(context.Background()) }, 0, 2 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.addEngines(ownership.MinEnginesToKeepOwner)
				a, b, d := c.start("a/1"), c.start("b/1"), c.start("d/1")
				defer c.stop(a, b, d)
				first := newStep(0, 16)
				accept(t, a, first)
				c.checkResults(first, c.readAll(b, first))
				tc.fail(a)
				time.Sleep(tc.delay)
				second := newStep(1, 16)
				start := time.Now()
				accept(t, b, second)
				c.checkResults(second, c.readAll(d, second))
				if elapsed := time.Since(start); elapsed > tc.limit {
					t.Errorf("the step took %v", elapsed)
				}
			})
		})
	}
}

// Guards against a small instance that runs the job that it accepted, and against a job that nobody runs when no large instance is
// left.
func TestSmallInstanceRunsNoJob(t *testing.T) {
	for name, tc := range map[string]struct {
		large bool
		owner string
		limit time.Duration
	}{
		"a large instance takes the job": {true, "large/1", 900 * time.Millisecond},
		"only small instances are left":  {false, "small/1", 2000 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				capacities := ownership.NewCapacityTable("small", 0.2)
				capacities.SetCapacity("large", 1)
				c.capacities = capacities
				small, large := c.start("small/1"), c.start("large/1")
				defer c.stop(small, large)
				if !tc.large {
					large.kill()
				}
				job := newStep(0, 8)
				start := time.Now()
				accept(t, small, job)
				c.checkResults(job, c.readAll(small, job))
				if elapsed := time.Since(start); elapsed > tc.limit+time.Second {
					t.Errorf("the job took %v", elapsed)
				}
				if row, err := small.refreshRow(t.Context(), job.ID); err != nil || row.Owner != tc.owner {
					t.Errorf("owner %q, error %v, want %s", row.Owner, err, tc.owner)
				}
			})
		})
	}
}

// Guards against a heartbeat that is under way when its instance departs and replaces the departure, so that other
// instances wait for the owner timeout.
func TestHeartbeatDoesNotReplaceDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		accept(t, a, newJob("job", 8))
		// The heartbeat under way takes effect later than its own timeout and the departure.
		c.store.withLock(func() { c.store.commitLatency = 200 * time.Millisecond })
		time.Sleep(ownership.HeartbeatInterval + 50*time.Millisecond)
		c.store.withLock(func() { c.store.commitLatency = 0 })
		a.Drain(t.Context())
		time.Sleep(5 * time.Second)
		row, err := c.store.Get(t.Context(), ownerTable+"/a/1")
		if err != nil {
			t.Fatal(err)
		}
		if h, err := decodeHeartbeat(row.Value); err != nil || !h.Departed {
			t.Errorf("row %q, error %v; want a departure", row.Value, err)
		}
	})
}

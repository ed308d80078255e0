package batch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// Guards against lost or duplicate results after an owner crashes, and against generating stored text again.
func TestTakeoverContinuesAfterStoredText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(b)
		job := newJob("job", 8)
		c.runner.lengths["job-005"] = 150
		accept(t, a, job)
		time.Sleep(3500 * time.Millisecond)
		a.kill()
		c.checkResults(job, c.readAll(b, job))
		// The item generates one event per 40 ms, about 87 in 3.5 s. The last stored segment is at most saveInterval old,
		// so at most the last 25 events are lost.
		runs := c.runner.runs("job-005")
		if last := runs[len(runs)-1]; last.LastEvent < 60 {
			t.Errorf("the new owner continued after event %d, want at least 60", last.LastEvent)
		}
	})
}

// Guards against a takeover that waits for ownerTimeout although the owner was an earlier process on the same
// machine.
func TestRestartedProcessTakesOverItsJobsWithoutTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		job := newJob("job", 8)
		c.runner.lengths["job-005"] = 100
		accept(t, a, job)
		time.Sleep(500 * time.Millisecond)
		a.kill()
		restarted := c.start("a/2")
		defer c.stop(restarted)
		time.Sleep(500 * time.Millisecond)
		restarted.mu.Lock()
		owned := len(restarted.owned)
		restarted.mu.Unlock()
		if owned != 1 {
			t.Errorf("the restarted process owns %d jobs after 0.5 s, want 1", owned)
		}
		c.checkResults(job, c.readAll(restarted, job))
	})
}

// Guards against appends by a former owner that lost its job while it was disconnected from the store, and whose
// connection then recovers.
func TestFormerOwnerCannotAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		job := newJob("job", 16)
		for i := range 16 {
			c.runner.lengths[fmt.Sprintf("job-%03d", i)] = 30 + 10*i
		}
		accept(t, a, job)
		time.Sleep(1200 * time.Millisecond)
		a.link.setBlocked(true)
		time.Sleep(4 * time.Second)
		a.link.setBlocked(false)
		c.checkResults(job, c.readAll(b, job))
		row, err := b.refreshRow(context.Background(), "job")
		if err != nil || row.Owner != "b/1" || row.Term != 2 {
			t.Errorf("row %+v, error %v; want owner b/1 and term 2", row.jobRecord, err)
		}
	})
}

// Guards against takeovers from live owners after the store hung. They occurred when the silence of an owner counted
// up to the time of a failed read instead of the last successful one.
func TestHangingStoreCausesNoTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		var instances []*testInstance
		for i := range 6 {
			instances = append(instances, c.start(fmt.Sprint("n", i, "/1")))
		}
		defer c.stop(instances...)
		job := newJob("job", 8)
		c.runner.lengths["job-005"] = 300
		accept(t, instances[0], job)
		time.Sleep(1500 * time.Millisecond)
		c.store.withLock(func() { c.store.hangs = true })
		time.Sleep(4 * time.Second)
		c.store.withLock(func() { c.store.hangs = false })
		if c.store.hungJobWrites > 0 {
			t.Errorf("%d takeovers were attempted; their commits may take effect when the store recovers", c.store.hungJobWrites)
		}
		time.Sleep(3 * time.Second)
		row, err := instances[1].refreshRow(context.Background(), "job")
		if err != nil || row.Term != 1 {
			t.Errorf("row %+v, error %v; want term 1", row.jobRecord, err)
		}
		c.checkResults(job, c.readAll(instances[2], job))
	})
}

// Guards against combining different generations at a takeover: the new owner finds text of the previous job that the
// first owner could not read, and segments of the first owner, which ran the item from its start.
func TestTakeoverDoesNotMixRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		job := newJob("two", 1)
		job.Step = 1
		c.runner.lengths["two-000"] = 200
		accept(t, a, job)
		time.Sleep(3100 * time.Millisecond)
		a.kill()
		time.Sleep(100 * time.Millisecond)
		// The earlier step's text ends where the third segment begins, and was stored only after the first owner had
		// looked for it.
		var lastSegment segment
		c.store.withLock(func() {
			var segments map[string]segment
			if err := decodeObject(c.store.objects[segmentObjectName("two", 1, 2)], &segments); err != nil {
				t.Fatal(err)
			}
			lastSegment = segments["two-000"]
		})
		previousText := Text{Output: []byte(strings.Repeat("x\n", lastSegment.After-1) + "x"), Last: lastSegment.After, Versions: []int{1}}
		ended := jobRecord{Team: "team", Route: "route", Model: testModel, Total: 1, Owner: "z/1", Term: 1, Ended: true}
		c.store.withLock(func() {
			c.store.objects[textObjectName("one", 1)] = encodeObject(map[string]storedText{"two-000": {Text: previousText}})
			value := api.EncodeValue(ended)
			if _, err := c.store.apply(api.Txn{Writes: []api.Write{{Key: jobKey("one"), Expected: api.NoRevision, Value: value}}}); err != nil {
				t.Fatal(err)
			}
		})
		b := c.start("b/1")
		defer c.stop(b)
		c.checkResults(job, c.readAll(b, job))
	})
}

// Guards against a drain after which a job loses its text or waits for ownerTimeout.
func TestDrainHandsOverWithoutTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		job := newJob("job", 4)
		c.runner.lengths["job-001"] = 120
		accept(t, a, job)
		time.Sleep(2 * time.Second)
		a.Drain(context.Background())
		time.Sleep(700 * time.Millisecond)
		b.mu.Lock()
		owned := len(b.owned)
		b.mu.Unlock()
		if owned != 1 {
			t.Errorf("the other instance owns %d jobs 0.7 s after the drain, want 1", owned)
		}
		c.checkResults(job, c.readAll(b, job))
		// Drain stores the whole text: about 50 events after 2 s at 40 ms per event.
		runs := c.runner.runs("job-001")
		if last := runs[len(runs)-1]; last.LastEvent < 45 {
			t.Errorf("the new owner continued after event %d, want at least 45", last.LastEvent)
		}
	})
}

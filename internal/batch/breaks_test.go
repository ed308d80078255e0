package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// breakRuns makes the next runs of an item break before their first event.
func (f *fakeRunner) breakRuns(item string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lengths[item] = 1
	for range count {
		f.endings[item] = append(f.endings[item], Broken)
	}
}

// Guards against a sound item that is never placed again, or is listed as failed, because engines died under it: with one
// owner and with another one after the burst, and also with text.
func TestItemRunsAgainAfterBurstOfCrashes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		count int
		// replaceOwner kills the owner after the burst.
		replaceOwner bool
	}{
		{"three crashes", 3, false},
		{"six crashes", 6, false},
		{"three crashes, new owner", 3, true},
		{"six crashes, new owner", 6, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a, b := c.start("a/1"), c.start("b/1")
				defer c.stop(a, b)
				job := newJob("job", 8)
				c.runner.breakRuns("job-001", tc.count)
				start := time.Now()
				accept(t, a, job)
				reader := a
				if tc.replaceOwner {
					time.Sleep(1500 * time.Millisecond)
					a.kill()
					reader = b
				}
				results := c.readAll(reader, job)
				for _, r := range results {
					if r.Failed {
						t.Errorf("%s failed", r.ID)
					}
				}
				// The trainer's steps are due after 7.5 s.
				if elapsed := time.Since(start); len(results) != len(job.Items) || elapsed > 15*time.Second {
					t.Errorf("%d results after %v", len(results), elapsed)
				}
			})
		})
	}
}

// Guards against an item under which engines die and that takes every engine at once, or is not tried until it expires. Its
// runs must be 0.2 s apart at least and not wait longer than an eighth of the time that is left or 3.2 s.
func TestBrokenItemWaitsLongerEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 2)
		c.runner.breakRuns("job-001", 1000)
		accept(t, a, job)
		time.Sleep(20 * time.Second)
		first := len(c.runner.runs("job-001"))
		// 0.2 + 0.4 + 0.8 + 1.6 s, then each 3.2 s.
		if first < 8 || first > 10 {
			t.Errorf("%d runs in 20 s, want 8 to 10", first)
		}
		if got := len(c.runner.runs("job-000")); got != 1 {
			t.Errorf("the sound item of the group ran %d times, want once", got)
		}
		results := c.readAll(a, job)
		if len(results) != 2 || !results[1].Failed {
			t.Errorf("results %+v; want two, the second one failed when it expired", results)
		}
		if last := len(c.runner.runs("job-001")); last < first+5 {
			t.Errorf("%d runs in the second half of the item's life", last-first)
		}
	})
}

// Guards against an item that waits although its text grew, and against one that is resumed at once again and again without
// a new event.
func TestBreaksCountOnlyWithoutProgress(t *testing.T) {
	now := time.Now()
	job := newJob("job", 1)
	p := newProgress(job)
	s := p.items["job-000"]
	run := func(events int) time.Duration {
		_, cancel := context.WithCancel(context.Background())
		defer cancel()
		p.startRun(s, "e0", now, cancel)
		s.text.Last += events
		p.endRun(s, Broken, now)
		return s.notBefore.Sub(now)
	}
	for i, step := range []struct {
		events int
		wait   time.Duration
	}{
		{0, 200 * time.Millisecond},
		{0, 400 * time.Millisecond},
		{3, 0},
		{0, 0},
		{0, 200 * time.Millisecond},
		{2, 0},
	} {
		if got := run(step.events); got != step.wait {
			t.Errorf("run %d: waits %v, want %v", i, got, step.wait)
		}
	}
}

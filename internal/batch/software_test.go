package batch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

// setSoftware gives an engine of the cluster a software version.
func (c *cluster) setSoftware(engine, software string, draining bool) {
	c.view.SetTarget(live.Target{
		ID: engine, Service: testService, Slots: 8, Versions: map[string]int{testModel: 1}, Software: software, Draining: draining,
	})
}

// newMixedCluster returns a cluster with two engines of each of two software versions.
func newMixedCluster(t *testing.T) *cluster {
	c := newCluster(t)
	for i, software := range []string{"v1", "v1", "v2", "v2"} {
		c.setSoftware(fmt.Sprint("e", i), software, false)
	}
	return c
}

// mixedTexts returns the runs that continued a text of another software version than their own.
func (f *fakeRunner) mixedTexts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var mixed []string
	began := map[string]string{}
	for _, r := range f.runLog {
		if r.LastEvent == 0 {
			began[r.Item.ID] = r.Target.Software
		} else if began[r.Item.ID] != r.Target.Software {
			mixed = append(mixed, fmt.Sprintf("%s after event %d at %s, begun at %s", r.Item.ID, r.LastEvent, r.Target.Software, began[r.Item.ID]))
		}
	}
	return mixed
}

// countResumed returns the number of runs that continued a text.
func (f *fakeRunner) countResumed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, r := range f.runLog {
		if r.LastEvent > 0 {
			count++
		}
	}
	return count
}

// Guards against a text that goes on at an engine of another software version than the one that began it: when its engine
// drains, breaks off or has no room, when its owner dies or hands over, and when its group comes again in a later job. And
// against texts that always begin again, or wait for a version that is gone.
func TestTextGoesOnAtItsSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		name string
		// disturb acts 1.5 s after the job's start. It returns the instance that reads the results.
		disturb func(c *cluster, job *Job, a, b *testInstance) *testInstance
		// resumed is the smallest number of runs that have to continue a text.
		resumed int
	}{
		{"engine drains", func(c *cluster, _ *Job, a, _ *testInstance) *testInstance {
			c.setSoftware("e0", "v1", true)
			a.Wake()
			return a
		}, 1},
		{"all engines of a version drain and end", func(c *cluster, _ *Job, a, _ *testInstance) *testInstance {
			c.setSoftware("e0", "v1", true)
			c.setSoftware("e1", "v1", true)
			a.Wake()
			time.Sleep(time.Second)
			c.runner.setDown("e0", "e1")
			c.view.RemoveTarget("e0")
			c.view.RemoveTarget("e1")
			return a
		}, 0},
		{"engine breaks off", func(c *cluster, _ *Job, a, _ *testInstance) *testInstance {
			c.runner.setDown("e0")
			return a
		}, 1},
		{"all engines of a version break off", func(c *cluster, _ *Job, a, _ *testInstance) *testInstance {
			c.runner.setDown("e0", "e1")
			return a
		}, 0},
		{"owner dies", func(_ *cluster, _ *Job, a, b *testInstance) *testInstance {
			a.kill()
			return b
		}, 8},
		{"owner dies and its texts' version is gone", func(c *cluster, _ *Job, a, b *testInstance) *testInstance {
			a.kill()
			c.view.RemoveTarget("e2")
			c.view.RemoveTarget("e3")
			return b
		}, 4},
		{"owner hands over", func(_ *cluster, _ *Job, a, b *testInstance) *testInstance {
			a.Drain(context.Background())
			return b
		}, 8},
		{"engine comes back with another version", func(c *cluster, _ *Job, a, _ *testInstance) *testInstance {
			c.runner.setDown("e0")
			c.view.SetTarget(live.Target{ID: "e0", Service: testService, Slots: 8, Versions: map[string]int{testModel: 1}, Software: "v2", StartNumber: 2})
			time.Sleep(100 * time.Millisecond)
			c.runner.setDown()
			return a
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newMixedCluster(t)
				a, b := c.start("a/1"), c.start("b/1")
				defer c.stop(a, b)
				job := newJob("job", 24)
				for _, item := range job.Items {
					c.runner.lengths[item.ID] = 80
				}
				accept(t, a, job)
				time.Sleep(1500 * time.Millisecond)
				reader := tc.disturb(c, job, a, b)
				c.checkResults(job, c.readAll(reader, job))
				for _, mixed := range c.runner.mixedTexts() {
					t.Error(mixed)
				}
				if got := c.runner.countResumed(); got < tc.resumed {
					t.Errorf("%d runs continued a text, want at least %d", got, tc.resumed)
				}
			})
		})
	}
}

// Guards against a text that is listed although its engine came back with another version while the run began.
func TestTextOfReplacedEngineBeginsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for i := range 4 {
			c.setSoftware(fmt.Sprint("e", i), "v1", false)
		}
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 1)
		accept(t, a, job)
		time.Sleep(200 * time.Millisecond)
		first := c.runner.runs("job-000")[0].Target.ID
		c.setSoftware(first, "v2", false)
		c.checkResults(job, c.readAll(a, job))
		if runs := c.runner.runs("job-000"); len(runs) != 2 || runs[1].LastEvent != 0 {
			t.Errorf("runs %+v, want a second one from the start", runs)
		}
	})
}

// Guards against a carried-over text that goes on at another software version in the next job of its route.
func TestCarriedTextGoesOnAtItsSoftwareVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newMixedCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		first := newJob("one", 8)
		for _, item := range first.Items {
			c.runner.lengths[item.ID] = 100
		}
		accept(t, a, first)
		time.Sleep(2 * time.Second)
		if err := b.End(context.Background(), "one", "team"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		// One engine of each version is left.
		c.view.RemoveTarget("e0")
		c.view.RemoveTarget("e3")
		second := newJob("two", 4)
		second.Step = 1
		second.Items = append(second.Items, first.Items...)
		accept(t, b, second)
		c.checkResults(second, c.readAll(a, second))
		for _, mixed := range c.runner.mixedTexts() {
			t.Error(mixed)
		}
		if got := c.runner.countResumed(); got < 8 {
			t.Errorf("%d runs continued a text, want 8", got)
		}
	})
}

// Guards against a stored text that joins the beginning of a dropped text with the rest of the one that replaced it.
func TestSegmentsOfDroppedTextAreNotJoined(t *testing.T) {
	job := newJob("job", 1)
	p := newProgress(job)
	s := p.items["job-000"]
	write := func(from, to int, data string) {
		for n := from; n <= to; n++ {
			if err := s.text.Append(Event{ID: n, Data: []byte(data), Version: 1}); err != nil {
				t.Fatal(err)
			}
		}
	}
	write(1, 3, "old")
	first := p.takeUnsaved()
	s.dropText()
	write(1, 5, "new")
	second := p.takeUnsaved()
	joined := joinSegments([]storedSegments{{"term", first}, {"term", second}})
	if got := string(joined["job-000"].Text.Output); got != "new\nnew\nnew\nnew\nnew" {
		t.Errorf("stored text %q", got)
	}
}

// Guards against an item that the few engines of its version refuse again and again while others have room: each refusal must
// not begin its wait anew.
func TestRefusedTextBeginsAgainInTime(t *testing.T) {
	now := time.Now()
	p := newProgress(newJob("job", 1))
	s := p.items["job-000"]
	_, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.startRun(s, "e0", now, cancel)
	s.text = Text{Output: []byte("x"), Last: 10, Versions: []int{1}, Software: "v1"}
	p.endRun(s, Broken, now)
	for range 9 {
		now = now.Add(50 * time.Millisecond)
		if s.isStranded(true, 500*time.Millisecond, now) {
			t.Fatalf("began again after %v", now.Sub(s.waitsSince))
		}
		p.startRun(s, "e0", now, cancel)
		p.endRun(s, NotRun, now)
	}
	if now = now.Add(50 * time.Millisecond); !s.isStranded(true, 500*time.Millisecond, now) {
		t.Error("waits longer than generating the text again takes")
	}
}

package batch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/lease"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/platform/api"
)

func accept(t *testing.T, n *testInstance, job *Job) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := n.Accept(ctx, job); err != nil {
		t.Fatal(err)
	}
}

// Guards against lost, duplicate or truncated results when no fault occurs, and against an instance that cannot serve
// reads of a job that another instance owns.
func TestAnyInstanceReadsWholeJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		job := newJob("job", 40)
		accept(t, a, job)
		c.checkResults(job, c.readAll(b, job))
		body, err := b.ItemBody(context.Background(), "job", "team", "job-003")
		if err != nil || len(body) != 1 || body[0] != 3 {
			t.Errorf("body %v, error %v; want [3] and no error", body, err)
		}
	})
}

// Guards against ErrUnknownJob, which callers receive as a 404, while the store is unavailable and the job may exist,
// and against access by another team.
func TestReadErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 4)
		accept(t, a, job)
		ctx := context.Background()
		if _, err := a.Read(ctx, "other", "team", 0, 0); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("unknown job: %v", err)
		}
		if _, err := a.Read(ctx, "job", "other-team", 0, 0); !errors.Is(err, ErrOtherTeam) {
			t.Errorf("other team: %v", err)
		}
		if err := a.End(ctx, "job", "other-team"); !errors.Is(err, ErrOtherTeam) {
			t.Errorf("end by another team: %v", err)
		}
		c.store.withLock(func() { c.store.down = true })
		if _, err := a.Read(ctx, "other", "team", 0, 0); err == nil || errors.Is(err, ErrUnknownJob) {
			t.Errorf("store down: %v", err)
		}
	})
}

// Guards against the refusal of a job that was stored, and against a job that runs twice because its caller submitted
// it again to another instance.
func TestAcceptDuringStoreFaults(t *testing.T) {
	cases := []struct {
		name     string
		fault    func(*fakeStore)
		endFault func(*fakeStore)
		// refused is set if Accept must return ErrUnavailable, which promises that the job never runs.
		refused bool
	}{
		{name: "response lost", fault: func(f *fakeStore) { f.loseResponses = 1 }},
		{name: "response lost, effect delayed", fault: func(f *fakeStore) { f.loseResponses, f.commitDelay = 1, 300*time.Millisecond }},
		{name: "store down", fault: func(f *fakeStore) { f.down = true }, endFault: func(f *fakeStore) { f.down = false }, refused: true},
		{name: "store hangs", fault: func(f *fakeStore) { f.hangs = true }, endFault: func(f *fakeStore) { f.hangs = false }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a, b := c.start("a/1"), c.start("b/1")
				defer c.stop(a, b)
				time.Sleep(time.Second)
				c.store.withLock(func() { tc.fault(c.store) })
				job := newJob("job", 8)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				err := a.Accept(ctx, job)
				if tc.refused != errors.Is(err, api.ErrUnavailable) {
					t.Errorf("accept: %v", err)
				}
				if tc.endFault != nil {
					c.store.withLock(func() { tc.endFault(c.store) })
				}
				accept(t, b, job)
				c.checkResults(job, c.readAll(b, job))
			})
		})
	}
}

// Guards against duplicate or lost results when the responses to appends are lost.
func TestAppendsWithLostResponses(t *testing.T) {
	for _, commitDelay := range []time.Duration{0, 700 * time.Millisecond} {
		t.Run(commitDelay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a := c.start("a/1")
				defer c.stop(a)
				job := newJob("job", 32)
				for i := range 32 {
					c.runner.lengths[fmt.Sprintf("job-%03d", i)] = 5 + 3*i
				}
				accept(t, a, job)
				c.store.withLock(func() { c.store.loseResponses, c.store.commitDelay = 6, commitDelay })
				c.checkResults(job, c.readAll(a, job))
			})
		})
	}
}

// Guards against an append that is too large for the store: after an outage the accumulated results made one append of
// over 1 MB, and no further result was listed.
func TestBacklogIsAppendedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.runner.eventSize = 1500
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 120)
		accept(t, a, job)
		c.store.withLock(func() { c.store.down = true })
		time.Sleep(6 * time.Second)
		c.store.withLock(func() { c.store.down = false })
		c.checkResults(job, c.readAll(a, job))
		if c.store.tooLargeCalls > 0 {
			t.Errorf("%d calls were too large", c.store.tooLargeCalls)
		}
	})
}

// Guards against items that keep running after the end of their job, and against a step that generates the text of the
// previous step again.
func TestEndStopsItemsAndKeepsText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		first := newJob("one", 8)
		c.runner.lengths["one-005"] = 150
		accept(t, a, first)
		time.Sleep(3 * time.Second)
		if err := b.End(context.Background(), "one", "team"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		eventCount := c.runner.eventCount("one-005")
		time.Sleep(2 * time.Second)
		if c.runner.eventCount("one-005") != eventCount {
			t.Error("an item is still running after the end of its job")
		}
		second := newJob("two", 4)
		second.Step = 1
		second.Items = append(second.Items, first.Items[4:8]...)
		accept(t, b, second)
		c.checkResults(second, c.readAll(a, second))
		// The text of an ended job is stored whole: about 75 events after 3 s at 40 ms per event.
		runs := c.runner.runs("one-005")
		if last := runs[len(runs)-1]; last.LastEvent < 60 {
			t.Errorf("the next step continued after event %d, want at least 60", last.LastEvent)
		}
		if n := len(c.runner.runs("one-004")); n != 1 {
			t.Errorf("a complete item of an open group ran %d times, want 1", n)
		}
	})
}

// Guards against the use of stored text that was generated by a weight version that the job does not allow.
func TestTextOfOldVersionIsNotUsed(t *testing.T) {
	old := Text{Output: []byte("x"), Last: 3, Versions: []int{2, 3}}
	cases := []struct {
		name   string
		job    Job
		usable bool
	}{
		{"new enough", Job{MinVersion: 2}, true},
		{"too old", Job{MinVersion: 3}, false},
		{"two versions where one is required", Job{MinVersion: 1, SingleVersion: true}, false},
	}
	for _, tc := range cases {
		if got := old.isUsableFor(&tc.job); got != tc.usable {
			t.Errorf("%s: usable is %v, want the opposite", tc.name, got)
		}
	}
}

// Guards against losing text when it is unknown whether a segment was stored, and against text that combines different
// generations: the segments of a job were once joined to the text of the previous job, because a segment happened to
// begin where that text ended.
func TestJoinSegments(t *testing.T) {
	text := func(run string, from, to int) []byte {
		var all Text
		for n := from; n <= to; n++ {
			all.Last = n - 1
			if err := all.Append(Event{ID: n, Data: []byte(fmt.Sprint(run, n)), Version: 1}); err != nil {
				t.Fatal(err)
			}
		}
		return all.Output
	}
	// The digit in the name of a run is the term that stored its segments. The letter tells the generations of the item
	// apart: runs with different letters have different texts.
	newSegments := func(run string, after, last int) storedSegments {
		return storedSegments{term: run[:1], segments: map[string]segment{
			"i": {After: after, Last: last, Output: text(run, after+1, last), Versions: []int{1}},
		}}
	}
	cases := []struct {
		name     string
		segments []storedSegments
		run      string
		last     int
	}{
		{"in order", []storedSegments{newSegments("1a", 0, 3), newSegments("1a", 3, 7), newSegments("1a", 7, 8)}, "1a", 8},
		{"one was not stored, the next begins at the start", []storedSegments{newSegments("1a", 0, 3), newSegments("1a", 0, 9), newSegments("1a", 9, 11)}, "1a", 11},
		{"one with unknown outcome was stored", []storedSegments{newSegments("1a", 0, 3), newSegments("1a", 3, 7), newSegments("1a", 0, 9), newSegments("1a", 9, 11)}, "1a", 11},
		{"one is missing", []storedSegments{newSegments("1a", 0, 3), newSegments("1a", 7, 8), newSegments("1b", 3, 12)}, "1a", 3},
		{"the item was restarted", []storedSegments{newSegments("1a", 0, 9), newSegments("1b", 0, 4), newSegments("1b", 4, 9), newSegments("1b", 9, 12)}, "1b", 12},
		{"another term restarted it", []storedSegments{newSegments("1a", 0, 9), newSegments("2b", 9, 14)}, "1a", 9},
		{"another term is longer", []storedSegments{newSegments("1a", 0, 9), newSegments("2b", 0, 12), newSegments("2b", 12, 13)}, "2b", 13},
	}
	for _, tc := range cases {
		if got := joinSegments(tc.segments)["i"].Text; got.Last != tc.last || string(got.Output) != string(text(tc.run, 1, tc.last)) {
			t.Errorf("%s: joined text ends with event %d and is %q, which is not the expected text", tc.name, got.Last, got.Output)
		}
	}
}

// Guards against unlimited retries of a failing item, and against a failure that is listed before the last attempt.
func TestFailingItemIsRetriedUpToMaxAttempts(t *testing.T) {
	cases := []struct {
		name    string
		endings []Ending
		runs    int
		failed  bool
	}{
		{"complete", nil, 1, false},
		{"refused twice", []Ending{NotRun, NotRun}, 3, false},
		{"broken midway", []Ending{Broken}, 2, false},
		{"failed twice", []Ending{Failed, Failed}, 3, false},
		{"failed 3 times (MaxAttempts)", []Ending{Failed, Failed, Failed}, 3, true},
		{"impossible", []Ending{Impossible}, 1, true},
		{"stale twice", []Ending{Stale, Stale}, 3, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a := c.start("a/1")
				defer c.stop(a)
				job := newJob("job", 1)
				c.runner.endings["job-000"] = tc.endings
				accept(t, a, job)
				results := c.readAll(a, job)
				if len(results) != 1 || results[0].Failed != tc.failed {
					t.Errorf("results %+v; want one, whose Failed is as in the test case", results)
				}
				if n := len(c.runner.runs("job-000")); n != tc.runs {
					t.Errorf("%d runs, want %d", n, tc.runs)
				}
			})
		})
	}
}

// Guards against items that expire early because the owner's clock is ahead of that of the instance to which the job
// was submitted.
func TestItemsDoNotExpireEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 1)
		job.Submitted = job.Submitted.Add(-5 * time.Second)
		job.Life = 10 * time.Second
		c.runner.lengths["job-000"] = 200
		accept(t, a, job)
		c.checkResults(job, c.readAll(a, job))
	})
}

// Guards against long items that stay on a slow engine while a fast one has free slots.
func TestLongItemMovesToFasterEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.runner.eventIntervals["e0"] = 120 * time.Millisecond
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 24)
		for i := range 24 {
			c.runner.lengths[job.Items[i].ID] = 100
		}
		startedAt := time.Now()
		accept(t, a, job)
		c.checkResults(job, c.readAll(a, job))
		if elapsed := time.Since(startedAt); elapsed > 6*time.Second {
			t.Errorf("the job took %v, want at most 6 s: 100 events take 4 s on a fast engine and 12 s on the slow one", elapsed)
		}
	})
}

// Guards against items that keep running on a draining engine.
func TestItemsLeaveDrainingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 8)
		for i := range 8 {
			c.runner.lengths[job.Items[i].ID] = 100
		}
		accept(t, a, job)
		time.Sleep(time.Second)
		for i := range 3 {
			c.view.SetTarget(live.Target{
				ID: fmt.Sprint("e", i), Service: testService, Slots: 8, Versions: map[string]int{testModel: 1}, Draining: true,
			})
		}
		a.Wake()
		time.Sleep(time.Second)
		for _, item := range job.Items {
			runs := c.runner.runs(item.ID)
			if last := runs[len(runs)-1]; last.Target.ID != "e3" {
				t.Errorf("%s still runs on %s, which is draining", item.ID, last.Target.ID)
			}
		}
		c.checkResults(job, c.readAll(a, job))
	})
}

// fakeLease is a lease; its value tells whether it is held.
type fakeLease bool

func (l fakeLease) Guard(ctx context.Context, act func(context.Context, int64) error) error {
	if !l {
		return lease.ErrNotHeld
	}
	return act(ctx, 1)
}

// Guards against expired jobs that stay in the store, against the removal of jobs that callers may still read, and
// against removal by an instance without the lease.
func TestOldJobsAreRemoved(t *testing.T) {
	const keep = 120 * time.Second
	// The subtest "false" runs without the lease, "true" with it.
	for _, held := range []fakeLease{false, true} {
		t.Run(fmt.Sprint(bool(held)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a := c.start("a/1")
				ctx, cancel := context.WithCancel(context.Background())
				c.wg.Go(func() { _ = a.Clean(ctx, held, func() time.Duration { return keep }) })
				job := newJob("job", 100)
				accept(t, a, job)
				c.checkResults(job, c.readAll(a, job))
				if err := a.End(ctx, "job", "team"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(keep - 10*time.Second)
				if page, err := a.Read(ctx, "job", "team", 0, 0); err != nil || len(page.Results) != 100 {
					t.Errorf("read before the job expired: %d results, error %v; want 100 results and no error", len(page.Results), err)
				}
				b := c.start("b/1")
				other := newJob("other", 1)
				accept(t, b, other)
				c.checkResults(other, c.readAll(b, other))
				b.kill()
				time.Sleep(heartbeatRetention + keep)
				remaining := 0
				c.store.withLock(func() {
					for key := range c.store.rows {
						// The heartbeat row of the running instance a/1 stays.
						if !strings.HasPrefix(key, ownerTable+"/a") {
							remaining++
						}
					}
					remaining += len(c.store.objects)
				})
				if (remaining == 0) != bool(held) {
					t.Errorf("%d rows and objects remain; want none with the lease, and some without it", remaining)
				}
				if _, err := a.Read(ctx, "job", "team", 0, 0); bool(held) && !errors.Is(err, ErrUnknownJob) {
					t.Errorf("read after the removal: error %v, want ErrUnknownJob", err)
				}
				cancel()
				c.stop(a)
			})
		})
	}
}

// Guards against an engine that holds an item with events without end, whose text cannot be stored, and against a result
// that contains such text.
func TestEndlessTextIsDropped(t *testing.T) {
	for _, eventSize := range []int{0, 4000} {
		t.Run(fmt.Sprint("events of ", eventSize, " bytes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.runner.eventSize = eventSize
				c.runner.endlessEngines["e0"] = true
				a := c.start("a/1")
				defer c.stop(a)
				job := newJob("job", 16)
				for i := range job.Items {
					job.Items[i].Tokens = 50
				}
				start := time.Now()
				accept(t, a, job)
				c.checkResults(job, c.readAll(a, job))
				if elapsed := time.Since(start); elapsed > 10*time.Second {
					t.Errorf("the job took %v", elapsed)
				}
			})
		})
	}
}

// Guards against stored text that replaces a better one of the same item: the objects of two earlier steps come in no
// particular order.
func TestBestStoredTextIsUsed(t *testing.T) {
	job := &Job{MinVersion: 3}
	stored := func(last, version int, whole bool) storedText {
		return storedText{Text: Text{Output: []byte{byte(last)}, Last: last, Versions: []int{version}}, Whole: whole}
	}
	cases := []struct {
		name          string
		better, worse storedText
	}{
		{"longer", stored(9, 3, false), stored(4, 3, false)},
		{"whole", stored(4, 3, true), stored(9, 3, false)},
		{"usable", stored(4, 3, false), stored(9, 2, true)},
	}
	for _, tc := range cases {
		for _, order := range [][]storedText{{tc.better, tc.worse}, {tc.worse, tc.better}} {
			texts := map[string]storedText{}
			for _, s := range order {
				mergeTexts(job, texts, map[string]storedText{"i": s})
			}
			if got := texts["i"]; got.Text.Last != tc.better.Text.Last || got.Whole != tc.better.Whole {
				t.Errorf("%s: kept the text up to event %d, whole %v", tc.name, got.Text.Last, got.Whole)
			}
		}
	}
}

// Guards against a limit of the text's size that drops valid texts: a recorded deployment has items of 171 events of 350
// bytes, and a result with such a text fits into a row of the table.
func TestLongTextIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.runner.eventSize = 350
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 4)
		c.runner.lengths["job-002"] = 171
		for i := range job.Items {
			job.Items[i].Tokens = 12000
		}
		accept(t, a, job)
		c.checkResults(job, c.readAll(a, job))
		if c.store.tooLargeCalls > 0 {
			t.Errorf("%d calls were too large", c.store.tooLargeCalls)
		}
	})
}

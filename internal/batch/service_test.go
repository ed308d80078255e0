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

func accept(t *testing.T, n *node, job *Job) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := n.Accept(ctx, job); err != nil {
		t.Fatal(err)
	}
}

// Guards against items that are lost, doubled or cut on the plain path, and against an instance that does not
// answer for a job of another.
func TestAnyInstanceReadsWholeJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		job := newJob("job", 40)
		accept(t, a, job)
		c.checkList(job, c.readAll(b, job))
		body, err := b.ItemBody(context.Background(), "job", "team", "job-003")
		if err != nil || len(body) != 1 || body[0] != 3 {
			t.Errorf("body %v, %v", body, err)
		}
	})
}

// Guards against a 404 for a job that the instance cannot be sure about, and against access by another team.
func TestReadFaults(t *testing.T) {
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
		if _, err := a.Read(ctx, "job", "thief", 0, 0); !errors.Is(err, ErrOtherTeam) {
			t.Errorf("other team: %v", err)
		}
		if err := a.End(ctx, "job", "thief"); !errors.Is(err, ErrOtherTeam) {
			t.Errorf("end by another team: %v", err)
		}
		c.store.set(func() { c.store.down = true })
		if _, err := a.Read(ctx, "other", "team", 0, 0); err == nil || errors.Is(err, ErrUnknownJob) {
			t.Errorf("store down: %v", err)
		}
	})
}

// Guards against a refusal of a job that was stored, and against a job that runs twice because its caller sent
// it again elsewhere.
func TestAcceptFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeStore)
		heal  func(*fakeStore)
		// refused expects the promise that the job does not run.
		refused bool
	}{
		{name: "answer lost", fault: func(f *fakeStore) { f.loseCommits = 1 }},
		{name: "answer lost, effect late", fault: func(f *fakeStore) { f.loseCommits, f.late = 1, 300*time.Millisecond }},
		{name: "store down", fault: func(f *fakeStore) { f.down = true }, heal: func(f *fakeStore) { f.down = false }, refused: true},
		{name: "store silent", fault: func(f *fakeStore) { f.silent = true }, heal: func(f *fakeStore) { f.silent = false }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a, b := c.start("a/1"), c.start("b/1")
				defer c.stop(a, b)
				time.Sleep(time.Second)
				c.store.set(func() { tc.fault(c.store) })
				job := newJob("job", 8)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				err := a.Accept(ctx, job)
				if tc.refused != errors.Is(err, api.ErrUnavailable) {
					t.Errorf("accept: %v", err)
				}
				if tc.heal != nil {
					c.store.set(func() { tc.heal(c.store) })
				}
				accept(t, b, job)
				c.checkList(job, c.readAll(b, job))
			})
		})
	}
}

// Guards against lost or doubled results when an owner dies, and against text that is generated again although
// it was stored.
func TestTakeoverGoesOnAfterStoredText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(b)
		job := newJob("job", 8)
		c.runner.lengths["job-005"] = 150
		accept(t, a, job)
		time.Sleep(3500 * time.Millisecond)
		a.kill()
		c.checkList(job, c.readAll(b, job))
		runs := c.runner.runs("job-005")
		if last := runs[len(runs)-1]; last.After < 60 {
			t.Errorf("the new owner went on after event %d, want at least 60", last.After)
		}
	})
}

// Guards against a takeover that waits for silence although the machine's own earlier process owned the job.
func TestRestartedProcessTakesItsJobsAtOnce(t *testing.T) {
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
		c.checkList(job, c.readAll(restarted, job))
	})
}

// Guards against an owner that was cut from the store, lost its job, and writes to the list when the cut heals.
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
		a.cut.block(true)
		time.Sleep(4 * time.Second)
		a.cut.block(false)
		c.checkList(job, c.readAll(b, job))
		k, err := b.fresh(context.Background(), "job")
		if err != nil || k.Owner != "b/1" || k.Term != 2 {
			t.Errorf("row %+v, %v", k.record, err)
		}
	})
}

// Guards against takeovers of live owners after the store was silent: in kerlann scale-1 silence was counted up
// to the time of the failed call.
func TestSilentStoreMovesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		var nodes []*node
		for i := range 6 {
			nodes = append(nodes, c.start(fmt.Sprint("n", i, "/1")))
		}
		defer c.stop(nodes...)
		job := newJob("job", 8)
		c.runner.lengths["job-005"] = 300
		accept(t, nodes[0], job)
		time.Sleep(1500 * time.Millisecond)
		c.store.set(func() { c.store.silent = true })
		time.Sleep(4 * time.Second)
		c.store.set(func() { c.store.silent = false })
		if c.store.rewritten > 0 {
			t.Errorf("%d takeovers were tried; their commits may take effect when the store returns", c.store.rewritten)
		}
		time.Sleep(3 * time.Second)
		k, err := nodes[1].fresh(context.Background(), "job")
		if err != nil || k.Term != 1 {
			t.Errorf("row %+v, %v, want term 1", k.record, err)
		}
		c.checkList(job, c.readAll(nodes[2], job))
	})
}

// Guards against results that stand twice or are lost when the answers of appends are lost.
func TestLostAppends(t *testing.T) {
	for _, late := range []time.Duration{0, 700 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a := c.start("a/1")
				defer c.stop(a)
				job := newJob("job", 32)
				for i := range 32 {
					c.runner.lengths[fmt.Sprintf("job-%03d", i)] = 5 + 3*i
				}
				accept(t, a, job)
				c.store.set(func() { c.store.loseCommits, c.store.late = 6, late })
				c.checkList(job, c.readAll(a, job))
			})
		})
	}
}

// Guards against an append that the store refuses for its size: in kerlann scale-1 the results of an outage made
// one of over 1 MB, and no result was listed after it.
func TestBacklogIsAppendedInPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.runner.width = 1500
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 120)
		accept(t, a, job)
		c.store.set(func() { c.store.down = true })
		time.Sleep(6 * time.Second)
		c.store.set(func() { c.store.down = false })
		c.checkList(job, c.readAll(a, job))
		if c.store.tooLarge > 0 {
			t.Errorf("%d calls were too large", c.store.tooLarge)
		}
	})
}

// Guards against items that run on after the end of their job, and against text of a step that its next step
// generates again.
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
		made := c.runner.count("one-005")
		time.Sleep(2 * time.Second)
		if c.runner.count("one-005") != made {
			t.Error("an item runs after the end of its job")
		}
		second := newJob("two", 4)
		second.Step = 1
		second.Items = append(second.Items, first.Items[4:8]...)
		accept(t, b, second)
		c.checkList(second, c.readAll(a, second))
		runs := c.runner.runs("one-005")
		if last := runs[len(runs)-1]; last.After < 60 {
			t.Errorf("the next step went on after event %d, want at least 60", last.After)
		}
		if n := len(c.runner.runs("one-004")); n != 1 {
			t.Errorf("a whole item of an open group ran %d times, want 1", n)
		}
	})
}

// Guards against carried text of a version that the job does not allow.
func TestTextOfOldVersionIsNotUsed(t *testing.T) {
	old := Text{Output: []byte("x"), Last: 3, Versions: []int{2, 3}}
	cases := []struct {
		name string
		job  Job
		fits bool
	}{
		{"new enough", Job{MinVersion: 2}, true},
		{"too old", Job{MinVersion: 3}, false},
		{"two versions where one is demanded", Job{MinVersion: 1, SingleVersion: true}, false},
	}
	for _, tc := range cases {
		if got := old.fits(&tc.job); got != tc.fits {
			t.Errorf("%s: fits %v", tc.name, got)
		}
	}
}

// Guards against text that is lost when it is unknown whether a piece was stored, and against text that goes on with
// a run that began elsewhere: in hunt-6741-27 of hanbit the pieces of a job were joined with the text of the job
// before, because a piece happened to begin where that text ended.
func TestStoredPiecesAreJoined(t *testing.T) {
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
	piece := func(run string, after, last int) storedParts {
		return storedParts{term: run[:1], parts: map[string]part{
			"i": {After: after, Last: last, Output: text(run, after+1, last), Versions: []int{1}},
		}}
	}
	cases := []struct {
		name   string
		pieces []storedParts
		run    string
		last   int
	}{
		{"in order", []storedParts{piece("1a", 0, 3), piece("1a", 3, 7), piece("1a", 7, 8)}, "1a", 8},
		{"one was not stored, the next begins anew", []storedParts{piece("1a", 0, 3), piece("1a", 0, 9), piece("1a", 9, 11)}, "1a", 11},
		{"one was stored after all", []storedParts{piece("1a", 0, 3), piece("1a", 3, 7), piece("1a", 0, 9), piece("1a", 9, 11)}, "1a", 11},
		{"one is missing", []storedParts{piece("1a", 0, 3), piece("1a", 7, 8), piece("1b", 3, 12)}, "1a", 3},
		{"the item began anew", []storedParts{piece("1a", 0, 9), piece("1b", 0, 4), piece("1b", 4, 9), piece("1b", 9, 12)}, "1b", 12},
		{"another term ran it anew", []storedParts{piece("1a", 0, 9), piece("2b", 9, 14)}, "1a", 9},
		{"another term is longer", []storedParts{piece("1a", 0, 9), piece("2b", 0, 12), piece("2b", 12, 13)}, "2b", 13},
	}
	for _, c := range cases {
		if got := joinParts(c.pieces)["i"]; got.Last != c.last || string(got.Output) != string(text(c.run, 1, c.last)) {
			t.Errorf("%s: last %d, %q", c.name, got.Last, got.Output)
		}
	}
}

// Guards against the same where a whole job takes over: the text of the job before, which the first owner could not
// read, and the pieces of that owner, which ran the item from its start.
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
		// The earlier step's text ends where the third piece begins, and reached the store late.
		var third part
		c.store.set(func() {
			var parts map[string]part
			if err := decodeObject(c.store.objects[partObject("two", 1, 2)], &parts); err != nil {
				t.Fatal(err)
			}
			third = parts["two-000"]
		})
		foreign := Text{Output: []byte(strings.Repeat("x\n", third.After-1) + "x"), Last: third.After, Versions: []int{1}}
		ended := record{Team: "team", Route: "route", Model: testModel, Total: 1, Owner: "z/1", Term: 1, Ended: true}
		c.store.set(func() {
			c.store.objects[textObject("one", 1)] = encodeObject(map[string]storedText{"two-000": {Text: foreign}})
			value := api.EncodeValue(ended)
			if _, err := c.store.apply(api.Txn{Writes: []api.Write{{Key: jobKey("one"), Expected: api.NoRevision, Value: value}}}); err != nil {
				t.Fatal(err)
			}
		})
		b := c.start("b/1")
		defer c.stop(b)
		c.checkList(job, c.readAll(b, job))
	})
}

// Guards against a failing item that reaches engines without limit, and against a failure that is listed early.
func TestItemFaults(t *testing.T) {
	cases := []struct {
		name    string
		endings []Ending
		runs    int
		failed  bool
	}{
		{"complete", nil, 1, false},
		{"turned away twice", []Ending{NotRun, NotRun}, 3, false},
		{"broken midway", []Ending{Broken}, 2, false},
		{"failed twice", []Ending{Failed, Failed}, 3, false},
		{"failed as often as allowed", []Ending{Failed, Failed, Failed}, 3, true},
		{"impossible", []Ending{Impossible}, 1, true},
		{"too old", []Ending{Stale, Stale}, 3, false},
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
					t.Errorf("results %+v", results)
				}
				if n := len(c.runner.runs("job-000")); n != tc.runs {
					t.Errorf("%d runs, want %d", n, tc.runs)
				}
			})
		})
	}
}

// Guards against an item that crashes engine after engine, and against a job that never ends because of it.
func TestCrashingItemIsHeldBackUntilItsTimeIsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 2)
		c.runner.lengths["job-001"] = 1
		for range 20 {
			c.runner.endings["job-001"] = append(c.runner.endings["job-001"], Broken)
		}
		accept(t, a, job)
		time.Sleep(20 * time.Second)
		if n := len(c.runner.runs("job-001")); n != crashLimit {
			t.Errorf("%d runs, want %d", n, crashLimit)
		}
		results := c.readAll(a, job)
		if len(results) != 2 || !results[1].Failed {
			t.Errorf("results %+v", results)
		}
	})
}

// Guards against an item that is given up before its time by an instance whose clock is ahead of that of the instance
// to which the job was submitted.
func TestItemsAreNotGivenUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 1)
		job.Submitted = job.Submitted.Add(-5 * time.Second)
		job.Life = 10 * time.Second
		c.runner.lengths["job-000"] = 200
		accept(t, a, job)
		c.checkList(job, c.readAll(a, job))
	})
}

// Guards against a planned stop that costs a job its text or the time of a heartbeat's absence.
func TestDrainHandsOverAtOnce(t *testing.T) {
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
			t.Errorf("the other instance owns %d jobs 0.7 s after the stop, want 1", owned)
		}
		c.checkList(job, c.readAll(b, job))
		runs := c.runner.runs("job-001")
		if last := runs[len(runs)-1]; last.After < 45 {
			t.Errorf("the new owner went on after event %d, want at least 45", last.After)
		}
	})
}

// Guards against long items that stay on a slow engine while a fast one has room.
func TestLongItemMovesToFasterEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.runner.paces["e0"] = 120 * time.Millisecond
		a := c.start("a/1")
		defer c.stop(a)
		job := newJob("job", 24)
		for i := range 24 {
			c.runner.lengths[job.Items[i].ID] = 100
		}
		began := time.Now()
		accept(t, a, job)
		c.checkList(job, c.readAll(a, job))
		if took := time.Since(began); took > 6*time.Second {
			t.Errorf("the job took %v, want at most 6 s: 100 events take 4 s on a fast engine and 12 s on the slow one", took)
		}
	})
}

// Guards against items that stay on an engine that leaves.
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
				t.Errorf("%s runs on %s", item.ID, last.Target.ID)
			}
		}
		c.checkList(job, c.readAll(a, job))
	})
}

// holding is a lease that is held or not.
type holding bool

func (h holding) Guard(ctx context.Context, act func(context.Context, int64) error) error {
	if !h {
		return lease.ErrNotHeld
	}
	return act(ctx, 1)
}

// Guards against a store that fills with old jobs, against the removal of a job that callers may read, and against
// removal by an instance without the lease.
func TestOldJobsAreRemoved(t *testing.T) {
	const keep = 120 * time.Second
	for _, held := range []holding{false, true} {
		t.Run(fmt.Sprint(bool(held)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				a := c.start("a/1")
				ctx, cancel := context.WithCancel(context.Background())
				c.wg.Go(func() { _ = a.Clean(ctx, held, func() time.Duration { return keep }) })
				job := newJob("job", 100)
				accept(t, a, job)
				c.checkList(job, c.readAll(a, job))
				if err := a.End(ctx, "job", "team"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(keep - 10*time.Second)
				if page, err := a.Read(ctx, "job", "team", 0, 0); err != nil || len(page.Results) != 100 {
					t.Errorf("read before its time is over: %d results, %v", len(page.Results), err)
				}
				b := c.start("b/1")
				other := newJob("other", 1)
				accept(t, b, other)
				c.checkList(other, c.readAll(b, other))
				b.kill()
				time.Sleep(ownerLife + keep)
				left := 0
				c.store.set(func() {
					for key := range c.store.rows {
						if !strings.HasPrefix(key, ownerTable+"/a") {
							left++
						}
					}
					left += len(c.store.objects)
				})
				if (left == 0) != bool(held) {
					t.Errorf("%d rows and objects are left", left)
				}
				if _, err := a.Read(ctx, "job", "team", 0, 0); bool(held) && !errors.Is(err, ErrUnknownJob) {
					t.Errorf("read after the removal: %v", err)
				}
				cancel()
				c.stop(a)
			})
		})
	}
}

package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/reward"
)

const testScoringService = "scoring"

// fakeScorer answers reward calls after a delay. It records every attempt.
type fakeScorer struct {
	mu sync.Mutex
	// delay is the time of a call; endings holds the endings of the next calls, by reward ID. Later calls are scored,
	// unless the reward is in alwaysFails.
	delay       time.Duration
	endings     map[string][]reward.Ending
	alwaysFails map[string]bool
	attempts    map[string][]time.Time
	active      int
	maxActive   int
}

func newFakeScorer() *fakeScorer {
	return &fakeScorer{
		delay: 30 * time.Millisecond, endings: map[string][]reward.Ending{}, alwaysFails: map[string]bool{}, attempts: map[string][]time.Time{},
	}
}

func (f *fakeScorer) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

func (f *fakeScorer) begin(id string) (time.Duration, reward.Ending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[id] = append(f.attempts[id], time.Now())
	f.active++
	f.maxActive = max(f.maxActive, f.active)
	ending := reward.Scored
	if queue := f.endings[id]; len(queue) > 0 {
		ending, f.endings[id] = queue[0], queue[1:]
	}
	if f.alwaysFails[id] {
		ending = reward.Failed
	}
	return f.delay, ending
}

func (f *fakeScorer) CallReward(ctx context.Context, attempt RewardAttempt) RewardResponse {
	delay, ending := f.begin(attempt.Reward.ID)
	defer func() {
		f.mu.Lock()
		f.active--
		f.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	defer cancel()
	select {
	case <-ctx.Done():
		return RewardResponse{Ending: reward.Lost, Target: "s0"}
	case <-time.After(delay):
	}
	response := RewardResponse{Ending: ending, Target: "s0", Status: 500}
	if ending == reward.Scored {
		response.Score, response.Status = "score of "+attempt.Reward.ID, 200
	}
	return response
}

func (f *fakeScorer) attemptTimes(id string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.attempts[id]...)
}

func (f *fakeScorer) totalAttempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, times := range f.attempts {
		total += len(times)
	}
	return total
}

// newRewardCluster returns a cluster with a scoring service of three targets.
func newRewardCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.setScoringRoute(true)
	for i := range 3 {
		c.view.SetTarget(live.Target{ID: fmt.Sprint("s", i), Service: testScoringService, Slots: 6})
	}
	return c
}

// setScoringRoute puts a configuration in force that has the route of the reward calls, or lacks it.
func (c *cluster) setScoringRoute(exists bool) {
	version := 1
	if old := c.view.Config(); old != nil {
		version = old.Version + 1
	}
	config := live.NewConfig(version, live.Limits{})
	if exists {
		config.AddRoute(live.Route{
			Name: "scoring", Host: "scoring.example", Prefix: "/score/", Kind: live.Idempotent, MaxAttempts: 3,
			LatencyObjective: 150 * time.Millisecond, Timeout: 1500 * time.Millisecond, Shares: []live.Share{{Service: testScoringService, Weight: 1}},
		})
	}
	c.view.SetConfig(config)
}

func rewardID(item string) string { return "reward-" + item }

func newRewardJob(id string, items int) *Job {
	job := newJob(id, items)
	for i := range job.Items {
		job.Items[i].Reward = &Reward{ID: rewardID(job.Items[i].ID), Host: "scoring.example", Path: "/score/1", Body: []byte{1}}
	}
	return job
}

// checkScores checks that every successful result has the score of its own reward call.
func (c *cluster) checkScores(results []Result) {
	c.t.Helper()
	for _, r := range results {
		if want := "score of " + rewardID(r.ID); !r.Failed && r.Score != want {
			c.t.Errorf("%s has score %q, want %q", r.ID, r.Score, want)
		}
	}
}

// checkNotGeneratedAgain checks that engines ran an item of 10 events once.
func (c *cluster) checkNotGeneratedAgain(item string) {
	c.t.Helper()
	if n := c.runner.eventCount(item); n != 10 {
		c.t.Errorf("engines generated %d events of %s, want 10", n, item)
	}
	if n := len(c.runner.runs(item)); n != 1 {
		c.t.Errorf("engines ran %s %d times, want once", item, n)
	}
}

// checkScoredWithoutRerun reads a job and checks that its results are whole and scored and that engines ran each item once.
func (c *cluster) checkScoredWithoutRerun(n *testInstance, job *Job) {
	c.t.Helper()
	results := c.readAll(n, job)
	c.checkResults(job, results)
	c.checkScores(results)
	for _, item := range job.Items {
		c.checkNotGeneratedAgain(item.ID)
	}
}

// Guards against results without a score, against a reward call before the end of the text, and against rewards that
// wait until all texts of the job are complete.
func TestRewardFollowsItsText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRewardCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		job := newRewardJob("job", 16)
		c.runner.lengths["job-005"] = 100
		start := time.Now()
		accept(t, a, job)
		results := c.readAll(b, job)
		c.checkResults(job, results)
		c.checkScores(results)
		for _, item := range job.Items {
			times := c.scorer.attemptTimes(rewardID(item.ID))
			if len(times) != 1 {
				t.Fatalf("%s: %d reward calls, want 1", item.ID, len(times))
			}
			text := 400 * time.Millisecond
			if item.ID == "job-005" {
				text = 4 * time.Second
			}
			if wait := times[0].Sub(start) - text; wait < 0 || wait > 300*time.Millisecond {
				t.Errorf("%s: reward call %v after the end of its text", item.ID, wait)
			}
		}
	})
}

// Guards against a reward call that is given up before the route's attempts are used, against one that is repeated
// without end, and against a failed reward that makes an engine generate the text again.
func TestRewardAttempts(t *testing.T) {
	cases := []struct {
		name     string
		endings  []reward.Ending
		always   bool
		attempts int
		failed   bool
	}{
		{name: "scored", attempts: 1},
		{name: "failed twice", endings: []reward.Ending{reward.Failed, reward.Failed}, attempts: 3},
		{name: "always fails", always: true, attempts: 3, failed: true},
		{name: "refused", endings: []reward.Ending{reward.Refused, reward.Refused, reward.Refused, reward.Refused}, attempts: 5},
		{name: "responses lost", endings: []reward.Ending{reward.Lost, reward.Lost, reward.Lost, reward.Lost}, attempts: 5},
		{name: "mixed", endings: []reward.Ending{reward.Failed, reward.Lost, reward.Refused, reward.Failed}, attempts: 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRewardCluster(t)
				a := c.start("a/1")
				defer c.stop(a)
				job := newRewardJob("job", 4)
				id := rewardID("job-001")
				c.scorer.endings[id], c.scorer.alwaysFails[id] = tc.endings, tc.always
				accept(t, a, job)
				results := c.readAll(a, job)
				c.checkScores(results)
				for _, r := range results {
					if want := tc.failed && r.ID == "job-001"; r.Failed != want {
						t.Errorf("%s: failed %v, want %v", r.ID, r.Failed, want)
					}
				}
				if n := len(c.scorer.attemptTimes(id)); n != tc.attempts {
					t.Errorf("%d attempts, want %d", n, tc.attempts)
				}
				c.checkNotGeneratedAgain("job-001")
			})
		})
	}
}

// Guards against a text that is generated again, and a result without a score, when the owner of the job is lost
// between the end of the text and the score.
func TestOwnerLostBeforeScore(t *testing.T) {
	cases := []struct {
		name string
		lose func(*testInstance)
	}{
		{"killed", func(n *testInstance) { n.kill() }},
		{"drained", func(n *testInstance) { n.Drain(context.Background()) }},
		{"cut off from the store", func(n *testInstance) { n.link.setBlocked(true) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRewardCluster(t)
				a, b := c.start("a/1"), c.start("b/1")
				defer c.stop(a, b)
				c.scorer.setDelay(time.Hour)
				job := newRewardJob("job", 8)
				accept(t, a, job)
				time.Sleep(2500 * time.Millisecond)
				tc.lose(a)
				c.scorer.setDelay(30 * time.Millisecond)
				c.checkScoredWithoutRerun(b, job)
			})
		})
	}
}

// Guards against a lost result, and a text that is generated again, when the owner dies after the score is known and
// before the result is in the list.
func TestOwnerLostBeforeAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRewardCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		job := newRewardJob("job", 8)
		c.scorer.setDelay(1100 * time.Millisecond)
		accept(t, a, job)
		// The attempts with the first two timeouts are lost; the third is scored while the owner cannot append.
		time.Sleep(1400 * time.Millisecond)
		a.link.setBlocked(true)
		time.Sleep(1500 * time.Millisecond)
		a.kill()
		c.scorer.setDelay(30 * time.Millisecond)
		c.checkScoredWithoutRerun(b, job)
	})
}

// Guards against rewards that wait for the store, and against lost scores, when the store does not respond while texts
// end.
func TestRewardsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRewardCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		job := newRewardJob("job", 8)
		accept(t, a, job)
		c.store.withLock(func() { c.store.hangs = true })
		time.Sleep(300 * time.Millisecond)
		if n := a.WaitingRewards(); n != 0 {
			t.Errorf("%d items wait for a score before the first text ends", n)
		}
		time.Sleep(120 * time.Millisecond)
		if n := a.WaitingRewards(); n != int64(len(job.Items)) {
			t.Errorf("%d items wait for a score after the texts have ended, want %d", n, len(job.Items))
		}
		time.Sleep(3500 * time.Millisecond)
		if n := a.WaitingRewards(); n != 0 {
			t.Errorf("%d items still wait for a score", n)
		}
		if n := c.scorer.totalAttempts(); n != len(job.Items) {
			t.Errorf("%d reward calls during the outage, want %d", n, len(job.Items))
		}
		c.store.withLock(func() { c.store.hangs = false })
		results := c.readAll(a, job)
		c.checkResults(job, results)
		c.checkScores(results)
	})
}

// Guards against reward calls after the end of their job, and against a later job that generates the whole texts of the
// ended one again.
func TestJobEndsBeforeScore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRewardCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		c.scorer.setDelay(time.Hour)
		first := newRewardJob("one", 8)
		accept(t, a, first)
		time.Sleep(2 * time.Second)
		if err := b.End(context.Background(), "one", "team"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		c.scorer.setDelay(30 * time.Millisecond)
		calls := c.scorer.totalAttempts()
		time.Sleep(2 * time.Second)
		if n := c.scorer.totalAttempts() - calls; n > 0 {
			t.Errorf("%d reward calls after the end of the job", n)
		}
		second := newRewardJob("two", 8)
		second.Step = 1
		for i := range second.Items {
			second.Items[i].ID, second.Items[i].Reward.ID = first.Items[i].ID, first.Items[i].Reward.ID
		}
		accept(t, b, second)
		c.checkScoredWithoutRerun(a, second)
	})
}

// Guards against items that fail, or whose text is generated again, while the scoring service has no route or no
// targets, as during a change of the configuration or a restart of all its targets.
func TestScoringServiceIsAway(t *testing.T) {
	cases := []struct {
		name        string
		leave, back func(*cluster)
	}{
		{"no route", func(c *cluster) { c.setScoringRoute(false) }, func(c *cluster) { c.setScoringRoute(true) }},
		{"targets draining", func(c *cluster) { c.setScoringTargets(true) }, func(c *cluster) { c.setScoringTargets(false) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRewardCluster(t)
				a := c.start("a/1")
				defer c.stop(a)
				tc.leave(c)
				job := newRewardJob("job", 8)
				accept(t, a, job)
				time.Sleep(3 * time.Second)
				if n := c.scorer.totalAttempts(); n > 0 {
					t.Errorf("%d reward calls without a usable target", n)
				}
				tc.back(c)
				c.checkScoredWithoutRerun(a, job)
			})
		})
	}
}

func (c *cluster) setScoringTargets(draining bool) {
	for i := range 3 {
		c.view.SetTarget(live.Target{ID: fmt.Sprint("s", i), Service: testScoringService, Slots: 6, Draining: draining})
	}
}

// Guards against an item that stays open after its job expired, and against a late score that changes its result.
func TestUnscoredItemsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRewardCluster(t)
		a := c.start("a/1")
		defer c.stop(a)
		c.scorer.setDelay(time.Hour)
		job := newRewardJob("job", 4)
		job.Life = 5 * time.Second
		accept(t, a, job)
		time.Sleep(job.Life + clockMargin + time.Second)
		c.scorer.setDelay(30 * time.Millisecond)
		results := c.readAll(a, job)
		for _, r := range results {
			if !r.Failed || r.Score != "" {
				t.Errorf("%s: failed %v, score %q; want a failure", r.ID, r.Failed, r.Score)
			}
		}
	})
}

// Guards against the order in which texts end deciding which group is complete first: a group that lacks only one score
// must not wait behind groups that cannot be complete yet.
func TestRewardsOfAlmostCompleteGroupsComeFirst(t *testing.T) {
	p := newProgress(newRewardJob("job", 12))
	now := time.Now()
	for _, n := range []int{0, 1, 4, 5, 6, 7, 8} {
		p.completeText(p.items[fmt.Sprintf("job-%03d", n)], now)
	}
	for _, n := range []int{4, 5, 6} {
		s := p.items[fmt.Sprintf("job-%03d", n)]
		p.endReward(s, RewardResponse{Ending: reward.Scored, Score: "1"}, 3, now)
	}
	var order []string
	for _, s := range p.rewardsInOrder() {
		order = append(order, s.item.ID)
	}
	want := []string{"job-007", "job-000", "job-001", "job-008"}
	if fmt.Sprint(order) != fmt.Sprint(want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

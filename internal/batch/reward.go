package batch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/reward"
)

// Reward is the request that returns the score of an item's text. It is sent when the text is complete, is idempotent
// and needs no key.
type Reward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// RewardAttempt describes one attempt of a reward call.
type RewardAttempt struct {
	Reward *Reward
	// Service is the service of the route that the reward's host and path match.
	Service string
	// Avoid is a target that must not be used; empty means any target.
	Avoid    string
	Deadline time.Time
	// LatencyObjective is the latency objective of the route, or 0.
	LatencyObjective time.Duration
}

// RewardResponse is the outcome of one attempt of a reward call.
type RewardResponse struct {
	Ending reward.Ending
	Score  string
	// Target is the target that the call was sent to, and Status the status of its response; they may be empty.
	Target string
	Status int
}

// RewardCaller sends reward calls to the targets of plain services.
type RewardCaller interface {
	CallReward(ctx context.Context, attempt RewardAttempt) RewardResponse
}

// RewardMetrics records reward calls.
type RewardMetrics interface {
	// CountRewardAttempt counts an attempt by its ending.
	CountRewardAttempt(ending string)
	// ObserveReward records the seconds from the end of a text to its score.
	ObserveReward(seconds float64)
}

// rewardRouteRetryInterval is the time after which a reward call without a route, or without targets, is tried again.
const rewardRouteRetryInterval = 250 * time.Millisecond

// rewardLoop starts reward calls when texts end, when calls end and when a repetition is due.
func (s *Service) rewardLoop(ctx context.Context) {
	runRounds(ctx, s.rewardWake, s.startRewards)
}

// wakeRewards triggers the next round of rewardLoop.
func (s *Service) wakeRewards() {
	signal(s.rewardWake)
}

// rewardRound holds what the decisions of one round of rewardLoop depend on.
type rewardRound struct {
	config     *live.Config
	capacities map[string]reward.Capacity
	now        time.Time
	// pause is the time until the earliest repetition; 0 means that none is due at a known time.
	pause time.Duration
}

// waitUntil makes the next round start at a time or earlier.
func (r *rewardRound) waitUntil(at time.Time) {
	pause := max(at.Sub(r.now), time.Millisecond)
	if r.pause == 0 || pause < r.pause {
		r.pause = pause
	}
}

// startRewards starts the reward calls of all owned jobs that the limits allow, those of older jobs first. It returns
// the time until the next round; 0 means that the next round waits for a wake signal.
func (s *Service) startRewards() time.Duration {
	if s.WaitingRewards() == 0 {
		return 0
	}
	round := &rewardRound{config: s.options.View.Config(), capacities: rewardCapacities(s.options.View.Targets()), now: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := s.ownedJobsLocked()
	sortJobs(jobs)
	for _, o := range jobs {
		s.startJobRewards(o, round)
	}
	return round.pause
}

// rewardCapacities returns the usable targets by service.
func rewardCapacities(targets []live.Target) map[string]reward.Capacity {
	capacities := map[string]reward.Capacity{}
	for _, t := range targets {
		if !t.Draining {
			capacities[t.Service] = capacities[t.Service].Add(t.Slots)
		}
	}
	return capacities
}

// startJobRewards starts the reward calls of one job. The caller holds the service's lock.
func (s *Service) startJobRewards(o *ownedJob, round *rewardRound) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	for _, item := range o.progress.rewardsInOrder() {
		if at := item.reward.NotBefore(); at.After(round.now) {
			round.waitUntil(at)
			continue
		}
		route, service, ok := rewardRoute(round.config, item.item.Reward)
		if !ok || round.capacities[service].Targets == 0 {
			item.reward.Postpone(round.now.Add(rewardRouteRetryInterval))
			round.waitUntil(item.reward.NotBefore())
			continue
		}
		if s.rewardLimiterLocked(service).Start(round.capacities[service]) {
			s.startReward(o, item, route, service, round)
		}
	}
}

func rewardRoute(config *live.Config, r *Reward) (live.Route, string, bool) {
	if config == nil {
		return live.Route{}, "", false
	}
	route, ok := config.Match(r.Host, r.Path)
	return route, route.Service(rand.Float64()), ok
}

func (s *Service) rewardLimiterLocked(service string) *reward.Limiter {
	l := s.rewardLimiters[service]
	if l == nil {
		l = &reward.Limiter{}
		s.rewardLimiters[service] = l
	}
	return l
}

// startReward starts one attempt of an item's reward call. The caller holds the locks of the service and the job.
func (s *Service) startReward(o *ownedJob, item *itemState, route live.Route, service string, round *rewardRound) {
	item.rewardRunning = true
	attempt := RewardAttempt{
		Reward: item.item.Reward, Service: service, Deadline: round.now.Add(item.reward.Timeout(route.LatencyObjective, route.Timeout)),
		LatencyObjective: route.LatencyObjective,
	}
	if round.capacities[service].Targets > 1 {
		attempt.Avoid = item.rewardTarget
	}
	s.tasks.Go(func() { o.runReward(item, attempt, route) })
}

// runReward makes one attempt of an item's reward call and records how it ended.
func (o *ownedJob) runReward(item *itemState, attempt RewardAttempt, route live.Route) {
	s := o.service
	startedAt := time.Now()
	response := s.options.Rewards.CallReward(o.ctx, attempt)
	now := time.Now()
	s.mu.Lock()
	if o.ctx.Err() != nil {
		s.rewardLimiterLocked(attempt.Service).Cancel()
		s.mu.Unlock()
		return
	}
	s.rewardLimiterLocked(attempt.Service).End(response.Ending, now.Sub(startedAt), route.LatencyObjective, now)
	s.mu.Unlock()
	o.mu.Lock()
	verdict := o.progress.endReward(item, response, route.MaxAttempts, now)
	waited := now.Sub(item.textEndedAt)
	o.mu.Unlock()
	s.options.RewardMetrics.CountRewardAttempt(response.Ending.String())
	s.options.Log.Debug().Str("job", o.job.ID).Str("item", item.item.ID).Str("reward", attempt.Reward.ID).Str("route", route.Name).
		Str("target", response.Target).Str("ending", response.Ending.String()).Int("status", response.Status).
		Bool("gave_up", verdict == reward.GiveUp).Dur("elapsed", now.Sub(startedAt)).Dur("waited", waited).Msg(event.RewardAttemptEnded)
	if verdict != reward.Retry {
		s.options.RewardMetrics.ObserveReward(waited.Seconds())
		o.signalAppend()
	}
	s.wakeRewards()
}

// WaitingRewards returns the number of items of this instance's jobs whose text is complete and whose score is not known
// yet.
func (s *Service) WaitingRewards() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := int64(0)
	for _, o := range s.owned {
		o.mu.Lock()
		for _, item := range o.progress.awaitingReward {
			if item.awaitsReward() {
				waiting++
			}
		}
		o.mu.Unlock()
	}
	return waiting
}

// awaitsReward reports whether the item's text is complete and its score is not known yet.
func (s *itemState) awaitsReward() bool {
	return s.textComplete && !s.done && s.item.Reward != nil
}

// rewardsInOrder returns the items whose reward calls may start, those of groups with the fewest open items first: the
// caller can use a group only when all of its items are listed.
func (p *progress) rewardsInOrder() []*itemState {
	p.awaitingReward = slices.DeleteFunc(p.awaitingReward, func(s *itemState) bool { return !s.awaitsReward() })
	if len(p.awaitingReward) == 0 {
		return nil
	}
	openInGroup := map[string]int{}
	for _, s := range p.items {
		if !s.done {
			openInGroup[s.item.Group]++
		}
	}
	var ready []*itemState
	for _, s := range p.awaitingReward {
		if !s.rewardRunning {
			ready = append(ready, s)
		}
	}
	slices.SortStableFunc(ready, func(a, b *itemState) int {
		return cmp.Compare(openInGroup[a.item.Group], openInGroup[b.item.Group])
	})
	return ready
}

// endReward records the end of an attempt of an item's reward call.
func (p *progress) endReward(s *itemState, response RewardResponse, maxFailures int, now time.Time) reward.Verdict {
	s.rewardRunning = false
	s.rewardTarget = response.Target
	verdict := s.reward.Record(response.Ending, maxFailures, now)
	if s.done {
		return verdict
	}
	switch verdict {
	case reward.Done:
		p.addResult(s, Result{ID: s.item.ID, Output: string(s.text.Output), Versions: s.text.Versions, Score: response.Score})
	case reward.GiveUp:
		p.failItem(s)
	case reward.Retry:
	}
	return verdict
}

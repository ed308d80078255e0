package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/rapidtest"
	"github.com/egretspar/egretspar/internal/target"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	exchangeInterval  = 500 * time.Millisecond
	targetRestartTime = 3 * time.Second
	tickInterval      = 10 * time.Millisecond
	poisonFingerprint = uint64(666)
	instanceCount     = 9
)

// scenario describes how a caller resends its poison request and how the instances exchange state.
type scenario struct {
	name              string
	maxCrashedTargets int
	targetCount       int
	resendInterval    time.Duration
	// waitsForResponse makes the caller wait for each response before it resends.
	waitsForResponse bool
	marksResends     bool
	// isSharded limits requests that have not completed before to two targets, as the router does for requests
	// without a prompt.
	isSharded bool
	// pushesState sends a state frame right after a crash, when Changes signals it, instead of only at the
	// exchange interval.
	pushesState bool
}

// cluster simulates the guards of several instances and their targets in virtual time.
type cluster struct {
	scenario
	now             time.Time
	guards          []*Guard
	runningAttempts []runningAttempt
	downUntil       map[string]time.Time
	deferredSends   []func()
	crashedTargets  int
	refusedOthers   int
	rng             *rand.Rand
}

type runningAttempt struct {
	attempt  *Attempt
	endsAt   time.Time
	onBroken func(released <-chan struct{})
}

func (c *cluster) broadcastState(g *Guard) {
	crashes, quarantines, revision := g.State(c.now)
	for _, other := range c.guards {
		other.Merge(peer.State{Instance: g.self, Crashes: crashes, Quarantined: quarantines}, c.now)
	}
	g.MarkStateSent(revision)
}

// pickTarget returns a live target: the first one in the rendezvous order if the attempt has UseRendezvous,
// otherwise a random one. It returns none if the first one in the rendezvous order failed within RecentFailureWindow.
func (c *cluster) pickTarget(a *Attempt, exclude []string) string {
	if a.PinnedTarget != "" {
		return a.PinnedTarget
	}
	best, bestScore, n := "", uint64(0), uint64(c.targetCount)
	for i := range n {
		inShard := i == a.fingerprint%n || i == (a.fingerprint+1)%n
		id := string(rune('A' + i))
		isCandidate, score := c.now.After(c.downUntil[id]), c.rng.Uint64()
		if a.UseRendezvous {
			isCandidate = isCandidate || c.now.Sub(c.downUntil[id].Add(-targetRestartTime)) < RecentFailureWindow
			score = Rendezvous(a.fingerprint, RendezvousHash(id))
		}
		if isCandidate && score >= bestScore && !slices.Contains(exclude, id) && (a.UseRendezvous || inShard || !c.isSharded) {
			best, bestScore = id, score
		}
	}
	if !c.now.After(c.downUntil[best]) {
		return ""
	}
	return best
}

// send starts an attempt. It reports whether the attempt was refused and whether the caller should try again.
func (c *cluster) send(g *Guard, fingerprint uint64, isResend bool, duration time.Duration, onBroken func(<-chan struct{})) (refused, mayRetry bool) {
	attempt, refusal, retryReady := g.TryBegin(fingerprint, isResend, c.now)
	if refusal != nil {
		return true, retryReady != nil
	}
	id := c.pickTarget(attempt, slices.Concat(attempt.ExcludeTargets, attempt.AvoidTargets))
	if id == "" {
		id = c.pickTarget(attempt, attempt.ExcludeTargets)
	}
	if id == "" {
		attempt.Done(target.Unreachable, c.now)
		return true, true
	}
	attempt.Sent(id)
	c.runningAttempts = append(c.runningAttempts, runningAttempt{attempt, c.now.Add(duration), onBroken})
	return false, false
}

// tick advances the time by tickInterval. A poison request that ends crashes its target, which breaks every
// request running there.
func (c *cluster) tick() {
	c.now = c.now.Add(tickInterval)
	deferred := c.deferredSends
	c.deferredSends = nil
	for _, send := range deferred {
		send()
	}
	for i, g := range c.guards {
		crashSeen := len(g.crashSeen) > 0
		if crashSeen {
			<-g.crashSeen
		}
		if crashSeen && c.pushesState || c.now.Sub(epoch)%exchangeInterval == time.Duration(i)*5*tickInterval {
			c.broadcastState(g)
		}
	}
	for _, r := range c.runningAttempts {
		if id := r.attempt.target; r.attempt.fingerprint == poisonFingerprint && !r.endsAt.After(c.now) && c.now.After(c.downUntil[id]) {
			c.downUntil[id] = c.now.Add(targetRestartTime)
			c.crashedTargets++
		}
	}
	ended := c.runningAttempts
	c.runningAttempts = nil
	for _, r := range ended {
		switch {
		case !c.now.After(c.downUntil[r.attempt.target]):
			r.onBroken(r.attempt.Done(target.Broken, c.now))
		case !r.endsAt.After(c.now):
			r.attempt.Done(target.OK, c.now)
		default:
			c.runningAttempts = append(c.runningAttempts, r)
		}
	}
}

// sendOther sends a harmless request and retries it when it breaks or may be tried again after a refusal.
func (c *cluster) sendOther(g *Guard, fingerprint uint64) {
	refused, mayRetry := c.send(g, fingerprint, false, time.Duration(c.rng.IntN(100))*tickInterval, func(<-chan struct{}) { c.sendOther(g, fingerprint) })
	switch {
	case mayRetry:
		c.deferredSends = append(c.deferredSends, func() { c.sendOther(g, fingerprint) })
	case refused:
		c.refusedOthers++
	}
}

// simulate sends one poison request 100 times to random instances while harmless requests run as well.
func (s scenario) simulate(seed uint64) *cluster {
	c := &cluster{scenario: s, now: epoch, downUntil: map[string]time.Time{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range instanceCount {
		c.guards = append(c.guards, NewGuard(fmt.Sprintf("entry-%d", i)))
	}
	broadcastAllStates := func() {
		for _, g := range c.guards {
			c.broadcastState(g)
		}
	}
	broadcastAllStates()
	randomGuard := func() *Guard { return c.guards[c.rng.IntN(instanceCount)] }
	responded, nextResend := true, epoch
	var released <-chan struct{}
	for sentCount, nextFingerprint := 0, uint64(1000); sentCount < 100; nextFingerprint++ {
		if s.resendInterval < time.Second {
			c.sendOther(randomGuard(), nextFingerprint)
		} else if len(c.runningAttempts) == 0 && c.now.Before(nextResend) && released == nil {
			c.now = nextResend // Nothing happens before the next resend.
			broadcastAllStates()
		}
		select {
		case <-released:
			responded, released = true, nil
		default:
		}
		if !c.now.Before(nextResend) && (responded || !s.waitsForResponse) {
			released, nextResend = nil, c.now.Add(s.resendInterval)
			duration := time.Duration(1+c.rng.IntN(20)) * tickInterval
			responded, _ = c.send(randomGuard(), poisonFingerprint, s.marksResends && sentCount > 0, duration, func(responseReleased <-chan struct{}) {
				released, responded = responseReleased, responseReleased == nil
			})
			sentCount++
		}
		c.tick()
	}
	return c
}

// Guards against more than 3 targets crashed by one poison request that is sent 100 times to nine instances, and
// against the refusal of other requests that were running on a crashed target.
func TestPoisonRequest(t *testing.T) {
	runScenarios(t, []scenario{
		{name: "waits for responses", targetCount: 200, waitsForResponse: true, maxCrashedTargets: 3},
		{name: "waits for responses, 12 targets", targetCount: 12, waitsForResponse: true, maxCrashedTargets: 3},
		{name: "waits 20 s each, longer than a quarantine", targetCount: 12, resendInterval: 20 * time.Second, waitsForResponse: true, maxCrashedTargets: 3},
		{name: "marks resends after 200 ms", targetCount: 200, resendInterval: 200 * time.Millisecond, marksResends: true, maxCrashedTargets: 3},
		{name: "marks resends after 10 ms", targetCount: 200, resendInterval: tickInterval, marksResends: true, maxCrashedTargets: 3},
		{name: "marks resends after 10 ms, 12 targets", targetCount: 12, resendInterval: tickInterval, marksResends: true, maxCrashedTargets: 3},
		{name: "unmarked after 10 ms, no prompt", targetCount: 200, resendInterval: tickInterval, isSharded: true, maxCrashedTargets: 3},
		{name: "unmarked after 200 ms, push", targetCount: 200, resendInterval: 200 * time.Millisecond, pushesState: true, maxCrashedTargets: 3},
	})
}

// Guards against the same failure when the caller does not mark its resends and sends more of them before the
// first crash is detected.
func TestPoisonRequestUnmarkedFast(t *testing.T) {
	runScenarios(t, []scenario{
		{name: "unmarked after 50 ms, push", targetCount: 200, resendInterval: 50 * time.Millisecond, pushesState: true, maxCrashedTargets: 3},
	})
}

func runScenarios(t *testing.T, scenarios []scenario) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			maxCrashed, refusedOthers := 0, 0
			for seed := range uint64(40) {
				c := s.simulate(seed)
				maxCrashed = max(maxCrashed, c.crashedTargets)
				refusedOthers += c.refusedOthers
			}
			t.Logf("at most %d targets lost, %d other requests refused", maxCrashed, refusedOthers)
			if maxCrashed > s.maxCrashedTargets || refusedOthers > 0 {
				t.Errorf("%d targets lost, want <= %d; %d other requests refused", maxCrashed, s.maxCrashedTargets, refusedOthers)
			}
		})
	}
}

// Guards against a budget that allows more retries than its share of the requests plus the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		policy := Policy{Share: 0.2, Burst: 5}
		b := NewBudget(policy)
		requests, allowed := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("blue", "engine", epoch)
				requests++
			} else if b.TryTake("blue", "engine", epoch) {
				allowed++
			}
			if float64(allowed) > policy.Burst+policy.Share*float64(requests)+1e-9 {
				t.Fatalf("%d retries of %d requests", allowed, requests)
			}
		}
	})
}

// Guards against a breaker that never closes again, lets more than one probe through or opens on results that say
// nothing about the target.
func TestBreakerStates(t *testing.T) {
	var b Breaker
	at := epoch.Add
	b.Done(target.Cancelled, false, epoch)
	for range refusalThreshold - 1 {
		b.Done(target.Refused, false, epoch)
	}
	if b.State(epoch) != Closed {
		t.Fatal("open before the refusal threshold")
	}
	for range brokenThreshold - 1 {
		b.Done(target.Broken, false, epoch)
	}
	b.Done(target.OK, false, epoch)
	for range brokenThreshold - 1 {
		b.Done(target.Broken, false, epoch)
	}
	if b.State(epoch) != Closed {
		t.Fatal("open before the threshold of consecutive broken requests")
	}
	b.Done(target.Broken, false, epoch)
	b.Done(target.OK, false, epoch)
	if b.State(at(initialOpenTime-1)) != Open || b.State(at(initialOpenTime)) != HalfOpen {
		t.Fatal("not open for initialOpenTime after broken requests")
	}
	if !b.Start(at(initialOpenTime)) || b.State(at(initialOpenTime)) != Open {
		t.Fatal("second probe allowed")
	}
	b.Done(target.Unreachable, true, at(initialOpenTime))
	if b.State(at(3*initialOpenTime-1)) != Open || !b.Start(at(3*initialOpenTime)) {
		t.Fatal("open time not doubled after a failed probe")
	}
	b.Done(target.OK, true, at(3*initialOpenTime))
	if b.State(at(3*initialOpenTime)) != Closed {
		t.Fatal("not closed after a successful probe")
	}
	b.Done(target.Unreachable, false, at(3*initialOpenTime))
	if b.State(at(3*initialOpenTime)) != Open {
		t.Fatal("closed after a refused connection")
	}
}

func BenchmarkGuard(b *testing.B) {
	g := NewGuard("entry-0")
	body := make([]byte, 4096)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		body[i%len(body)]++
		attempt, _, _ := g.TryBegin(Fingerprint("blue", "chat", body), false, epoch)
		attempt.Sent("engine")
		attempt.Done(target.OK, epoch)
	}
}

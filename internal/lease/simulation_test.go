package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260")
	_ = flag.Set("rapid.checks", "800")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const tickDuration = 40 * time.Millisecond

// tableCall is one call of the table that is under way. The arrival of the request and of the response are separate
// steps, ticks apart. A request may arrive long after the caller has given up.
type tableCall struct {
	caller     *simulatedCandidate
	isWrite    bool
	record     record
	expected   int
	hasArrived bool
	result     row
	failed     bool
}

// simulatedCandidate is a candidate with its own clock rate. It can be paused at any tick.
type simulatedCandidate struct {
	*candidateState
	clockRate   float64
	pauseTicks  int // remaining ticks of the pause
	pendingCall *tableCall
	// lastSendDeadline is when all sends that the candidate has started must have ended, on its own clock.
	lastSendDeadline time.Time
	// formerSendDeadline is when the sends of the candidate's former run must have ended, on its own clock.
	formerSendDeadline time.Time
	tokensUsed         int
}

// simulation runs several candidates against one lease row.
type simulation struct {
	t           *rapid.T
	now         time.Duration
	candidates  []*simulatedCandidate
	calls       []*tableCall
	row         row
	outageTicks int // remaining ticks of the store outage
	highestTerm int
	// actor is the holder that acted last, at lastAct. turnEnds holds when the turn of each former actor ended.
	actor    string
	lastAct  time.Duration
	turnEnds map[string]time.Duration
}

// localTime returns the time on the candidate's clock.
func (s *simulation) localTime(n *simulatedCandidate) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(s.now) * n.clockRate))
}

func (s *simulation) step() {
	s.now += tickDuration
	s.outageTicks--
	s.deliverCalls()
	for _, n := range s.candidates {
		n.pauseTicks--
		if n.pauseTicks >= 0 {
			continue
		}
		s.advanceCandidate(n)
		if _, ok := n.heldTerm(s.localTime(n)); ok {
			n.lastSendDeadline = n.sendDeadline()
			s.recordAct(n.holder)
		}
	}
	s.checkSingleHolder()
}

// deliverCalls delivers each pending request to the table, fails it or delays it to a later tick.
func (s *simulation) deliverCalls() {
	var undelivered []*tableCall
	for _, c := range s.calls {
		delivery := rapid.IntRange(0, 9).Draw(s.t, "delivery")
		if delivery == 8 {
			undelivered = append(undelivered, c)
			continue
		}
		c.hasArrived = true
		c.failed = delivery == 9 || s.outageTicks > 0
		if !c.failed && c.isWrite {
			c.failed = s.row.revision != c.expected
			if !c.failed {
				s.row = row{record: c.record, revision: c.expected + 1}
				s.highestTerm = max(s.highestTerm, int(c.record.Term))
			}
		}
		c.result = s.row
	}
	s.calls = undelivered
}

// advanceCandidate handles the response to the candidate's pending call, or starts its next call.
func (s *simulation) advanceCandidate(n *simulatedCandidate) {
	now := s.localTime(n)
	if c := n.pendingCall; c != nil {
		lost := rapid.IntRange(0, 9).Draw(s.t, "lostResponse") == 0
		if !c.hasArrived && !lost {
			return
		}
		n.pendingCall = nil
		if c.hasArrived && !c.failed && !lost {
			n.observe(now, c.result)
		}
		return
	}
	c := &tableCall{caller: n}
	if rapid.Bool().Draw(s.t, "write") {
		n.tokensUsed++
		next, ok := n.nextRecord(now, fmt.Sprint(n.holder, n.run, n.tokensUsed))
		if !ok {
			return
		}
		n.recordSend(now, next)
		c.isWrite = true
		c.record = next
		c.expected = n.latest.revision
	}
	n.pendingCall = c
	s.calls = append(s.calls, c)
}

// checkSingleHolder fails the test if a candidate may start to act while another one may act or have a send under way.
func (s *simulation) checkSingleHolder() {
	for i, a := range s.candidates {
		if _, ok := a.heldTerm(s.localTime(a)); ok && s.localTime(a).Before(a.formerSendDeadline) {
			s.t.Fatalf("candidate %d acts while its former run may have a send under way", i)
		}
		for j, b := range s.candidates {
			term, ok := b.heldTerm(s.localTime(b))
			if i == j || !ok || b.pauseTicks >= 0 {
				continue
			}
			if _, alsoHolds := a.heldTerm(s.localTime(a)); alsoHolds || s.localTime(a).Before(a.lastSendDeadline) {
				s.t.Fatalf("candidate %d acts under term %d while candidate %d acts or sends", j, term, i)
			}
		}
	}
}

// recordAct fails the test if a holder acts again within the lease duration after another one acted.
func (s *simulation) recordAct(holder string) {
	if holder != s.actor {
		if end, ok := s.turnEnds[holder]; ok && s.now-end < DefaultTiming.Duration {
			s.t.Fatalf("%s acts again %v after its last act, and %s acted in between", holder, s.now-end, s.actor)
		}
		s.turnEnds[s.actor] = s.lastAct
		s.actor = holder
	}
	s.lastAct = s.now
}

// injectEvent pauses, restarts or releases a candidate, starts a store outage, or does nothing.
func (s *simulation) injectEvent() {
	n := rapid.SampledFrom(s.candidates).Draw(s.t, "candidate")
	for _, holder := range s.candidates {
		if holder.held && rapid.Bool().Draw(s.t, "holder") {
			n = holder
		}
	}
	length := rapid.SampledFrom([]int{5, 25, 70, 110, 250}).Draw(s.t, "length")
	switch rapid.SampledFrom([]string{"none", "pause", "pause", "outage", "restart", "release"}).Draw(s.t, "event") {
	case "pause":
		n.pauseTicks = length
	case "outage":
		s.outageTicks = length
	case "restart":
		s.restart(n)
	case "release":
		s.releaseAndRestart(n)
	}
}

// restart starts a new run of the candidate. The sends of a crashed process end with it, except that its last bytes may
// still be under way: with singleProcess they count until their deadline.
func (s *simulation) restart(n *simulatedCandidate) {
	former := *n
	*n = simulatedCandidate{
		candidateState: newCandidateState(n.holder, n.run+1, DefaultTiming).withSingleProcess(n.singleProcess), clockRate: n.clockRate,
	}
	if n.singleProcess {
		n.formerSendDeadline = former.lastSendDeadline
		if limit := s.localTime(n).Add(DefaultTiming.MaxSend); limit.Before(n.formerSendDeadline) {
			n.formerSendDeadline = limit
		}
	}
}

// releaseAndRestart releases the lease if no send is under way, and starts a new run of the instance, as an upgrade
// does.
func (s *simulation) releaseAndRestart(n *simulatedCandidate) {
	if n.pendingCall != nil || s.localTime(n).Before(n.lastSendDeadline) {
		return
	}
	n.stop()
	if r, ok := n.releaseRecord(s.localTime(n), "release"); ok && s.row.revision == n.latest.revision {
		s.row = row{record: r, revision: s.row.revision + 1}
	}
	*n = simulatedCandidate{
		candidateState: newCandidateState(n.holder, n.run+1, DefaultTiming).withSingleProcess(n.singleProcess), clockRate: n.clockRate,
	}
}

// Guards against two holders at once, and against holders that act in turns within the lease duration. Candidates are paused at any point, clocks differ by 5%, requests arrive late or
// even twice the lease duration later, responses are lost and store outages outlast the lease.
func TestNoTwoHoldersAct(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, turnEnds: map[string]time.Duration{}}
		singleProcess := rapid.Bool().Draw(t, "singleProcess")
		for i := range rapid.IntRange(2, 3).Draw(t, "candidates") {
			rate := rapid.SampledFrom([]float64{0.975, 1, 1.025}).Draw(t, "rate")
			s.candidates = append(s.candidates, &simulatedCandidate{candidateState: newCandidateState(fmt.Sprint("i", i), 1, DefaultTiming).withSingleProcess(singleProcess), clockRate: rate})
		}
		for range 10 {
			for range rapid.SampledFrom([]int{130, 60, 40, 10}).Draw(t, "ticks") {
				s.step()
			}
			s.injectEvent()
		}
		takeovers += max(0, s.highestTerm-1)
	})
	t.Logf("takeovers: %d", takeovers)
}

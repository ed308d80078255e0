package peer

import (
	"time"

	"github.com/egretspar/egretspar/internal/member"
)

const (
	// costReportsPerSecond is the number of instances whose costs a relay reports on a link per second. Costs are the
	// largest part of a state, so the time between two reports of one instance grows with the number of instances.
	costReportsPerSecond = 10
	// maxShortIDs limits the instances that a relay can make this instance remember for one link.
	maxShortIDs = 4096
	// numbersPerCost is the number of integers that encode one cost.
	numbersPerCost = 5
)

// sentState is what was last sent about an instance on a link.
type sentState struct {
	shortID        int
	start          int64
	revision       int
	leaving        bool
	fingerprintSum int // sum of quarantine and crash fingerprints, which differs when they change
	costsSentAt    time.Time
}

// instanceRun is one process of an instance, identified by its start time. A short ID refers to it.
type instanceRun struct {
	instance string
	start    int64
}

// addRelayed adds the states that this instance relays to the peer of a link: all states to members of its own group,
// and the states of its own group to relays of other groups.
func (l *Links) addRelayed(k *link, names map[string]int, e *envelope) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.topology.IsRelay {
		return
	}
	if len(k.sentStates) >= maxShortIDs {
		// Replaced instances use up the short IDs of a long-lived link. Numbering starts again, and each state is sent
		// once more.
		clear(k.sentStates)
	}
	isGroupMember := l.groupMembers[k.peer.ID]
	composer := relayComposer{
		link: k, now: now, costInterval: time.Duration(len(l.lastStates)) * time.Second / costReportsPerSecond,
		nameIndexes: names, envelope: e,
	}
	// Only the first relay of a group reports costs periodically; the second one keeps contact if the first fails.
	composer.periodicCosts = l.topology.PollsConfig
	for id, received := range l.lastStates {
		age := now.Sub(received.composedAfter)
		if age > member.InstanceTTL {
			delete(l.lastStates, id)
			continue
		}
		shouldRelay := isGroupMember || l.groupMembers[id]
		if age > member.RelayedContactTimeout || id == k.peer.ID || received.viaPeer == k.peer.ID || !shouldRelay {
			continue
		}
		e.Relayed = append(e.Relayed, composer.composeEntry(received.stateAt(now), age))
	}
}

// relayComposer composes the relayed states of one frame.
type relayComposer struct {
	link          *link
	now           time.Time
	costInterval  time.Duration // between two reports of one instance's costs
	periodicCosts bool          // costs are also reported when nothing else has changed
	nameIndexes   map[string]int
	envelope      *envelope
}

// composeEntry returns the frame's entry for one instance. It includes the state if the peer does not have it.
func (c *relayComposer) composeEntry(s State, age time.Duration) relayedState {
	last, ok := c.link.sentStates[s.Instance]
	if !ok {
		last.shortID = len(c.link.sentStates)
	}
	next := sentState{
		shortID:        last.shortID,
		start:          startOf(s),
		revision:       s.Revision,
		leaving:        isTrue(s.Leaving),
		fingerprintSum: sumFingerprints(s),
		costsSentAt:    last.costsSentAt,
	}
	r := relayedState{
		ShortID:       last.shortID,
		AgeMs:         int64(ceilMs(age)),
		Revision:      int64(s.Revision),
		EvidenceAgeMs: int64(s.EvidenceAgeMs),
	}
	costsDue := c.periodicCosts && c.now.Sub(last.costsSentAt) >= c.costInterval
	isUnchanged := ok && last == next
	if isUnchanged && !costsDue {
		return r
	}
	next.costsSentAt = c.now
	if !ok {
		// A random start spreads the periodic cost reports of all instances over the interval.
		next.costsSentAt = c.now.Add(-jitter(c.costInterval))
	}
	c.link.sentStates[s.Instance] = next
	r.Costs = packCosts(s.Costs, c.nameIndexes, c.envelope)
	if isUnchanged {
		return r
	}
	s.Costs = nil
	r.State = &s
	return r
}

func sumFingerprints(s State) int {
	sum := 0
	for _, q := range s.Quarantined {
		sum += q.Fingerprint
	}
	for _, c := range s.Crashes {
		sum += c.Fingerprint
	}
	return sum
}

// packCosts encodes costs as numbersPerCost integers each and adds names that are not in the frame yet to e.
func packCosts(costs []TeamCost, names map[string]int, e *envelope) []int {
	packed := make([]int, 0, numbersPerCost*len(costs))
	for _, c := range costs {
		team := indexOfName(c.Team, names, e)
		service := indexOfName(c.Service, names, e)
		packed = append(packed, team, service, intOrZero(c.Served), intOrZero(c.Waiting), intOrZero(c.InFlight))
	}
	return packed
}

// indexOfName returns the index of a name in e.Names, to which it adds the name if needed.
func indexOfName(name string, names map[string]int, e *envelope) int {
	i, ok := names[name]
	if !ok {
		i = len(e.Names)
		names[name] = i
		e.Names = append(e.Names, name)
	}
	return i
}

func intOrZero(p *int) int {
	if p == nil {
		return 0
	}
	return *p
}

// unpackCosts reverses packCosts. Costs with indexes outside names are dropped.
func unpackCosts(packed []int, names []string) []TeamCost {
	var costs []TeamCost
	for ; len(packed) >= numbersPerCost; packed = packed[numbersPerCost:] {
		team, service := packed[0], packed[1]
		if team < 0 || service < 0 || team >= len(names) || service >= len(names) {
			continue
		}
		served, waiting, inFlight := packed[2], packed[3], packed[4]
		costs = append(costs, TeamCost{
			Team: names[team], Service: names[service],
			Served: &served, Waiting: &waiting, InFlight: &inFlight,
		})
	}
	return costs
}

// receiveRelayed processes what a relay reports about an instance. An entry without a state refers to the last state
// received of the same process and updates its revision, its ages and, if the entry has any, its costs.
func (l *Links) receiveRelayed(k *link, r relayedState, names []string, frameComposedAfter time.Time) {
	if r.AgeMs < 0 || r.ShortID < 0 || r.ShortID >= maxShortIDs {
		return
	}
	composedAfter := frameComposedAfter.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	evidenceAge := r.EvidenceAgeMs
	if evidenceAge >= 0 {
		// The relay reports the age at the time of its frame, but receiveState expects the age at the time of the
		// state.
		evidenceAge = max(0, evidenceAge-r.AgeMs)
	}
	var s State
	if r.State != nil {
		s = *r.State
		s.Costs = unpackCosts(r.Costs, names)
		k.runsByShortID[r.ShortID] = instanceRun{instance: s.Instance, start: startOf(s)}
	} else {
		run := k.runsByShortID[r.ShortID]
		lastState, ok := l.lastState(run.instance, run.start)
		if !ok {
			return
		}
		s = lastState
		if len(r.Costs) > 0 {
			s.Costs = unpackCosts(r.Costs, names)
		}
	}
	if s.Instance == l.opts.Self.ID {
		return
	}
	s.Revision = int(r.Revision)
	s.EvidenceAgeMs = int(evidenceAge)
	l.receiveState(k, s, composedAfter, origin{hasDetail: r.State != nil || len(r.Costs) > 0})
}

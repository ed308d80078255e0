package peer

import (
	"time"

	"github.com/egretspar/egretspar/internal/member"
)

// receivedState is the latest state of an instance, received directly or through a relay.
type receivedState struct {
	state         State
	composedAfter time.Time
	// evidenceAt is the time of the instance's last evidence, or an earlier one; zero if it has none.
	evidenceAt time.Time
	// detailComposedAfter is the time bound of the detail, which is not repeated in every frame: costs, quarantine and
	// crashes.
	detailComposedAfter time.Time
	// detailSequence is the sequence number of the state that contained the detail; 0 if it had none.
	detailSequence int
	// viaPeer is the ID of the peer that sent the state: the instance itself or a relay.
	viaPeer string
}

// heartbeat carries the values that are updated more often than state frames are sent.
type heartbeat struct {
	Revision      int64 `cbor:"revision"`
	EvidenceAgeMs int64 `cbor:"evidence_age_ms"`
}

// Broadcast sets the state that this instance sends to its peers. The state is sent at once if the revision, the
// leaving flag or the number of quarantined requests changed or if it reports crashes, and otherwise with the next
// periodic state frame. Ages in s are as of the call. A revision lower than an earlier one is replaced by that one.
func (l *Links) Broadcast(s State) {
	start := int(l.opts.Self.Start)
	s.Instance = l.opts.Self.ID
	s.Start = &start
	l.mu.Lock()
	old := l.ownState
	s.Revision = max(s.Revision, old.state.Revision)
	l.ownState = broadcastState{state: s, isSet: true, setAt: time.Now()}
	l.mu.Unlock()
	if !old.isSet || isUrgentChange(old.state, s) {
		l.sendStates(true)
	}
}

func isUrgentChange(old, s State) bool {
	return old.Revision != s.Revision || isTrue(old.Leaving) != isTrue(s.Leaving) ||
		len(old.Quarantined) != len(s.Quarantined) || len(s.Crashes) > 0
}

func isTrue(b *bool) bool { return b != nil && *b }

// sendPeriodicFrames disconnects links on which nothing was received for receiveTimeout, and sends a frame on the
// others.
func (l *Links) sendPeriodicFrames(withState bool) {
	now := l.clock()
	l.mu.Lock()
	open := l.openLinks()
	l.mu.Unlock()
	for _, k := range open {
		if now-k.lastReceivedAt.Load() > receiveTimeout.Milliseconds() {
			k.disconnect("nothing received for 5 s")
		}
	}
	l.sendStates(withState)
}

func (l *Links) sendStates(withState bool) {
	l.mu.Lock()
	open := l.openLinks()
	l.mu.Unlock()
	for _, k := range open {
		if frame := l.composePeriodicFrame(k, withState); frame != nil {
			k.send(frame)
		}
	}
}

// composePeriodicFrame returns the next periodic frame for a link: a state frame or a heartbeat.
func (l *Links) composePeriodicFrame(k *link, withState bool) []byte {
	if withState {
		return l.composeStateFrame(k)
	}
	e := l.newEnvelope(k)
	state, isSet := l.currentOwnState()
	if isSet {
		e.Heartbeat = &heartbeat{Revision: int64(state.Revision), EvidenceAgeMs: int64(state.EvidenceAgeMs)}
	}
	return l.encodeOrLog(e)
}

// composeStateFrame returns a frame with this instance's state and relayed states. The echo is read before the ages
// are computed, because the receiver counts the ages from the echoed time: a later echo would make evidence look too
// fresh.
func (l *Links) composeStateFrame(k *link) []byte {
	e := l.newEnvelope(k)
	state, isSet := l.currentOwnState()
	names := make(map[string]int)
	if isSet {
		e.Costs = packCosts(state.Costs, names, &e)
		state.Costs = nil
		e.State = &state
	}
	l.addRelayed(k, names, &e)
	return l.encodeOrLog(e)
}

func (l *Links) newEnvelope(k *link) envelope {
	echo := k.lastPeerSent.Load()
	return envelope{Sent: l.clock(), Echo: echo}
}

// encodeOrLog encodes a frame, or logs the error and returns nil. Encoding fails only if the frame exceeds the size
// limit or because of a programming error. The frame is then skipped, and peers lose contact with this instance.
func (l *Links) encodeOrLog(e envelope) []byte {
	data, err := encode(e)
	if err != nil {
		l.opts.Log.Error().Err(err).Msg("failed to encode state or heartbeat frame for peers")
		return nil
	}
	return data
}

// currentOwnState returns the state to send, with its ages as of now, and whether one was set.
func (l *Links) currentOwnState() (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.ownState.state
	elapsed := ceilMs(time.Since(l.ownState.setAt))
	if s.EvidenceAgeMs >= 0 {
		s.EvidenceAgeMs += elapsed
	}
	if s.StoreOutageAgeMs != nil && *s.StoreOutageAgeMs > 0 {
		age := *s.StoreOutageAgeMs + elapsed
		s.StoreOutageAgeMs = &age
	}
	return s, l.ownState.isSet
}

// ceilMs rounds up to milliseconds, because an age that is too low would make evidence count for too long.
func ceilMs(d time.Duration) int {
	return int((d + time.Millisecond - 1) / time.Millisecond)
}

// stateAt returns the state with its evidence age as of now.
func (r receivedState) stateAt(now time.Time) State {
	s := r.state
	s.EvidenceAgeMs = -1
	if !r.evidenceAt.IsZero() {
		s.EvidenceAgeMs = ceilMs(now.Sub(r.evidenceAt))
	}
	return s
}

// receiveStates processes the states of one frame. It ignores a frame without an echo, because nothing bounds the age
// of its content.
func (l *Links) receiveStates(k *link, e envelope) {
	if e.Echo == 0 {
		return
	}
	composedAfter := l.clockToTime(e.Echo)
	if e.State != nil && e.State.Instance == k.peer.ID {
		s := *e.State
		start := int(k.peer.Start)
		s.Start = &start
		if len(e.Costs) > 0 {
			s.Costs = unpackCosts(e.Costs, e.Names)
		}
		l.receiveState(k, s, composedAfter, origin{isDirect: true, hasDetail: true})
	}
	if e.Heartbeat != nil {
		l.receiveHeartbeat(k, *e.Heartbeat, composedAfter)
	}
	for _, r := range e.Relayed {
		l.receiveRelayed(k, r, e.Names, composedAfter)
	}
}

func (l *Links) receiveHeartbeat(k *link, h heartbeat, composedAfter time.Time) {
	s, ok := l.lastState(k.peer.ID, k.peer.Start)
	if !ok {
		return
	}
	s.Revision = int(h.Revision)
	s.EvidenceAgeMs = int(h.EvidenceAgeMs)
	l.receiveState(k, s, composedAfter, origin{isDirect: true})
}

// lastState returns the last state received of the process of an instance that started at start.
func (l *Links) lastState(id string, start int64) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.lastStates[id]
	return last.state, ok && startOf(last.state) == start
}

func startOf(s State) int64 {
	if s.Start == nil {
		return 0
	}
	return int64(*s.Start)
}

// origin describes how a state was received and what it contains.
type origin struct {
	isDirect  bool // from the instance itself
	hasDetail bool // with costs, quarantine and crashes
}

// receiveState processes one state that was composed at or after composedAfter. The evidence age in s is as of
// composedAfter.
func (l *Links) receiveState(k *link, s State, composedAfter time.Time, o origin) {
	received := receivedState{state: s, composedAfter: composedAfter, viaPeer: k.peer.ID}
	if s.EvidenceAgeMs >= 0 {
		received.evidenceAt = composedAfter.Add(-time.Duration(s.EvidenceAgeMs) * time.Millisecond)
	}
	received, isNewer, hasNewDetail := l.mergeState(received, o.hasDetail)
	if isNewer && o.isDirect {
		k.advanceRevision(int64(s.Revision))
	}
	if isNewer {
		from := member.Instance{ID: s.Instance, Start: startOf(s)}
		if o.isDirect {
			from = k.peer
		}
		from.Leaving = isTrue(received.state.Leaving)
		l.onContact(Contact{Instance: from, Direct: o.isDirect, ComposedAfter: composedAfter, EvidenceAt: received.evidenceAt, State: received.state})
	}
	if hasNewDetail {
		l.onState(received.stateAt(time.Now()))
	}
}

// mergeState merges a received state into the last state of its instance. States of an instance can arrive through
// two relays, so time and detail are compared separately.
func (l *Links) mergeState(received receivedState, hasDetail bool) (merged receivedState, isNewer, hasNewDetail bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.lastStates[received.state.Instance]
	if ok && startOf(received.state) < startOf(old.state) {
		return old, false, false
	}
	if !ok || startOf(received.state) > startOf(old.state) {
		received.detailComposedAfter, received.detailSequence = received.composedAfter, sequenceOf(received.state)
		l.lastStates[received.state.Instance] = received
		return received, true, true
	}
	isNewer = !received.composedAfter.Before(old.composedAfter) && received.state.Revision >= old.state.Revision
	hasNewDetail = hasDetail && hasNewerDetail(received, old)
	merged = old
	if isNewer {
		merged = received
		merged.detailComposedAfter, merged.detailSequence = old.detailComposedAfter, old.detailSequence
		copyDetail(&merged.state, old.state)
	}
	if hasNewDetail {
		copyDetail(&merged.state, received.state)
		merged.detailComposedAfter, merged.detailSequence = received.composedAfter, sequenceOf(received.state)
	}
	l.lastStates[received.state.Instance] = merged
	return merged, isNewer, hasNewDetail
}

// hasNewerDetail reports whether the detail of received is newer than that of old. It compares sequence numbers if
// both have one, because two frames have the same time bound if nothing was sent in the other direction between them,
// and the second frame may report a crash.
func hasNewerDetail(received, old receivedState) bool {
	if sequence := sequenceOf(received.state); sequence > 0 && old.detailSequence > 0 {
		return sequence > old.detailSequence
	}
	return received.composedAfter.After(old.detailComposedAfter)
}

func sequenceOf(s State) int {
	if s.Sequence == nil {
		return 0
	}
	return *s.Sequence
}

func copyDetail(to *State, from State) {
	to.Costs = from.Costs
	to.Quarantined = from.Quarantined
	to.Crashes = from.Crashes
	to.Leaving = from.Leaving
	to.StoreOutageAgeMs = from.StoreOutageAgeMs
}

package retry

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/peer"
)

const (
	// quarantineTime is how long a quarantine lasts after it began or was renewed. It is long enough for callers
	// that keep resending for minutes.
	quarantineTime = 10 * time.Minute
	// crashRetention is how long a crash counts. It equals quarantineTime, so that the crashes of a request
	// that is resent slowly still add up.
	crashRetention = quarantineTime
	// sameCrashWindow is the time within which broken requests on one target count as one crash.
	sameCrashWindow = 2 * time.Second
	// peerTimeout is the age of a peer's last state from which on the peer no longer counts as live.
	peerTimeout = 2 * time.Second
	// maxRecords limits the memory of crash records.
	maxRecords = 4096
	// maxStateEntries limits the crashes, and likewise the quarantines, in one state frame.
	maxStateEntries = 256
	// minQuarantineExtension is the smallest extension of a quarantine that is applied. Without it, a quarantine
	// that peers report back and forth would grow by the link delay each time.
	minQuarantineExtension = 5 * time.Second
	// completedSetSlots is the number of slots of a completedSet.
	completedSetSlots = 1 << 16
	// fingerprintMask clears the sign bit, because peer frames carry fingerprints as int.
	fingerprintMask = 1<<63 - 1
)

// Fingerprint identifies a request by the truncated SHA-256 of team, service and body. The hash is
// cryptographic so that no team can craft a request with the fingerprint of another one.
func Fingerprint(team, service string, body []byte) uint64 {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{team, service} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return binary.LittleEndian.Uint64(sum[:]) & fingerprintMask
}

// crash is one crash of a target that broke a request.
type crash struct {
	target string
	at     time.Time
	// localOnly marks a crash that broke a request which had completed before. It makes the request a suspect
	// on this instance only and is not sent to peers, because such a request is rarely the cause.
	localOnly bool
}

// crashList holds the crashes of one fingerprint.
type crashList []crash

// add appends a crash unless the list contains it already.
func (c crashList) add(next crash) crashList {
	if c.contains(next) {
		return c
	}
	return append(c, next)
}

// contains reports whether the list has an entry for the same crash, see sameCrashWindow.
func (c crashList) contains(other crash) bool {
	for _, existing := range c {
		if existing.target == other.target && other.at.Sub(existing.at).Abs() < sameCrashWindow {
			return true
		}
	}
	return false
}

// latest returns the most recent crash.
func (c crashList) latest() crash {
	var latest crash
	for _, crash := range c {
		if crash.at.After(latest.at) {
			latest = crash
		}
	}
	return latest
}

// dropExpired returns the crashes that still count. It reuses the memory of c.
func (c crashList) dropExpired(now time.Time) crashList {
	kept := c[:0]
	for _, crash := range c {
		if now.Sub(crash.at) < crashRetention {
			kept = append(kept, crash)
		}
	}
	return kept
}

// crashRecord holds what this instance knows about a fingerprint that is suspected.
type crashRecord struct {
	crashes crashList
	// runningCopies is the number of attempts that run as a suspect, all of them on target.
	runningCopies int
	target        string
}

// peerView is the last state received from one peer.
type peerView struct {
	receivedAt time.Time
	start      int
	sequence   int
	crashes    map[uint64]crashList
}

func newPeerView(state peer.State, now time.Time) *peerView {
	v := &peerView{receivedAt: now, start: optional.Value(state.Start), sequence: optional.Value(state.Sequence)}
	if len(state.Crashes) > 0 {
		v.crashes = make(map[uint64]crashList, len(state.Crashes))
	}
	for _, c := range state.Crashes {
		fingerprint := uint64(c.Fingerprint)
		at := now.Add(-time.Duration(optional.Value(c.AgeMs)) * time.Millisecond)
		v.crashes[fingerprint] = v.crashes[fingerprint].add(crash{target: c.Target, at: at})
	}
	return v
}

// supersedes reports whether the view is newer than old or comes from a restarted peer.
func (v *peerView) supersedes(old *peerView) bool {
	return old == nil || v.start != old.start || v.sequence >= old.sequence
}

// completedSet is a lossy set of the fingerprints of completed requests. If a fingerprint is overwritten, the rules
// for requests that have not completed before apply to it again.
type completedSet [completedSetSlots]uint64

// contains returns false for the fingerprint 0, which marks an empty slot.
func (s *completedSet) contains(fingerprint uint64) bool {
	return fingerprint != 0 && s[fingerprint%completedSetSlots] == fingerprint
}

func (s *completedSet) add(fingerprint uint64) { s[fingerprint%completedSetSlots] = fingerprint }

func (s *completedSet) remove(fingerprint uint64) {
	if s.contains(fingerprint) {
		s[fingerprint%completedSetSlots] = 0
	}
}

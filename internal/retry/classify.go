package retry

import "time"

// suspicion says whether requests with a fingerprint are believed to crash targets.
type suspicion int

const (
	notSuspected suspicion = iota
	// suspected means that the fingerprint was running on a target that crashed and may be the cause.
	suspected
	// awaitingPeerReports means that the decision waits until the peers have reported which other fingerprints
	// were running on the crashed targets.
	awaitingPeerReports
	// causesCrashes means that the fingerprint is quarantined.
	causesCrashes
)

const (
	// soleSuspectThreshold is the number of crashes after which a fingerprint is quarantined if no other
	// fingerprint was involved in all of them. One crash is no proof, because it breaks every request that the
	// target was running.
	soleSuspectThreshold = 2
	// unconditionalThreshold is the number of crashes after which a fingerprint is quarantined even if another
	// one was involved in all of them.
	unconditionalThreshold = 3
	// maxDetectionDelay is the time within which all instances detect the same crash.
	maxDetectionDelay = 100 * time.Millisecond
)

// classify returns the suspicion of a fingerprint and quarantines it if it causes crashes.
func (g *Guard) classify(fingerprint uint64, now time.Time) suspicion {
	if now.Before(g.quarantined[fingerprint]) {
		return causesCrashes
	}
	if len(g.records) == 0 && len(g.peers) == 0 {
		return notSuspected
	}
	// A frequent request that completed here is rarely the cause of a crash that a peer saw.
	if g.completed.contains(fingerprint) {
		return notSuspected
	}
	crashes := g.allCrashes(fingerprint, now)
	switch {
	case len(crashes) == 0:
		return notSuspected
	case len(crashes) < soleSuspectThreshold:
		return suspected
	case len(crashes) < unconditionalThreshold && !g.peersHaveReported(crashes, now):
		return awaitingPeerReports
	case len(crashes) < unconditionalThreshold && g.hasOtherSuspect(fingerprint, crashes, now):
		return suspected
	}
	g.quarantined[fingerprint] = now.Add(quarantineTime)
	return causesCrashes
}

// peersHaveReported reports whether every live peer has sent its state since the latest crash, late enough to
// include that crash.
func (g *Guard) peersHaveReported(crashes crashList, now time.Time) bool {
	latestAt := crashes.latest().at
	for _, view := range g.peers {
		if now.Sub(view.receivedAt) < peerTimeout && view.receivedAt.Sub(latestAt) < maxDetectionDelay {
			return false
		}
	}
	return true
}

// hasOtherSuspect reports whether another fingerprint was involved in all the crashes, as seen by this instance
// and its peers together.
func (g *Guard) hasOtherSuspect(fingerprint uint64, crashes crashList, now time.Time) bool {
	for other, rec := range g.records {
		if other != fingerprint && rec.crashes.contains(crashes[0]) && g.allCrashes(other, now).containsAll(crashes) {
			return true
		}
	}
	for _, view := range g.peers {
		for other, otherCrashes := range view.crashes {
			if other != fingerprint && otherCrashes.contains(crashes[0]) && g.allCrashes(other, now).containsAll(crashes) {
				return true
			}
		}
	}
	return false
}

// containsAll reports whether c contains every crash of others.
func (c crashList) containsAll(others crashList) bool {
	if len(c) < len(others) {
		return false
	}
	for _, other := range others {
		if !c.contains(other) {
			return false
		}
	}
	return true
}

// allCrashes returns the distinct crashes of a fingerprint that this instance and its peers saw, without
// expired ones.
func (g *Guard) allCrashes(fingerprint uint64, now time.Time) crashList {
	var distinct crashList
	if rec := g.records[fingerprint]; rec != nil {
		rec.crashes = rec.crashes.dropExpired(now)
		distinct = append(distinct, rec.crashes...)
	}
	for _, view := range g.peers {
		for _, crash := range view.crashes[fingerprint] {
			if now.Sub(crash.at) < crashRetention {
				distinct = distinct.add(crash)
			}
		}
	}
	return distinct
}

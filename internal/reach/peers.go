package reach

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPeers is the number of other instances that one request may try.
	maxPeers = 3
	// maxRequestsPerPeer limits the concurrent requests of this instance through one other instance.
	maxRequestsPerPeer = 64
	// An instance that could not be reached, or that is cut itself, is not asked again for peerBackoff, a busy one for
	// busyBackoff.
	peerBackoff = 2 * time.Second
	busyBackoff = 200 * time.Millisecond
	// maxPeerBackoff limits the backoff of an instance that stays unreachable, which doubles with each failure.
	maxPeerBackoff = time.Minute
)

// Peer is another instance that passes requests on to targets.
type Peer struct {
	Name string
	// URL is where it takes such requests.
	URL  string
	Zone string
	// Start identifies its process.
	Start string
	// Cut is set while it says that it reaches no targets itself.
	Cut bool
	// Cores is its processor time in cores; 0 means unknown.
	Cores float64
}

type peer struct {
	Peer
	requests int
	failures int
	usableAt time.Time
}

// SetPeer adds another instance or replaces what is known about it. A new process, or one whose links are back, is usable at once.
func (t *Table) SetPeer(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.peers[p.Name]
	if !ok {
		known = &peer{}
		t.peers[p.Name] = known
	}
	if known.Start != p.Start || known.Cut && !p.Cut {
		known.usableAt, known.failures = time.Time{}, 0
	}
	known.Peer = p
}

// RemovePeer removes another instance.
func (t *Table) RemovePeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, name)
}

// Peers returns the instances through which a request for a target should go, the best first. The same target goes through the
// same instance, which then has a connection to it; an instance in this zone is preferred. The others are in other zones, since
// a zone may be cut as a whole.
func (t *Table) Peers(target string, now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var usable []*peer
	for _, p := range t.peers {
		if !p.Cut && p.requests < maxRequestsPerPeer && !now.Before(p.usableAt) {
			usable = append(usable, p)
		}
	}
	slices.SortFunc(usable, func(a, b *peer) int {
		if (a.Zone == t.zone) != (b.Zone == t.zone) {
			if a.Zone == t.zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(weight(target, b.Name), weight(target, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Peer
	for _, newZonesOnly := range []bool{true, false} {
		for _, p := range usable {
			isChosen := slices.ContainsFunc(chosen, func(c Peer) bool { return c.Name == p.Name })
			hasZone := slices.ContainsFunc(chosen, func(c Peer) bool { return c.Zone == p.Zone })
			if len(chosen) < maxPeers && !isChosen && (!newZonesOnly || !hasZone) {
				chosen = append(chosen, p.Peer)
			}
		}
	}
	return chosen
}

// weight orders the instances for a target alike everywhere.
func weight(target, name string) uint64 { return xxhash.Sum64String(target + "\x00" + name) }

// Begin counts a request through another instance until End.
func (t *Table) Begin(name string) { t.updatePeer(name, func(p *peer) { p.requests++ }) }

// End ends a request through another instance.
func (t *Table) End(name string) {
	t.updatePeer(name, func(p *peer) { p.requests = max(0, p.requests-1) })
}

// PeerResponded records that another instance passed a request on.
func (t *Table) PeerResponded(name string) { t.updatePeer(name, func(p *peer) { p.failures = 0 }) }

// PeerUnusable records that another instance could not be reached or is cut itself.
func (t *Table) PeerUnusable(name string, now time.Time) {
	t.updatePeer(name, func(p *peer) {
		p.usableAt = now.Add(min(peerBackoff<<min(p.failures, 8), maxPeerBackoff))
		p.failures++
	})
}

// PeerBusy records that another instance has no room for more requests.
func (t *Table) PeerBusy(name string, now time.Time) {
	t.updatePeer(name, func(p *peer) { p.usableAt = now.Add(busyBackoff) })
}

func (t *Table) updatePeer(name string, update func(*peer)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[name]; ok {
		update(p)
	}
}

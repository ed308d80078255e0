// Package member maintains an instance's view of the membership: which entry instances are known, which are in contact,
// which one owns a key and which ones to link to. It does no I/O; the current time is an argument.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// InstanceTTL is how long a peer counts as known after the last contact, even if the platform's list does not name
	// it. The list lags behind. A view with too many peers is safe: the instance loses its majority, and so stops
	// serving, too early rather than too late.
	InstanceTTL = 60 * time.Second
	// ContactTimeout is how long a peer counts as in contact after its last message. A peer sends one every 500 ms.
	ContactTimeout = 2 * time.Second
	// RelayedContactTimeout replaces ContactTimeout if there are more than MaxMeshSize instances, because state
	// messages then pass through two relays and each hop adds up to 1 s. It equals confsync.EvidenceTTL, so the time
	// for which a configuration writer waits covers it.
	RelayedContactTimeout = 4 * time.Second
)

// Instance describes one run of an entry instance.
type Instance struct {
	ID      string
	Address string
	Zone    string
	Region  string
	// Start is the start number of the run; it is higher after each restart of the instance. It is 0 while the instance
	// is known only from the platform's list.
	Start int64
	// Leaving is set on an instance that finishes its work and owns no keys any more.
	Leaving bool
}

type peer struct {
	Instance
	// listed is set if the platform's last list names the peer.
	listed bool
	// lastContact is the latest time at which the current run of the peer is known to have been alive; zero if none is.
	lastContact time.Time
}

// View merges the platform's list of instances with the contact to peers. It is not safe for concurrent use.
type View struct {
	self  Instance
	peers map[string]*peer
}

// NewView returns a view in which only the instance itself is known.
func NewView(self Instance) *View {
	return &View{self: self, peers: make(map[string]*peer)}
}

// ApplyList replaces the platform's list of instances. After a failed read the caller does not call ApplyList, so the
// last list stays in use. Targets and instances of other regions are ignored.
func (v *View) ApplyList(list []api.Instance) {
	for _, p := range v.peers {
		p.listed = false
	}
	for _, entry := range list {
		v.applyEntry(entry)
	}
}

func (v *View) applyEntry(entry api.Instance) {
	if entry.Role != api.RoleEntry || entry.ID == v.self.ID {
		return
	}
	if entry.Region != nil && *entry.Region != v.self.Region {
		return
	}
	p := v.peers[entry.ID]
	if p == nil {
		p = &peer{Instance: Instance{ID: entry.ID, Address: entry.Address, Zone: entry.Zone, Region: v.self.Region}}
		v.peers[entry.ID] = p
	}
	p.listed = true
	if entry.State == api.StateLeaving {
		p.Leaving = true
	}
	if p.lastContact.IsZero() {
		p.Address = entry.Address
		p.Zone = entry.Zone
		p.Leaving = entry.State == api.StateLeaving
	}
}

// RecordContact records that a peer was alive at the given time. It returns false if from is this instance itself or a
// run that a later run of the peer has replaced.
func (v *View) RecordContact(at time.Time, from Instance) bool {
	if from.ID == v.self.ID {
		return false
	}
	p := v.peers[from.ID]
	if p == nil {
		p = &peer{Instance: from}
		v.peers[from.ID] = p
	}
	if from.Start < p.Start {
		return false
	}
	if from.Start > p.Start {
		p.lastContact = time.Time{}
	}
	p.Start = from.Start
	p.Leaving = from.Leaving
	setIfNotEmpty(&p.Address, from.Address)
	setIfNotEmpty(&p.Zone, from.Zone)
	setIfNotEmpty(&p.Region, from.Region)
	if at.After(p.lastContact) {
		p.lastContact = at
	}
	return true
}

// setIfNotEmpty keeps the known value of a field if the new one is empty, because relayed state messages carry no
// addresses.
func setIfNotEmpty(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// SetLeaving marks this instance as leaving or not.
func (v *View) SetLeaving(leaving bool) { v.self.Leaving = leaving }

// Snapshot returns the view at the given time. It removes peers that are not listed and whose last contact is more than
// InstanceTTL ago.
func (v *View) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Self: v.self, Known: []Instance{v.self}, InContact: map[string]bool{v.self.ID: true}}
	for id, p := range v.peers {
		if !p.listed && now.Sub(p.lastContact) > InstanceTTL {
			delete(v.peers, id)
			continue
		}
		s.Known = append(s.Known, p.Instance)
	}
	s.markContacts(now, v.peers)
	slices.SortFunc(s.Known, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return s
}

// markContacts adds the peers whose last contact has not expired to InContact. Known must be complete, because its size
// determines the timeout.
func (s *Snapshot) markContacts(now time.Time, peers map[string]*peer) {
	timeout := ContactTimeout
	if len(s.Known) > MaxMeshSize {
		timeout = RelayedContactTimeout
	}
	for id, p := range peers {
		if now.Sub(p.lastContact) <= timeout {
			s.InContact[id] = true
		}
	}
}

// Snapshot is the membership at one point in time.
type Snapshot struct {
	Self Instance
	// Known holds every known instance, this one included, ordered by ID.
	Known []Instance
	// InContact holds the IDs of the instances in contact, this one included.
	InContact map[string]bool
}

// Majority reports whether more than half of the known instances are in contact.
func (s Snapshot) Majority() bool { return 2*len(s.InContact) > len(s.Known) }

// Live returns the instances in contact that are not leaving, ordered by ID. Only these own keys.
func (s Snapshot) Live() []Instance {
	var live []Instance
	for _, i := range s.Known {
		if s.InContact[i.ID] && !i.Leaving {
			live = append(live, i)
		}
	}
	return live
}

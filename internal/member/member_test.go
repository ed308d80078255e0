package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

var t0 = time.Unix(1000, 0)

func snapshotOf(self, n int) Snapshot {
	s := Snapshot{InContact: map[string]bool{}}
	for i := range n {
		s.Known = append(s.Known, Instance{ID: fmt.Sprintf("i%03d", i)})
		s.InContact[s.Known[i].ID] = true
	}
	s.Self = s.Known[self]
	return s
}

// Guards against views that miss instances, so that a minority takes itself for the majority, and against messages from
// an earlier run of a restarted instance that make it count as in contact.
func TestView(t *testing.T) {
	entry := func(id string, state api.State) api.Instance {
		return api.Instance{ID: id, Role: api.RoleEntry, State: state, Address: id + ":1"}
	}
	peer := func(id string, start int64) Instance { return Instance{ID: id, Start: start} }
	otherRegion := "elsewhere"
	cases := map[string]struct {
		setUp         func(v *View)
		after         time.Duration
		wantKnown     int
		wantInContact int
		wantLive      int
		wantMajority  bool
	}{
		"alone": {func(*View) {}, 0, 1, 1, 1, true},
		"listed without contact": {func(v *View) {
			v.ApplyList([]api.Instance{entry("a", api.StateLive), entry("b", api.StateLive), entry("c", api.StateLeaving)})
		}, 0, 3, 1, 1, false},
		"targets and other regions": {func(v *View) {
			v.ApplyList([]api.Instance{{ID: "t", Role: api.RoleTarget}, {ID: "x", Role: api.RoleEntry, Region: &otherRegion}})
		}, 0, 1, 1, 1, true},
		"half is not a majority":         {func(v *View) { v.ApplyList([]api.Instance{entry("b", api.StateLive)}) }, 0, 2, 1, 1, false},
		"known from contact, not listed": {func(v *View) { v.RecordContact(t0, peer("b", 1)) }, InstanceTTL, 2, 1, 1, false},
		"last contact expired":           {func(v *View) { v.RecordContact(t0, peer("b", 1)) }, InstanceTTL + 1, 1, 1, 1, true},
		"contact timed out":              {func(v *View) { v.RecordContact(t0, peer("b", 1)) }, ContactTimeout + 1, 2, 1, 1, false},
		"leaving owns nothing":           {func(v *View) { v.RecordContact(t0, Instance{ID: "b", Start: 1, Leaving: true}) }, 0, 2, 2, 1, true},
		"restart clears leaving": {func(v *View) {
			v.RecordContact(t0, Instance{ID: "b", Start: 1, Leaving: true})
			v.RecordContact(t0, peer("b", 2))
		}, 0, 2, 2, 2, true},
		"earlier run is not in contact": {func(v *View) { v.RecordContact(t0.Add(-time.Minute), peer("b", 2)); v.RecordContact(t0, peer("b", 1)) }, 0, 2, 1, 1, false},
		"contact of the run that ended": {func(v *View) { v.RecordContact(t0, peer("b", 1)); v.RecordContact(t0.Add(-time.Minute), peer("b", 2)) }, 0, 2, 1, 1, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			v := NewView(Instance{ID: "a"})
			tc.setUp(v)
			s := v.Snapshot(t0.Add(tc.after))
			if len(s.Known) != tc.wantKnown || len(s.InContact) != tc.wantInContact || len(s.Live()) != tc.wantLive || s.Majority() != tc.wantMajority {
				t.Errorf("known %v, in contact %v, live %v, majority %v", s.Known, s.InContact, s.Live(), s.Majority())
			}
		})
	}
}

// Guards against keys that go to another instance than their next successor when their owner is gone, and against an
// uneven distribution of keys.
func TestOwner(t *testing.T) {
	s := snapshotOf(0, 9)
	keysByOwner := map[string]int{}
	for i := range 9000 {
		key := fmt.Sprint("step-", i)
		successors := s.Successors(key)
		owner, _ := s.Owner(key)
		if owner.ID != successors[0].ID || len(successors) != 9 {
			t.Fatalf("owner %v, successors %v", owner, successors)
		}
		keysByOwner[owner.ID]++
		smaller := s
		smaller.Known = slices.DeleteFunc(slices.Clone(s.Known), func(i Instance) bool { return i.ID == owner.ID })
		if next, _ := smaller.Owner(key); next.ID != successors[1].ID {
			t.Fatalf("key %s moves to %s, want the first successor %s", key, next.ID, successors[1].ID)
		}
	}
	for id, n := range keysByOwner {
		if n < 850 || n > 1150 {
			t.Errorf("%s owns %d of 9000 keys", id, n)
		}
	}
}

// Guards against instances that cannot reach each other through relays, and against groups and numbers of links above
// the limits.
func TestTopology(t *testing.T) {
	for _, n := range []int{1, 2, 12, 13, 27, 81, 330} {
		links := map[string][]string{}
		relays := map[string]bool{}
		readers := 0
		for i := range n {
			s := snapshotOf(i, n)
			topology := s.Topology()
			links[s.Self.ID] = topology.Links
			relays[s.Self.ID] = topology.IsRelay
			if topology.PollsConfig {
				readers++
			}
			if topology.Grouped != (n > MaxMeshSize) || n > MaxMeshSize && len(topology.Members) > MaxGroupSize || slices.Contains(topology.Links, s.Self.ID) {
				t.Fatalf("%d instances: %+v", n, topology)
			}
			if limit := MaxGroupSize + RelaysPerGroup*(n/plannedGroupSize+1); len(topology.Links) > limit {
				t.Errorf("%d instances: %d links, want at most %d", n, len(topology.Links), limit)
			}
		}
		for id, list := range links {
			for _, other := range list {
				if !slices.Contains(links[other], id) {
					t.Errorf("%d instances: %s links to %s, which does not link back", n, id, other)
				}
			}
			if reachable := countReachable(links, relays, id); reachable != n {
				t.Errorf("%d instances: %s reaches %d of them", n, id, reachable)
			}
		}
		if groups := (n + plannedGroupSize - 1) / plannedGroupSize; n > MaxMeshSize && readers != groups {
			t.Errorf("%d instances: %d readers, want one per group of %d", n, readers, groups)
		}
	}
}

// countReachable counts the instances that receive a state message from id if each relay forwards it.
func countReachable(links map[string][]string, relays map[string]bool, id string) int {
	reached := map[string]bool{id: true}
	queue := []string{id}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		if current != id && !relays[current] {
			continue
		}
		for _, next := range links[current] {
			if !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(reached)
}

// BenchmarkOwner measures the time to find the owner of a step among 330 instances, the size that egretspar is designed
// for.
func BenchmarkOwner(b *testing.B) {
	s := snapshotOf(0, 330)
	b.ReportAllocs()
	for b.Loop() {
		s.Owner("step-1")
	}
}

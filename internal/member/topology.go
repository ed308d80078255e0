package member

import (
	"slices"
	"strconv"
)

const (
	// MaxMeshSize is the largest number of instances that form a full mesh. More instances are divided into groups.
	MaxMeshSize = 12
	// MaxGroupSize is the largest number of instances in a group.
	MaxGroupSize = 20
	// plannedGroupSize determines the number of groups. It is below MaxGroupSize, so that few instances find the group
	// with their highest weight full.
	plannedGroupSize = 16
	// RelaysPerGroup is the number of relays in a group. Two keep the group connected while one is being replaced.
	RelaysPerGroup = 2
)

// Topology describes the links of an instance to other instances: a full mesh, or groups that are connected by relays.
type Topology struct {
	// Grouped is false in a full mesh.
	Grouped bool
	// Group is the number of this instance's group.
	Group int
	// Members holds the IDs of this instance's group, itself included.
	Members []string
	// Relays holds the IDs of the relays of this instance's group in the order of their weight.
	Relays []string
	// IsRelay reports whether this instance forwards state messages between its group and the other groups.
	IsRelay bool
	// PollsConfig reports whether this instance regularly polls the configuration row. In a full mesh each instance
	// does, in a group only the first relay.
	PollsConfig bool
	// Links holds the IDs of the instances to link to, sorted and without this instance.
	Links []string
}

// Topology computes the links of this instance from the known instances. Instances that are leaving stay linked until
// they are no longer known, and become relays only if the group has too few other members.
func (s Snapshot) Topology() Topology {
	if len(s.Known) <= MaxMeshSize {
		return Topology{PollsConfig: true, Members: instanceIDs(s.Known), Links: removeID(instanceIDs(s.Known), s.Self.ID)}
	}
	groups := assignGroups(s.Known)
	t := Topology{Grouped: true}
	var allRelays []string
	for number, members := range groups {
		relays := chooseRelays(number, members)
		allRelays = append(allRelays, relays...)
		if !slices.ContainsFunc(members, func(i Instance) bool { return i.ID == s.Self.ID }) {
			continue
		}
		t.Group = number
		t.Members = instanceIDs(members)
		t.Relays = relays
	}
	t.IsRelay = slices.Contains(t.Relays, s.Self.ID)
	t.PollsConfig = len(t.Relays) > 0 && t.Relays[0] == s.Self.ID
	t.Links = slices.Clone(t.Relays)
	if t.IsRelay {
		t.Links = append(slices.Clone(t.Members), allRelays...)
	}
	slices.Sort(t.Links)
	t.Links = removeID(slices.Compact(t.Links), s.Self.ID)
	return t
}

// assignGroups assigns each instance to the group for which it has the highest rendezvous weight among those that are
// not full. Every instance computes the same groups from the same set of known instances.
func assignGroups(known []Instance) [][]Instance {
	groups := make([][]Instance, (len(known)+plannedGroupSize-1)/plannedGroupSize)
	for _, instance := range known {
		best := -1
		var bestWeight uint64
		for number := range groups {
			w := rendezvousWeight("group/"+strconv.Itoa(number), instance.ID)
			if len(groups[number]) < MaxGroupSize && (best < 0 || w > bestWeight) {
				best = number
				bestWeight = w
			}
		}
		groups[best] = append(groups[best], instance)
	}
	return groups
}

// chooseRelays returns the IDs of the members with the highest weights. Members that are leaving are chosen last.
func chooseRelays(group int, members []Instance) []string {
	key := "relay/" + strconv.Itoa(group)
	candidates := slices.Clone(members)
	slices.SortFunc(candidates, func(a, b Instance) int {
		if a.Leaving != b.Leaving {
			if b.Leaving {
				return -1
			}
			return 1
		}
		return compareByWeight(key)(a, b)
	})
	return instanceIDs(candidates[:min(RelaysPerGroup, len(candidates))])
}

// instanceIDs returns the IDs of the instances in the same order.
func instanceIDs(instances []Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.ID)
	}
	return list
}

func removeID(list []string, id string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == id })
}

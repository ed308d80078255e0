package live

import (
	"cmp"
	"slices"
	"time"
)

// State says whether a target gets requests.
type State string

// States of a target. If several apply, the first one of this list counts.
const (
	// Evacuated targets get no requests because of their zone.
	Evacuated State = "evacuated"
	// Draining targets get no new requests.
	Draining State = "draining"
	// Cold targets get few requests.
	Cold State = "cold"
	// Ready targets get requests.
	Ready State = "ready"
)

// State returns the state of the target at a time.
func (t Target) State(now time.Time) State {
	switch {
	case t.Evacuated:
		return Evacuated
	case t.Draining:
		return Draining
	case t.ColdUntil.After(now):
		return Cold
	}
	return Ready
}

// TargetState is the state of a target at a time.
type TargetState struct {
	Target Target
	State  State
	// Age is the time for which this instance has known the target to be in the state.
	Age time.Duration
	// ColdFor is the time until the target is warm; 0 if it is warm.
	ColdFor time.Duration
}

// States returns the states of all targets at a time, ordered by service, zone and ID.
func (v *View) States(now time.Time) []TargetState {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]TargetState, 0, len(v.targets))
	for id, t := range v.targets {
		state, since := t.State(now), v.stateSince[id]
		if state == Ready && t.ColdUntil.After(since) {
			since = t.ColdUntil
		}
		all = append(all, TargetState{Target: t, State: state, Age: now.Sub(since), ColdFor: max(0, t.ColdUntil.Sub(now))})
	}
	slices.SortFunc(all, func(a, b TargetState) int {
		return cmp.Or(cmp.Compare(a.Target.Service, b.Target.Service), cmp.Compare(a.Target.Zone, b.Target.Zone), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return all
}

// put stores a target with what its run and the evacuations say about it. The caller holds the lock.
func (v *View) put(t Target, r run) {
	t.Evacuated = v.evacuation.zones[t.Zone]
	t.Draining = r.listedDraining || !r.leavingSince.IsZero() || t.Evacuated || v.evacuation.unknown
	now := time.Now()
	old, ok := v.targets[t.ID]
	if !ok || old.StartNumber != t.StartNumber || old.State(now) != t.State(now) {
		v.stateSince[t.ID] = now
	}
	v.targets[t.ID] = t
}

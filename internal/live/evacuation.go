package live

import (
	"maps"
	"slices"
)

// evacuation is what the operator says about the zones.
type evacuation struct {
	// zones holds the evacuated zones.
	zones map[string]bool
	// unknown is set until the operator's rows have been read.
	unknown bool
}

// AwaitEvacuations keeps all targets Draining until EvacuationsKnown is called. A process that starts may know targets before it
// knows which zones are evacuated.
func (v *View) AwaitEvacuations() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evacuation.unknown = true
	v.updateTargets(func(Target) bool { return true })
}

// EvacuationsKnown ends what AwaitEvacuations began.
func (v *View) EvacuationsKnown() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.evacuation.unknown {
		return
	}
	v.evacuation.unknown = false
	v.updateTargets(func(Target) bool { return true })
}

// SetEvacuated records whether the operator evacuates a zone and returns true if that is new. Present and future targets in the
// zone are Draining until the evacuation ends. A zone without targets may be evacuated too.
func (v *View) SetEvacuated(zone string, evacuated bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.evacuation.zones[zone] == evacuated {
		return false
	}
	if evacuated {
		if v.evacuation.zones == nil {
			v.evacuation.zones = map[string]bool{}
		}
		v.evacuation.zones[zone] = true
	} else {
		delete(v.evacuation.zones, zone)
	}
	v.updateTargets(func(t Target) bool { return t.Zone == zone })
	return true
}

// EvacuatedZones returns the evacuated zones in alphabetical order.
func (v *View) EvacuatedZones() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.evacuation.zones))
}

// updateTargets determines anew whether the targets that match are Draining. The caller holds the lock.
func (v *View) updateTargets(match func(Target) bool) {
	for id, t := range v.targets {
		if match(t) {
			v.put(t, v.runs[id])
		}
	}
	v.signalChange()
}

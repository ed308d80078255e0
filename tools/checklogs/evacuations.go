package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/event"
)

// evacuationGrace is how long after the beginning of an evacuation requests may still be sent to the zone.
const evacuationGrace = 5 * time.Second

// checkEvacuations counts the requests that an instance sent to targets in a zone later than evacuationGrace after it had logged that
// the zone is evacuated. An instance that starts anew logs that anew.
func checkEvacuations(lines []line) []string {
	type place struct{ instance, zone string }
	zones := zonesOf(lines)
	beganAt, late := map[place]time.Time{}, map[place]int{}
	for _, l := range inOrder(lines) {
		p := place{l.fields["instance"], l.fields["zone"]}
		switch l.fields["event"] {
		case event.Started:
			maps.DeleteFunc(beganAt, func(began place, _ time.Time) bool { return began.instance == p.instance })
		case event.EvacuationBegan:
			beganAt[p] = l.at
		case event.EvacuationEnded:
			delete(beganAt, p)
		default:
			for target, at := range requestsOf(l) {
				p.zone = zones[target]
				if began, ok := beganAt[p]; ok && at.Sub(began) > evacuationGrace {
					late[p]++
				}
			}
		}
	}
	var findings []string
	for p, count := range late {
		findings = append(findings, fmt.Sprintf("evacuation: %s sent %d requests to zone %s more than %v after the evacuation began", p.instance, count, p.zone, evacuationGrace))
	}
	slices.Sort(findings)
	return findings
}

// zonesOf returns the zone of each target.
func zonesOf(lines []line) map[string]string {
	zones := map[string]string{}
	for _, l := range lines {
		if l.fields["event"] == event.TargetChanged && l.fields["zone"] != "" {
			zones[l.fields["target"]] = l.fields["zone"]
		}
	}
	return zones
}

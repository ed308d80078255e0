package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/event"
)

// drainTime is how long after a target's word that it leaves requests may still be sent to it.
const drainTime = 2 * time.Second

// checkLeaving counts the requests that an instance sent to a target later than drainTime after the target had told it that it
// leaves. A new process knows nothing of that.
func checkLeaving(lines []line) []string {
	sorted := inOrder(lines)
	type pair struct{ instance, target string }
	toldAt, late := map[pair]time.Time{}, map[pair]int{}
	for _, l := range sorted {
		p := pair{l.fields["instance"], l.fields["target"]}
		switch l.fields["event"] {
		case event.Started:
			maps.DeleteFunc(toldAt, func(told pair, _ time.Time) bool { return told.instance == p.instance })
		case event.TargetLeaving:
			toldAt[p] = l.at
		case event.TargetStays:
			delete(toldAt, p)
		default:
			for target, at := range requestsOf(l) {
				if told, ok := toldAt[pair{p.instance, target}]; ok && at.Sub(told) > drainTime {
					late[pair{p.instance, target}]++
				}
			}
		}
	}
	var findings []string
	for p, count := range late {
		findings = append(findings, fmt.Sprintf("leaving: %s sent %d requests to %s more than %v after it had said that it leaves", p.instance, count, p.target, drainTime))
	}
	slices.Sort(findings)
	return findings
}

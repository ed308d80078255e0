package main

import (
	"fmt"
	"time"

	"github.com/egretspar/egretspar/internal/event"
)

// maxItemWait is the longest time that an item whose run broke may wait for its next run.
const maxItemWait = 5 * time.Second

// checkWaits finds items whose run ended without the whole text, and that did not run again within maxItemWait although their
// owner still ran the job.
func checkWaits(lines []line) []string {
	sorted := inOrder(lines)
	waiting := map[string]line{}
	var findings []string
	end := func(item string, at time.Time) {
		if l, ok := waiting[item]; ok && at.Sub(l.at) > maxItemWait {
			findings = append(findings, fmt.Sprintf("wait: item %s waited %.1f s after its run at %s ended with %s",
				item, at.Sub(l.at).Seconds(), l.fields["target"], l.fields["ending"]))
		}
		delete(waiting, item)
	}
	for _, l := range sorted {
		switch l.fields["event"] {
		case event.ItemRunStarted:
			end(l.fields["item"], l.at)
		case event.ItemRunEnded:
			switch l.fields["ending"] {
			case "broken", "unreachable", "not_run", "stale":
				waiting[l.fields["item"]] = l
			}
		case event.JobStopped, event.JobTakenOver:
			for item, w := range waiting {
				if w.fields["job"] == l.fields["job"] {
					end(item, l.at)
				}
			}
		}
	}
	return findings
}

package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/event"
)

const (
	// limitWindow is the time over which requests to a target that names a limit are counted.
	limitWindow = 4 * time.Second
	// limitGrace is the time from the first naming of a limit until it has to be kept.
	limitGrace = 3 * time.Second
	// limitSlack requests beyond limitFactor times the limit are allowed in a window.
	limitSlack  = 5
	limitFactor = 1.5
	// knownAfter is the time from an instance's first response with a limit from which on its requests count.
	knownAfter = 500 * time.Millisecond
)

// sent is one request that an instance sent to a target.
type sent struct {
	at       time.Time
	instance string
}

// naming is a change of the limit that an instance saw. The rate is negative when the limit ended.
type naming struct {
	at       time.Time
	instance string
	rate     float64
}

// checkLimits counts the requests of all instances to each target that named a limit, in each window in which some
// instance still saw the limit. An instance counts from knownAfter its first response with a limit.
func checkLimits(lines []line) []string {
	requests, namings, starts := map[string][]sent{}, map[string][]naming{}, map[string][]time.Time{}
	for _, l := range lines {
		instance := l.fields["instance"]
		switch l.fields["event"] {
		case event.Started:
			starts[instance] = append(starts[instance], l.at)
		case event.TargetLimitBegan:
			rate, err := strconv.ParseFloat(l.fields["limit"], 64)
			if err == nil {
				target := l.fields["target"]
				namings[target] = append(namings[target], naming{l.at, instance, rate})
			}
		case event.TargetLimitEnded:
			target := l.fields["target"]
			namings[target] = append(namings[target], naming{l.at, instance, -1})
		default:
			for target, at := range requestsOf(l) {
				requests[target] = append(requests[target], sent{at, instance})
			}
		}
	}
	var findings []string
	for _, target := range slices.Sorted(maps.Keys(namings)) {
		if finding := worstWindow(target, requests[target], namings[target], starts); finding != "" {
			findings = append(findings, finding)
		}
	}
	return findings
}

// requestsOf returns the targets to which a line says that a request was sent, and when. All attempts of a request count at
// its start, those of a reward call at their end.
func requestsOf(l line) map[string]time.Time {
	switch l.fields["event"] {
	case event.ItemRunStarted, event.RewardAttemptEnded:
		if target := l.fields["target"]; target != "" {
			return map[string]time.Time{target: l.at}
		}
	case event.RequestEnded:
		at := startOf(l)
		targets := map[string]time.Time{}
		for failed := range strings.SplitSeq(l.fields["failed"], ",") {
			if target, _, ok := strings.Cut(failed, ":"); ok {
				targets[target] = at
			}
		}
		if target := l.fields["target"]; target != "" {
			targets[target] = at
		}
		return targets
	}
	return nil
}

// worstWindow returns a finding for the window in which the requests to a target exceeded its limit most, or "". starts holds
// when processes of each instance started; a new process knows no limit.
func worstWindow(target string, requests []sent, namings []naming, starts map[string][]time.Time) string {
	slices.SortFunc(requests, func(a, b sent) int { return a.at.Compare(b.at) })
	slices.SortFunc(namings, func(a, b naming) int { return a.at.Compare(b.at) })
	first := namings[0].at
	var counted []sent
	for _, r := range requests {
		if knowsLimit(r, namings, starts[r.instance]) && !r.at.Before(first.Add(limitGrace)) && isLimited(namings, r.at) {
			counted = append(counted, r)
		}
	}
	worst, start, excess, limit := 0, 0, 0.0, 0.0
	for i := range counted {
		end := i
		for end < len(counted) && counted[end].at.Sub(counted[i].at) < limitWindow {
			end++
		}
		highest := highestLimit(namings, counted[i].at, counted[end-1].at)
		if over := float64(end-i) - allowedIn(highest); over > excess {
			worst, start, excess, limit = end-i, i, over, highest
		}
	}
	if worst == 0 {
		return ""
	}
	instances := map[string]bool{}
	for _, r := range counted[start : start+worst] {
		instances[r.instance] = true
	}
	return fmt.Sprintf("limit: target %s got %d requests of %d instances in 4 s from %s, allowed %.1f (limit %.3g)",
		target, worst, len(instances), counted[start].at.Format("15:04:05.000"), allowedIn(limit), limit)
}

// knowsLimit reports whether a response had named a limit to the process that sent a request, knownAfter before or earlier.
func knowsLimit(r sent, namings []naming, starts []time.Time) bool {
	var startedAt time.Time
	for _, at := range starts {
		if at.After(startedAt) && !at.After(r.at) {
			startedAt = at
		}
	}
	return slices.ContainsFunc(namings, func(n naming) bool {
		return n.instance == r.instance && n.rate >= 0 && n.at.After(startedAt) && !r.at.Before(n.at.Add(knownAfter))
	})
}

// isLimited reports whether the last change before a time, as any instance saw it, named a limit. namings are in the order of
// their times.
func isLimited(namings []naming, at time.Time) bool {
	limited := false
	for _, n := range namings {
		if n.at.After(at) {
			break
		}
		limited = n.rate >= 0
	}
	return limited
}

// allowedIn returns how many requests a limit allows in a window.
func allowedIn(limit float64) float64 { return limitFactor*limit*limitWindow.Seconds() + limitSlack }

// highestLimit returns the highest limit that was in force between two times. namings are in the order of their times.
func highestLimit(namings []naming, from, to time.Time) float64 {
	highest := 0.0
	for i, n := range namings {
		isOver := i+1 < len(namings) && !namings[i+1].at.After(from)
		if !isOver && !n.at.After(to) {
			highest = max(highest, n.rate)
		}
	}
	return highest
}

package main

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/egretspar/egretspar/internal/event"
)

// checkStreams finds the streams of callers that went on at another software version than the one that began them.
func checkStreams(lines []line) []string {
	began := map[string]string{}
	for _, l := range lines {
		if l.fields["event"] == event.StreamBegan && l.fields["resumes"] == "" {
			began[l.fields["request"]] = l.fields["software"]
		}
	}
	var findings []string
	for _, l := range lines {
		first, ok := began[l.fields["resumes"]]
		if l.fields["event"] == event.StreamBegan && ok && l.fields["software"] != first {
			findings = append(findings, fmt.Sprintf("software: stream %s went on as %s at %s of %s, it began at %s",
				l.fields["resumes"], l.fields["request"], l.fields["target"], l.fields["software"], first))
		}
	}
	return findings
}

// checkSoftware finds the runs that continued an item's text at another software version than the one that began it.
func checkSoftware(lines []line) []string {
	var starts []line
	for _, l := range lines {
		if l.fields["event"] == event.ItemRunStarted && l.fields["software"] != "" {
			starts = append(starts, l)
		}
	}
	slices.SortStableFunc(starts, func(a, b line) int { return a.at.Compare(b.at) })
	var findings []string
	began := map[string]string{}
	for _, l := range starts {
		item, software := l.fields["item"], l.fields["software"]
		after, err := strconv.Atoi(l.fields["after"])
		if err != nil {
			continue
		}
		first, ok := began[item]
		if after == 0 || !ok {
			began[item] = software
			continue
		}
		if software != first {
			findings = append(findings, fmt.Sprintf("software: item %s went on after event %d at %s of %s, its text began at %s",
				item, after, l.fields["target"], software, first))
		}
	}
	return findings
}

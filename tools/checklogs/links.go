package main

import (
	"fmt"
	"time"

	"github.com/egretspar/egretspar/internal/event"
)

const (
	// linksGrace is the time from the loss of an instance's links until its callers have to be served like others.
	linksGrace = 3 * time.Second
	// servedFactor is the part of the others' share that has to be served at instances without links.
	servedFactor = 2.0 / 3
	// failedSlack failures, and one of each failedPart requests of all, are allowed there.
	failedSlack = 10
	failedPart  = 50
)

// tally counts requests of callers and those that a target answered.
type tally struct{ asked, served int }

func (t *tally) add(served bool) {
	t.asked++
	if served {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(t.asked) }

// checkLinks compares, for the time in which some instances had lost their links to targets, how many requests of callers
// targets answered there and at the other instances. Requests that the configuration refuses are not counted.
func checkLinks(lines []line) []string {
	sorted := inOrder(lines)
	lostSince := map[string]time.Time{}
	var lost, others, all tally
	var findings []string
	begin := time.Time{}
	end := func(at time.Time) {
		failed := lost.asked - lost.served
		if lost.asked > 0 && others.asked > 0 && lost.share() < servedFactor*others.share() && failed > failedSlack+all.asked/failedPart {
			findings = append(findings, fmt.Sprintf("links: from %s to %s instances without links to targets served %d of %d requests, the others %d of %d",
				begin.Format("15:04:05.000"), at.Format("15:04:05.000"), lost.served, lost.asked, others.served, others.asked))
		}
		lost, others = tally{}, tally{}
	}
	for _, l := range sorted {
		instance := l.fields["instance"]
		switch l.fields["event"] {
		case event.LinksLost:
			lostSince[instance] = l.at.Add(-milliseconds(l, "lost_for"))
			begin = l.at
		case event.LinksRestored, event.Started:
			if _, ok := lostSince[instance]; ok {
				end(l.at)
				delete(lostSince, instance)
			}
		case event.RequestEnded:
			served := l.fields["outcome"] == "ran"
			all.add(served)
			sentAt := startOf(l)
			since, isLost := lostSince[instance]
			switch {
			case isLost && sentAt.After(since.Add(linksGrace)):
				lost.add(served)
			case !isLost && len(lostSince) > 0:
				others.add(served)
			}
		}
	}
	if len(sorted) > 0 {
		end(sorted[len(sorted)-1].at)
	}
	return findings
}

package node

import (
	"net/http"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/target"
	"github.com/egretspar/egretspar/internal/targetlimit"
)

// limitHeader names the requests a second that a target takes from all instances together.
const limitHeader = "Egretspar-Limit"

// limitedPicker selects targets whose limits allow another request.
type limitedPicker struct {
	limits *targetlimit.Table
	next   *guardedPicker
}

// Pick implements forward.Picker.
func (p *limitedPicker) Pick(r target.Request, now time.Time) (target.Reservation, *outcome.Refusal) {
	reservation, refusal := p.limits.Pick(r, now, p.next.pick)
	if refusal == nil && len(r.Exclude) == 0 {
		// Only first attempts add to the retry budget.
		p.next.budget.RecordRequest(r.Team, reservation.Target().ID, now)
	}
	return reservation, refusal
}

// observeLimit records what the target at a URL says about its limit. A value that is no rate leaves the limit in force.
func (n *Node) observeLimit(url string, header http.Header, sentAt time.Time) {
	values := header.Values(limitHeader)
	rate, named := targetlimit.ParseRate(values)
	now := time.Now()
	if len(values) > 0 && !named || len(values) == 0 && n.limits.Count(now) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.targets {
		if strings.TrimSuffix(t.URL, "/") != url {
			continue
		}
		change := n.limits.Observe(targetlimit.Observation{Target: t.ID, Service: t.Service, Named: named, Rate: rate, SentAt: sentAt}, now)
		if change != targetlimit.Unchanged {
			n.log.Info().Str("target", t.ID).Bool("named", named).Float64("limit", rate).Msg("limit of a target changed")
		}
		return
	}
}

// limitReport returns this instance's report on targets with limits for its peers.
func (n *Node) limitReport(now time.Time) []peer.TargetLimit {
	report := n.limits.Report(now)
	var limits []peer.TargetLimit
	for id, t := range report.Targets {
		limits = append(limits, peer.TargetLimit{
			Target: id, Service: &t.Service, Rate: &t.Rate, NamedMs: t.NamedAgeMs, EndedMs: t.EndedAgeMs, Wanted: &t.Wanted, Sent: t.Sent,
		})
	}
	return limits
}

// limitReportOf converts a peer's report.
func limitReportOf(limits []peer.TargetLimit) targetlimit.Report {
	report := targetlimit.Report{Targets: map[string]targetlimit.TargetReport{}}
	for _, l := range limits {
		report.Targets[l.Target] = targetlimit.TargetReport{
			Service: optional.Value(l.Service), Rate: optional.Value(l.Rate), NamedAgeMs: l.NamedMs, EndedAgeMs: l.EndedMs,
			Wanted: optional.Value(l.Wanted), Sent: l.Sent,
		}
	}
	return report
}

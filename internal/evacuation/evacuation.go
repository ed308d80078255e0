// Package evacuation logs evacuations of availability zones and keeps their targets from being probed.
package evacuation

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/reach"
)

// Announcer logs the beginning and the end of evacuations. It is safe for concurrent use.
type Announcer struct {
	view *live.View
	log  zerolog.Logger

	mu sync.Mutex
	// pending holds the row by zone for changes that are not logged yet.
	pending map[string]api.Change
}

// NewAnnouncer returns an announcer that counts the targets of a view.
func NewAnnouncer(view *live.View, log zerolog.Logger) *Announcer {
	return &Announcer{view: view, log: log, pending: map[string]api.Change{}}
}

// Changed records that an evacuation began or ended.
func (a *Announcer) Changed(zone string, c api.Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[zone] = c
}

// Announce logs what changed, once it is in force and targets are known: a process that starts may read the operator's rows first.
func (a *Announcer) Announce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) == 0 {
		return
	}
	counts := a.countTargets()
	if len(counts) == 0 {
		return
	}
	for zone, c := range a.pending {
		a.logChange(zone, c, counts[zone])
	}
	clear(a.pending)
}

// logChange logs that an evacuation began or ended in a zone with a number of targets.
func (a *Announcer) logChange(zone string, c api.Change, targets int) {
	switch {
	case c.Deleted:
		a.log.Info().Str("zone", zone).Int("revision", c.Revision).Int("targets", targets).Msg(event.EvacuationEnded)
	case targets == 0:
		a.log.Warn().Str("zone", zone).Int("revision", c.Revision).Msg(event.EvacuationOfUnknownZone)
	default:
		a.log.Info().Str("zone", zone).Int("revision", c.Revision).Int("targets", targets).Msg(event.EvacuationBegan)
	}
}

// countTargets returns the number of targets by zone.
func (a *Announcer) countTargets() map[string]int {
	counts := map[string]int{}
	for _, t := range a.view.Targets() {
		counts[t.Zone]++
	}
	return counts
}

// Prober tries no ways to targets in evacuated zones.
type Prober struct {
	reach.Prober
	View *live.View
	// URLOf returns the URL of a target.
	URLOf func(live.Target) string
}

// Probe implements reach.Prober.
func (p Prober) Probe(ctx context.Context, targetURL string) {
	if !p.isEvacuated(targetURL) {
		p.Prober.Probe(ctx, targetURL)
	}
}

// AskPeers implements reach.Prober.
func (p Prober) AskPeers(ctx context.Context, targetURL string) {
	if !p.isEvacuated(targetURL) {
		p.Prober.AskPeers(ctx, targetURL)
	}
}

// isEvacuated reports whether a URL is that of a target in an evacuated zone.
func (p Prober) isEvacuated(targetURL string) bool {
	if len(p.View.EvacuatedZones()) == 0 {
		return false
	}
	for _, t := range p.View.Targets() {
		if t.Evacuated && p.URLOf(t) == targetURL {
			return true
		}
	}
	return false
}

package batch

import (
	"time"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/startlimit"
)

// minCountedDelay is the delay from which on a run is counted at the time when it starts instead of when it was placed.
const minCountedDelay = 20 * time.Millisecond

// startPlaces holds, for each service with a warm-up, the owners that share the bound of its engines.
type startPlaces struct {
	byService map[string]servicePlaces
	now       time.Time
}

type servicePlaces struct {
	places    *startlimit.Places
	perSecond float64
}

// share returns how many runs this instance may start on an engine in a second, and whether that is limited. model is the
// one that the engine is assigned to.
func (p startPlaces) share(t live.Target, model string) (int, bool) {
	service, ok := p.byService[t.Service]
	if !ok {
		return 0, false
	}
	return service.places.Share(t.ID, model, service.perSecond, p.now), true
}

// startPlacesLocked returns the places of all services with a warm-up. The caller holds the lock.
func (s *Service) startPlacesLocked(config *live.Config) startPlaces {
	all := startPlaces{byService: map[string]servicePlaces{}}
	if config == nil {
		return all
	}
	all.now = s.options.Now()
	for name, service := range config.Services {
		if service.WarmUp == nil {
			continue
		}
		routes, sequences := config.BatchRoutes(name), 0
		for _, runs := range routes {
			if runs {
				sequences++
			}
		}
		all.byService[name] = servicePlaces{
			places:    startlimit.NewPlaces(s.options.Instance, s.startJobsLocked(routes), max(sequences, len(service.Models)), s.jobFollower.LastSuccess(), all.now),
			perSecond: s.options.ColdBound.PerSecond(service.WarmUp.Rate),
		}
	}
	return all
}

// startJobsLocked returns what the rows tell of the jobs of one service. Those of an unknown route may belong to it. The
// caller holds the lock.
func (s *Service) startJobsLocked(routes map[string]bool) []startlimit.Job {
	jobs := make([]startlimit.Job, 0, len(s.rows))
	for _, row := range s.rows {
		if runs, ok := routes[row.Route]; ok && !runs {
			continue
		}
		j := startlimit.Job{Route: row.Route, Model: row.Model, Owner: row.Owner, OwnedSince: row.ownerSeenAt, TakenOver: row.Term > 1}
		if row.Ended {
			j.EndedAt = row.endedSeenAt
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// beginRound records that a round of placement begins.
func (s *Service) beginRound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts.BeginRound(time.Now()) {
		s.options.Log.Warn().Int("jobs", len(s.owned)).Msg(event.PlacementDelayed)
	}
}

// countDelay counts a run that starts late, because the process was frozen or busy, at the time when it starts.
func (s *Service) countDelay(target string, placedAt, now time.Time) {
	if now.Sub(placedAt) < minCountedDelay {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts.Delay(target, placedAt, now)
}

// HeldStarts returns how many rounds of placement left items waiting because of this instance's share of the starts.
func (s *Service) HeldStarts() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldStarts
}

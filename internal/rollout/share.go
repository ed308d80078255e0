package rollout

import (
	"time"

	"github.com/egretspar/egretspar/internal/config"
)

// minConcurrency is the lowest limit for the running generations of a service. It applies, for example, when the
// configuration lists no targets because all of them will be ordered later.
const minConcurrency = 16

const (
	// maxReclaimFraction is the fraction of a service's capacity that may be reclaimed in one round.
	// deficitTolerance is the fraction of its share that a team may lack before capacity is reclaimed for
	// it. Generations end all the time, so small differences even out without the prefill work that a
	// suspended generation costs.
	maxReclaimFraction = 0.2
	deficitTolerance   = 0.2
)

// serviceShare divides the concurrency of one service between teams by weight. Other teams may use the
// share of a team without work. The team gets it back because free capacity goes to the team with the
// fewest running generations per weight, and because generations above a team's share are suspended.
type serviceShare struct {
	limit   int
	running int
	teams   map[string]*teamShare
}

type teamShare struct {
	weight  int
	limit   int
	running int
}

// weightedLoad is the team's number of generations per weight if one more is started.
func (t *teamShare) weightedLoad() float64 { return float64(t.running+1) / float64(t.weight) }

func (t *teamShare) atLimit() bool { return t.limit > 0 && t.running >= t.limit }

// pickStep returns the candidate that should start the next generation, or nil if all teams are at their
// limits.
func (v *serviceShare) pickStep(candidates []*activeStep) *activeStep {
	var best *activeStep
	var bestTeam *teamShare
	for _, a := range candidates {
		t := v.team(a.key.team)
		if t.atLimit() {
			continue
		}
		if best == nil || t.weightedLoad() < bestTeam.weightedLoad() || t == bestTeam && a.openedAt.Before(best.openedAt) {
			best, bestTeam = a, t
		}
	}
	return best
}

func (v *serviceShare) team(name string) *teamShare {
	t, ok := v.teams[name]
	if !ok {
		t = &teamShare{weight: 1}
		v.teams[name] = t
	}
	return t
}

func (v *serviceShare) addRunning(team string, n int) {
	v.running += n
	v.team(team).running += n
}

// fairShares returns the capacity that each team with running generations or waiting work is entitled to.
func (v *serviceShare) fairShares(candidates []*activeStep) map[string]int {
	active := map[string]int{}
	sum := 0
	for _, a := range candidates {
		active[a.key.team] = v.team(a.key.team).weight
	}
	for name, t := range v.teams {
		if t.running > 0 {
			active[name] = t.weight
		}
	}
	for _, weight := range active {
		sum += weight
	}
	for name, weight := range active {
		active[name] = v.limit * weight / sum
	}
	return active
}

// excessByTeam returns how many generations of each team should be suspended, when a team with work is well
// below its share.
func (v *serviceShare) excessByTeam(candidates []*activeStep) map[string]int {
	if v.running < v.limit {
		return nil
	}
	shares := v.fairShares(candidates)
	toReclaim := 0
	for _, a := range candidates {
		t, share := v.team(a.key.team), shares[a.key.team]
		if deficit := share - t.running; !t.atLimit() && float64(deficit) > deficitTolerance*float64(share) {
			toReclaim = max(toReclaim, deficit)
		}
	}
	toReclaim = min(toReclaim, max(1, int(maxReclaimFraction*float64(v.limit))))
	excess := map[string]int{}
	for name, share := range shares {
		surplus := min(toReclaim, v.team(name).running-share)
		if surplus > 0 {
			excess[name] = surplus
			toReclaim -= surplus
		}
	}
	return excess
}

// reclaimCapacity suspends generations of teams above their share. Once they have ended, the dispatcher
// gives the capacity to the teams below their share. The caller holds mu.
func (s *Service) reclaimCapacity(now time.Time) {
	for service, candidates := range s.stepsWithWork(now) {
		for team, n := range s.shareOf(service).excessByTeam(candidates) {
			for _, a := range s.steps {
				if n > 0 && a.key.team == team && a.service == service {
					n -= a.preempt(n)
				}
			}
		}
	}
}

// updateShares takes limits and weights from a configuration. The caller holds mu.
func (s *Service) updateShares(doc *config.Document) {
	for i := range doc.Services {
		name := doc.Services[i].Name
		v := s.shareOf(name)
		v.limit = maxConcurrency(doc, name)
		for _, team := range doc.Teams {
			t := v.team(team.Name)
			t.weight = max(1, team.Weight)
			t.limit = team.MaxConcurrency
		}
	}
}

func (s *Service) shareOf(service string) *serviceShare {
	v, ok := s.shares[service]
	if !ok {
		v = &serviceShare{limit: minConcurrency, teams: map[string]*teamShare{}}
		s.shares[service] = v
	}
	return v
}

// maxConcurrency is the highest number of generations that the targets of a service can run at once, but at
// least minConcurrency.
func maxConcurrency(doc *config.Document, service string) int {
	sum := 0
	for _, t := range doc.Targets {
		if t.Service == service {
			sum += t.Slots
		}
	}
	for _, p := range doc.Pools {
		if p.Service == service {
			sum += p.Max * p.Slots
		}
	}
	return max(minConcurrency, sum)
}

// stepsWithWork returns the steps that can start a generation, grouped by service. The caller holds mu.
func (s *Service) stepsWithWork(now time.Time) map[string][]*activeStep {
	found := map[string][]*activeStep{}
	for _, a := range s.steps {
		if a.hasWork(now) {
			name := a.service
			found[name] = append(found[name], a)
		}
	}
	return found
}

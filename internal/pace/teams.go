package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// useRetention is the time constant in seconds with which the requests of a team are forgotten.
	useRetention = 6.0
	// agingStep is the least time in seconds between two agings of the counts, because each one visits all teams.
	agingStep = 0.05
	// useWeight is how far the level must rise for each recent admitted request of a team.
	useWeight = 1.5
	// knownReserve is the level that is kept for teams that were not seen lately: at an instance that sees a few requests
	// per second, these are the small ones. A team with knownAt recent requests does not get it.
	knownReserve = 1.0
	knownAt      = 0.3
	// minUse is the number of recent requests below which a team is forgotten.
	minUse = 0.02
)

// teamUse counts the recent requests of a team, each weighted by its age: those that arrived, and of them those that
// were admitted.
type teamUse struct{ seen, admitted float64 }

// need returns the level from which a request of the team is admitted.
func (u teamUse) need() float64 {
	return useWeight*u.admitted + knownReserve*min(1, u.seen/knownAt)
}

// teamUses holds the recent requests of each team. Admitting the teams with the lowest need gives every team the same
// share or what it asks for (max-min fairness).
type teamUses struct {
	uses map[string]teamUse
	// pending is the time in seconds by which the counts are not aged yet.
	pending float64
}

// add records a request.
func (t *teamUses) add(team string, admitted bool) {
	u := t.uses[team]
	u.seen++
	if admitted {
		u.admitted++
	}
	t.uses[team] = u
}

// age ages all requests by a time in seconds.
func (t *teamUses) age(step float64) {
	t.pending += step
	if t.pending < agingStep {
		return
	}
	retained := math.Exp(-t.pending / useRetention)
	t.pending = 0
	for team, u := range t.uses {
		u = teamUse{seen: u.seen * retained, admitted: u.admitted * retained}
		if u.seen < minUse {
			delete(t.uses, team)
		} else {
			t.uses[team] = u
		}
	}
}

// capNeeds lowers the needs above a level to it. What teams had while nothing was scarce does not count against them.
func (t *teamUses) capNeeds(level float64) {
	for team, u := range t.uses {
		if excess := u.need() - level; excess > 0 {
			u.admitted = max(0, u.admitted-excess/useWeight)
			t.uses[team] = u
		}
	}
}

// maxNeed returns the highest need of a team.
func (t *teamUses) maxNeed() float64 {
	highest := 0.0
	for _, u := range t.uses {
		highest = max(highest, u.need())
	}
	return highest
}

// levelFor returns the level that admits a part of the recent requests.
func (t *teamUses) levelFor(part float64) float64 {
	uses := slices.SortedFunc(maps.Values(t.uses), func(a, b teamUse) int { return cmp.Or(cmp.Compare(a.need(), b.need()), cmp.Compare(a.seen, b.seen)) })
	total := 0.0
	for _, u := range uses {
		total += u.seen
	}
	level, sum := 0.0, 0.0
	for _, u := range uses {
		if sum += u.seen; sum > part*total {
			break
		}
		level = u.need()
	}
	return level
}

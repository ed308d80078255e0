package startlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// idleTime is how long a sequence of jobs keeps its place after its last job has ended. The next job may have an owner
	// that the other owners do not know yet; it takes the same place, so their shares stay as they are.
	idleTime = 10 * time.Second
	// settleTime is how long a place counts half that is new, because the other owners may not know it yet, or that had
	// another owner just before, because that owner may have used its share.
	settleTime = 1200 * time.Millisecond
	// freshTime is how long the place of a sequence that had no job lately gets at most an equal part for each sequence that the
	// configuration provides for: when all trainers begin together, each of their owners first knows only a few others.
	freshTime = 3 * time.Second
	// staleAfter is the age of the last read of the job rows from which on a share counts half: other owners may have
	// appeared since. Rows are read at least every 0.8 s while the table service responds.
	staleAfter = 2 * time.Second
	// With fewer permits than places, the places take turns of turnTime, and use only the time from
	// turnMargin after its beginning to turnMargin before its end, so that clocks may differ by a second.
	turnTime   = 4 * time.Second
	turnMargin = time.Second
)

// Job is what the row of a job tells.
type Job struct {
	// Route and Model name the sequence of jobs (the steps of a trainer) that the job belongs to.
	Route, Model string
	Owner        string
	// OwnedSince is when the owner was first seen, EndedAt when the end of the job was; the zero time for an open job.
	OwnedSince, EndedAt time.Time
	// TakenOver is set if the job had another owner before.
	TakenOver bool
}

// sequence identifies the jobs of one trainer.
type sequence struct{ route, model string }

// place is a part of the shares: that of one owner in one sequence, or that of a sequence without an open job.
type place struct {
	sequence
	owner string
	// ownedSince is when the owner was first seen there.
	ownedSince time.Time
	takenOver  bool
}

// Places are the owners of a service's jobs that share the bound, as this instance knows them at one time. They are not safe for
// concurrent use.
type Places struct {
	self string
	all  []place
	// isFresh holds the sequences that had no job lately before their current one, isShared those with several owners.
	isFresh, isShared map[sequence]bool
	// handedOverAt is when the last job of another owner ended.
	handedOverAt map[sequence]time.Time
	// sequences is the number of sequences that the configuration provides for.
	sequences int
	readAt    time.Time
	// counts holds what count has returned, shares what Share has returned for targets of a model unless places take turns,
	// which takesTurns tells of the last share.
	counts     map[group]groupCounts
	shares     map[string]int
	takesTurns bool
}

// NewPlaces returns the places of one service. jobs holds the rows of all jobs of the service, readAt is when they were last
// read, and sequences is the number of sequences that the configuration provides for.
func NewPlaces(self string, jobs []Job, sequences int, readAt, now time.Time) *Places {
	p := &Places{self: self, isFresh: map[sequence]bool{}, isShared: map[sequence]bool{}, handedOverAt: map[sequence]time.Time{}, sequences: sequences, readAt: readAt, counts: map[group]groupCounts{}, shares: map[string]int{}}
	open, ended := map[place]Job{}, map[sequence]bool{}
	for _, j := range jobs {
		s := sequence{j.Route, j.Model}
		if !j.EndedAt.IsZero() {
			if now.Sub(j.EndedAt) < idleTime {
				ended[s] = true
			}
			if j.Owner != self && j.EndedAt.After(p.handedOverAt[s]) {
				p.handedOverAt[s] = j.EndedAt
			}
			continue
		}
		key := place{sequence: s, owner: j.Owner}
		if old, ok := open[key]; !ok || j.OwnedSince.Before(old.OwnedSince) {
			open[key] = j
		}
	}
	p.addPlaces(open, ended)
	return p
}

// addPlaces adds the places of the owners of open jobs and of the sequences whose jobs have ended lately, in an order that is the
// same at all instances.
func (p *Places) addPlaces(open map[place]Job, ended map[sequence]bool) {
	occupied := map[sequence]int{}
	for key, j := range open {
		occupied[key.sequence]++
		key.ownedSince, key.takenOver = j.OwnedSince, j.TakenOver
		p.all = append(p.all, key)
	}
	for s := range ended {
		if occupied[s] == 0 {
			p.all = append(p.all, place{sequence: s})
		}
	}
	for s, owners := range occupied {
		p.isFresh[s], p.isShared[s] = owners == 1 && !ended[s], owners > 1
	}
	slices.SortFunc(p.all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.model, b.model), cmp.Compare(a.owner, b.owner))
	})
}

// Share returns how many runs this instance may start in a second on a target that is assigned to a model. perSecond and now
// are the same in all calls.
func (p *Places) Share(target, model string, perSecond float64, now time.Time) int {
	if share, ok := p.shares[model]; ok {
		return share
	}
	p.takesTurns = false
	share := p.share(target, model, perSecond, now)
	if !p.takesTurns {
		p.shares[model] = share
	}
	return share
}

// share computes the result of Share.
func (p *Places) share(target, model string, perSecond float64, now time.Time) int {
	assigned, others := budgets(perSecond)
	if others == 0 {
		return p.shareOf(assigned, target, group{kind: everyPlace}, now)
	}
	return p.shareOf(assigned, target, group{model, assignedPlaces}, now) + p.shareOf(others, target, group{model, otherPlaces}, now)
}

// group names places that divide a budget.
type group struct {
	model string
	kind  groupKind
}

type groupKind int

const (
	everyPlace groupKind = iota
	// assignedPlaces are those of sequences of the model, otherPlaces all others.
	assignedPlaces
	otherPlaces
)

func (g group) holds(pl place) bool {
	switch g.kind {
	case assignedPlaces:
		return pl.model == g.model
	case otherPlaces:
		return pl.model != g.model
	}
	return true
}

// groupCounts are the numbers of places of a group: all, those of this instance, and of these the settling and the fresh ones.
type groupCounts struct{ all, own, settling, fresh int }

// count returns the numbers of places of a group.
func (p *Places) count(g group, now time.Time) groupCounts {
	if counts, ok := p.counts[g]; ok {
		return counts
	}
	var counts groupCounts
	for _, pl := range p.all {
		if !g.holds(pl) {
			continue
		}
		counts.all++
		if pl.owner != p.self {
			continue
		}
		counts.own++
		if p.isFreshPlace(pl, now) {
			counts.fresh++
		}
		if p.settles(pl, now) {
			counts.settling++
		}
	}
	p.counts[g] = counts
	return counts
}

// shareOf returns this instance's part of a budget that the places of a group divide.
func (p *Places) shareOf(budget int, target string, g group, now time.Time) int {
	counts := p.count(g, now)
	switch {
	case counts.own == 0:
		return 0
	case counts.all > budget:
		return p.turn(budget, counts.all, target, g, now)
	}
	share := budget * (2*counts.own - counts.settling) / (2 * counts.all)
	if counts.fresh == counts.own {
		// The jobs of all sequences may begin at the same time.
		share = min(share, budget/max(1, p.sequences))
	}
	if now.Sub(p.readAt) > staleAfter {
		share = (share + 1) / 2
	}
	return share
}

// isFreshPlace reports whether one of this instance's places belongs to a sequence that has just begun.
func (p *Places) isFreshPlace(pl place, now time.Time) bool {
	return p.isFresh[pl.sequence] && !pl.takenOver && now.Sub(pl.ownedSince) < freshTime
}

// settles reports whether the other owners may not count one of this instance's places yet, or its former owner may have used
// its share just before.
func (p *Places) settles(pl place, now time.Time) bool {
	isUnknown := (p.isFresh[pl.sequence] || p.isShared[pl.sequence]) && !pl.takenOver && now.Sub(pl.ownedSince) < settleTime
	return isUnknown || now.Sub(p.handedOverAt[pl.sequence]) < settleTime
}

// turn returns how many of this instance's places may start a run now, if there are more places than permits. The turns
// of the places differ between targets.
func (p *Places) turn(budget, places int, target string, g group, now time.Time) int {
	p.takesTurns = true
	sinceTurn := time.Duration(now.UnixNano()) % turnTime
	if sinceTurn < turnMargin || sinceTurn >= turnTime-turnMargin {
		return 0
	}
	first := (uint64(now.UnixNano()/int64(turnTime))*uint64(budget) + xxhash.Sum64String(target)%uint64(places)) % uint64(places)
	count, index := 0, 0
	for _, pl := range p.all {
		if !g.holds(pl) {
			continue
		}
		if pl.owner == p.self && !p.isFreshPlace(pl, now) && (index+places-int(first))%places < budget {
			count++
		}
		index++
	}
	return count
}

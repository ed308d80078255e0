package startlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simStep = 50 * time.Millisecond
	// simLag is the longest time until an owner knows a job row, simDelay that until a request reaches the target.
	simLag   = 800 * time.Millisecond
	simDelay = 150 * time.Millisecond
	// simRuns is the number of runs that one step needs on the target: twice its slots.
	simRuns = 16
	// simRestart is the time from a crash until the next process of the instance places items.
	simRestart = 800 * time.Millisecond
	simSeeds   = 2
)

// simJob is the row of a job in a simulation, with the time until which each owner does not know it.
type simJob struct {
	Job
	createdAt time.Time
}

// simOwner is an instance that owns jobs and starts a run whenever it may.
type simOwner struct {
	name    string
	counter *Counter
	frozen  time.Time
	lag     time.Duration
	// cutFrom is when the instance stopped reading rows; the zero time while it reads them.
	cutFrom time.Time
	// runs is the number of runs that the owner still needs.
	runs int
}

type simulation struct {
	random   *rand.Rand
	now      time.Time
	owners   []*simOwner
	jobs     []*simJob
	routes   int
	models   int
	nextStep []time.Time
	// wanders is set if each step has another owner, which needs simRuns runs on the target. Otherwise the owners of the
	// routes stay, and start as many runs as they may.
	wanders  bool
	isDown   bool
	arrivals []time.Time
}

// places returns what an owner knows: its own rows at once, others late.
func (s *simulation) places(o *simOwner) *Places {
	known, readAt := s.now, s.now
	if !o.cutFrom.IsZero() {
		known, readAt = o.cutFrom, o.cutFrom
	}
	var jobs []Job
	for _, j := range s.jobs {
		row := j.Job
		lag := o.lag
		if row.Owner == o.name {
			lag = 0
		}
		if j.createdAt.Add(lag).After(known) {
			continue
		}
		if !row.EndedAt.IsZero() && row.EndedAt.Add(lag).After(known) {
			row.EndedAt = time.Time{}
		}
		jobs = append(jobs, row)
	}
	return NewPlaces(o.name, jobs, s.routes, readAt, s.now)
}

// play starts a step of each route about every 4 s, mostly at another owner, and lets each owner start as many runs as it may
// and needs.
func (s *simulation) play(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simStep) {
		for route := range s.routes {
			// While the table service does not respond, no job is accepted.
			if !s.now.Before(s.nextStep[route]) && !s.isDown {
				s.nextStep[route] = s.now.Add(3*time.Second + time.Duration(s.random.Int64N(int64(2*time.Second))))
				s.startStep(route)
			}
		}
		for _, o := range s.owners {
			s.startRuns(o)
		}
	}
}

// startStep ends the former job of a route and begins the next one.
func (s *simulation) startStep(route int) {
	name := fmt.Sprint("r", route)
	for _, j := range s.jobs {
		if j.Route == name && j.EndedAt.IsZero() {
			j.EndedAt = s.now
		}
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j *simJob) bool { return !j.EndedAt.IsZero() && s.now.Sub(j.EndedAt) > idleTime+simLag })
	owner := s.owners[route%len(s.owners)]
	if s.wanders {
		owner = s.owners[s.random.IntN(len(s.owners))]
	}
	if !owner.cutFrom.IsZero() {
		// It could not store the job.
		return
	}
	owner.runs = simRuns
	s.jobs = append(s.jobs, &simJob{Job{Route: name, Model: fmt.Sprint("m", route%s.models), Owner: owner.name, OwnedSince: s.now}, s.now})
}

// startRuns starts the runs that an owner with an open job needs and may start now.
func (s *simulation) startRuns(o *simOwner) {
	if s.now.Before(o.frozen) || !slices.ContainsFunc(s.jobs, func(j *simJob) bool { return j.Owner == o.name && j.EndedAt.IsZero() }) {
		return
	}
	o.counter.BeginRound(s.now)
	share := s.places(o).Share("t", "m0", Bound{1.5, 5}.PerSecond(8.1), s.now)
	for o.counter.Left("t", share, s.now) > 0 && (!s.wanders || o.runs > 0) {
		o.runs--
		o.counter.Record("t", s.now)
		s.arrivals = append(s.arrivals, s.now.Add(time.Duration(s.random.Int64N(int64(simDelay)))))
	}
	o.counter.EndRound(simStep, s.now)
}

// most returns the highest number of arrivals in any second.
func (s *simulation) most() int {
	slices.SortFunc(s.arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// newSimulation returns a simulation in which the first steps of all routes begin almost together.
func newSimulation(seed uint64, routes, owners, models int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), routes: routes, models: models}
	for range routes {
		s.nextStep = append(s.nextStep, s.now.Add(time.Duration(s.random.Int64N(int64(time.Second)))))
	}
	for i := range owners {
		lag := 100*time.Millisecond + time.Duration(s.random.Int64N(int64(simLag-100*time.Millisecond)))
		s.owners = append(s.owners, &simOwner{name: fmt.Sprint("i", i), counter: NewCounter(s.now.Add(-time.Minute)), lag: lag})
	}
	return s
}

// inject makes owners fail.
func (s *simulation) inject(fault string) {
	s.isDown = fault == "outage"
	for i, o := range s.owners {
		switch {
		case fault == "outage" || fault == "cut" && i == 0:
			o.cutFrom = s.now
		case fault == "freeze" && i%2 == 0:
			o.frozen = s.now.Add(time.Duration(s.random.Int64N(int64(4 * time.Second))))
		case fault == "restart":
			o.frozen = s.now.Add(simRestart)
			o.counter = NewCounter(s.now.Add(simRestart / 2))
		}
	}
}

// Guards against owners of jobs that together start more runs on a target in a second than a cold one takes, although they
// learn of each other late, freeze, restart or cannot read the job rows; and against shares that leave a target idle.
func TestSumOfStarts(t *testing.T) {
	for _, c := range []struct {
		routes, owners, models int
		wanders                bool
	}{
		{1, 1, 1, false},
		{3, 3, 1, false},
		{3, 3, 3, false},
		{8, 8, 1, false},
		{8, 8, 2, false},
		{8, 8, 3, false},
		{8, 8, 8, false},
		{24, 24, 2, false},
		{1, 4, 1, true},
		{3, 3, 1, true},
		{3, 7, 3, true},
		{8, 8, 1, true},
		{8, 40, 3, true},
	} {
		for _, fault := range []string{"none", "outage", "cut", "freeze", "restart"} {
			most, sum := 0, 0
			for seed := range uint64(simSeeds) {
				s := newSimulation(seed, c.routes, c.owners, c.models)
				s.wanders = c.wanders
				s.play(6 * time.Second)
				s.inject(fault)
				s.play(5 * time.Second)
				s.isDown = false
				for _, o := range s.owners {
					o.cutFrom = time.Time{}
				}
				s.play(4 * time.Second)
				most, sum = max(most, s.most()), sum+len(s.arrivals)
			}
			perSecond := float64(sum) / simSeeds / 15
			t.Logf("%+v, fault %s: at most %d starts in a second, %.1f on average", c, fault, most, perSecond)
			if most > 17 || perSecond < 2 {
				t.Errorf("%+v, fault %s: %d starts in a second, %.1f on average; want at most 17 and at least 2", c, fault, most, perSecond)
			}
		}
	}
}

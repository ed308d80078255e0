package batch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/placement"
)

const (
	// placeRetry is the wait for the next round of placement while items wait, moveEvery while items only run.
	placeRetry = 50 * time.Millisecond
	moveEvery  = 150 * time.Millisecond
)

// place starts items whenever an engine may have room.
func (s *Service) place(ctx context.Context) {
	for {
		var retry <-chan time.Time
		if pause := s.round(); pause > 0 {
			retry = time.After(pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-retry:
		}
	}
}

// round places what can be placed now and returns the wait until the next round; 0 means until a change.
func (s *Service) round() time.Duration {
	s.mu.Lock()
	jobs, draining := s.ownedJobs(), s.draining
	s.mu.Unlock()
	if len(jobs) == 0 || draining {
		return 0
	}
	targets := map[string]live.Target{}
	all := s.options.View.Targets()
	for _, t := range all {
		targets[t.ID] = t
	}
	s.setEngines(jobs, all)
	sortJobs(jobs)
	pause := moveEvery
	for _, o := range jobs {
		if s.placeJob(o, targets) {
			pause = placeRetry
		}
	}
	return pause
}

// ownedJobs returns the jobs that this instance runs. The lock is held.
func (s *Service) ownedJobs() []*ownedJob { return slices.Collect(maps.Values(s.owned)) }

// sortJobs puts the jobs in the order in which they get engines: the oldest first.
func sortJobs(jobs []*ownedJob) {
	slices.SortFunc(jobs, func(a, b *ownedJob) int {
		return cmp.Or(a.job.Submitted.Compare(b.job.Submitted), strings.Compare(a.job.ID, b.job.ID))
	})
}

// setEngines gives the pool of each model the engines that may run its items.
func (s *Service) setEngines(jobs []*ownedJob, targets []live.Target) {
	services := map[string]string{}
	for _, o := range jobs {
		services[o.job.Model] = o.job.Service
	}
	engines := map[string][]live.Target{}
	for _, t := range targets {
		if !t.Draining {
			engines[t.Service] = append(engines[t.Service], t)
		}
	}
	assigned := map[string]map[string]string{}
	config := s.options.View.Config()
	s.mu.Lock()
	defer s.mu.Unlock()
	for model, service := range services {
		if assigned[service] == nil {
			assigned[service] = s.options.Assigned(engines[service], modelsOf(config, service))
		}
		listed := make([]placement.Engine, 0, len(engines[service]))
		for _, t := range engines[service] {
			listed = append(listed, placement.Engine{
				ID: t.ID, Slots: t.Slots, Version: t.Versions[model], Assigned: assigned[service][t.ID] == model, Born: t.Born,
			})
		}
		s.poolLocked(model).SetEngines(listed)
	}
}

func modelsOf(config *live.Config, service string) []string {
	if config == nil {
		return nil
	}
	return config.Services[service].Models
}

func (s *Service) poolLocked(model string) *placement.Pool {
	p := s.pools[model]
	if p == nil {
		p = placement.NewPool()
		s.pools[model] = p
	}
	return p
}

// placeJob starts the items of one job that engines have room for. It reports whether items wait.
func (s *Service) placeJob(o *ownedJob, targets map[string]live.Target) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || !o.loaded {
		// Items start after the stored text was read, so that none of it is generated again.
		return false
	}
	pool := s.poolLocked(o.job.Model)
	later := s.isLater(o.job)
	for _, item := range append([]*itemState(nil), o.progress.pending...) {
		if item.notBefore.After(now) {
			continue
		}
		id, ok := pool.Place(placement.Request{
			Group: item.item.Group, MinVersion: o.job.MinVersion, Length: o.progress.relativeLength(item), Avoid: item.avoid,
		}, now)
		if !ok {
			break
		}
		pool.Begin(id, item.item.Group)
		ctx, cancel := context.WithCancel(o.ctx)
		o.progress.begin(item, id, now, cancel)
		run := Run{
			Job: o.job, Item: item.item, Target: targets[id], After: item.text.Last, Deadline: o.job.Submitted.Add(o.job.Life),
			Later: later,
		}
		s.tasks.Go(func() { o.run(ctx, item, run) })
	}
	waiting := len(o.progress.pending) > 0
	if !waiting {
		o.move(pool, now)
	}
	return waiting
}

// isLater reports whether an earlier step of the job's route is open, which its caller needs first. The lock of
// the service is held.
func (s *Service) isLater(job *Job) bool {
	for id, k := range s.known {
		if id != job.ID && !k.Ended && k.Route == job.Route && k.Model == job.Model && k.Step < job.Step {
			return true
		}
	}
	return false
}

// move ends runs that go on earlier at another engine. Both locks are held.
func (o *ownedJob) move(pool *placement.Pool, now time.Time) {
	for _, m := range pool.Moves(o.progress.runs(), o.job.MinVersion, now) {
		item := o.progress.items[m.Key]
		item.moved = true
		item.cancel()
		o.service.options.Log.Debug().Str("job", o.job.ID).Str("item", m.Key).Str("from", m.From).Str("to", m.To).
			Int("last", item.text.Last).Int("remaining", o.progress.remaining(item)).Msg(event.ItemMoves)
	}
}

// run runs an item once.
func (o *ownedJob) run(ctx context.Context, item *itemState, run Run) {
	s := o.service
	began := time.Now()
	meter := paceMeter{}
	ending := s.options.Runner.Run(ctx, run, func(e Event) error {
		err := o.event(item, e)
		if pace, ok := meter.event(time.Now()); ok {
			s.measure(o.job.Model, run.Target.ID, pace)
		}
		return err
	})
	now := time.Now()
	o.mu.Lock()
	switch {
	case o.ctx.Err() != nil:
		ending = Cancelled
	case item.moved && ending != Complete:
		ending = Moved
	}
	item.cancel()
	reason := o.progress.end(item, ending, now)
	last := item.text.Last
	crashes := item.crashes
	o.mu.Unlock()
	s.mu.Lock()
	s.poolLocked(o.job.Model).End(run.Target.ID, item.item.Group, engineResult(ending), now)
	s.mu.Unlock()
	if reason != "" {
		s.options.Counter.Retried(reason)
	}
	s.options.Log.Debug().Str("job", o.job.ID).Str("item", run.Item.ID).Str("target", run.Target.ID).Str("ending", ending.String()).
		Int("after", run.After).Int("last", last).Int("tokens", run.Item.Tokens).Int("estimate", run.Item.Estimate).Int("crashes", crashes).Dur("pause", meter.pause).Dur("elapsed", now.Sub(began)).Msg(event.ItemRun)
	o.signal()
	s.Wake()
}

// paceEvents is the number of events over which the pace of an engine is measured.
const paceEvents = 6

// paceMeter measures the time between the events of one run. The first event does not count, because the engine
// reads the prompt before it.
type paceMeter struct {
	events int
	from   time.Time
	// last is the time of the last event, pause the longest time between two events.
	last  time.Time
	pause time.Duration
}

func (m *paceMeter) event(now time.Time) (time.Duration, bool) {
	m.events++
	if !m.last.IsZero() {
		m.pause = max(m.pause, now.Sub(m.last))
	}
	m.last = now
	if m.events == 1 {
		m.from = now
		return 0, false
	}
	if (m.events-1)%paceEvents != 0 {
		return 0, false
	}
	pace := now.Sub(m.from) / paceEvents
	m.from = now
	return pace, true
}

func (s *Service) measure(model, engine string, pace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poolLocked(model).Measure(engine, pace, time.Now())
}

// ErrVersion ends a run whose weight version does not fit the job.
var ErrVersion = errors.New("weight version does not fit the job")

// event adds an event to an item's text.
func (o *ownedJob) event(item *itemState, e Event) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || item.done {
		return context.Canceled
	}
	if e.Version < o.job.MinVersion {
		return ErrVersion
	}
	if o.job.SingleVersion && len(item.text.Versions) > 0 && item.text.Versions[0] != e.Version {
		// Only a new run makes the whole text under one version.
		item.text = Text{}
		return ErrVersion
	}
	return item.text.Append(e)
}

func engineResult(e Ending) placement.Result {
	switch e {
	case NotRun:
		return placement.Refused
	case Unreachable, Broken:
		return placement.Broken
	}
	return placement.OK
}

// String names the ending in logs.
func (e Ending) String() string {
	return [...]string{"complete", "not_run", "failed", "impossible", "unreachable", "broken", "stale", "cancelled", "moved"}[e]
}

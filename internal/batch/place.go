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
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/placement"
)

const (
	// placeRetryInterval is the time between two rounds of placement while items are pending, moveInterval while all
	// open items are running.
	placeRetryInterval = 50 * time.Millisecond
	moveInterval       = 150 * time.Millisecond
	// maxEntryLag is how late an instance that reaches the store may learn that an engine has come back with another
	// software version.
	maxEntryLag = time.Second
)

// placementLoop starts items whenever an engine may have a free slot.
func (s *Service) placementLoop(ctx context.Context) {
	runRounds(ctx, s.wake, s.placeItems)
}

// placeItems starts the items of all owned jobs for which engines have free slots. It returns the time until the next
// round; 0 means that the next round waits for a wake signal.
func (s *Service) placeItems() time.Duration {
	s.beginRound()
	pause := s.placeOwnedJobs()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts.EndRound(pause, time.Now())
	return pause
}

// placeOwnedJobs is one round of placement.
func (s *Service) placeOwnedJobs() time.Duration {
	s.mu.Lock()
	jobs, draining := s.ownedJobsLocked(), s.draining
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
	s.mu.Lock()
	loads := s.routeLoadsLocked()
	s.mu.Unlock()
	pause := moveInterval
	for _, o := range jobs {
		if s.placeJob(o, targets, loads[o.job.poolKey()]) {
			pause = placeRetryInterval
		}
	}
	return pause
}

// ownedJobsLocked returns the jobs that this instance runs. The caller holds the lock.
func (s *Service) ownedJobsLocked() []*ownedJob { return slices.Collect(maps.Values(s.owned)) }

// sortJobs sorts jobs by the time of their submission: older jobs are placed first.
func sortJobs(jobs []*ownedJob) {
	slices.SortFunc(jobs, func(a, b *ownedJob) int {
		return cmp.Or(a.job.Submitted.Compare(b.job.Submitted), strings.Compare(a.job.ID, b.job.ID))
	})
}

// poolKey names a placement pool. Services may have models of the same name, and a job's items run at the engines of its service
// only.
type poolKey struct{ service, model string }

func (j *Job) poolKey() poolKey { return poolKey{j.Service, j.Model} }

// setEngines updates the engines in the placement pool of each job.
func (s *Service) setEngines(jobs []*ownedJob, targets []live.Target) {
	keys := map[poolKey]bool{}
	for _, o := range jobs {
		keys[o.job.poolKey()] = true
	}
	engines := map[string][]live.Target{}
	for _, t := range targets {
		if !t.Draining {
			engines[t.Service] = append(engines[t.Service], t)
		}
	}
	assigned := map[string]map[string]string{}
	config, limited := s.options.View.Config(), s.options.Limits.Limited(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	places := s.startPlacesLocked(config)
	for key := range keys {
		service, model := key.service, key.model
		if assigned[service] == nil {
			assigned[service] = s.options.AssignModels(engines[service], serviceModels(config, service))
		}
		poolEngines := make([]placement.Engine, 0, len(engines[service]))
		for _, t := range engines[service] {
			e := placement.Engine{
				ID: t.ID, Slots: t.Slots, Version: t.Versions[model], Assigned: assigned[service][t.ID] == model, StartNumber: t.StartNumber,
				Software: t.Software, Limited: limited[t.ID],
			}
			e.MaxStarts, e.StartsLimited = places.share(t, assigned[service][t.ID])
			poolEngines = append(poolEngines, e)
		}
		pool := s.poolLocked(key)
		pool.SetEngines(poolEngines)
		pool.Inherit(s.speeds.Of)
	}
}

func serviceModels(config *live.Config, service string) []string {
	if config == nil {
		return nil
	}
	return config.Services[service].Models
}

func (s *Service) poolLocked(key poolKey) *placement.Pool {
	p := s.pools[key]
	if p == nil {
		p = placement.NewPool(s.options.Limits)
		p.SetStartCounter(s.starts)
		for owner, report := range s.peerReports {
			report.applyTo(p, key, owner)
		}
		s.pools[key] = p
	}
	return p
}

// placeJob starts the items of one job for which engines have free slots. It reports whether items are still pending.
// loads holds the loads of the routes of the job's pool.
func (s *Service) placeJob(o *ownedJob, targets map[string]live.Target, loads map[string]placement.RouteLoad) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || !o.textLoaded {
		// Items start only after stored text is loaded, so that none of it is generated again.
		return false
	}
	pool := s.poolLocked(o.job.poolKey())
	earlierStepOpen := s.isEarlierStepOpen(o.job)
	load, wanted, heldBack := loads[o.job.Route], false, 0
	allowance := pool.Allowance(o.job.Route, loads, now)
	for _, item := range append([]*itemState(nil), o.progress.pending...) {
		if item.notBefore.After(now) {
			continue
		}
		// The allowance does not hold back an item that moves, because its slot has become free.
		if load.Running >= allowance && item.moveTo == "" {
			heldBack = load.Demand - load.Running
			continue
		}
		if !wanted {
			wanted = true
			s.options.Limits.Want(pool.Limited(o.job.MinVersion), now)
		}
		id, ok := o.place(pool, item, now)
		if !ok && item.text.Last > 0 {
			// Engines of other versions may have room for other items.
			continue
		}
		if !ok {
			break
		}
		if !s.options.Limits.Take(id, now) {
			// A request of another kind took the permit since.
			continue
		}
		pool.Begin(id, item.item.Group)
		s.starts.Record(id, now)
		load.Running++
		ctx, cancel := context.WithCancel(o.ctx)
		o.progress.startRun(item, id, now, cancel)
		run := Run{
			Job: o.job, Item: item.item, Target: targets[id], LastEvent: item.text.Last, Deadline: o.job.Submitted.Add(o.job.Life),
			EarlierStepOpen: earlierStepOpen,
		}
		s.options.Log.Debug().Str("job", o.job.ID).Str("item", item.item.ID).Str("target", id).Str("software", run.Target.Software).Int("after", run.LastEvent).Msg(event.ItemRunStarted)
		s.tasks.Go(func() { o.runItem(ctx, item, run, now) })
	}
	o.setHeldBack(heldBack, load, allowance)
	if loads != nil {
		loads[o.job.Route] = load
	}
	hasPending := len(o.progress.pending) > 0
	if wanted && hasPending && pool.HoldsStarts(o.job.MinVersion, now) {
		s.heldStarts++
	}
	if !hasPending {
		o.moveItems(pool, now)
	}
	return hasPending
}

// place returns the engine for an item. If the item's text cannot be continued in time, and an engine of another version
// has room, it begins again. The caller holds the locks of the service and the job.
func (o *ownedJob) place(pool *placement.Pool, item *itemState, now time.Time) (string, bool) {
	request := placement.Request{
		Group: item.item.Group, MinVersion: o.job.MinVersion, Length: o.progress.relativeLength(item), Avoid: item.avoidEngine, Prefer: item.moveTo,
		Continues: item.text.Last > 0, Software: item.text.Software,
	}
	id, ok := pool.Place(request, now)
	if ok || !request.Continues {
		return id, ok
	}
	last, software := item.text.Last, item.text.Software
	if !item.isStranded(pool.Serves(software, o.job.MinVersion), pool.GenerationTime(last), now) {
		return "", false
	}
	request.Continues = false
	if id, ok = pool.Place(request, now); !ok {
		return "", false
	}
	item.dropText()
	o.service.options.Log.Debug().Str("job", o.job.ID).Str("item", item.item.ID).Int("last", last).Str("software", software).Msg(event.ItemRestarted)
	return id, true
}

// isEarlierStepOpen reports whether an earlier step of the job's route and model is open. The results of
// that step are needed first. The caller holds the service's lock.
func (s *Service) isEarlierStepOpen(job *Job) bool {
	for id, row := range s.rows {
		if id != job.ID && !row.Ended && row.Route == job.Route && row.Model == job.Model && row.Step < job.Step {
			return true
		}
	}
	return false
}

// requestMove cancels the item's run so that it continues at the destination of a move.
func (s *itemState) requestMove(m placement.Move) {
	s.moveRequested, s.moveTo, s.moveReason = true, m.To, outcome.RetryLeavingTarget
	if !m.Leaving {
		s.moveReason = outcome.RetryFasterTarget
		s.leftEngines = append(s.leftEngines, m.From)
	}
	s.cancel()
}

// moveItems cancels the runs of items that would complete earlier at another engine. The caller holds the locks of the
// service and the job.
func (o *ownedJob) moveItems(pool *placement.Pool, now time.Time) {
	for _, m := range pool.Moves(o.progress.runningItems(), o.job.MinVersion, now) {
		item := o.progress.items[m.Key]
		item.requestMove(m)
		o.service.options.Log.Debug().Str("job", o.job.ID).Str("item", m.Key).Str("from", m.From).Str("to", m.To).
			Int("last", item.text.Last).Int("remaining", o.progress.remainingEvents(item)).
			Bool("leaving", m.Leaving).Dur("from_interval", m.FromInterval).Dur("to_interval", m.ToInterval).
			Dur("gain", m.Gain).Dur("price", m.Price).Dur("step_end", m.StepEnd).Msg(event.ItemMoved)
	}
}

// runItem runs an item once and records how the run ended. placedAt is when the run was counted.
func (o *ownedJob) runItem(ctx context.Context, item *itemState, run Run, placedAt time.Time) {
	s := o.service
	startedAt := time.Now()
	s.countDelay(run.Target.ID, placedAt, startedAt)
	meter := intervalMeter{}
	ending := s.options.Runner.Run(ctx, run, func(e Event) error {
		err := o.appendEvent(item, run.Target.Software, e)
		if interval, ok := meter.observe(time.Now()); ok {
			s.recordEventInterval(o.job.poolKey(), run.Target.ID, interval)
		}
		return err
	})
	now := time.Now()
	target, isListed := s.options.View.Target(run.Target.ID)
	o.mu.Lock()
	isReplaced := isListed && target.Software != run.Target.Software
	if isReplaced && item.text.Last > run.LastEvent && !item.done && (ending == Complete || now.Sub(startedAt) < maxEntryLag) {
		// The engine came back with another version, perhaps before it got this run.
		item.dropText()
		ending = Broken
	}
	switch {
	case o.ctx.Err() != nil:
		ending = Cancelled
	case item.moveRequested && ending != Complete:
		ending = Moved
	}
	item.cancel()
	reason := o.progress.endRun(item, ending, now)
	last := item.text.Last
	breaks, wait := item.breaks, item.notBefore.Sub(now)
	o.mu.Unlock()
	s.mu.Lock()
	s.poolLocked(o.job.poolKey()).End(run.Target.ID, item.item.Group, placementResult(ending), now)
	s.mu.Unlock()
	if reason != "" {
		s.options.Counter.CountRetry(reason)
	}
	s.options.Log.Debug().Str("job", o.job.ID).Str("item", run.Item.ID).Str("target", run.Target.ID).Str("ending", ending.String()).
		Int("after", run.LastEvent).Int("last", last).Int("tokens", run.Item.Tokens).Int("estimate", run.Item.Estimate).Int("breaks", breaks).Dur("pause", meter.longestInterval).Dur("elapsed", now.Sub(startedAt)).Msg(event.ItemRunEnded)
	if breaks > 1 && ending == Broken {
		s.options.Log.Info().Str("job", o.job.ID).Str("item", run.Item.ID).Str("target", run.Target.ID).Int("breaks", breaks).
			Dur("wait", wait).Msg(event.ItemBrokeAgain)
	}
	o.signalAppend()
	s.Wake()
	s.wakeRewards()
}

// intervalEvents is the number of events over which the interval between events is averaged.
const intervalEvents = 6

// intervalMeter measures the interval between the events of one run. The time until the first event does not count,
// because the engine reads the prompt before it.
type intervalMeter struct {
	events      int
	windowStart time.Time
	// lastEvent is the time of the last event.
	lastEvent       time.Time
	longestInterval time.Duration
}

// observe records an event. Every intervalEvents events it returns the average interval over them and true.
func (m *intervalMeter) observe(now time.Time) (time.Duration, bool) {
	m.events++
	if !m.lastEvent.IsZero() {
		m.longestInterval = max(m.longestInterval, now.Sub(m.lastEvent))
	}
	m.lastEvent = now
	if m.events == 1 {
		m.windowStart = now
		return 0, false
	}
	if (m.events-1)%intervalEvents != 0 {
		return 0, false
	}
	interval := now.Sub(m.windowStart) / intervalEvents
	m.windowStart = now
	return interval, true
}

// recordEventInterval reports a measured interval to a placement pool.
func (s *Service) recordEventInterval(key poolKey, engine string, interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poolLocked(key).RecordEventInterval(engine, interval, time.Now())
}

// ErrVersionNotAllowed ends a run when the engine's weight version does not satisfy the job's MinVersion or
// SingleVersion.
var ErrVersionNotAllowed = errors.New("weight version is not allowed by the job")

// errTextTooLong ends a run whose engine sends more text than the item can have.
var errTextTooLong = errors.New("text is longer than the item allows")

// maxTextBytes is the size of a row of the table, 64 KiB, less 2 KiB for the rest of a result and its encoding.
const maxTextBytes = 62 << 10

// isTooLong reports whether an event exceeds the text that an item can have. An event holds at least one token.
func (s *itemState) isTooLong(e Event) bool {
	return len(s.text.Output)+len(e.Data) > maxTextBytes || s.item.Tokens > 0 && e.ID > s.item.Tokens
}

// appendEvent appends an event to an item's text if the job still runs and allows the event's weight version.
func (o *ownedJob) appendEvent(item *itemState, software string, e Event) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || item.done {
		return context.Canceled
	}
	if e.Version < o.job.MinVersion {
		return ErrVersionNotAllowed
	}
	if o.job.SingleVersion && len(item.text.Versions) > 0 && item.text.Versions[0] != e.Version {
		// Only a restart can generate the whole text with one version.
		item.dropText()
		return ErrVersionNotAllowed
	}
	if item.isTooLong(e) {
		// It is unknown which part of the text is valid.
		item.dropText()
		return errTextTooLong
	}
	if item.text.Last == 0 {
		item.text.Software = software
	}
	return item.text.Append(e)
}

func placementResult(e Ending) placement.Result {
	switch e {
	case NotRun:
		return placement.Refused
	case Unreachable, Broken:
		return placement.Broken
	}
	return placement.OK
}

// String returns the name of the ending for logs.
func (e Ending) String() string {
	return [...]string{"complete", "not_run", "failed", "impossible", "unreachable", "broken", "stale", "cancelled", "moved"}[e]
}

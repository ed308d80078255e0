package weights

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/target"
)

// Store is the platform's weight store.
type Store interface {
	Latest(ctx context.Context, service string) (api.Release, error)
}

// Engines sends orders to engines and reads their load reports. Order returns once the engine has
// accepted the order or failed; ErrRateLimited reports the weight store's rate limit.
type Engines interface {
	Load(ctx context.Context, t target.Target) (engine.Load, error)
	Order(ctx context.Context, t target.Target, o engine.WeightOrder) error
}

// ErrRateLimited reports that an engine could not fetch weights because of the weight store's rate limit.
var ErrRateLimited = errors.New("weight store rate limit reached")

const (
	// releasePollInterval is the time between two reads of each service's latest release, and so the longest delay
	// before a release is noticed.
	releasePollInterval = 500 * time.Millisecond
	// The time between two polls of all load reports is loadPollTimePerEngine for each engine, so that one instance
	// reads at most 100 reports a second. It is at most maxLoadPollInterval, which limits the delay before a restart
	// is noticed and lets the rate rise with very many engines. With few engines it is minLoadPollInterval: after 3 s,
	// a restart with old weights was noticed so late that a step of 1.5 s waited 4 s.
	loadPollTimePerEngine = 10 * time.Millisecond
	minLoadPollInterval   = 500 * time.Millisecond
	maxLoadPollInterval   = 3 * time.Second
	// planInterval is the time between two plans for engines whose backoff may have ended. A finished action triggers
	// a plan at once.
	planInterval = 100 * time.Millisecond
	// After an order is accepted, the engine's load report is read until it confirms the order. The time between two
	// reads doubles from minConfirmInterval to maxConfirmInterval.
	minConfirmInterval = 50 * time.Millisecond
	maxConfirmInterval = 200 * time.Millisecond
	// orderTimeout limits one order with its confirmation, readTimeout one read of a load report or release.
	orderTimeout = 8 * time.Second
	readTimeout  = 2 * time.Second
	// maxConcurrentLoadPolls limits the concurrent reads of load reports.
	maxConcurrentLoadPolls = 64
	// queueCapacity is the capacity of each channel to the planning goroutine.
	queueCapacity = 256
)

// Options configure a Worker. Counter may be nil.
type Options struct {
	Store   Store
	Engines Engines
	// Term returns the lease term, which is the fencing token of orders, and whether this instance holds the lease.
	Term    func() (term int, held bool)
	Counter outcome.Counter
	Log     zerolog.Logger
}

// actionReport is the result of an action. isFenced tells that the engine refused the term as stale.
type actionReport struct {
	action   Action
	result   Result
	isFenced bool
}

// loadObservation is a load report with the time at which it was requested.
type loadObservation struct {
	id          string
	load        engine.Load
	requestedAt time.Time
}

// Worker executes the actions of a Planner while this instance holds the lease.
type Worker struct {
	options      Options
	reports      chan actionReport
	observations chan loadObservation
	releases     chan api.Release
	actions      conc.WaitGroup

	mu         sync.Mutex
	planner    *Planner
	targets    []target.Target
	fencedTerm int
}

// NewWorker returns a worker without targets.
func NewWorker(o Options) *Worker {
	return &Worker{
		options:      o,
		planner:      NewPlanner(),
		reports:      make(chan actionReport, queueCapacity),
		observations: make(chan loadObservation, queueCapacity),
		releases:     make(chan api.Release, queueCapacity),
	}
}

// SetTargets replaces the set of engines.
func (w *Worker) SetTargets(targets []target.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = targets
	w.planner.SetTargets(targets)
}

// Progress returns the progress of a service whose steps accept weights that are up to stalenessBound versions older
// than the latest.
func (w *Worker) Progress(service string, stalenessBound int) Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.planner.Progress(service, stalenessBound)
}

// Version returns the weight version that an engine uses, and false if it has not reported one yet.
func (w *Worker) Version(id string) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.planner.Version(id)
}

// Run polls releases and engines, and executes actions, until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	var pollers conc.WaitGroup
	pollers.Go(func() { w.pollReleases(ctx) })
	pollers.Go(func() { w.pollEngines(ctx) })
	w.planLoop(ctx)
	pollers.Wait()
	w.actions.Wait()
	return nil
}

// heldTerm returns the term of the lease and whether this instance may send orders under it. A term that an engine has
// refused as stale does not count as held.
func (w *Worker) heldTerm() (int, bool) {
	term, ok := w.options.Term()
	w.mu.Lock()
	defer w.mu.Unlock()
	return term, ok && term > w.fencedTerm
}

func (w *Worker) planLoop(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-w.reports:
			w.handleReport(r)
			w.handleQueuedReports()
		case o := <-w.observations:
			w.handleObservation(o)
			continue
		case r := <-w.releases:
			w.handleRelease(r)
		case <-tick.C:
		}
		w.startDueActions(ctx)
	}
}

// handleQueuedReports handles the reports that are already queued, so that one plan covers them all.
func (w *Worker) handleQueuedReports() {
	for {
		select {
		case r := <-w.reports:
			w.handleReport(r)
		default:
			return
		}
	}
}

func (w *Worker) startDueActions(ctx context.Context) {
	term, ok := w.heldTerm()
	if !ok {
		return
	}
	w.mu.Lock()
	actions := w.planner.Plan(time.Now(), term)
	w.mu.Unlock()
	for _, a := range actions {
		w.actions.Go(func() { w.execute(ctx, a) })
	}
}

func (w *Worker) handleReport(r actionReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	quarantined := w.planner.Report(r.action, r.result, time.Now())
	if r.isFenced {
		w.fencedTerm = max(w.fencedTerm, r.action.Order.Term)
	}
	if r.result == Succeeded {
		return
	}
	if w.options.Counter != nil {
		w.options.Counter.CountRetry(outcome.RetrySwapFailed)
	}
	if quarantined {
		w.options.Log.Warn().Str("target", r.action.Target.ID).Int("version", r.action.Order.Version).Msg("engine quarantined")
	}
}

func (w *Worker) handleObservation(o loadObservation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planner.Observe(o.id, o.load, o.requestedAt) {
		w.options.Log.Info().Str("target", o.id).Int("version", o.load.WeightVersion).Msg("engine restarted or reported older weights")
	}
}

func (w *Worker) handleRelease(r api.Release) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planner.SetRelease(r) {
		w.options.Log.Info().Str("service", r.Service).Int("version", r.Version).Msg("new weight version released")
	}
}

// execute sends an order and waits until the engine's load report confirms it.
func (w *Worker) execute(ctx context.Context, a Action) {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r := actionReport{action: a}
	err := w.options.Engines.Order(orderCtx, a.Target, a.Order)
	switch {
	case errors.Is(err, ErrRateLimited):
		r.result = RateLimited
	case errors.Is(err, api.ErrFenced):
		r.result = Failed
		r.isFenced = true
	case err != nil || !w.pollUntilConfirmed(orderCtx, a):
		r.result = Failed
	}
	select {
	case w.reports <- r:
	case <-ctx.Done():
	}
}

// pollUntilConfirmed reads the engine's load report until it shows that the order has taken effect. It returns false if
// ctx ends first.
func (w *Worker) pollUntilConfirmed(ctx context.Context, a Action) bool {
	interval := minConfirmInterval
	for {
		load := w.readLoad(ctx, a.Target)
		if load != nil && hasTakenEffect(*load, a.Order) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
		interval = min(2*interval, maxConfirmInterval)
	}
}

func hasTakenEffect(load engine.Load, o engine.WeightOrder) bool {
	if load.WeightVersion >= o.Version {
		return true
	}
	return o.Phase == engine.PhaseLoad && optional.Value(load.LoadedVersion) == o.Version
}

// readLoad returns the engine's load report, or nil if it cannot be read.
func (w *Worker) readLoad(ctx context.Context, t target.Target) *engine.Load {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	load, err := w.options.Engines.Load(readCtx, t)
	if err != nil {
		return nil
	}
	return &load
}

// pollReleases reads the latest release of every service periodically. While the weight store is unavailable, engines
// keep their versions.
func (w *Worker) pollReleases(ctx context.Context) {
	w.runWhileHeld(ctx, func() time.Duration { return releasePollInterval }, func() {
		for _, service := range w.serviceNames() {
			readCtx, cancel := context.WithTimeout(ctx, readTimeout)
			release, err := w.options.Store.Latest(readCtx, service)
			cancel()
			if err != nil {
				continue
			}
			select {
			case w.releases <- release:
			case <-ctx.Done():
			}
		}
	})
}

func (w *Worker) serviceNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	seen := map[string]bool{}
	for _, t := range w.targets {
		if !seen[t.Service] {
			seen[t.Service] = true
			names = append(names, t.Service)
		}
	}
	return names
}

func (w *Worker) pollEngines(ctx context.Context) {
	w.runWhileHeld(ctx, w.loadPollInterval, func() {
		w.mu.Lock()
		targets := w.targets
		w.mu.Unlock()
		polls := pool.New().WithMaxGoroutines(maxConcurrentLoadPolls)
		for _, t := range targets {
			polls.Go(func() { w.pollEngine(ctx, t) })
		}
		polls.Wait()
	})
}

func (w *Worker) pollEngine(ctx context.Context, t target.Target) {
	requested := time.Now()
	load := w.readLoad(ctx, t)
	if load == nil {
		return
	}
	select {
	case w.observations <- loadObservation{id: t.ID, load: *load, requestedAt: requested}:
	case <-ctx.Done():
	}
}

// loadPollInterval returns the time between two polls of all load reports.
func (w *Worker) loadPollInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(time.Duration(len(w.targets))*loadPollTimePerEngine, minLoadPollInterval), maxLoadPollInterval)
}

// runWhileHeld runs work as soon as this instance holds the lease, and then once per interval while it does.
func (w *Worker) runWhileHeld(ctx context.Context, interval func() time.Duration, work func()) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	var lastRun time.Time
	for {
		if _, ok := w.heldTerm(); !ok {
			lastRun = time.Time{}
		} else if time.Since(lastRun) >= interval() {
			lastRun = time.Now()
			work()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

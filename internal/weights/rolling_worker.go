package weights

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// rollingPlanInterval is the longest time between two plans of the lease holder.
	rollingPlanInterval = 100 * time.Millisecond
	// A load takes at least minLoadTime, so the first poll is minLoadTime after the engine accepted the order. Further
	// polls follow every rollingPollInterval.
	minLoadTime         = 950 * time.Millisecond
	rollingPollInterval = 150 * time.Millisecond
	// maxRollingPolls limits the polls for one load. The last one is at least 3.2 s after the order, which is later
	// than loadTimeout.
	maxRollingPolls = 16
)

// EngineStatus is what an engine reports about its orders and weight versions.
type EngineStatus struct {
	// AcceptedOrders is the number of orders that the engine has accepted since its start.
	AcceptedOrders int
	Busy           bool
	Versions       map[string]int
}

// RollingEngines reads the status of engines and sends orders to them. Switch is called while the lease is held and
// returns whether the engine accepted the order. The engine refuses the order unless it has accepted exactly
// acceptedOrders orders before, so an order that arrives after a later one has no effect.
type RollingEngines interface {
	Status(ctx context.Context, t live.Target) (EngineStatus, error)
	Switch(ctx context.Context, o RollingOrder, acceptedOrders int, term int64) (bool, error)
}

// Lease is the lease that an instance must hold to send orders. Its method Guard runs a function only while the lease
// is held; Held returns the term of the lease and whether it is held.
type Lease interface {
	Guard(ctx context.Context, act func(ctx context.Context, term int64) error) error
	Held(now time.Time) (int64, bool)
}

// RollingOptions configure a RollingWorker.
type RollingOptions struct {
	View    *live.View
	Engines RollingEngines
	Lease   Lease
	// Table keeps what a lease holder learns about the bandwidth for loads, for its successor.
	Table Table
	Log   zerolog.Logger
	// Now returns the time on the clock of the lease.
	Now func() time.Time
}

// RollingWorker updates engines to the newest weights while this instance holds the lease.
type RollingWorker struct {
	options RollingOptions

	mu       sync.Mutex
	planners map[string]*RollingPlanner
	// storedLimits is the content of the row of learned limits as last read or written.
	storedLimits map[string]LoadLimit
	// holdsLease is set while the planners belong to the current tenure of this instance.
	holdsLease bool
	sends      conc.WaitGroup
}

// NewRollingWorker returns a worker that has sent no order.
func NewRollingWorker(options RollingOptions) *RollingWorker {
	return &RollingWorker{options: options, planners: map[string]*RollingPlanner{}}
}

// Run sends orders until ctx ends.
func (w *RollingWorker) Run(ctx context.Context) error {
	defer w.sends.Wait()
	w.sends.Go(func() { w.saveLimits(ctx) })
	for {
		changed := w.options.View.Changed()
		held := w.sendDueOrders(ctx)
		pause := time.Second
		if held {
			pause = rollingPlanInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-changed:
			timer.Stop()
			// Changes arrive in bursts: a short pause lets one plan cover a whole burst.
			wait.Sleep(ctx, 5*time.Millisecond)
		case <-timer.C:
		}
	}
}

// sendDueOrders starts sending the orders that are due now, and returns whether this instance holds the lease. Without
// the lease it discards the planners.
func (w *RollingWorker) sendDueOrders(ctx context.Context) bool {
	config := w.options.View.Config()
	if _, held := w.options.Lease.Held(w.options.Now()); !held || config == nil {
		w.mu.Lock()
		clear(w.planners)
		w.holdsLease = false
		w.mu.Unlock()
		return false
	}
	releases := w.options.View.Releases()
	byService := map[string][]live.Target{}
	for _, t := range w.options.View.Targets() {
		if !t.Draining {
			byService[t.Service] = append(byService[t.Service], t)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.holdsLease {
		w.holdsLease = true
		w.sends.Go(func() { w.restoreLimits(ctx) })
	}
	for name, service := range config.Services {
		if len(service.Models) == 0 {
			continue
		}
		p := w.planners[name]
		if p == nil {
			p = NewRollingPlanner()
			p.Restore(w.storedLimits[name])
			w.planners[name] = p
		}
		for _, o := range p.Plan(time.Now(), byService[name], service.Models, releases) {
			w.sends.Go(func() { w.sendOrder(ctx, name, o) })
		}
	}
	return true
}

// sendOrder sends an order to an engine and waits until the engine has loaded the version. It sends nothing to an
// engine that is busy or already has the version.
func (w *RollingWorker) sendOrder(ctx context.Context, service string, o RollingOrder) {
	accepted := false
	var sentTerm int64
	began := time.Now()
	status, err := w.status(ctx, o.Target)
	if err == nil && !status.Busy && status.Versions[o.Model] < o.Version {
		err = w.options.Lease.Guard(ctx, func(ctx context.Context, term int64) error {
			if w.isEvacuated(o.Target) {
				return errEvacuated
			}
			sentTerm = term
			var err error
			accepted, err = w.options.Engines.Switch(ctx, o, status.AcceptedOrders, term)
			return err
		})
	}
	w.options.Log.Info().Str("target", o.Target.ID).Str("model", o.Model).Int("version", o.Version).Int("orders", status.AcceptedOrders).
		Int("has", status.Versions[o.Model]).Int64("term", sentTerm).Bool("accepted", accepted).AnErr("error", err).Dur("elapsed", time.Since(began)).Msg(event.WeightsOrdered)
	// The engine may have accepted an order whose response was lost.
	w.updatePlanner(service, func(p *RollingPlanner) { p.RecordSent(o, accepted || err != nil && sentTerm > 0, time.Now()) })
	w.recordIfLoaded(service, o, status)
	if accepted {
		w.pollUntilLoaded(ctx, service, o)
	}
}

// pollUntilLoaded polls the engine until it has loaded the version, because the engine's entry in the list of engines
// may show it only seconds later.
func (w *RollingWorker) pollUntilLoaded(ctx context.Context, service string, o RollingOrder) {
	began := time.Now()
	pause := minLoadTime
	for range maxRollingPolls {
		if !wait.Sleep(ctx, pause) {
			return
		}
		pause = rollingPollInterval
		status, err := w.status(ctx, o.Target)
		if errors.Is(err, errEvacuated) {
			return
		}
		if err != nil || status.Versions[o.Model] < o.Version {
			continue
		}
		w.updatePlanner(service, func(p *RollingPlanner) { p.RecordLoadTime(time.Since(began), time.Now()) })
		if w.recordIfLoaded(service, o, status) {
			w.options.Log.Info().Str("target", o.Target.ID).Str("model", o.Model).Int("version", o.Version).Dur("elapsed", time.Since(began)).
				Msg(event.WeightsLoaded)
			return
		}
	}
}

// errEvacuated reports that nothing was sent to an engine because its zone is evacuated.
var errEvacuated = errors.New("zone of the engine is evacuated")

// status returns what an engine reports, or errEvacuated.
func (w *RollingWorker) status(ctx context.Context, t live.Target) (EngineStatus, error) {
	if w.isEvacuated(t) {
		return EngineStatus{}, errEvacuated
	}
	return w.options.Engines.Status(ctx, t)
}

// isEvacuated reports whether an engine's zone has come to be evacuated since its order was planned.
func (w *RollingWorker) isEvacuated(t live.Target) bool {
	current, ok := w.options.View.Target(t.ID)
	return ok && current.Evacuated
}

// recordIfLoaded records the version that the engine reports and returns true if the order's version or a newer one is
// loaded.
func (w *RollingWorker) recordIfLoaded(service string, o RollingOrder, status EngineStatus) bool {
	version := status.Versions[o.Model]
	if version < o.Version {
		return false
	}
	w.updatePlanner(service, func(p *RollingPlanner) { p.RecordLoadedVersion(o.Target.ID, version) })
	w.options.View.ObserveVersion(o.Target.ID, o.Target.StartNumber, o.Model, version)
	return true
}

func (w *RollingWorker) updatePlanner(service string, change func(*RollingPlanner)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.planners[service]; p != nil {
		change(p)
	}
}

// SustainableEngines returns the number of engines of a service whose weights can be kept up to date, or 0 while it is
// unknown.
func (w *RollingWorker) SustainableEngines(service string) int {
	sustainable := 0
	w.updatePlanner(service, func(p *RollingPlanner) { sustainable = p.SustainableEngines() })
	return sustainable
}

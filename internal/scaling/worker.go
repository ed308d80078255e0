package scaling

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/wait"
)

// planInterval is the time between two plans of the instance that holds the lease.
const planInterval = 500 * time.Millisecond

// ErrNoCapacity is returned by Orders.Scale if the zone has no engine of the ordered kind at the moment.
var ErrNoCapacity = errors.New("no engine available in the zone")

// Orders sends orders to the platform.
type Orders interface {
	Scale(ctx context.Context, service string, o Order) error
}

// Lease is the lease that an instance must hold to send orders. Its method Guard runs a function only while the lease
// is held; Held returns the term of the lease and whether it is held.
type Lease interface {
	Guard(ctx context.Context, act func(ctx context.Context, term int64) error) error
	Held(now time.Time) (int64, bool)
}

// Options configure a Worker.
type Options struct {
	View   *live.View
	Orders Orders
	Lease  Lease
	// Load returns the number of items of open jobs by service.
	Load func() map[string]int
	// MaxUpToDate returns the number of engines of a service that can be kept at new weights; 0 means unknown.
	MaxUpToDate func(service string) int
	Log         zerolog.Logger
	// Now is the clock of the lease.
	Now func() time.Time
}

// Worker scales the services that have scaling bounds to their load.
type Worker struct {
	options  Options
	planners map[string]*Planner
}

// NewWorker returns a worker that has sent no order.
func NewWorker(options Options) *Worker {
	return &Worker{options: options, planners: map[string]*Planner{}}
}

// Run plans and sends orders until ctx ends.
func (w *Worker) Run(ctx context.Context) error { return wait.Every(ctx, planInterval, w.planServices) }

func (w *Worker) planServices(ctx context.Context) {
	config := w.options.View.Config()
	if _, held := w.options.Lease.Held(w.options.Now()); !held || config == nil {
		clear(w.planners)
		return
	}
	load := w.options.Load()
	for name, service := range config.Services {
		if service.Scaling == nil {
			continue
		}
		p := w.planners[name]
		if p == nil {
			p = NewPlanner()
			w.planners[name] = p
		}
		bounds := Bounds{Min: service.Scaling.Min, Max: service.Scaling.Max, Slots: service.Slots, MaxUpToDate: w.options.MaxUpToDate(name)}
		for _, o := range p.Plan(w.options.Now(), w.zoneCounts(name, service.Scaling), bounds, load[name]) {
			// The zone may have come to be evacuated while an earlier order was sent.
			if !slices.Contains(w.options.View.EvacuatedZones(), o.Zone) {
				w.sendOrder(ctx, name, p, o, load[name])
			}
		}
	}
}

// zoneCounts counts the engines of a service that are not draining, by zone. Zones without such an engine are left out,
// so engines are ordered only in zones where the service runs. Evacuated zones are listed without engines.
func (w *Worker) zoneCounts(service string, scaling *live.Scaling) []Zone {
	counts := map[string]*Zone{}
	for _, t := range w.options.View.Targets() {
		if t.Service != service || t.Draining {
			continue
		}
		z := counts[t.Zone]
		if z == nil {
			z = &Zone{Name: t.Zone, Price: scaling.ZonePrices[t.Zone]}
			counts[t.Zone] = z
		}
		if t.Reclaimable {
			z.Reclaimable++
		} else {
			z.OnDemand++
		}
	}
	for _, zone := range w.options.View.EvacuatedZones() {
		counts[zone] = &Zone{Name: zone, Evacuated: true}
	}
	zones := make([]Zone, 0, len(counts))
	for _, z := range counts {
		zones = append(zones, *z)
	}
	return zones
}

func (w *Worker) sendOrder(ctx context.Context, service string, p *Planner, o Order, load int) {
	var sentTerm int64
	err := w.options.Lease.Guard(ctx, func(ctx context.Context, term int64) error {
		sentTerm = term
		return w.options.Orders.Scale(ctx, service, o)
	})
	w.options.Log.Info().Str("service", service).Str("zone", o.Zone).Bool("reclaimable", o.Reclaimable).Int("count", o.Count).
		Int("load", load).Int64("term", sentTerm).AnErr("error", err).Msg(event.TargetsOrdered)
	switch {
	case err == nil:
		p.RecordAccepted(o)
	case errors.Is(err, ErrNoCapacity):
		p.RecordNoCapacity(o, w.options.Now())
	}
}

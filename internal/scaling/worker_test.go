package scaling

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/live"
)

// heldLease is always held.
type heldLease struct{}

func (heldLease) Held(time.Time) (int64, bool) { return 1, true }

func (heldLease) Guard(ctx context.Context, act func(context.Context, int64) error) error {
	return act(ctx, 1)
}

// orderLog records orders, starts the ordered engines and calls onOrder after each order.
type orderLog struct {
	view    *live.View
	orders  []Order
	onOrder func()
}

func (l *orderLog) Scale(_ context.Context, service string, o Order) error {
	l.orders = append(l.orders, o)
	for n := range o.Count {
		id := fmt.Sprint("new-", o.Zone, o.Reclaimable, n)
		l.view.SetTarget(live.Target{ID: id, Service: service, Zone: o.Zone, Slots: 12, Reclaimable: o.Reclaimable})
	}
	if l.onOrder != nil {
		l.onOrder()
	}
	return nil
}

// fourEach returns a view of a service that has four engines in each of the zones a, b and c, and needs all of them for 100 items.
func fourEach() *live.View {
	view := live.NewView()
	config := live.NewConfig(1, live.Limits{})
	config.Services["s"] = live.Service{Name: "s", Slots: 12, Scaling: &live.Scaling{Min: 1, Max: 8}}
	view.SetConfig(config)
	for n := range 12 {
		view.SetTarget(live.Target{ID: fmt.Sprint("e", n), Service: "s", Zone: string(rune('a' + n%3)), Slots: 12})
	}
	return view
}

// Guards against engines in an evacuated zone that count as running, are ordered or removed, now or once the evacuation ends; at
// a lease holder that planned before the evacuation and at one that began to plan during it.
func TestEvacuatedZone(t *testing.T) {
	for _, tc := range []struct {
		name string
		// planned is whether the lease holder planned before the evacuation.
		planned bool
		zones   []string
		want    int
	}{
		{"one zone", true, []string{"a"}, 4},
		{"one zone, new lease holder", false, []string{"a"}, 4},
		{"two zones", true, []string{"a", "b"}, 4},
		{"all zones", true, []string{"a", "b", "c"}, 0},
		{"all zones, new lease holder", false, []string{"a", "b", "c"}, 0},
		{"a zone that does not exist", true, []string{"nowhere"}, 0},
	} {
		view, now := fourEach(), begin
		log := &orderLog{view: view}
		w := NewWorker(Options{
			View: view, Orders: log, Lease: heldLease{}, Load: func() map[string]int { return map[string]int{"s": 100} },
			MaxUpToDate: func(string) int { return 0 }, Log: zerolog.Nop(), Now: func() time.Time { return now },
		})
		if tc.planned {
			w.planServices(t.Context())
		}
		set := func(evacuated bool) {
			for _, zone := range tc.zones {
				view.SetEvacuated(zone, evacuated)
			}
		}
		set(true)
		w.planServices(t.Context())
		for range 60 {
			now = now.Add(time.Second)
			w.planServices(t.Context())
		}
		set(false)
		w.planServices(t.Context())
		for _, zone := range tc.zones {
			if slices.ContainsFunc(log.orders, func(o Order) bool { return o.Zone == zone }) {
				t.Errorf("%s: orders for zone %s: %+v", tc.name, zone, log.orders)
			}
		}
		if started := len(view.Targets()) - 12; started != tc.want {
			t.Errorf("%s: %d engines started, want %d: %+v", tc.name, started, tc.want, log.orders)
		}
	}
}

// Guards against an order for a zone whose evacuation begins between the plan and its orders.
func TestEvacuationBetweenOrders(t *testing.T) {
	view := fourEach()
	log := &orderLog{view: view}
	log.onOrder = func() {
		for _, zone := range []string{"a", "b", "c"} {
			view.SetEvacuated(zone, true)
		}
	}
	w := NewWorker(Options{
		View: view, Orders: log, Lease: heldLease{}, Load: func() map[string]int { return map[string]int{"s": 200} },
		MaxUpToDate: func(string) int { return 0 }, Log: zerolog.Nop(), Now: func() time.Time { return begin },
	})
	w.planServices(t.Context())
	if len(log.orders) != 1 {
		t.Errorf("orders %+v, want one", log.orders)
	}
}

package order

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// roundInterval is the time between two plans.
	roundInterval = 5 * time.Second
	// longestSend bounds the time from an intent to the last byte of its order. The lease stops its
	// holder this long before its expiry.
	longestSend = time.Second
	// settleTime is the wait after taking over before the first send: a former holder's longest send
	// and its clock drift. It is counted from the commit after which no former intent can be written.
	settleTime = longestSend + 200*time.Millisecond
)

// Table is the transactional table.
type Table interface {
	List(ctx context.Context, prefix string) ([]api.Row, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// Orders is the platform's interface for target orders.
type Orders interface {
	Put(ctx context.Context, order api.Order) error
	List(ctx context.Context) ([]api.Order, error)
}

// Instances is the platform's list of instances.
type Instances interface {
	List(ctx context.Context) ([]api.Instance, error)
}

// Holder runs a function while this process holds the order lease, and fails otherwise. The context of
// the function ends before the lease does.
type Holder interface {
	Guard(ctx context.Context, act func(ctx context.Context, term int64) error) error
}

// DemandSource returns the demand of the region.
type DemandSource func() []Demand

// Options configure a Worker.
type Options struct {
	Instance  string
	Table     Table
	Orders    Orders
	Instances Instances
	Holder    Holder
	Demand    DemandSource
	Log       zerolog.Logger
}

// Worker plans and sends orders while it holds the lease.
type Worker struct {
	options Options

	mu       sync.Mutex
	document *config.Document

	// The fields below belong to the goroutine of Run.
	planner *Planner
	// term is the term for which ledger was read; 0 means none.
	term    int64
	ledger  ledger
	settled time.Time

	sent, resolved, failed atomic.Int64
}

// Stats counts what a worker did: orders that the platform accepted, intents of a former holder or round
// that were sent again, and rounds that did not end.
type Stats struct {
	Sent, Resolved, Failed int64
}

// NewWorker returns a worker that orders nothing before ApplyConfig.
func NewWorker(o Options) *Worker { return &Worker{options: o, planner: NewPlanner()} }

// ApplyConfig sets services, pools and budget from the next round on.
func (w *Worker) ApplyConfig(document *config.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.document = document
}

// Stats returns what the worker did so far.
func (w *Worker) Stats() Stats {
	return Stats{Sent: w.sent.Load(), Resolved: w.resolved.Load(), Failed: w.failed.Load()}
}

// Run plans every 5 s until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	return wait.Every(ctx, roundInterval, func(ctx context.Context) {
		if err := w.round(ctx); err != nil && ctx.Err() == nil {
			w.failed.Add(1)
			w.options.Log.Warn().Err(err).Msg("orders not up to date")
		}
	})
}

// round plans and sends once. After an error the next round begins with reading the table again.
func (w *Worker) round(ctx context.Context) error {
	// Demand is noted without the lease too, so that a new holder knows the last minutes.
	demands := w.options.Demand()
	w.planner.Observe(time.Now(), demands)
	held, err := w.begin(ctx)
	if err == nil && held {
		err = w.act(ctx, demands)
	}
	if err != nil || !held {
		w.term = 0
	}
	return err
}

// begin reports whether this process holds the lease, and prepares a new term.
func (w *Worker) begin(ctx context.Context) (held bool, err error) {
	current := int64(0)
	if err := w.options.Holder.Guard(ctx, func(_ context.Context, term int64) error {
		current = term
		return nil
	}); err != nil {
		return false, nil //nolint:nilerr // Not holding the lease is the normal state of most instances.
	}
	if current == w.term {
		return true, nil
	}
	if err := w.claimTerm(ctx, current); err != nil {
		return false, err
	}
	w.term = current
	w.settled = time.Now().Add(settleTime)
	return true, nil
}

// claimTerm writes the term row, so that no former holder can commit an intent any more, and only then
// reads the intents.
func (w *Worker) claimTerm(ctx context.Context, current int64) error {
	if err := w.read(ctx); err != nil {
		return err
	}
	if w.ledger.term.Term > current {
		return errors.Errorf("term %d is older than term %d in the table", current, w.ledger.term.Term)
	}
	next := term{Term: current, Holder: w.options.Instance}
	if w.ledger.term == next {
		return nil
	}
	w.planner.Takeover()
	_, err := w.commit(ctx, []api.Write{{Key: termKey, Expected: w.ledger.termRevision, Value: api.EncodeValue(next)}})
	if err != nil {
		return errors.WithMessage(err, "claim order term")
	}
	if err := w.read(ctx); err != nil {
		return err
	}
	if w.ledger.term != next {
		return errors.New("another process claimed a newer term")
	}
	return nil
}

func (w *Worker) read(ctx context.Context) error {
	rows, err := w.options.Table.List(ctx, rowPrefix)
	if err != nil {
		return errors.WithMessage(err, "read order rows")
	}
	w.ledger, err = readLedger(rows)
	return err
}

// act resolves open intents and then sends what the plan changes.
func (w *Worker) act(ctx context.Context, demands []Demand) error {
	if err := w.settle(ctx); err != nil {
		return err
	}
	orders, err := w.options.Orders.List(ctx)
	if err != nil {
		return errors.WithMessage(err, "list orders")
	}
	ordered, ids := accepted(orders)
	if err := w.resolve(ctx, ordered, ids); err != nil {
		return err
	}
	instances, err := w.options.Instances.List(ctx)
	if err != nil {
		return errors.WithMessage(err, "list instances")
	}
	if len(demands) == 0 {
		return errors.New("demand is not known yet")
	}
	return w.place(ctx, ordered, w.plan(Observation{Live: live(instances), Ordered: ordered}))
}

func (w *Worker) settle(ctx context.Context) error {
	timer := time.NewTimer(time.Until(w.settled))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (w *Worker) plan(seen Observation) Counts {
	w.mu.Lock()
	document := w.document
	w.mu.Unlock()
	if document == nil {
		return Counts{}
	}
	w.planner.ApplyConfig(document)
	return w.planner.Plan(time.Now(), seen)
}

// resolve sends open intents again under their old ids unless the platform lists them. Only then is a
// later order of the same pool certain to arrive last.
func (w *Worker) resolve(ctx context.Context, ordered Counts, ids map[string]bool) error {
	for _, pool := range sortedPools(w.ledger.intents) {
		open := w.ledger.intents[pool]
		if open.Resolved {
			continue
		}
		if !ids[open.Order.ID] {
			if err := w.write(ctx, pool, open.Order); err != nil {
				return err
			}
			if err := w.send(ctx, pool); err != nil {
				return err
			}
			ordered[pool] = open.Order.Count
			w.resolved.Add(1)
		}
		w.ledger.intents[pool].Resolved = true
	}
	return nil
}

// place sends an order for each pool whose count changes, largest first, so that replacements start
// before other targets are given up.
func (w *Worker) place(ctx context.Context, ordered, planned Counts) error {
	changed := sortedPools(planned)
	changed = slices.DeleteFunc(changed, func(p Pool) bool { return planned[p] == ordered[p] })
	slices.SortStableFunc(changed, func(a, b Pool) int {
		return cmp.Compare(planned[b]-ordered[b], planned[a]-ordered[a])
	})
	for _, pool := range changed {
		order := api.Order{
			ID: uuid.NewString(), Service: pool.Service, Zone: pool.Zone, Class: api.OrderClass(pool.Class), Count: planned[pool],
		}
		if err := w.write(ctx, pool, order); err != nil {
			return err
		}
		if err := w.send(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

// write commits the intent of an order, conditional on the term row.
func (w *Worker) write(ctx context.Context, pool Pool, order api.Order) error {
	latest := int(time.Now().Add(longestSend).UnixMilli())
	order.Term, order.Holder, order.SendBeforeUnixMs = int(w.term), &w.options.Instance, &latest
	next := &intent{Order: order}
	expected := api.NoRevision
	if known := w.ledger.intents[pool]; known != nil {
		expected = known.revision
	}
	yes := true
	revision, err := w.commit(ctx, []api.Write{
		{Key: termKey, Expected: w.ledger.termRevision, CheckOnly: &yes},
		{Key: intentKey(pool), Expected: expected, Value: api.EncodeValue(next)},
	})
	if err != nil {
		return errors.WithMessage(err, "write order intent")
	}
	next.revision = revision
	w.ledger.intents[pool] = next
	return nil
}

// send sends the pool's intent if the lease still has the same term. The adapter refuses a send after
// the latest send time and ends the connection then.
func (w *Worker) send(ctx context.Context, pool Pool) error {
	next := w.ledger.intents[pool]
	err := w.options.Holder.Guard(ctx, func(ctx context.Context, term int64) error {
		if term != w.term {
			return errors.Errorf("term changed from %d to %d", w.term, term)
		}
		return w.options.Orders.Put(ctx, next.Order)
	})
	if err != nil {
		return errors.WithMessage(err, "send order")
	}
	// A successor sees the order in the platform's list, so the row is not written again.
	next.Resolved = true
	w.sent.Add(1)
	return nil
}

func (w *Worker) commit(ctx context.Context, writes []api.Write) (int, error) {
	return w.options.Table.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
}

func sortedPools[T any](m map[Pool]T) []Pool {
	pools := make([]Pool, 0, len(m))
	for p := range m {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class))
	})
	return pools
}

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
	planInterval = 5 * time.Second
	// maxSendTime limits the time from writing an intent to sending the last byte of its order. The lease stops its
	// holder this long before the lease expires.
	maxSendTime = time.Second
	// takeoverDelay is the time that a new lease holder waits before its first send, so that no send of the former
	// holder is still in progress: maxSendTime plus 200 ms for clocks that run at different rates. It starts at the
	// commit of the term row, after which the former holder cannot write an intent.
	takeoverDelay = maxSendTime + 200*time.Millisecond
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

// Instances is the platform's list of entry instances and targets.
type Instances interface {
	List(ctx context.Context) ([]api.Instance, error)
}

// Lease runs a function while this process holds the order lease, and fails otherwise. The function's context ends
// before the lease expires.
type Lease interface {
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
	Lease     Lease
	Demand    DemandSource
	Log       zerolog.Logger
}

// Worker plans and sends orders while it holds the lease.
type Worker struct {
	options Options

	mu       sync.Mutex
	document *config.Document

	// Only the goroutine of Run uses the following fields.

	planner *Planner
	// term is the lease term for which state was read; 0 means that state has to be read again.
	term  int64
	state tableState
	// sendAllowedAt is the end of takeoverDelay.
	sendAllowedAt time.Time

	sentOrders, resentIntents, failedRounds atomic.Int64
}

// Stats counts the orders that the platform accepted (SentOrders), those of them that sent the intent of a former lease
// holder or a failed round again (ResentIntents), and the rounds that ended with an error, except because Run's context
// ended (FailedRounds).
type Stats struct {
	SentOrders, ResentIntents, FailedRounds int64
}

// NewWorker returns a worker that sends no new orders before ApplyConfig is called.
func NewWorker(o Options) *Worker { return &Worker{options: o, planner: NewPlanner()} }

// ApplyConfig sets the services, pools and budget that the next round uses.
func (w *Worker) ApplyConfig(document *config.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.document = document
}

// Stats returns the worker's counters.
func (w *Worker) Stats() Stats {
	return Stats{SentOrders: w.sentOrders.Load(), ResentIntents: w.resentIntents.Load(), FailedRounds: w.failedRounds.Load()}
}

// Run plans and sends orders every 5 s until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	return wait.Every(ctx, planInterval, func(ctx context.Context) {
		if err := w.runRound(ctx); err != nil && ctx.Err() == nil {
			w.failedRounds.Add(1)
			w.options.Log.Warn().Err(err).Msg("planning or sending orders failed, next round retries")
		}
	})
}

// runRound plans and sends orders once. After an error, the next round reads the table again.
func (w *Worker) runRound(ctx context.Context) error {
	// Every instance records demand, not only the lease holder, so that a new holder knows the recent demand.
	demands := w.options.Demand()
	w.planner.RecordDemand(time.Now(), demands)
	isHolder, err := w.ensureTerm(ctx)
	if err == nil && isHolder {
		err = w.reconcile(ctx, demands)
	}
	if err != nil || !isHolder {
		w.term = 0
	}
	return err
}

// ensureTerm reports whether this process holds the lease. If the lease has a new term, it first claims that term and
// starts the takeover delay.
func (w *Worker) ensureTerm(ctx context.Context) (isHolder bool, err error) {
	heldTerm := int64(0)
	if err := w.options.Lease.Guard(ctx, func(_ context.Context, term int64) error {
		heldTerm = term
		return nil
	}); err != nil {
		return false, nil //nolint:nilerr // Not holding the lease is the normal state of most instances.
	}
	if heldTerm == w.term {
		return true, nil
	}
	if err := w.claimTerm(ctx, heldTerm); err != nil {
		return false, err
	}
	w.term = heldTerm
	w.sendAllowedAt = time.Now().Add(takeoverDelay)
	return true, nil
}

// claimTerm writes the term row, so that a former lease holder cannot commit an intent any more, and then reads the
// intents again. It writes nothing if the row already names this term and this instance.
func (w *Worker) claimTerm(ctx context.Context, heldTerm int64) error {
	if err := w.refreshState(ctx); err != nil {
		return err
	}
	if w.state.term.Term > heldTerm {
		return errors.Errorf("term %d is older than term %d in the table", heldTerm, w.state.term.Term)
	}
	claimed := termRow{Term: heldTerm, Holder: w.options.Instance}
	if w.state.term == claimed {
		return nil
	}
	w.planner.ResetDeliveryHistory()
	_, err := w.commit(ctx, []api.Write{{Key: termKey, Expected: w.state.termRevision, Value: api.EncodeValue(claimed)}})
	if err != nil {
		return errors.WithMessage(err, "claim order term")
	}
	if err := w.refreshState(ctx); err != nil {
		return err
	}
	if w.state.term != claimed {
		return errors.New("another process claimed a newer term")
	}
	return nil
}

func (w *Worker) refreshState(ctx context.Context) error {
	rows, err := w.options.Table.List(ctx, rowPrefix)
	if err != nil {
		return errors.WithMessage(err, "read order rows")
	}
	w.state, err = decodeTableState(rows)
	return err
}

// reconcile resolves unresolved intents, computes a plan and sends the orders that differ from the accepted ones.
func (w *Worker) reconcile(ctx context.Context, demands []Demand) error {
	if err := w.waitForFormerHolder(ctx); err != nil {
		return err
	}
	orders, err := w.options.Orders.List(ctx)
	if err != nil {
		return errors.WithMessage(err, "list orders")
	}
	ordered, ids := acceptedOrders(orders)
	if err := w.resolveIntents(ctx, ordered, ids); err != nil {
		return err
	}
	instances, err := w.options.Instances.List(ctx)
	if err != nil {
		return errors.WithMessage(err, "list instances")
	}
	if len(demands) == 0 {
		return errors.New("no demand has been recorded for any service yet")
	}
	return w.sendChanges(ctx, ordered, w.plan(Observation{Live: liveTargets(instances), Ordered: ordered}))
}

// waitForFormerHolder waits until no send of the former lease holder can be in progress.
func (w *Worker) waitForFormerHolder(ctx context.Context) error {
	timer := time.NewTimer(time.Until(w.sendAllowedAt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (w *Worker) plan(seen Observation) TargetCounts {
	w.mu.Lock()
	document := w.document
	w.mu.Unlock()
	if document == nil {
		return TargetCounts{}
	}
	w.planner.ApplyConfig(document)
	return w.planner.Plan(time.Now(), seen)
}

// resolveIntents sends every unresolved intent again under its original order id, unless the platform lists that id.
// While an intent is unresolved, its order could still arrive after a newer one for the same pool.
func (w *Worker) resolveIntents(ctx context.Context, ordered TargetCounts, ids map[string]bool) error {
	for _, pool := range sortedPools(w.state.intents) {
		existing := w.state.intents[pool]
		if existing.Resolved {
			continue
		}
		if !ids[existing.Order.ID] {
			if err := w.writeIntent(ctx, pool, existing.Order); err != nil {
				return err
			}
			if err := w.sendOrder(ctx, pool); err != nil {
				return err
			}
			ordered[pool] = existing.Order.Count
			w.resentIntents.Add(1)
		}
		w.state.intents[pool].Resolved = true
	}
	return nil
}

// sendChanges sends an order for each pool whose count changes. The largest increases come first, so that replacements
// start before other targets are removed.
func (w *Worker) sendChanges(ctx context.Context, ordered, planned TargetCounts) error {
	changed := sortedPools(planned)
	changed = slices.DeleteFunc(changed, func(p Pool) bool { return planned[p] == ordered[p] })
	slices.SortStableFunc(changed, func(a, b Pool) int {
		return cmp.Compare(planned[b]-ordered[b], planned[a]-ordered[a])
	})
	for _, pool := range changed {
		order := api.Order{
			ID: uuid.NewString(), Service: pool.Service, Zone: pool.Zone, Class: api.OrderClass(pool.Class), Count: planned[pool],
		}
		if err := w.writeIntent(ctx, pool, order); err != nil {
			return err
		}
		if err := w.sendOrder(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

// writeIntent commits the intent of an order on condition that the term row is unchanged.
func (w *Worker) writeIntent(ctx context.Context, pool Pool, order api.Order) error {
	sendBefore := int(time.Now().Add(maxSendTime).UnixMilli())
	order.Term, order.Holder, order.SendBeforeUnixMs = int(w.term), &w.options.Instance, &sendBefore
	next := &intent{Order: order}
	expected := api.NoRevision
	if previous := w.state.intents[pool]; previous != nil {
		expected = previous.revision
	}
	checkOnly := true
	revision, err := w.commit(ctx, []api.Write{
		{Key: termKey, Expected: w.state.termRevision, CheckOnly: &checkOnly},
		{Key: intentKey(pool), Expected: expected, Value: api.EncodeValue(next)},
	})
	if err != nil {
		return errors.WithMessage(err, "write order intent")
	}
	next.revision = revision
	w.state.intents[pool] = next
	return nil
}

// sendOrder sends the order of the pool's intent if the lease still has the same term. The platform adapter refuses to
// send after the order's SendBeforeUnixMs and closes a connection that is still open at that time.
func (w *Worker) sendOrder(ctx context.Context, pool Pool) error {
	pending := w.state.intents[pool]
	err := w.options.Lease.Guard(ctx, func(ctx context.Context, term int64) error {
		if term != w.term {
			return errors.Errorf("term changed from %d to %d", w.term, term)
		}
		return w.options.Orders.Put(ctx, pending.Order)
	})
	if err != nil {
		return errors.WithMessage(err, "send order")
	}
	// A new lease holder sees the order in the platform's list, so the row is not written again.
	pending.Resolved = true
	w.sentOrders.Add(1)
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

package weights

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// limitRowKey is the key of the row that holds the learned load limits by service.
	limitRowKey = "weights/limits"
	// limitWriteInterval is the time between two checks whether the row needs to be written.
	limitWriteInterval = 2 * time.Second
	// limitTolerance is the relative change of a limit that is not worth a write.
	limitTolerance = 0.15
)

// Table is the part of the table service that keeps the learned load limits.
type Table interface {
	Get(ctx context.Context, key string) (api.Row, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// restoreLimits reads the limits that earlier lease holders learned and passes them to the planners. It retries until
// it has read the row, this instance no longer holds the lease, or ctx ends.
func (w *RollingWorker) restoreLimits(ctx context.Context) {
	for {
		row, err := w.options.Table.Get(ctx, limitRowKey)
		if errors.Is(err, api.ErrNotFound) {
			return
		}
		limits := map[string]LoadLimit{}
		if err == nil {
			if err := json.Unmarshal([]byte(row.Value), &limits); err != nil {
				w.options.Log.Warn().Err(err).Msg(event.LoadLimitsReadFailed)
				return
			}
			w.applyLimits(limits)
			return
		}
		w.options.Log.Warn().Err(err).Msg(event.LoadLimitsReadFailed)
		if _, held := w.options.Lease.Held(w.options.Now()); !held || !wait.Sleep(ctx, limitWriteInterval) {
			return
		}
	}
}

func (w *RollingWorker) applyLimits(limits map[string]LoadLimit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storedLimits = limits
	for service, p := range w.planners {
		p.Restore(limits[service])
	}
}

// saveLimits writes the limits that this lease holder has learned, if they changed, until ctx ends.
func (w *RollingWorker) saveLimits(ctx context.Context) {
	for wait.Sleep(ctx, limitWriteInterval) {
		limits, changed := w.changedLimits()
		if !changed {
			continue
		}
		err := w.options.Lease.Guard(ctx, func(ctx context.Context, _ int64) error {
			_, err := w.options.Table.Commit(ctx, api.Txn{
				Token: uuid.NewString(), Writes: []api.Write{{Key: limitRowKey, Expected: api.AnyRevision, Value: api.EncodeValue(limits)}},
			})
			return err
		})
		if err != nil {
			w.options.Log.Debug().Err(err).Msg(event.LoadLimitsWriteFailed)
			continue
		}
		w.mu.Lock()
		w.storedLimits = limits
		w.mu.Unlock()
	}
}

// changedLimits returns the current limits of all services, and whether they differ from the stored ones by more than
// limitTolerance.
func (w *RollingWorker) changedLimits() (map[string]LoadLimit, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limits := maps.Clone(w.storedLimits)
	if limits == nil {
		limits = map[string]LoadLimit{}
	}
	changed := false
	for service, p := range w.planners {
		learned := p.Limit()
		if learned.ShortestLoadMs == 0 {
			continue
		}
		stored, ok := w.storedLimits[service]
		changed = changed || !ok || learned.Limit > stored.Limit*(1+limitTolerance) || learned.Limit < stored.Limit*(1-limitTolerance)
		limits[service] = learned
	}
	return limits, changed
}

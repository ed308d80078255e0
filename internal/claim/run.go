package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// recordInterval is the pause between attempts to write pending records. Other polls of the store use
	// the same interval.
	recordInterval = 500 * time.Millisecond
	// maxRecordWorkers limits the concurrent calls to the table while a backlog is written.
	maxRecordWorkers = 16
	// maxRemovals limits the rows removed in one round.
	maxRemovals = 512
)

// Run writes pending records and removes expired rows until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.writePending(ctx, now)
			c.removeExpired(now)
		}
	}
}

// Flush writes pending records once and returns how many are still pending. An instance calls it before it
// exits.
func (c *Claims) Flush(ctx context.Context, now time.Time) int {
	c.writePending(ctx, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

func (c *Claims) writePending(ctx context.Context, now time.Time) {
	c.mu.Lock()
	pending := make([]*Claim, 0, len(c.pending))
	for _, claim := range c.pending {
		pending = append(pending, claim)
	}
	c.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	// Write one record first to check whether the table is available, so that an outage costs one call per
	// round.
	if !c.writeOnePending(ctx, pending[0], now) {
		return
	}
	workers := pool.New().WithMaxGoroutines(maxRecordWorkers)
	for _, claim := range pending[1:] {
		workers.Go(func() { c.writeOnePending(ctx, claim, now) })
	}
	workers.Wait()
}

// writeOnePending writes one pending record. It returns false if the table is unavailable.
func (c *Claims) writeOnePending(ctx context.Context, claim *Claim, now time.Time) bool {
	current, _ := claim.snapshot()
	if current.isExpired(now) {
		c.markRecorded(claim, current.State)
		return true
	}
	if err := c.writeRecord(ctx, claim); err != nil {
		c.NoteOutage(now)
		return !errors.Is(err, api.ErrUnavailable)
	}
	c.markRecorded(claim, current.State)
	return true
}

// removeExpired deletes rows of this instance that are older than Lifetime. A conflict means that another
// attempt uses the row. After any other failure the row stays until an attempt replaces it or Sweep deletes
// it.
func (c *Claims) removeExpired(now time.Time) {
	for _, claim := range c.takeExpired(now, maxRemovals) {
		_, revision := claim.snapshot()
		if revision != api.NoRevision {
			c.committer.submit(api.Deletion(claim.key, revision))
		}
	}
}

// Sweep deletes the expired rows among rows, which the caller lists by Prefix, and returns their number. It
// removes the rows that crashed instances left behind.
func (c *Claims) Sweep(rows []api.Row, now time.Time) int {
	removed := 0
	for _, row := range rows {
		found, err := decode(row)
		if err != nil || !found.isExpired(now) {
			continue
		}
		c.committer.submit(api.Deletion(row.Key, row.Revision))
		removed++
	}
	return removed
}

package usage

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// maxParallelReads and maxDeletesPerRound limit the load that closing windows puts on the object store.
	maxParallelReads   = 8
	maxDeletesPerRound = 100
	// maxStepsPerRound limits the windows that are closed or reported in one round, which matters after an outage.
	maxStepsPerRound = 20
)

// Table is the transactional table.
type Table interface {
	List(ctx context.Context, prefix string) ([]api.Row, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// Intake accepts reports of usage windows.
type Intake interface {
	Report(ctx context.Context, window api.Window) error
}

// Lease runs a function while this process holds the usage lease, and fails otherwise. The function's context ends
// before the lease expires.
type Lease interface {
	Guard(ctx context.Context, act func(ctx context.Context, term int64) error) error
}

// closer closes and reports windows.
type closer struct {
	instance string
	table    Table
	objects  Objects
	intake   Intake
	lease    Lease
	stats    *counters

	// cachedState is the state of the table after the last read or write of this process; nil means that it has to be
	// read. Every write of usage rows expects the cursor's cached revision, so a write based on a stale cache fails
	// with a conflict and the cache is dropped.
	cachedState *tableState
	// obsoleteObjects are deleted in batches, one batch per round.
	obsoleteObjects []statementKey
	// idlePeriod avoids listing the objects in every round while no window is due.
	idlePeriod idlePeriod
}

// idlePeriod states that no window is due before a time, as long as window length and grace time do not change. All
// values are in seconds.
type idlePeriod struct{ until, length, grace int64 }

func (i idlePeriod) covers(now, length, grace int64) bool {
	return now < i.until && length == i.length && grace == i.grace
}

// runRound reports closed windows, closes windows that are due and deletes obsolete objects. It returns nil when
// another process holds the lease. After a failed write the next round reads the table again, which shows whether a
// write with a lost response took effect.
func (c *closer) runRound(ctx context.Context, now, length, grace int64) error {
	noop := func(context.Context, int64) error { return nil }
	if err := c.lease.Guard(ctx, noop); err != nil {
		c.cachedState, c.idlePeriod = nil, idlePeriod{}
		return nil //nolint:nilerr // Not holding the lease is the normal state of most instances.
	}
	if c.idlePeriod.covers(now, length, grace) {
		return c.deleteObsoleteObjects(ctx)
	}
	for range maxStepsPerRound {
		hasMore, err := c.reportOrCloseNext(ctx, now, length, grace)
		if err != nil || !hasMore {
			return err
		}
	}
	return nil
}

// reportOrCloseNext reports or closes one window. hasMore is false when no window is due.
func (c *closer) reportOrCloseNext(ctx context.Context, now, length, grace int64) (hasMore bool, err error) {
	if err := c.ensureState(ctx); err != nil {
		return false, err
	}
	row, found := c.cachedState.oldestUnreported()
	if found {
		return true, c.reportWindow(ctx, row)
	}
	return c.closeNextWindow(ctx, now, length, grace)
}

// ensureState reads the table if its state is not cached.
func (c *closer) ensureState(ctx context.Context) error {
	if c.cachedState != nil {
		return nil
	}
	rows, err := c.table.List(ctx, usagePrefix)
	if err != nil {
		return errors.WithMessage(err, "read usage rows")
	}
	s, err := decodeTableState(rows)
	if err != nil {
		return err
	}
	c.cachedState = &s
	return nil
}

// reportWindow sends the window exactly as stored in its row. The cursor moves only after the intake has confirmed the
// report, so a failure in between leads to a second, identical report.
func (c *closer) reportWindow(ctx context.Context, row storedWindowRow) error {
	err := c.lease.Guard(ctx, func(ctx context.Context, _ int64) error {
		return c.intake.Report(ctx, row.Window)
	})
	if errors.Is(err, api.ErrConflict) {
		// The intake already holds different figures for this window and does not change them. Later windows must
		// still be reported.
		c.stats.conflicts.Add(1)
		err = nil
	}
	if err != nil {
		return errors.WithMessage(err, "report usage window")
	}
	next := c.cachedState.cursor
	next.ReportedUntil = int64(row.Window.EndUnixMs / millisecondsPerSecond)
	if err := c.moveCursor(ctx, next); err != nil {
		return errors.WithMessage(err, "move usage cursor after report")
	}
	c.stats.reported.Add(1)
	return nil
}

// closeNextWindow closes the next window if it is due. If there is no cursor yet, it creates the cursor instead.
func (c *closer) closeNextWindow(ctx context.Context, now, length, grace int64) (hasMore bool, err error) {
	names, err := c.objects.List(ctx, usagePrefix)
	if err != nil {
		return false, errors.WithMessage(err, "list usage objects")
	}
	keys := parseStatementKeys(names)
	s := c.cachedState
	if s.cursorRevision == api.NoRevision {
		return true, c.createCursor(ctx, keys, now, length)
	}
	start, end := s.cursor.ClosedUntil, nextBoundary(s.cursor.ClosedUntil, length)
	if now < end+grace {
		c.idlePeriod = idlePeriod{until: end + grace, length: length, grace: grace}
		c.collectObsoleteObjects(keys)
		return false, nil
	}
	return true, c.closeWindow(ctx, newClosePlan(*s, keys, start, end))
}

func parseStatementKeys(names []string) []statementKey {
	keys := make([]statementKey, 0, len(names))
	for _, name := range names {
		if key, valid := parseStatementKey(name); valid {
			keys = append(keys, key)
		}
	}
	return keys
}

// createCursor writes the first cursor. The first window is the oldest one with usage, or the current one.
func (c *closer) createCursor(ctx context.Context, keys []statementKey, now, length int64) error {
	first := now - now%length
	for _, key := range keys {
		first = min(first, key.window)
	}
	return c.moveCursor(ctx, cursor{ClosedUntil: first, ReportedUntil: first})
}

// closeWindow reads the statements and writes the window's row in one transaction with the cursor. If two processes
// close the same window, only one of them succeeds, even after the window's row is deleted.
func (c *closer) closeWindow(ctx context.Context, plan closePlan) error {
	pairs, err := c.readStatementPairs(ctx, plan)
	if err != nil {
		return err
	}
	s := c.cachedState
	next := cursor{ClosedUntil: plan.end, ReportedUntil: s.cursor.ReportedUntil}
	err = c.lease.Guard(ctx, func(ctx context.Context, term int64) error {
		row := plan.buildRow(pairs, c.instance, term)
		writes := append(cursorWrite(*s, next), windowRowWrite(row))
		revision, err := c.commit(ctx, append(writes, expiredRowDeletes(*s)...))
		if err != nil {
			return err
		}
		s.addClosedWindow(storedWindowRow{
			windowRow: row, start: plan.start, key: windowPrefix + row.Window.ID, revision: revision,
		}, next)
		return nil
	})
	if err != nil {
		return errors.WithMessage(err, "close usage window")
	}
	c.stats.closed.Add(1)
	return nil
}

// moveCursor writes only the cursor.
func (c *closer) moveCursor(ctx context.Context, next cursor) error {
	revision, err := c.commit(ctx, cursorWrite(*c.cachedState, next))
	if err != nil {
		return err
	}
	c.cachedState.cursor, c.cachedState.cursorRevision = next, revision
	return nil
}

// readStatementPairs reads every statement of the plan and the counted statement that it replaces.
func (c *closer) readStatementPairs(ctx context.Context, plan closePlan) ([]statementPair, error) {
	reads := pool.NewWithResults[statementPair]().WithContext(ctx).WithMaxGoroutines(maxParallelReads).
		WithCancelOnError().WithFirstError()
	for _, s := range plan.uncounted {
		reads.Go(func(ctx context.Context) (statementPair, error) { return c.readStatementPair(ctx, s) })
	}
	all, err := reads.Wait()
	return all, errors.WithMessage(err, "read usage objects")
}

func (c *closer) readStatementPair(ctx context.Context, s uncountedStatement) (statementPair, error) {
	result := statementPair{uncountedStatement: s}
	if err := c.readStatement(ctx, s.key, &result.current); err != nil {
		return statementPair{}, err
	}
	if s.countedSequence == 0 {
		return result, nil
	}
	previousKey := s.key
	previousKey.sequence = s.countedSequence
	return result, c.readStatement(ctx, previousKey, &result.previous)
}

func (c *closer) readStatement(ctx context.Context, key statementKey, s *statement) error {
	data, err := c.objects.Get(ctx, key.String())
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, s), key.String())
}

// collectObsoleteObjects determines the objects to delete and counts the statements that are discarded with them.
func (c *closer) collectObsoleteObjects(keys []statementKey) {
	s := c.cachedState
	c.obsoleteObjects = obsoleteKeys(*s, keys)
	for _, key := range c.obsoleteObjects {
		if key.window < s.oldestKeptWindow() && s.counted[key.window] == nil {
			c.stats.discarded.Add(1)
		}
	}
}

// deleteObsoleteObjects deletes up to maxDeletesPerRound objects. Objects that remain after a crash are collected again
// after the next window is closed.
func (c *closer) deleteObsoleteObjects(ctx context.Context) error {
	for range min(len(c.obsoleteObjects), maxDeletesPerRound) {
		if err := c.objects.Delete(ctx, c.obsoleteObjects[0].String()); err != nil {
			return errors.WithMessage(err, "delete usage object")
		}
		c.obsoleteObjects = c.obsoleteObjects[1:]
	}
	return nil
}

// commit writes rows based on the cached state and drops the cache after a failure.
func (c *closer) commit(ctx context.Context, writes []api.Write) (revision int, err error) {
	revision, err = c.table.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
	if err != nil {
		c.cachedState = nil
	}
	return revision, err
}

func cursorWrite(s tableState, next cursor) []api.Write {
	return []api.Write{{Key: cursorKey, Expected: s.cursorRevision, Value: api.EncodeValue(next)}}
}

func windowRowWrite(row windowRow) api.Write {
	return api.Write{Key: windowPrefix + row.Window.ID, Expected: api.NoRevision, Value: api.EncodeValue(row)}
}

// expiredRowDeletes deletes the rows that exceed retainedWindows when one more is written.
func expiredRowDeletes(s tableState) []api.Write {
	var writes []api.Write
	for _, row := range s.rows[:s.surplusRows()] {
		writes = append(writes, api.Deletion(row.key, row.revision))
	}
	return writes
}

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
	// parallelReads and deletesPerRound bound the share of the object store that closing takes.
	parallelReads   = 8
	deletesPerRound = 100
	// closingsPerRound bounds the windows that are closed in one round after an outage.
	closingsPerRound = 20
)

// Table is the transactional table.
type Table interface {
	List(ctx context.Context, prefix string) ([]api.Row, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// Intake accepts reports.
type Intake interface {
	Report(ctx context.Context, window api.Window) error
}

// Holder runs a function while this process holds the usage lease, and fails otherwise. The context of
// the function ends before the lease does.
type Holder interface {
	Guard(ctx context.Context, act func(ctx context.Context, term int64) error) error
}

// closer closes and reports windows.
type closer struct {
	instance string
	table    Table
	objects  Objects
	intake   Intake
	holder   Holder
	stats    *Stats

	// known is what the table holds, as of the last read or own write; nil means that it has to be read.
	// Every write of usage rows names the cursor's revision, so a write on top of an outdated copy
	// conflicts and the copy is dropped.
	known *state
	// trash holds objects to remove, a few in each round.
	trash []statementKey
	// idle is what the last reading said about the next closing. It saves reading the rows every round.
	idle idle
}

// idle says that under this configuration nothing is due before a time.
type idle struct{ until, length, grace int64 }

func (i idle) covers(now, length, grace int64) bool {
	return now < i.until && length == i.length && grace == i.grace
}

// round reports what is frozen, closes what is due and removes what is no longer needed. It returns
// without error when another process holds the lease. After a failed write the table is read anew, so a
// write whose answer was lost is seen as it is.
func (c *closer) round(ctx context.Context, now, length, grace int64) error {
	nothing := func(context.Context, int64) error { return nil }
	if err := c.holder.Guard(ctx, nothing); err != nil {
		c.known, c.idle = nil, idle{}
		return nil //nolint:nilerr // Not holding the lease is the normal state of most instances.
	}
	if c.idle.covers(now, length, grace) {
		return c.tidy(ctx)
	}
	for range closingsPerRound {
		more, err := c.step(ctx, now, length, grace)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// step reports or closes one window.
func (c *closer) step(ctx context.Context, now, length, grace int64) (more bool, err error) {
	if err := c.read(ctx); err != nil {
		return false, err
	}
	row, found := c.known.unreported()
	if found {
		return true, c.report(ctx, row)
	}
	return c.closeNext(ctx, now, length, grace)
}

func (c *closer) read(ctx context.Context) error {
	if c.known != nil {
		return nil
	}
	rows, err := c.table.List(ctx, prefix)
	if err != nil {
		return errors.WithMessage(err, "read usage rows")
	}
	s, err := readState(rows)
	if err != nil {
		return err
	}
	c.known = &s
	return nil
}

// report sends exactly the frozen row. The cursor moves only after the intake has confirmed it, so a
// failure in between leads to the same report again.
func (c *closer) report(ctx context.Context, row frozenRow) error {
	err := c.holder.Guard(ctx, func(ctx context.Context, _ int64) error {
		return c.intake.Report(ctx, row.Window)
	})
	if errors.Is(err, api.ErrConflict) {
		// The intake holds other figures for this window. They cannot be changed, and the windows after
		// it must still be reported.
		c.stats.conflicts.Add(1)
		err = nil
	}
	if err != nil {
		return errors.WithMessage(err, "report usage window")
	}
	next := c.known.cursor
	next.ReportedUntil = int64(row.Window.EndUnixMs / millisecondsPerSecond)
	if err := c.move(ctx, next); err != nil {
		return errors.WithMessage(err, "confirm usage window")
	}
	c.stats.reported.Add(1)
	return nil
}

// closeNext freezes the next window if it is due.
func (c *closer) closeNext(ctx context.Context, now, length, grace int64) (more bool, err error) {
	names, err := c.objects.List(ctx, prefix)
	if err != nil {
		return false, errors.WithMessage(err, "list usage objects")
	}
	keys := parseKeys(names)
	s := c.known
	if s.cursorRevision == api.NoRevision {
		return true, c.begin(ctx, keys, now, length)
	}
	start, end := s.cursor.ClosedUntil, nextBoundary(s.cursor.ClosedUntil, length)
	if now < end+grace {
		c.idle = idle{until: end + grace, length: length, grace: grace}
		c.collect(keys)
		return false, nil
	}
	return true, c.freeze(ctx, planClosing(*s, keys, start, end))
}

func parseKeys(names []string) []statementKey {
	keys := make([]statementKey, 0, len(names))
	for _, name := range names {
		if key, valid := parseKey(name); valid {
			keys = append(keys, key)
		}
	}
	return keys
}

// begin writes the first cursor: the first window is the oldest with usage, or the present one.
func (c *closer) begin(ctx context.Context, keys []statementKey, now, length int64) error {
	first := now - now%length
	for _, key := range keys {
		first = min(first, key.window)
	}
	return c.move(ctx, cursor{ClosedUntil: first, ReportedUntil: first})
}

// freeze reads the statements and writes the window's row together with the cursor, so that of two
// processes that close the same window only one succeeds, also after old rows are removed.
func (c *closer) freeze(ctx context.Context, plan closing) error {
	statements, err := c.statements(ctx, plan)
	if err != nil {
		return err
	}
	s := c.known
	next := cursor{ClosedUntil: plan.end, ReportedUntil: s.cursor.ReportedUntil}
	err = c.holder.Guard(ctx, func(ctx context.Context, term int64) error {
		row := plan.freeze(statements, c.instance, term)
		writes := append(cursorWrite(*s, next), rowWrite(row))
		revision, err := c.commit(ctx, append(writes, expired(*s)...))
		if err != nil {
			return err
		}
		s.frozen(frozenRow{frozen: row, start: plan.start, key: windowPrefix + row.Window.ID, revision: revision}, next)
		return nil
	})
	if err != nil {
		return errors.WithMessage(err, "freeze usage window")
	}
	c.stats.closed.Add(1)
	return nil
}

// move writes the cursor alone.
func (c *closer) move(ctx context.Context, next cursor) error {
	revision, err := c.commit(ctx, cursorWrite(*c.known, next))
	if err != nil {
		return err
	}
	c.known.cursor, c.known.cursorRevision = next, revision
	return nil
}

// statements reads the newest statement of each writer and the one that it replaces.
func (c *closer) statements(ctx context.Context, plan closing) ([]counted, error) {
	reads := pool.NewWithResults[counted]().WithContext(ctx).WithMaxGoroutines(parallelReads).WithCancelOnError().WithFirstError()
	for _, n := range plan.read {
		reads.Go(func(ctx context.Context) (counted, error) { return c.statement(ctx, n) })
	}
	all, err := reads.Wait()
	return all, errors.WithMessage(err, "read usage objects")
}

func (c *closer) statement(ctx context.Context, n newest) (counted, error) {
	result := counted{newest: n}
	if err := c.load(ctx, n.key, &result.now); err != nil {
		return counted{}, err
	}
	if n.counted == 0 {
		return result, nil
	}
	before := n.key
	before.sequence = n.counted
	return result, c.load(ctx, before, &result.before)
}

func (c *closer) load(ctx context.Context, key statementKey, s *statement) error {
	data, err := c.objects.Get(ctx, key.String())
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, s), key.String())
}

// collect notes the objects that no later window needs.
func (c *closer) collect(keys []statementKey) {
	s := c.known
	c.trash = garbage(*s, keys)
	for _, key := range c.trash {
		if key.window < s.oldest() && s.counted[key.window] == nil {
			c.stats.discarded.Add(1)
		}
	}
}

// tidy removes some of the collected objects. What a crash leaves behind is collected again after the
// next closing.
func (c *closer) tidy(ctx context.Context) error {
	for range min(len(c.trash), deletesPerRound) {
		if err := c.objects.Delete(ctx, c.trash[0].String()); err != nil {
			return errors.WithMessage(err, "remove usage object")
		}
		c.trash = c.trash[1:]
	}
	return nil
}

// commit writes rows on top of the known state and drops that state after a failure.
func (c *closer) commit(ctx context.Context, writes []api.Write) (revision int, err error) {
	revision, err = c.table.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
	if err != nil {
		c.known = nil
	}
	return revision, err
}

func cursorWrite(s state, next cursor) []api.Write {
	return []api.Write{{Key: cursorKey, Expected: s.cursorRevision, Value: api.EncodeValue(next)}}
}

func rowWrite(f frozen) api.Write {
	return api.Write{Key: windowPrefix + f.Window.ID, Expected: api.NoRevision, Value: api.EncodeValue(f)}
}

// expired removes the rows that fall beyond the horizon when one more is written.
func expired(s state) []api.Write {
	var writes []api.Write
	yes := true
	for _, row := range s.rows[:s.surplus()] {
		writes = append(writes, api.Write{Key: row.key, Expected: row.revision, Delete: &yes})
	}
	return writes
}

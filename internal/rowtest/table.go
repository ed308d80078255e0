// Package rowtest is a table service in memory for tests of workers that share rows between instances.
package rowtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// Table implements follow.Store.
type Table struct {
	mu sync.Mutex
	// revision is the revision of the last commit.
	revision int
	rows     map[string]api.Row
	history  []api.Change
	changed  chan struct{}
	// readsFail makes reads fail, but not commits.
	readsFail bool
}

// New returns a table without rows.
func New() *Table {
	return &Table{rows: map[string]api.Row{}, changed: make(chan struct{})}
}

// Put writes a row as another process would.
func (t *Table) Put(key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.apply(api.Write{Key: key, Value: &value})
}

// Value returns the value of a row, "" if there is none.
func (t *Table) Value(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key].Value
}

// FailReads makes all reads fail, or succeed again.
func (t *Table) FailReads(fail bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readsFail = fail
}

// Commit implements follow.Store.
func (t *Table) Commit(_ context.Context, txn api.Txn) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range txn.Writes {
		if w.Expected != api.AnyRevision && w.Expected != t.rows[w.Key].Revision {
			return api.NoRevision, api.ErrConflict
		}
	}
	t.revision++
	for _, w := range txn.Writes {
		t.apply(w)
	}
	return t.revision, nil
}

// apply applies a write at the current revision. The caller holds the lock.
func (t *Table) apply(w api.Write) {
	change := api.Change{Row: api.Row{Key: w.Key, Revision: t.revision}}
	if w.Delete != nil && *w.Delete {
		change.Deleted = true
		delete(t.rows, w.Key)
	} else {
		change.Value = *w.Value
		t.rows[w.Key] = change.Row
	}
	t.history = append(t.history, change)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Snapshot implements follow.Source.
func (t *Table) Snapshot(_ context.Context, prefix string) ([]api.Row, int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readsFail {
		return nil, 0, api.ErrUnavailable
	}
	var rows []api.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, t.revision, nil
}

// Changes implements follow.Source.
func (t *Table) Changes(ctx context.Context, table string, after int, wait time.Duration) (api.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		changes, changed, err := t.changesAfter(table, after)
		if err != nil || len(changes.Rows) > 0 || timedOut {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return api.Changes{}, ctx.Err()
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

// changesAfter returns the changes after a revision, and a channel that is closed at the next one.
func (t *Table) changesAfter(table string, after int) (api.Changes, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readsFail {
		return api.Changes{}, nil, api.ErrUnavailable
	}
	rows := slices.DeleteFunc(slices.Clone(t.history), func(c api.Change) bool {
		return c.Revision <= after || !strings.HasPrefix(c.Key, table+"/")
	})
	return api.Changes{Rows: rows, Revision: t.revision}, t.changed, nil
}

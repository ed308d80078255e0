package claim

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// fault is the simulated failure of one call to the table.
type fault int

const (
	noFault fault = iota
	tableDown
	// callLost loses a call before it takes effect, responseLost loses only its response.
	callLost
	responseLost
	// appliedLate loses the response of a commit that takes effect later.
	appliedLate
)

// fakeTable is an in-memory transactional table with simulated failures.
type fakeTable struct {
	mu        sync.Mutex
	rows      map[string]api.Row
	tokens    map[string]int
	revision  int
	commits   int
	late      []api.Txn
	nextFault func(commit bool) fault
}

func newTable() *fakeTable {
	return &fakeTable{rows: map[string]api.Row{}, tokens: map[string]int{}, nextFault: func(bool) fault { return noFault }}
}

func (t *fakeTable) Get(_ context.Context, key string) (api.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextFault(false) != noFault {
		return api.Row{}, api.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, api.ErrNotFound
	}
	return row, nil
}

func (t *fakeTable) Commit(_ context.Context, txn api.Txn) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	f := t.nextFault(true)
	switch f {
	case tableDown:
		return 0, api.ErrUnavailable
	case callLost:
		return 0, api.ErrEffectUnknown
	case appliedLate:
		t.late = append(t.late, txn)
		return 0, api.ErrEffectUnknown
	}
	revision, err := t.apply(txn)
	if f == responseLost {
		return 0, api.ErrEffectUnknown
	}
	return revision, err
}

func (t *fakeTable) apply(txn api.Txn) (int, error) {
	if revision, ok := t.tokens[txn.Token]; ok {
		return revision, nil
	}
	for _, w := range txn.Writes {
		if t.rows[w.Key].Revision != w.Expected {
			return 0, api.ErrConflict
		}
	}
	t.revision++
	for _, w := range txn.Writes {
		if w.Delete != nil {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = api.Row{Key: w.Key, Revision: t.revision, Value: *w.Value}
	}
	t.tokens[txn.Token] = t.revision
	return t.revision, nil
}

// applyLateCommits applies the commits that failed with appliedLate.
func (t *fakeTable) applyLateCommits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, txn := range t.late {
		_, _ = t.apply(txn)
	}
	t.late = nil
}

func (t *fakeTable) list() []api.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.rows))
}

// setFault makes every call to the table end with the given fault.
func (t *fakeTable) setFault(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextFault = func(bool) fault { return f }
}

// failCommits makes the next n commits end with the given fault.
func (t *fakeTable) failCommits(n int, f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextFault = func(commit bool) fault {
		if commit && n > 0 {
			n--
			return f
		}
		return noFault
	}
}

type noCounter struct{}

func (noCounter) CountRefusal(outcome.Reason)    {}
func (noCounter) CountRetry(outcome.RetryReason) {}

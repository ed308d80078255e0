package rpc

import (
	"cmp"
	"errors"
	"slices"
	"sync"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// Operation is the name of a kind of call to the platform.
type Operation string

// Count holds the calls, attempts and results of one operation so far. Calls minus the results from NotFound to Unknown
// is the number of calls that succeeded or are in progress.
type Count struct {
	Operation   Operation
	Calls       int64
	Attempts    int64
	NotFound    int64
	Conflicts   int64
	Fenced      int64
	Unavailable int64
	Unknown     int64
}

type counts struct {
	mu          sync.Mutex
	byOperation map[Operation]*Count
}

func newCounts() *counts { return &counts{byOperation: map[Operation]*Count{}} }

func (c *counts) update(op Operation, apply func(*Count)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.byOperation[op]
	if count == nil {
		count = &Count{Operation: op}
		c.byOperation[op] = count
	}
	apply(count)
}

func (c *counts) call(op Operation) { c.update(op, func(r *Count) { r.Calls++ }) }

func (c *counts) attempt(op Operation) { c.update(op, func(r *Count) { r.Attempts++ }) }

func (c *counts) result(op Operation, err error) {
	c.update(op, func(r *Count) {
		switch {
		case errors.Is(err, api.ErrNotFound):
			r.NotFound++
		case errors.Is(err, api.ErrConflict):
			r.Conflicts++
		case errors.Is(err, api.ErrFenced):
			r.Fenced++
		case errors.Is(err, api.ErrEffectUnknown):
			r.Unknown++
		case errors.Is(err, api.ErrUnavailable):
			r.Unavailable++
		}
	})
}

func (c *counts) snapshot() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Count, 0, len(c.byOperation))
	for _, count := range c.byOperation {
		all = append(all, *count)
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Compare(a.Operation, b.Operation) })
	return all
}

package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// groupDelay is how long a write waits for others to join its transaction. It limits the commits of one
	// instance to 200/s.
	groupDelay = 5 * time.Millisecond
	// maxGroupWrites limits the writes in one transaction.
	maxGroupWrites = 128
	// maxConcurrentCommits limits the transactions in progress, so that a slow table is not overloaded.
	maxConcurrentCommits = 8
	// commitTimeout limits one call to the table.
	commitTimeout = time.Second
	// maxUnknownRetries limits how often a commit with an unknown result is retried under the same token.
	maxUnknownRetries = 3
	// unknownRetryDelay is the pause before each of these retries.
	unknownRetryDelay = 50 * time.Millisecond
)

// queuedWrite is a write that waits for its transaction.
type queuedWrite struct {
	write api.Write
	done  chan commitResult
}

// commitResult is the result of the transaction that contained a write.
type commitResult struct {
	revision int
	err      error
}

// groupCommitter commits writes that arrive within groupDelay in one transaction.
type groupCommitter struct {
	table Table

	mu                sync.Mutex
	queue             []queuedWrite
	flushScheduled    bool
	commitsInProgress int
}

// commit writes one row. The error is api.ErrConflict, api.ErrUnavailable, api.ErrEffectUnknown or nil.
func (g *groupCommitter) commit(ctx context.Context, write api.Write) (int, error) {
	select {
	case result := <-g.submit(write):
		return result.revision, result.err
	case <-ctx.Done():
		return 0, api.ErrEffectUnknown
	}
}

func (g *groupCommitter) submit(write api.Write) <-chan commitResult {
	e := queuedWrite{write: write, done: make(chan commitResult, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue = append(g.queue, e)
	if !g.flushScheduled && g.commitsInProgress < maxConcurrentCommits {
		g.flushScheduled = true
		time.AfterFunc(groupDelay, g.flush)
	}
	return e.done
}

// flush commits the next batch of the queue. It runs in its own goroutine.
func (g *groupCommitter) flush() {
	batch := g.takeBatch()
	g.commitBatch(batch)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commitsInProgress--
	if len(g.queue) > 0 && !g.flushScheduled {
		g.flushScheduled = true
		time.AfterFunc(groupDelay, g.flush)
	}
}

// takeBatch removes a batch from the queue. Each key occurs only once in it, because a transaction cannot
// write a row twice.
func (g *groupCommitter) takeBatch() []queuedWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flushScheduled = false
	g.commitsInProgress++
	batch := make([]queuedWrite, 0, min(len(g.queue), maxGroupWrites))
	keys := make(map[string]bool, cap(batch))
	var rest []queuedWrite
	for _, e := range g.queue {
		if len(batch) == maxGroupWrites || keys[e.write.Key] {
			rest = append(rest, e)
			continue
		}
		keys[e.write.Key] = true
		batch = append(batch, e)
	}
	g.queue = rest
	if len(rest) > 0 && g.commitsInProgress < maxConcurrentCommits {
		g.flushScheduled = true
		time.AfterFunc(groupDelay, g.flush)
	}
	return batch
}

// commitBatch commits a batch. A conflict does not tell which row caused it, so the batch is halved until
// that row is alone.
func (g *groupCommitter) commitBatch(batch []queuedWrite) {
	if len(batch) == 0 {
		return
	}
	revision, err := g.commitWithRetries(batch)
	if errors.Is(err, api.ErrConflict) && len(batch) > 1 {
		half := len(batch) / 2
		g.commitBatch(batch[:half])
		g.commitBatch(batch[half:])
		return
	}
	for _, e := range batch {
		e.done <- commitResult{revision, err}
	}
}

// commitWithRetries commits one transaction and retries it under the same token while its result is
// unknown.
func (g *groupCommitter) commitWithRetries(batch []queuedWrite) (int, error) {
	txn := api.Txn{Token: uuid.NewString()}
	for _, e := range batch {
		txn.Writes = append(txn.Writes, e.write)
	}
	hadUnknownResult := false
	for retries := 0; ; retries++ {
		revision, err := g.commitOnce(txn)
		switch {
		case err == nil, errors.Is(err, api.ErrConflict):
			return revision, err
		case errors.Is(err, api.ErrUnavailable) && !hadUnknownResult:
			return 0, api.ErrUnavailable
		}
		// After an unknown result, a later call without effect does not tell whether the first one took
		// effect.
		hadUnknownResult = true
		if retries == maxUnknownRetries {
			return 0, api.ErrEffectUnknown
		}
		time.Sleep(unknownRetryDelay)
	}
}

func (g *groupCommitter) commitOnce(txn api.Txn) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return g.table.Commit(ctx, txn)
}

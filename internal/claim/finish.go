package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// Finish records that the request ran. If the table is unavailable, the record is written later, so that an
// outage delays it but does not fail the request.
func (c *Claims) Finish(ctx context.Context, claim *Claim, response Response) *outcome.Refusal {
	if len(response.Body) > MaxBody {
		response.Body = nil
		response.Omitted = true
	}
	return c.writeFinalState(ctx, claim, stateFinished, &response)
}

// Release records that the request certainly did not run, so that it may be sent again.
func (c *Claims) Release(ctx context.Context, claim *Claim) *outcome.Refusal {
	return c.writeFinalState(ctx, claim, stateReleased, nil)
}

// Finish records that the request ran.
func (c *Claim) Finish(ctx context.Context, response Response) *outcome.Refusal {
	return c.claims.Finish(ctx, c, response)
}

// Release records that the request certainly did not run.
func (c *Claim) Release(ctx context.Context) *outcome.Refusal {
	return c.claims.Release(ctx, c)
}

// writeFinalState sets the final state of a claim and writes it, unless the claim is already pending.
func (c *Claims) writeFinalState(ctx context.Context, claim *Claim, final state, response *Response) *outcome.Refusal {
	claim.mu.Lock()
	claim.current.State = final
	claim.current.Response = response
	claim.mu.Unlock()

	if c.isPending(claim) {
		return nil
	}
	if err := c.writeRecord(ctx, claim); err != nil {
		if !c.deferRecord(claim) {
			return c.countRefusal(outcome.Refuse(outcome.StoreUnknown))
		}
		c.unregister(claim)
		return nil
	}
	c.unregister(claim)
	claim.dropResponse()
	return nil
}

func (c *Claims) isPending(claim *Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[claim.key] == claim
}

// decideDuplicate decides on another attempt of a request that this instance is already working on.
func (c *Claim) decideDuplicate() (Decision, *outcome.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.current.State {
	case stateFinished:
		return Decision{Response: c.current.Response}, nil
	case stateReleased:
		return Decision{}, outcome.Refuse(outcome.ClaimUnavailable)
	default:
		return Decision{}, outcome.Refuse(outcome.DuplicateRequest)
	}
}

// dropResponse frees the recorded response once the table has it.
func (c *Claim) dropResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Response = nil
}

func (c *Claim) setRevision(revision int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = revision
}

func (c *Claim) snapshot() (record, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.revision
}

// writeRecord writes the current state of a claim. A nil error means that the table has it, or that the row
// belongs to another attempt and must stay.
func (c *Claims) writeRecord(ctx context.Context, claim *Claim) error {
	current, revision := claim.snapshot()
	if revision != api.NoRevision {
		written, err := c.committer.commit(ctx, api.Write{Key: claim.key, Expected: revision, Value: current.encode()})
		if err == nil {
			claim.setRevision(written)
			return nil
		}
		if !errors.Is(err, api.ErrConflict) {
			return err
		}
	}
	row, err := c.readRow(ctx, claim.key)
	if errors.Is(err, api.ErrNotFound) {
		row, err = api.Row{Revision: api.NoRevision}, nil
	}
	if err != nil {
		return err
	}
	if row.Revision != api.NoRevision {
		own, overwrite := claim.compareRow(row, current)
		if own {
			claim.setRevision(row.Revision)
		}
		if !overwrite {
			return nil
		}
	}
	written, err := c.committer.commit(ctx, api.Write{Key: claim.key, Expected: row.Revision, Value: current.encode()})
	if err == nil {
		claim.setRevision(written)
	}
	return err
}

// compareRow reports whether the row belongs to this claim, and whether the claim's current state
// overwrites it: the row is an earlier state of the claim, or another attempt released it.
func (c *Claim) compareRow(row api.Row, current record) (own, overwrite bool) {
	found, err := decode(row)
	if err != nil {
		return false, false
	}
	if found.Owner == c.owner {
		return true, found.State != current.State
	}
	return false, found.State == stateReleased && current.State != stateReleased
}

// trackForRemoval queues a claim whose row is removed after Lifetime.
func (c *Claims) trackForRemoval(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removalQueue = append(c.removalQueue, claim)
	c.granted[claim.key] = claim
}

// markRecorded removes a claim from the pending claims once the table has the written state, and from the active
// claims if that state is final. It frees the response and queues the row for removal. It does nothing if the state of
// the claim has changed since.
func (c *Claims) markRecorded(claim *Claim, written state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim.mu.Lock()
	defer claim.mu.Unlock()
	if claim.current.State != written {
		return
	}
	delete(c.pending, claim.key)
	if written != stateStarted && c.active[claim.key] == claim {
		delete(c.active, claim.key)
	}
	claim.current.Response = nil
	c.removalQueue = append(c.removalQueue, claim)
	c.granted[claim.key] = claim
}

// takeExpired removes up to limit claims that are older than Lifetime and returns them.
func (c *Claims) takeExpired(now time.Time, limit int) []*Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.removalQueue) && n < limit && now.Sub(c.removalQueue[n].claimedAt) >= Lifetime {
		n++
	}
	expired := append([]*Claim(nil), c.removalQueue[:n]...)
	c.removalQueue = c.removalQueue[n:]
	for _, claim := range expired {
		if c.active[claim.key] == claim {
			delete(c.active, claim.key)
		}
		if c.granted[claim.key] == claim {
			delete(c.granted, claim.key)
		}
	}
	return expired
}

package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// maxPending limits the records that wait for the table. At 200 claims a second it covers an outage of 80 s.
// After that, requests that cannot be recorded are refused.
const maxPending = 16384

// Claims records the non-idempotent requests of one instance.
type Claims struct {
	table     Table
	committer *groupCommitter
	counter   outcome.Counter

	mu sync.Mutex
	// active holds the claims of requests that this instance is working on, by row key.
	active map[string]*Claim
	// pending holds the claims whose current state is not in the table yet.
	pending map[string]*Claim
	// granted holds the claims that this instance wrote within the last Lifetime.
	granted map[string]*Claim
	// removalQueue holds the claims whose rows are to be removed, in the order in which they were written.
	removalQueue []*Claim
	// outageAt is the last time at which the table was down. outageAssumed is set while this is only an
	// assumption made at the start.
	outageAt      time.Time
	outageAssumed bool
	// mayRunUnrecorded asks the other instances whether a request may run without a record.
	mayRunUnrecorded func(key string, now time.Time) bool
}

// Claim is the right to send one request.
type Claim struct {
	claims    *Claims
	key       string
	owner     string
	claimedAt time.Time

	mu       sync.Mutex
	revision int
	current  record
}

// New returns the claims of an instance that started at the given time. The instance cannot know of outages
// before that time, so it assumes one until NoOutageSince reports otherwise.
func New(table Table, counter outcome.Counter, started time.Time) *Claims {
	return &Claims{
		table:            table,
		committer:        &groupCommitter{table: table},
		counter:          counter,
		active:           make(map[string]*Claim),
		mayRunUnrecorded: func(string, time.Time) bool { return true },
		pending:          make(map[string]*Claim),
		granted:          make(map[string]*Claim),
		outageAt:         started,
		outageAssumed:    true,
	}
}

// SetUnrecordedCheck sets the function that is called before a request runs without a record. The function tells
// all other known instances of the outage through ConfirmUnclaimed and reports whether each of them was told
// and returned true. Without it, an instance that alone lost its connection to the table could run a
// request, and another instance could run the next attempt as if it were the first.
func (c *Claims) SetUnrecordedCheck(mayRun func(key string, now time.Time) bool) {
	c.mayRunUnrecorded = mayRun
}

// ConfirmUnclaimed is called when another instance, which cannot reach the table at the given time, wants to run
// the request with this row key without a record. It returns false if this instance worked on that request within
// Lifetime.
func (c *Claims) ConfirmUnclaimed(key string, at time.Time) bool {
	c.NoteOutage(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[key] == nil && c.pending[key] == nil && c.granted[key] == nil
}

// NoteOutage records that the table was down at the given time for this instance or for another one.
func (c *Claims) NoteOutage(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.outageAt) {
		c.outageAt = at
	}
	c.outageAssumed = false
}

// NoOutageSince records that another instance has seen no outage since the given time. It replaces the
// assumption made at the start, never an outage that was seen.
func (c *Claims) NoOutageSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outageAssumed && since.Before(c.outageAt) {
		c.outageAt = since
	}
}

func (c *Claims) lastOutage() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outageAt
}

// Begin decides whether an attempt of a request may be sent. The attempt number is NoAttempt when the
// caller gave none; callers that number their attempts number all of them.
func (c *Claims) Begin(ctx context.Context, team, requestID string, attempt int, now time.Time) (Decision, *outcome.Refusal) {
	claim := &Claim{claims: c, key: rowKey(team, requestID), owner: uuid.NewString(), claimedAt: now}
	claim.current = record{State: stateStarted, Owner: claim.owner, AtUnixMs: now.UnixMilli()}
	if other := c.register(claim); other != nil {
		decision, refusal := other.decideDuplicate()
		return decision, c.countRefusal(refusal)
	}
	decision, refusal := c.decide(ctx, claim, attempt, now)
	if decision.Claim == nil {
		c.unregister(claim)
	}
	return decision, c.countRefusal(refusal)
}

// countRefusal counts a refusal, if there is one, and returns it.
func (c *Claims) countRefusal(refusal *outcome.Refusal) *outcome.Refusal {
	if refusal != nil {
		c.counter.CountRefusal(refusal.Reason)
	}
	return refusal
}

// register makes the claim active, or returns the claim of the same request that this instance already has.
func (c *Claims) register(claim *Claim) *Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.pending[claim.key]; other != nil {
		return other
	}
	if other := c.active[claim.key]; other != nil {
		return other
	}
	c.active[claim.key] = claim
	return nil
}

func (c *Claims) unregister(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[claim.key] == claim {
		delete(c.active, claim.key)
	}
}

// decide tries to write the claim. If it cannot, it decides by the request's existing row or by the outage of the
// table.
func (c *Claims) decide(ctx context.Context, claim *Claim, attempt int, now time.Time) (Decision, *outcome.Refusal) {
	if attempt > 0 && missingRowRefusal(attempt, c.lastOutage(), now) != nil {
		row, err := c.readRow(ctx, claim.key)
		if errors.Is(err, api.ErrNotFound) {
			return Decision{}, outcome.Refuse(outcome.ClaimRecordLost)
		}
		if err != nil {
			return c.decideUnrecorded(claim, attempt, now, false)
		}
		return c.decideByRow(ctx, claim, row, attempt, now)
	}
	return c.insertRow(ctx, claim, attempt, now)
}

// insertRow tries to write the claim as a new row, and decides by the existing row if there is one.
func (c *Claims) insertRow(ctx context.Context, claim *Claim, attempt int, now time.Time) (Decision, *outcome.Refusal) {
	revision, err := c.committer.commit(ctx, api.Write{Key: claim.key, Expected: api.NoRevision, Value: claim.current.encode()})
	switch {
	case err == nil:
		return c.grant(claim, revision), nil
	case ctx.Err() != nil:
		return c.refuseDisconnected(claim)
	case errors.Is(err, api.ErrUnavailable):
		return c.decideUnrecorded(claim, attempt, now, false)
	}
	row, readErr := c.readRow(ctx, claim.key)
	switch {
	case readErr == nil:
		return c.decideByRow(ctx, claim, row, attempt, now)
	case errors.Is(readErr, api.ErrNotFound) && errors.Is(err, api.ErrConflict):
		// The row was removed between the commit and the read.
		return Decision{}, outcome.Refuse(outcome.ClaimUnavailable)
	default:
		return c.decideUnrecorded(claim, attempt, now, true)
	}
}

// decideByRow decides by the row that the table already has for the request.
func (c *Claims) decideByRow(ctx context.Context, claim *Claim, row api.Row, attempt int, now time.Time) (Decision, *outcome.Refusal) {
	found, err := decode(row)
	if err != nil {
		return Decision{}, outcome.Refuse(outcome.DuplicateRequest)
	}
	switch statusOf(found, claim.owner, now) {
	case statusOwn:
		return c.grant(claim, row.Revision), nil
	case statusReplay:
		return Decision{Response: found.Response}, nil
	case statusReplace:
		return c.replaceRow(ctx, claim, row.Revision, attempt, now)
	default:
		return Decision{}, outcome.Refuse(outcome.DuplicateRequest)
	}
}

// replaceRow overwrites an expired or released row with the claim. A conflict means that another attempt
// was faster.
func (c *Claims) replaceRow(ctx context.Context, claim *Claim, expected, attempt int, now time.Time) (Decision, *outcome.Refusal) {
	revision, err := c.committer.commit(ctx, api.Write{Key: claim.key, Expected: expected, Value: claim.current.encode()})
	switch {
	case err == nil:
		return c.grant(claim, revision), nil
	case ctx.Err() != nil:
		return c.refuseDisconnected(claim)
	case errors.Is(err, api.ErrConflict):
		return Decision{}, outcome.Refuse(outcome.DuplicateRequest)
	case errors.Is(err, api.ErrUnavailable):
		return c.decideUnrecorded(claim, attempt, now, false)
	default:
		return c.decideUnrecorded(claim, attempt, now, true)
	}
}

func (c *Claims) grant(claim *Claim, revision int) Decision {
	claim.setRevision(revision)
	c.trackForRemoval(claim)
	return Decision{Claim: claim}
}

// decideUnrecorded decides when the table did not confirm the claim. If the claim may be in the table but
// the request will not run, a release is written once the table is available again.
func (c *Claims) decideUnrecorded(claim *Claim, attempt int, now time.Time, mayBeWritten bool) (Decision, *outcome.Refusal) {
	c.NoteOutage(now)
	refusal := unrecordedRefusal(attempt)
	if refusal == nil && !c.mayRunUnrecorded(claim.key, now) {
		refusal = outcome.Refuse(outcome.ClaimUnavailable)
	}
	if refusal != nil {
		if mayBeWritten {
			c.releaseLater(claim)
		}
		return Decision{}, refusal
	}
	if !c.deferRecord(claim) {
		return Decision{}, outcome.Refuse(outcome.ClaimUnavailable)
	}
	return Decision{Claim: claim}, nil
}

// refuseDisconnected ends an attempt whose caller disconnected while the claim was being written.
func (c *Claims) refuseDisconnected(claim *Claim) (Decision, *outcome.Refusal) {
	c.releaseLater(claim)
	return Decision{}, outcome.Refuse(outcome.CallerDisconnected).WithOutcome(outcome.NotRun)
}

// releaseLater defers the release of a claim that may be in the table, so that its row does not block the
// next attempt. If too many records are pending, the row stays in state started, which is safe.
func (c *Claims) releaseLater(claim *Claim) {
	claim.mu.Lock()
	claim.current.State = stateReleased
	claim.mu.Unlock()
	c.deferRecord(claim)
}

// deferRecord keeps the claim's current state until the table accepts it. It returns false if too many
// records are pending.
func (c *Claims) deferRecord(claim *Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[claim.key] == nil && len(c.pending) >= maxPending {
		return false
	}
	c.pending[claim.key] = claim
	return true
}

func (c *Claims) readRow(ctx context.Context, key string) (api.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return c.table.Get(ctx, key)
}

package confsync

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// inForceTimeout limits the time that Apply waits until the revision is in force. If some instances are partitioned,
	// the revision is in force FailClosedDelay after a majority has confirmed it.
	inForceTimeout = 10 * time.Second
	// inForcePollInterval is how often Apply checks for confirmations.
	inForcePollInterval = 20 * time.Millisecond
	// commitTimeout limits the time for which a commit is retried if its response was lost.
	commitTimeout       = 10 * time.Second
	commitRetryInterval = 200 * time.Millisecond
)

// State is the progress of an applied revision.
type State string

const (
	// Written means that the revision will come into force everywhere, but some instances have not
	// confirmed it yet.
	Written State = "written"
	// InForce means that no instance serves under an older revision.
	InForce State = "in_force"
)

// Result is the outcome of an Apply that was not refused.
type Result struct {
	Revision int
	State    State
	// Unconfirmed lists the instances that have not confirmed the revision. If State is InForce, none of them serves
	// under an older one: each has the revision without its confirmation having arrived, or has failed closed.
	Unconfirmed []string
}

// Apply makes body the next revision if the current revision is expected. It waits until the new revision is in force,
// ctx ends or inForceTimeout expires. A refusal whose outcome is NotRun means that this call has not changed the
// configuration and will not change it later.
func (s *Sync) Apply(ctx context.Context, expected int, body []byte, author string) (Result, *outcome.Refusal) {
	if _, err := s.opts.Validate(body); err != nil {
		return Result{}, refuse(outcome.ConfigInvalid, err.Error())
	}
	old, err := s.opts.Store.readHead(ctx)
	if err != nil {
		return Result{}, refuse(outcome.StoreUnavailable, "")
	}
	if old.Revision != expected {
		return Result{}, s.conflictRefusal(ctx, expected, old.Record)
	}
	if err := s.opts.Store.putBody(ctx, body); err != nil {
		return Result{}, refuse(outcome.StoreUnavailable, "")
	}
	next := Record{
		Revision: expected + 1,
		Object:   bodyKey(body),
		Author:   author,
		At:       time.Now().UTC(),
		Token:    uuid.NewString(),
	}
	if refusal := s.commit(ctx, old, next); refusal != nil {
		return Result{}, refusal
	}
	s.opts.Log.Info().Int("revision", next.Revision).Str("author", author).Msg("configuration written")
	if err := s.install(next.Revision, body); err != nil {
		s.opts.Log.Error().Err(err).Msg("configuration was written but could not be put in force on this instance")
	}
	s.opts.Peers.Push(next.Revision, body)
	return s.awaitInForce(ctx, next.Revision), nil
}

// commit writes the row. If a response is lost, it retries with the same token, which makes the commit idempotent,
// until the result is certain.
func (s *Sync) commit(ctx context.Context, old head, next Record) *outcome.Refusal {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcomeUnknown := false
	for {
		err := s.opts.Store.commit(ctx, old, next)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, api.ErrConflict):
			return s.resolveConflict(ctx, next, outcomeUnknown)
		case errors.Is(err, api.ErrUnavailable) && !outcomeUnknown:
			return refuse(outcome.StoreUnavailable, "")
		case !errors.Is(err, api.ErrUnavailable):
			outcomeUnknown = true
		}
		if s.isWritten(ctx, next) {
			return nil
		}
		if sleep(ctx, commitRetryInterval) != nil {
			return refuse(outcome.StoreUnknown, "")
		}
	}
}

// isWritten reports whether the history contains the record. It returns false if it contains another record or none, or
// if the read failed.
func (s *Sync) isWritten(ctx context.Context, next Record) bool {
	r, err := s.opts.Store.readHistory(ctx, next.Revision)
	return err == nil && r.Token == next.Token
}

// resolveConflict returns nil if an earlier attempt of this call wrote the record and its response was lost, and the
// refusal of a conflict otherwise. Without an earlier attempt of unknown outcome, the conflict is with another operator's
// write. With one, the history is read until it shows which of the two it is; if ctx ends before, the refusal says that
// the outcome is unknown.
func (s *Sync) resolveConflict(ctx context.Context, next Record, outcomeUnknown bool) *outcome.Refusal {
	for {
		r, err := s.opts.Store.readHistory(ctx, next.Revision)
		if err == nil && r.Token == next.Token {
			return nil
		}
		if err == nil || !outcomeUnknown {
			return s.conflictRefusal(ctx, next.Revision-1, r)
		}
		if sleep(ctx, commitRetryInterval) != nil {
			return refuse(outcome.StoreUnknown, "")
		}
	}
}

// conflictRefusal returns a refusal that names the expected and the current revision, each with its author.
func (s *Sync) conflictRefusal(ctx context.Context, expected int, current Record) *outcome.Refusal {
	if h, err := s.opts.Store.readHead(ctx); err == nil {
		current = h.Record
	}
	expectedAuthor := "unknown"
	if expectedRecord, err := s.opts.Store.readHistory(ctx, expected); err == nil {
		expectedAuthor = expectedRecord.Author
	}
	return refuse(outcome.ConfigConflict, fmt.Sprintf(
		"expected revision %d by %s, but the current revision is %d by %s at %s",
		expected, expectedAuthor, current.Revision, current.Author, current.At.Format(time.RFC3339)))
}

func refuse(reason outcome.Reason, message string) *outcome.Refusal {
	r := outcome.Refuse(reason)
	if message != "" {
		r.Message = message
	}
	return r
}

// awaitInForce waits until the revision is in force, ctx ends or inForceTimeout expires.
func (s *Sync) awaitInForce(ctx context.Context, revision int) Result {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	tracker := inForceTracker{revision: revision}
	for {
		inForce, unconfirmed := s.updateInForceTracker(&tracker)
		if inForce {
			return Result{Revision: revision, State: InForce, Unconfirmed: unconfirmed}
		}
		if sleep(ctx, inForcePollInterval) != nil {
			return Result{Revision: revision, State: Written, Unconfirmed: unconfirmed}
		}
	}
}

func (s *Sync) updateInForceTracker(tracker *inForceTracker) (bool, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return tracker.update(s.core, time.Now())
}

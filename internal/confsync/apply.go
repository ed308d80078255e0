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
	// acceptTimeout limits the time that Apply waits for acceptance. If some instances are partitioned, a revision is
	// accepted AcceptDelay after a majority has confirmed it.
	acceptTimeout = 10 * time.Second
	// acceptPollInterval is how often Apply checks for confirmations.
	acceptPollInterval = 20 * time.Millisecond
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
	// Unconfirmed lists the instances that have not confirmed the revision. If State is InForce, they have failed
	// closed.
	Unconfirmed []string
}

// Apply makes body the next revision if the current revision is expected. It waits until the new revision is in force,
// ctx ends or acceptTimeout expires. A refusal whose outcome is NotRun means that this call has not changed the
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
		s.opts.Log.Error().Err(err).Msg("failed to install applied configuration")
	}
	s.opts.Peers.Push(next.Revision, body)
	return s.awaitAcceptance(ctx, next.Revision), nil
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

// isWritten reads the history to find out whether the record was written. False means that this is unknown.
func (s *Sync) isWritten(ctx context.Context, next Record) bool {
	r, err := s.opts.Store.readHistory(ctx, next.Revision)
	return err == nil && r.Token == next.Token
}

// resolveConflict distinguishes a conflict with another operator's write from one with an earlier attempt of this
// call, which means that the record was written.
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
	seenAuthor := "unknown"
	if seen, err := s.opts.Store.readHistory(ctx, expected); err == nil {
		seenAuthor = seen.Author
	}
	return refuse(outcome.ConfigConflict, fmt.Sprintf(
		"expected revision %d by %s, but the current revision is %d by %s at %s",
		expected, seenAuthor, current.Revision, current.Author, current.At.Format(time.RFC3339)))
}

func refuse(reason outcome.Reason, message string) *outcome.Refusal {
	r := outcome.Refuse(reason)
	if message != "" {
		r.Message = message
	}
	return r
}

// awaitAcceptance waits until the revision is in force, ctx ends or acceptTimeout expires.
func (s *Sync) awaitAcceptance(ctx context.Context, revision int) Result {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	a := acceptance{revision: revision}
	for {
		inForce, unconfirmed := s.updateAcceptance(&a)
		if inForce {
			return Result{Revision: revision, State: InForce, Unconfirmed: unconfirmed}
		}
		if sleep(ctx, acceptPollInterval) != nil {
			return Result{Revision: revision, State: Written, Unconfirmed: unconfirmed}
		}
	}
}

func (s *Sync) updateAcceptance(a *acceptance) (bool, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.update(s.core, time.Now())
}

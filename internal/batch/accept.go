package batch

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/ownership"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

var (
	// ErrOtherTeam reports that the job belongs to another team.
	ErrOtherTeam = errors.New("job belongs to another team")
	// ErrUnknownJob reports that the store has no such job.
	ErrUnknownJob = errors.New("no such job")
)

const (
	// commitTimeout limits one call that writes to the store. commitBackoff is the delay before a retry; appends
	// double it after each failure, up to maxCommitBackoff, because many of them may be waiting.
	commitTimeout    = time.Second
	commitBackoff    = 100 * time.Millisecond
	maxCommitBackoff = 400 * time.Millisecond
)

// Accept stores a job and makes this instance, or the owner of the route's previous step, its owner. Accepting a job that
// is stored already has no effect. After api.ErrUnavailable the job never runs; after any other error it may run.
func (s *Service) Accept(ctx context.Context, job *Job) error {
	if accepted, err := s.isAccepted(job); accepted {
		return err
	}
	items, err := s.storeItems(ctx, job)
	if err != nil {
		// The job does not exist without its row, even if the object was stored.
		return errors.Wrap(api.ErrUnavailable, err.Error())
	}
	r := jobRecord{
		Team: job.Team, Route: job.Route, Model: job.Model, Step: job.Step, Total: len(job.Items),
		Owner: s.chooseOwner(job), Term: 1, Submitted: job.Submitted.UnixMilli(),
	}
	// The feed may show the row before the commit responds, or after a response that is lost: then watchOwners starts the job.
	s.setStarting(job.ID, true)
	defer s.setStarting(job.ID, false)
	revision, err := s.createRow(ctx, job.ID, r, items)
	if errors.Is(err, api.ErrConflict) {
		return s.checkExistingJob(ctx, job)
	}
	if err != nil {
		return err
	}
	s.applyRow(job.ID, r, revision, s.options.Now())
	if r.Owner != s.options.Instance {
		// The owner starts the job when its feed shows the row.
		s.cache.put(job)
		if r.Owner == ownership.Unassigned {
			s.options.Log.Info().Str("job", job.ID).Int("step", job.Step).Msg(event.JobUnassigned)
			return nil
		}
		s.options.Log.Info().Str("job", job.ID).Str("owner", r.Owner).Int("step", job.Step).Msg(event.JobAssigned)
		return nil
	}
	s.startJob(job, r, revision, nil)
	return nil
}

// setStarting marks a job that no other task of this instance may start.
func (s *Service) setStarting(id string, starting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !starting {
		delete(s.starting, id)
		return
	}
	s.starting[id] = true
}

// isAccepted reports whether the job's row is in memory, with ErrOtherTeam if the job belongs to another team.
func (s *Service) isAccepted(job *Job) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[job.ID]
	if !ok {
		return false, nil
	}
	if row.Team != job.Team {
		return true, ErrOtherTeam
	}
	return true, nil
}

// checkExistingJob checks that the stored job with the same ID belongs to the same team.
func (s *Service) checkExistingJob(ctx context.Context, job *Job) error {
	row, err := s.refreshRow(ctx, job.ID)
	if err != nil {
		return errors.Wrap(api.ErrEffectUnknown, err.Error())
	}
	if row.Team != job.Team {
		return ErrOtherTeam
	}
	return nil
}

// createRow writes the first row of a job. If the response to a write is lost, it retries until it knows whether the
// row was stored: a refusal promises that the job never runs.
func (s *Service) createRow(ctx context.Context, id string, r jobRecord, items []api.Write) (int, error) {
	mayBeStored := false
	for {
		revision, err := s.commitRow(ctx, id, r, api.NoRevision, items...)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, api.ErrEffectUnknown):
			mayBeStored = true
		case errors.Is(err, api.ErrConflict):
			return s.resolveCreateConflict(ctx, id, r, err)
		case !mayBeStored:
			return 0, err
		}
		if !wait.Sleep(ctx, commitBackoff) {
			return 0, errors.Wrap(api.ErrEffectUnknown, "write job row")
		}
	}
}

// resolveCreateConflict returns the revision of the existing row if an earlier attempt of createRow wrote it, and the
// conflict otherwise.
func (s *Service) resolveCreateConflict(ctx context.Context, id string, r jobRecord, conflict error) (int, error) {
	row, err := s.options.Store.Get(ctx, jobKey(id))
	if err != nil {
		return 0, errors.Wrap(api.ErrEffectUnknown, err.Error())
	}
	found, err := decodeRecord(row.Value)
	if err == nil && found == r {
		return row.Revision, nil
	}
	return 0, conflict
}

// commitRow writes a job's row, and other rows of the job, in one transaction.
func (s *Service) commitRow(ctx context.Context, id string, r jobRecord, expected int, otherWrites ...api.Write) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return s.options.Store.Commit(ctx, api.Txn{
		Token:  uuid.NewString(),
		Writes: append([]api.Write{{Key: jobKey(id), Expected: expected, Value: api.EncodeValue(r)}}, otherWrites...),
	})
}

// End ends a job. Its results stay readable. After an error the job may have ended or not.
func (s *Service) End(ctx context.Context, id, team string) error {
	for {
		err := s.tryEnd(ctx, id, team)
		if err == nil || errors.Is(err, ErrOtherTeam) || errors.Is(err, ErrUnknownJob) {
			return err
		}
		if !wait.Sleep(ctx, commitBackoff) {
			return errors.Wrap(api.ErrEffectUnknown, err.Error())
		}
	}
}

// tryEnd makes one attempt to end a job. After a failed commit it refreshes the job's row for the next attempt.
func (s *Service) tryEnd(ctx context.Context, id, team string) error {
	row, err := s.rowForTeam(ctx, id, team)
	if err != nil {
		return err
	}
	if row.Ended {
		return nil
	}
	r := row.jobRecord
	r.Ended = true
	revision, err := s.commitRow(ctx, id, r, row.revision)
	if err != nil {
		// The row changed or may have changed.
		_, readErr := s.refreshRow(ctx, id)
		if errors.Is(readErr, api.ErrNotFound) {
			return ErrUnknownJob
		}
		return err
	}
	s.applyRow(id, r, revision, s.options.Now())
	return nil
}

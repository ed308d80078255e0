package batch

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

var (
	// ErrOtherTeam reports a job of another team.
	ErrOtherTeam = errors.New("job belongs to another team")
	// ErrUnknownJob reports that the store has no such job.
	ErrUnknownJob = errors.New("no such job")
)

const (
	// commitTimeout bounds one write of a row; commitPause is the wait before it is repeated, which doubles up to
	// longestPause where many writes wait.
	commitTimeout = time.Second
	commitPause   = 100 * time.Millisecond
	longestPause  = 400 * time.Millisecond
)

// Accept stores a job and makes this instance its owner. A job that is stored already is accepted again
// without effect. After api.ErrUnavailable no part of the job runs; after any other error it may.
func (s *Service) Accept(ctx context.Context, job *Job) error {
	if done, err := s.accepted(job); done {
		return err
	}
	items, err := s.storeItems(ctx, job)
	if err != nil {
		// Without its row the object is not a job, whether it was stored or not.
		return errors.Wrap(api.ErrUnavailable, err.Error())
	}
	r := record{
		Team: job.Team, Route: job.Route, Model: job.Model, Step: job.Step, Total: len(job.Items),
		Owner: s.options.Instance, Term: 1, Submitted: job.Submitted.UnixMilli(),
	}
	revision, err := s.create(ctx, job.ID, r, items)
	if errors.Is(err, api.ErrConflict) {
		return s.acceptedElsewhere(ctx, job)
	}
	if err != nil {
		return err
	}
	s.own(job, r, revision, nil)
	return nil
}

// accepted reports whether the job's row is known.
func (s *Service) accepted(job *Job) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.known[job.ID]
	if !ok {
		return false, nil
	}
	if k.Team != job.Team {
		return true, ErrOtherTeam
	}
	return true, nil
}

func (s *Service) acceptedElsewhere(ctx context.Context, job *Job) error {
	k, err := s.fresh(ctx, job.ID)
	if err != nil {
		return errors.Wrap(api.ErrUnknown, err.Error())
	}
	if k.Team != job.Team {
		return ErrOtherTeam
	}
	return nil
}

// create writes the first row of a job. A write whose answer was lost is repeated until its result is known:
// a refusal would promise that the job never runs.
func (s *Service) create(ctx context.Context, id string, r record, items []api.Write) (int, error) {
	unknown := false
	for {
		revision, err := s.commit(ctx, id, r, api.NoRevision, items...)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, api.ErrUnknown):
			unknown = true
		case errors.Is(err, api.ErrConflict):
			return s.created(ctx, id, r, err)
		case !unknown:
			return 0, err
		}
		if !wait.Sleep(ctx, commitPause) {
			return 0, errors.Wrap(api.ErrUnknown, "job row")
		}
	}
}

// created tells whether the row that exists is the one that an earlier attempt of this instance wrote.
func (s *Service) created(ctx context.Context, id string, r record, conflict error) (int, error) {
	row, err := s.options.Store.Get(ctx, jobKey(id))
	if err != nil {
		return 0, errors.Wrap(api.ErrUnknown, err.Error())
	}
	found, err := decodeRecord(row.Value)
	if err == nil && found == r {
		return row.Revision, nil
	}
	return 0, conflict
}

// commit writes a job's row, and other rows of the job with it.
func (s *Service) commit(ctx context.Context, id string, r record, expected int, more ...api.Write) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return s.options.Store.Commit(ctx, api.Txn{
		Token:  uuid.NewString(),
		Writes: append([]api.Write{{Key: jobKey(id), Expected: expected, Value: api.EncodeValue(r)}}, more...),
	})
}

// End ends a job. Its list stays readable. After an error the job may have been ended.
func (s *Service) End(ctx context.Context, id, team string) error {
	for {
		err := s.tryEnd(ctx, id, team)
		if err == nil || errors.Is(err, ErrOtherTeam) || errors.Is(err, ErrUnknownJob) {
			return err
		}
		if !wait.Sleep(ctx, commitPause) {
			return errors.Wrap(api.ErrUnknown, err.Error())
		}
	}
}

func (s *Service) tryEnd(ctx context.Context, id, team string) error {
	k, err := s.recordOf(ctx, id, team)
	if err != nil {
		return err
	}
	if k.Ended {
		return nil
	}
	r := k.record
	r.Ended = true
	revision, err := s.commit(ctx, id, r, k.revision)
	if err != nil {
		// The row changed, or may have; the next try works on the row as it is.
		_, readErr := s.fresh(ctx, id)
		if errors.Is(readErr, api.ErrNotFound) {
			return ErrUnknownJob
		}
		return err
	}
	s.learn(id, r, revision, s.options.Now())
	return nil
}

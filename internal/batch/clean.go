package batch

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/lease"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// cleanInterval is the time between two looks for jobs to remove, cleanJobs the most removed at once.
	cleanInterval = 5 * time.Second
	cleanJobs     = 4
	// cleanRows bounds the rows that one call removes; each is two entries of it.
	cleanRows = 45
)

// Guard runs a function while this instance holds a lease.
type Guard interface {
	Guard(ctx context.Context, act func(ctx context.Context, term int64) error) error
}

// Clean removes jobs that nobody may read any more, with all that is stored of them, until ctx ends. keep is how
// long a job stays readable after its submission; open jobs stay for as long as their items may run. One
// instance cleans at a time.
func (s *Service) Clean(ctx context.Context, holder Guard, keep func() time.Duration) error {
	for wait.Sleep(ctx, cleanInterval) {
		for _, id := range s.expired(time.Now(), keep()) {
			err := holder.Guard(ctx, func(ctx context.Context, _ int64) error { return s.remove(ctx, id) })
			if errors.Is(err, lease.ErrNotHeld) {
				break
			}
			s.options.Log.Info().Str("job", id).AnErr("error", err).Msg(event.JobRemoved)
		}
		err := holder.Guard(ctx, func(ctx context.Context, _ int64) error { return s.removeOwners(ctx) })
		if err != nil && !errors.Is(err, lease.ErrNotHeld) {
			s.options.Log.Warn().Err(err).Msg(event.OwnersUnremoved)
		}
	}
	return nil
}

// ownerLife is how long the heartbeat row of a process that is gone is kept.
const ownerLife = 10 * time.Minute

// removeOwners removes the heartbeat rows of processes that are gone and own no open job.
func (s *Service) removeOwners(ctx context.Context) error {
	s.mu.Lock()
	owning := map[string]bool{s.options.Instance: true}
	for _, k := range s.known {
		owning[k.Owner] = owning[k.Owner] || !k.Ended
	}
	remove := true
	var writes []api.Write
	for owner, heard := range s.heard {
		if !owning[owner] && s.options.Now().Sub(heard) > ownerLife && len(writes) < cleanRows {
			writes = append(writes, api.Write{Key: ownerTable + "/" + owner, Expected: api.AnyRevision, Delete: &remove})
		}
	}
	s.mu.Unlock()
	if len(writes) == 0 {
		return nil
	}
	_, err := s.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
	return err
}

// expired returns some jobs that are older than keep. Submission times come from other instances' clocks, so a
// margin is left.
func (s *Service) expired(now time.Time, keep time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, k := range s.known {
		age := now.Sub(time.UnixMilli(k.Submitted))
		if age > keep+clockMargin && (k.Ended || age > 2*keep) && len(ids) < cleanJobs {
			ids = append(ids, id)
		}
	}
	return ids
}

// clockMargin covers clocks that differ between instances.
const clockMargin = 15 * time.Second

// remove removes a job's objects and rows. The job's row goes last, so that a removal that was interrupted is
// taken up again.
func (s *Service) remove(ctx context.Context, id string) error {
	objects := []string{itemsObject(id)}
	for _, prefix := range []string{partPrefix(id), "text/" + id + "/"} {
		names, err := s.options.Store.Names(ctx, prefix)
		if err != nil {
			return err
		}
		objects = append(objects, names...)
	}
	for _, object := range objects {
		if err := s.options.Store.Delete(ctx, object); err != nil {
			return err
		}
	}
	for _, prefix := range []string{itemTable + "/" + id + "/", resultPrefix(id)} {
		if err := s.removeRows(ctx, prefix); err != nil {
			return err
		}
	}
	row, err := s.options.Store.Get(ctx, jobKey(id))
	if errors.Is(err, api.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.removeAll(ctx, []api.Row{row})
}

func (s *Service) removeRows(ctx context.Context, prefix string) error {
	for {
		rows, _, err := s.options.Store.Range(ctx, prefix, prefix, cleanRows)
		if err != nil || len(rows) == 0 {
			return err
		}
		if err := s.removeAll(ctx, rows); err != nil {
			return err
		}
	}
}

func (s *Service) removeAll(ctx context.Context, rows []api.Row) error {
	remove := true
	txn := api.Txn{Token: uuid.NewString()}
	for _, row := range rows {
		txn.Writes = append(txn.Writes, api.Write{Key: row.Key, Expected: row.Revision, Delete: &remove})
	}
	_, err := s.options.Store.Commit(ctx, txn)
	return err
}

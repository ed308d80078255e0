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
	// cleanInterval is the time between two searches for jobs to remove. maxCleanJobs limits the jobs that one search
	// removes.
	cleanInterval = 5 * time.Second
	maxCleanJobs  = 4
	// maxCleanRows limits the rows that one call removes; each row takes two entries of the call.
	maxCleanRows = 45
)

// Lease runs a function while this instance holds the lease, and otherwise fails.
type Lease interface {
	Guard(ctx context.Context, act func(ctx context.Context, term int64) error) error
}

// Clean removes expired jobs, with all their rows and objects, until ctx ends. keep returns how long a job stays
// readable after its submission; open jobs are kept for twice as long, because their items may still run. Only the
// lease holder removes jobs.
func (s *Service) Clean(ctx context.Context, cleanupLease Lease, keep func() time.Duration) error {
	for wait.Sleep(ctx, cleanInterval) {
		for _, id := range s.expiredJobs(time.Now(), keep()) {
			err := cleanupLease.Guard(ctx, func(ctx context.Context, _ int64) error { return s.removeJob(ctx, id) })
			if errors.Is(err, lease.ErrNotHeld) {
				break
			}
			s.options.Log.Info().Str("job", id).AnErr("error", err).Msg(event.JobRemoved)
		}
		err := cleanupLease.Guard(ctx, func(ctx context.Context, _ int64) error { return s.removeHeartbeats(ctx) })
		if err != nil && !errors.Is(err, lease.ErrNotHeld) {
			s.options.Log.Warn().Err(err).Msg(event.HeartbeatRemovalFailed)
		}
	}
	return nil
}

// heartbeatRetention is how long the heartbeat row of a process that no longer runs is kept.
const heartbeatRetention = 10 * time.Minute

// removeHeartbeats removes the heartbeat rows of processes that no longer run and own no open job.
func (s *Service) removeHeartbeats(ctx context.Context) error {
	s.mu.Lock()
	ownsOpenJob := map[string]bool{s.options.Instance: true}
	for _, row := range s.rows {
		ownsOpenJob[row.Owner] = ownsOpenJob[row.Owner] || !row.Ended
	}
	var writes []api.Write
	for owner, lastHeartbeat := range s.lastHeartbeat {
		if !ownsOpenJob[owner] && s.options.Now().Sub(lastHeartbeat) > heartbeatRetention && len(writes) < maxCleanRows {
			writes = append(writes, api.Deletion(ownerTable+"/"+owner, api.AnyRevision))
		}
	}
	s.mu.Unlock()
	if len(writes) == 0 {
		return nil
	}
	_, err := s.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes})
	return err
}

// expiredJobs returns up to maxCleanJobs jobs that are older than keep. It adds clockMargin, because submission times
// come from the clocks of other instances.
func (s *Service) expiredJobs(now time.Time, keep time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, row := range s.rows {
		age := now.Sub(time.UnixMilli(row.Submitted))
		if age > keep+clockMargin && (row.Ended || age > 2*keep) && len(ids) < maxCleanJobs {
			ids = append(ids, id)
		}
	}
	return ids
}

// clockMargin allows for differences between the clocks of instances.
const clockMargin = 15 * time.Second

// removeJob removes a job's objects and rows. It removes the job's row last, so that an interrupted removal is
// retried.
func (s *Service) removeJob(ctx context.Context, id string) error {
	objects := []string{itemsObjectName(id)}
	for _, prefix := range []string{segmentPrefix(id), "text/" + id + "/"} {
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
		if err := s.removePrefix(ctx, prefix); err != nil {
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
	return s.removeRows(ctx, []api.Row{row})
}

// removePrefix removes all rows whose keys begin with prefix.
func (s *Service) removePrefix(ctx context.Context, prefix string) error {
	for {
		rows, _, err := s.options.Store.Range(ctx, prefix, prefix, maxCleanRows)
		if err != nil || len(rows) == 0 {
			return err
		}
		if err := s.removeRows(ctx, rows); err != nil {
			return err
		}
	}
}

// removeRows removes rows in one transaction, on condition that none of them changed.
func (s *Service) removeRows(ctx context.Context, rows []api.Row) error {
	txn := api.Txn{Token: uuid.NewString()}
	for _, row := range rows {
		txn.Writes = append(txn.Writes, api.Deletion(row.Key, row.Revision))
	}
	_, err := s.options.Store.Commit(ctx, txn)
	return err
}

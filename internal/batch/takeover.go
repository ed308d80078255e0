package batch

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/ownership"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

// ownerCheckInterval is the time between two checks for owners that have timed out.
const ownerCheckInterval = 100 * time.Millisecond

// heartbeatLoop writes this instance's heartbeat row while it owns jobs, and for ownerIdleTime after that.
func (s *Service) heartbeatLoop(ctx context.Context) {
	for wait.Sleep(ctx, ownership.HeartbeatInterval) {
		s.mu.Lock()
		needsHeartbeat := s.needsHeartbeatLocked()
		s.mu.Unlock()
		if !needsHeartbeat {
			continue
		}
		h := s.measurements()
		if err := s.writeHeartbeat(ctx, h); err != nil {
			s.options.Log.Debug().Err(err).Msg(event.HeartbeatWriteFailed)
			continue
		}
		s.setAnnounced(h)
	}
}

// needsHeartbeatLocked reports whether other instances need this instance's heartbeats. The caller holds the lock.
func (s *Service) needsHeartbeatLocked() bool {
	now := s.options.Now()
	if len(s.owned) > 0 {
		s.ownedJobsAt = now
	}
	return !s.ownedJobsAt.IsZero() && now.Sub(s.ownedJobsAt) <= ownerIdleTime
}

// heartbeat is the value of an owner's heartbeat row.
type heartbeat struct {
	// Departed is set when the owner has released its jobs.
	Departed bool `json:"departed,omitempty"`
	// EventIntervals is the interval between two events that the owner measured for each engine, in microseconds.
	EventIntervals map[string]int64 `json:"paces,omitempty"`
	// Running is the number of items that the owner runs on each engine.
	Running map[string]int `json:"running,omitempty"`
	// Speeds is the lasting speed of engines. Owners of earlier builds do not report it.
	Speeds map[string]engineSpeed `json:"speeds,omitempty"`
	// Demand is the owner's demand for slots. Owners of earlier builds do not report it.
	Demand []routeDemand `json:"demand,omitempty"`
}

func decodeHeartbeat(value string) (heartbeat, error) {
	var h heartbeat
	err := json.Unmarshal([]byte(value), &h)
	return h, errors.Wrap(err, "decode heartbeat")
}

// writeHeartbeat writes this instance's heartbeat row. Nothing is written after a departure, so that a heartbeat that is
// under way cannot replace it.
func (s *Service) writeHeartbeat(ctx context.Context, h heartbeat) error {
	select {
	case s.heartbeatSlot <- struct{}{}:
		defer func() { <-s.heartbeatSlot }()
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if s.departed {
		return nil
	}
	s.departed = h.Departed
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := s.options.Store.Commit(ctx, api.Txn{
		Token:  uuid.NewString(),
		Writes: []api.Write{{Key: ownerTable + "/" + s.options.Instance, Expected: api.AnyRevision, Value: api.EncodeValue(h)}},
	})
	return err
}

// measurements returns a heartbeat with this instance's event intervals and numbers of running items, by engine.
func (s *Service) measurements() heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := heartbeat{EventIntervals: map[string]int64{}, Running: map[string]int{}}
	for _, pool := range s.pools {
		for id, interval := range pool.EventIntervals(time.Now()) {
			h.EventIntervals[id] = interval.Microseconds()
		}
		for id, n := range pool.Running() {
			h.Running[id] += n
		}
	}
	h.Speeds, h.Demand = s.ownSpeeds(time.Now()), s.ownDemandLocked()
	return h
}

// applyMeasurements passes the measurements in another owner's heartbeat to the pools. The caller holds the lock.
func (s *Service) applyMeasurements(owner string, h heartbeat) {
	now := time.Now()
	if owner == s.options.Instance {
		for _, pool := range s.pools {
			pool.RecordReportArrival(now)
		}
		return
	}
	s.learnSpeeds(h.Speeds, now)
	if len(h.Speeds) == 0 {
		s.applyEventIntervals(h.EventIntervals)
	}
	report := peerReport{h, now}
	s.peerReports[owner] = report
	for key, pool := range s.pools {
		report.applyTo(pool, key, owner)
	}
}

// applyEventIntervals records the event intervals that an owner of an earlier build reported, for engines that this instance
// has not measured. The caller holds the lock.
func (s *Service) applyEventIntervals(intervals map[string]int64) {
	now := time.Now()
	for _, pool := range s.pools {
		own := pool.EventIntervals(now)
		for id, us := range intervals {
			if own[id] == 0 {
				pool.RecordEventInterval(id, time.Duration(us)*time.Microsecond, now)
			}
		}
	}
}

// watchOwners takes over jobs whose owners have timed out or departed.
func (s *Service) watchOwners(ctx context.Context) {
	for wait.Sleep(ctx, ownerCheckInterval) {
		for id, row := range s.jobsToTakeOver() {
			s.startTakeover(id, row)
		}
	}
}

// jobsToTakeOver returns the open jobs that this instance should take over now.
func (s *Service) jobsToTakeOver() map[string]jobRow {
	// An owner's silence counts only up to the last successful read of both tables: heartbeats after it have not been
	// seen here.
	lastRead := earlierTime(s.ownerFollower.LastSuccess(), s.jobFollower.LastSuccess())
	healthyFor := min(s.ownerFollower.HealthyFor(lastRead), s.jobFollower.HealthyFor(lastRead))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil
	}
	candidate := ownership.Candidate{
		Instance: s.options.Instance, Machine: s.options.Machine, IsSmall: s.options.Capacities.IsSmall(s.options.Instance),
		RunsJobs: len(s.owned) > 0,
	}
	orphaned := map[string]jobRow{}
	for id, row := range s.rows {
		if row.Ended || s.owned[id] != nil || s.starting[id] {
			continue
		}
		lastHeartbeat, hasHeartbeat := s.lastHeartbeat[row.Owner]
		silence := ownership.Silence{
			LastRead: lastRead, HealthyFor: healthyFor, LastHeartbeat: lastHeartbeat, HasHeartbeat: hasHeartbeat, OwnerSeenAt: row.ownerSeenAt,
		}
		if candidate.MayTakeOver(id, row.Owner, silence) {
			orphaned[id] = row
		}
	}
	return orphaned
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// startTakeover takes over a job in the background.
func (s *Service) startTakeover(id string, row jobRow) {
	s.mu.Lock()
	if s.starting[id] || s.owned[id] != nil {
		s.mu.Unlock()
		return
	}
	s.starting[id] = true
	s.mu.Unlock()
	s.tasks.Go(func() {
		err := s.takeOver(s.taskCtx, id, row)
		if err != nil && s.taskCtx.Err() == nil {
			s.options.Log.Warn().Err(err).Str("job", id).Str("owner", row.Owner).Int("term", row.Term).Msg(event.TakeoverFailed)
			wait.Sleep(s.taskCtx, commitBackoff)
		}
		s.mu.Lock()
		delete(s.starting, id)
		s.mu.Unlock()
	})
}

// takeOver makes this instance the owner of a job and starts to run it. Rewriting the job's row prevents further
// appends by the former owner, so the list is read after it. Reading may take seconds, in which the job may end.
func (s *Service) takeOver(ctx context.Context, id string, row jobRow) error {
	r, revision := row.jobRecord, row.revision
	if r.Owner != s.options.Instance {
		r.Owner = s.options.Instance
		r.Term++
		var err error
		if revision, err = s.commitRow(ctx, id, r, row.revision); err != nil {
			_, readErr := s.refreshRow(ctx, id)
			if errors.Is(err, api.ErrConflict) && readErr == nil {
				// Another instance took the job over, or the job ended.
				return nil
			}
			return err
		}
		s.applyRow(id, r, revision, s.options.Now())
	}
	s.options.Log.Info().Str("job", id).Str("former", row.Owner).Int("term", r.Term).Int("revision", revision).Msg(event.JobTakenOver)
	job, err := s.jobWithItems(ctx, id)
	if err != nil {
		return errors.WithMessage(err, "read items")
	}
	listed, err := s.readAllResults(ctx, id)
	if err != nil {
		return errors.WithMessage(err, "read results")
	}
	s.startJob(job, r, revision, listed)
	return nil
}

// readAllResults reads the whole list of results of a job.
func (s *Service) readAllResults(ctx context.Context, id string) ([]Result, error) {
	var all []Result
	for {
		page, err := s.readResults(ctx, id, len(all))
		if err != nil || len(page) == 0 {
			return all, err
		}
		all = append(all, page...)
	}
}

// Drain releases all owned jobs and stores the text of their unfinished items, so that other instances take the jobs
// over without waiting for ownerTimeout.
func (s *Service) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	owned, hasHeartbeat := s.ownedJobsLocked(), s.needsHeartbeatLocked()
	s.mu.Unlock()
	for _, o := range owned {
		o.release(ctx)
	}
	if !hasHeartbeat {
		return
	}
	if err := s.writeHeartbeat(ctx, heartbeat{Departed: true}); err != nil {
		s.options.Log.Warn().Err(err).Msg(event.DepartureWriteFailed)
	}
}

// release stores the text of the job's items that are not listed yet, and stops running the job.
func (o *ownedJob) release(ctx context.Context) {
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return
	}
	texts := map[string]storedText{}
	for id, item := range o.progress.items {
		if item.text.Last > 0 && !o.isListed(item) {
			texts[id] = item.copyText()
		}
	}
	term := o.record.Term
	o.mu.Unlock()
	o.service.storeTexts(ctx, textObjectName(o.job.ID, term), o.job.ID, texts)
	// The job has not ended; the owner is only logged.
	o.stop(jobRecord{Owner: "none"})
}

// isListed reports whether an item's result is in the list.
func (o *ownedJob) isListed(item *itemState) bool {
	if !item.done {
		return false
	}
	return !slices.ContainsFunc(o.progress.unlisted, func(r Result) bool { return r.ID == item.item.ID })
}

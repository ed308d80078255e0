package batch

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// heartbeatInterval is the time between an owner's heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// silence is how long an owner may be silent: three heartbeats and the time of a call.
	silence = time.Second
	// spread divides the takeovers of different instances, so that one succeeds before the others try.
	spread = 600 * time.Millisecond
	// watchInterval is the time between looks for silent owners.
	watchInterval = 100 * time.Millisecond
)

// heartbeat writes this instance's heartbeat row while it owns jobs.
func (s *Service) heartbeat(ctx context.Context) {
	for wait.Sleep(ctx, heartbeatInterval) {
		s.mu.Lock()
		idle := len(s.owned) == 0
		s.mu.Unlock()
		if idle {
			continue
		}
		if err := s.beat(ctx, s.measurements()); err != nil {
			s.options.Log.Debug().Err(err).Msg(event.HeartbeatUnwritten)
		}
	}
}

// heartbeat is the value of an owner's row.
type heartbeat struct {
	// Departed: the owner gives its jobs up.
	Departed bool `json:"departed,omitempty"`
	// Paces holds what the owner measured of engines, in microseconds between two events.
	Paces map[string]int64 `json:"paces,omitempty"`
	// Running is the number of items that the owner runs on each engine.
	Running map[string]int `json:"running,omitempty"`
}

func decodeHeartbeat(value string) (heartbeat, error) {
	var h heartbeat
	err := json.Unmarshal([]byte(value), &h)
	return h, errors.Wrap(err, "decode heartbeat")
}

func (s *Service) beat(ctx context.Context, h heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := s.options.Store.Commit(ctx, api.Txn{
		Token:  uuid.NewString(),
		Writes: []api.Write{{Key: ownerTable + "/" + s.options.Instance, Expected: api.AnyRevision, Value: api.EncodeValue(h)}},
	})
	return err
}

// measurements returns what this instance knows of engines.
func (s *Service) measurements() heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := heartbeat{Paces: map[string]int64{}, Running: map[string]int{}}
	for _, pool := range s.pools {
		for id, pace := range pool.Paces(time.Now()) {
			h.Paces[id] = pace.Microseconds()
		}
		for id, n := range pool.Running() {
			h.Running[id] += n
		}
	}
	return h
}

// adoptMeasurements takes what another owner knows of engines. The lock is held.
func (s *Service) adoptMeasurements(owner string, h heartbeat) {
	if owner == s.options.Instance {
		return
	}
	s.adoptPaces(h.Paces)
	for _, pool := range s.pools {
		pool.SetForeign(owner, h.Running, time.Now())
	}
}

// adoptPaces takes the measurements of another owner for engines that this instance has not measured itself.
// The lock is held.
func (s *Service) adoptPaces(paces map[string]int64) {
	now := time.Now()
	for _, pool := range s.pools {
		own := pool.Paces(now)
		for id, us := range paces {
			if own[id] == 0 {
				pool.Measure(id, time.Duration(us)*time.Microsecond, now)
			}
		}
	}
}

// watchOwners takes over jobs whose owners are silent.
func (s *Service) watchOwners(ctx context.Context) {
	for wait.Sleep(ctx, watchInterval) {
		for id, k := range s.orphans() {
			s.startTakeover(id, k)
		}
	}
}

// orphans returns the open jobs that this instance should take over now.
func (s *Service) orphans() map[string]knownJob {
	// Silence counts up to the last answer only: without news an owner may have sent a heartbeat.
	confirmed := earlier(s.owners.Confirmed(), s.jobs.Confirmed())
	healthy := min(s.owners.HealthyFor(confirmed), s.jobs.HealthyFor(confirmed))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil
	}
	found := map[string]knownJob{}
	for id, k := range s.known {
		if k.Ended || s.owned[id] != nil || s.taking[id] {
			continue
		}
		heard, ok := s.heard[k.Owner]
		if s.mayTake(id, k, silentFor(confirmed, heard, ok, k.since, healthy)) {
			found[id] = k
		}
	}
	return found
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// silentFor returns how long an owner has certainly been silent: time in which this instance got no news
// does not count. healthy is for how long news came without a failure until confirmed.
func silentFor(confirmed, heard time.Time, ok bool, known time.Time, healthy time.Duration) time.Duration {
	if ok && heard.IsZero() {
		return silence + spread
	}
	last := known
	if heard.After(last) {
		last = heard
	}
	return min(confirmed.Sub(last), healthy)
}

// mayTake reports whether it is this instance's turn to take over a job whose owner was silent for so long.
func (s *Service) mayTake(id string, k knownJob, silent time.Duration) bool {
	if k.Owner == s.options.Instance {
		return true
	}
	if machine, _, ok := strings.Cut(k.Owner, "/"); ok && machine == s.options.Machine {
		// The process that owned the job ran on this machine and is gone.
		return true
	}
	turn := xxhash.Sum64String(id+s.options.Instance) % uint64(spread)
	return silent >= silence+time.Duration(turn)
}

// startTakeover makes this instance the owner of a job in the background.
func (s *Service) startTakeover(id string, k knownJob) {
	s.mu.Lock()
	if s.taking[id] || s.owned[id] != nil {
		s.mu.Unlock()
		return
	}
	s.taking[id] = true
	s.mu.Unlock()
	s.tasks.Go(func() {
		err := s.takeOver(s.base, id, k)
		if err != nil && s.base.Err() == nil {
			s.options.Log.Warn().Err(err).Str("job", id).Str("owner", k.Owner).Int("term", k.Term).Msg(event.TakeoverFailed)
			wait.Sleep(s.base, commitPause)
		}
		s.mu.Lock()
		delete(s.taking, id)
		s.mu.Unlock()
	})
}

// takeOver rewrites the job's row, after which the former owner cannot append, and reads the list.
func (s *Service) takeOver(ctx context.Context, id string, k knownJob) error {
	r, revision := k.record, k.revision
	if r.Owner != s.options.Instance {
		r.Owner = s.options.Instance
		r.Term++
		var err error
		if revision, err = s.commit(ctx, id, r, k.revision); err != nil {
			_, readErr := s.fresh(ctx, id)
			if errors.Is(err, api.ErrConflict) && readErr == nil {
				// Another instance was first, or the job ended.
				return nil
			}
			return err
		}
	}
	s.options.Log.Info().Str("job", id).Str("former", k.Owner).Int("term", r.Term).Int("revision", revision).Msg(event.JobTakenOver)
	job, err := s.items(ctx, id)
	if err != nil {
		return errors.WithMessage(err, "read items")
	}
	listed, err := s.allResults(ctx, id)
	if err != nil {
		return errors.WithMessage(err, "read results")
	}
	s.own(job, r, revision, listed)
	return nil
}

func (s *Service) allResults(ctx context.Context, id string) ([]Result, error) {
	var all []Result
	for {
		page, err := s.results(ctx, id, len(all))
		if err != nil || len(page) == 0 {
			return all, err
		}
		all = append(all, page...)
	}
}

// Drain gives all owned jobs up, with the text of their unfinished items, so that another instance takes them
// over at once.
func (s *Service) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	owned := s.ownedJobs()
	s.mu.Unlock()
	for _, o := range owned {
		o.release(ctx)
	}
	if len(owned) == 0 {
		return
	}
	if err := s.beat(ctx, heartbeat{Departed: true}); err != nil {
		s.options.Log.Warn().Err(err).Msg(event.DepartureUnwritten)
	}
}

// release stops a job and stores the text of its unfinished items.
func (o *ownedJob) release(ctx context.Context) {
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return
	}
	texts := map[string]storedText{}
	for id, item := range o.progress.items {
		if item.text.Last > 0 && !o.isListed(item) {
			texts[id] = item.stored()
		}
	}
	term := o.record.Term
	o.mu.Unlock()
	o.service.keepTexts(ctx, textObject(o.job.ID, term), o.job.ID, texts)
	o.stop(record{Owner: "none"})
}

// isListed reports whether an item's result is in the list.
func (o *ownedJob) isListed(item *itemState) bool {
	if !item.done {
		return false
	}
	return !slices.ContainsFunc(o.progress.ready, func(r Result) bool { return r.ID == item.item.ID })
}

package batch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/follow"
	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/placement"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// Store is the platform's table service and object store as far as jobs need them. Rows of one job are in
// one part of the table.
type Store interface {
	follow.Source
	Get(ctx context.Context, key string) (api.Row, error)
	// Range returns rows with a prefix whose keys are not before from, in the order of their keys, and
	// whether there are more.
	Range(ctx context.Context, prefix, from string, limit int) ([]api.Row, bool, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
	Put(ctx context.Context, object string, data []byte) error
	Object(ctx context.Context, object string) ([]byte, error)
	Delete(ctx context.Context, object string) error
	// Names returns the names of objects that begin with prefix.
	Names(ctx context.Context, prefix string) ([]string, error)
}

// Run is one run of an item on an engine.
type Run struct {
	Job    *Job
	Item   *Item
	Target live.Target
	// After is the id of the last event that is known; the engine goes on after it.
	After int
	// Deadline is when the item is given up.
	Deadline time.Time
	// Later jobs wait for an earlier step of their route: their items yield to those of others.
	Later bool
}

const (
	// FirstEventTimeout is how long an engine may take to the first event of an item, with its place in the queue.
	FirstEventTimeout = 1500 * time.Millisecond
	// EventTimeout is how long a pause between two events may last. Events are 40 to 140 ms apart, one pause in a
	// thousand items is longer than 0.43 s, and an item that goes on elsewhere loses less than that.
	EventTimeout = 600 * time.Millisecond
)

// Runner sends items to engines. It calls sink for each event in order; an error of sink ends the run, and so does an
// engine that exceeds FirstEventTimeout or EventTimeout.
type Runner interface {
	Run(ctx context.Context, run Run, sink func(Event) error) Ending
}

// Options configure a Service.
type Options struct {
	// Instance names this process. It differs from that of an earlier process on the same machine.
	Instance string
	// Machine is the part of Instance that stays the same when the process is restarted.
	Machine string
	Store   Store
	Runner  Runner
	View    *live.View
	// Assigned tells which engines get new weights of a model.
	Assigned func(targets []live.Target, models []string) map[string]string
	Counter  outcome.Counter
	Log      zerolog.Logger
	// Now is a clock that counts the time of a suspension.
	Now func() time.Time
}

// Service accepts, runs and reads jobs.
type Service struct {
	options Options
	jobs    *follow.Follower
	owners  *follow.Follower

	mu sync.Mutex
	// known holds the rows of all jobs.
	known map[string]knownJob
	// heard is when each owner's heartbeat row last changed.
	heard map[string]time.Time
	owned map[string]*ownedJob
	pools map[string]*placement.Pool
	// taking marks jobs whose takeover is under way.
	taking map[string]bool
	// wake asks for another round of placement.
	wake     chan struct{}
	draining bool
	cache    *jobCache
	tasks    conc.WaitGroup
	// base ends with Run; tasks run under it.
	base    context.Context
	endBase context.CancelFunc
}

// ownerPace is the shortest time between two reads of the owners' heartbeats. Every instance reads them, and with
// 330 instances at 100 ms these reads alone would be half of what the table bears.
const ownerPace = 250 * time.Millisecond

type knownJob struct {
	record
	revision int
	// since is when this instance first saw the row with its owner.
	since time.Time
}

// New returns a service that owns no job.
func New(options Options) *Service {
	s := &Service{
		options: options,
		known:   map[string]knownJob{}, heard: map[string]time.Time{}, owned: map[string]*ownedJob{},
		pools: map[string]*placement.Pool{}, taking: map[string]bool{},
		wake: make(chan struct{}, 1), cache: newJobCache(),
	}
	s.base, s.endBase = context.WithCancel(context.Background())
	s.jobs = follow.New(follow.Options{Table: jobTable, Source: options.Store, Apply: s.applyJobs, Log: options.Log, Now: options.Now, MaxPace: follow.UrgentMaxPace})
	s.owners = follow.New(follow.Options{Table: ownerTable, Source: options.Store, Apply: s.applyOwners, Log: options.Log, Now: options.Now, Pace: ownerPace})
	return s
}

// Run runs the jobs that this instance owns until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.endBase)()
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.jobs.Run(ctx) })
	wg.Go(func() { _ = s.owners.Run(ctx) })
	wg.Go(func() { s.place(ctx) })
	wg.Go(func() { s.heartbeat(ctx) })
	wg.Go(func() { s.watchOwners(ctx) })
	wg.Wait()
	s.endBase()
	s.tasks.Wait()
	return nil
}

// Wake asks for a round of placement, for example because engines changed.
func (s *Service) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// applyJobs takes changed job rows.
func (s *Service) applyJobs(changes []api.Change) {
	now := s.options.Now()
	for _, c := range changes {
		id := c.Key[len(jobTable)+1:]
		if c.Deleted {
			s.forget(id)
			continue
		}
		r, err := decodeRecord(c.Value)
		if err != nil {
			s.options.Log.Warn().Err(err).Str("job", id).Msg(event.JobUnreadable)
			continue
		}
		s.learn(id, r, c.Revision, now)
	}
	s.Wake()
}

// learn takes a job's row. A row that ends an owned job, or names another owner, stops its runs.
func (s *Service) learn(id string, r record, revision int, now time.Time) {
	s.mu.Lock()
	old, ok := s.known[id]
	if ok && old.revision >= revision {
		s.mu.Unlock()
		return
	}
	k := knownJob{record: r, revision: revision, since: now}
	if ok && old.Owner == r.Owner {
		k.since = old.since
	}
	s.known[id] = k
	owned := s.owned[id]
	adopt := owned == nil && r.Owner == s.options.Instance && !r.Ended && !s.taking[id] && !s.draining
	s.mu.Unlock()
	if owned != nil && (r.Ended || r.Owner != s.options.Instance) {
		owned.stop(r)
		return
	}
	if owned != nil {
		owned.setRevision(revision)
	}
	if adopt {
		// The answer to the commit that made this instance the owner was lost.
		s.startTakeover(id, k)
	}
}

func (s *Service) forget(id string) {
	s.mu.Lock()
	delete(s.known, id)
	owned := s.owned[id]
	s.mu.Unlock()
	if owned != nil {
		owned.stop(record{Ended: true})
	}
}

// applyOwners takes changed heartbeat rows.
func (s *Service) applyOwners(changes []api.Change) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		owner := c.Key[len(ownerTable)+1:]
		if c.Deleted {
			delete(s.heard, owner)
			continue
		}
		beat, err := decodeHeartbeat(c.Value)
		if err != nil {
			s.options.Log.Warn().Err(err).Str("owner", owner).Msg(event.HeartbeatUnreadable)
			continue
		}
		if beat.Departed {
			// Zero counts as silent for long.
			s.heard[owner] = time.Time{}
			continue
		}
		s.heard[owner] = now
		s.adoptMeasurements(owner, beat)
	}
}

// OpenItems returns the number of items of open jobs by route.
func (s *Service) OpenItems() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := map[string]int{}
	for _, k := range s.known {
		if !k.Ended {
			open[k.Route] += k.Total
		}
	}
	return open
}

// record returns the row of a job, from the store if this instance does not know it.
func (s *Service) record(ctx context.Context, id string) (knownJob, error) {
	s.mu.Lock()
	k, ok := s.known[id]
	s.mu.Unlock()
	if ok {
		return k, nil
	}
	return s.fresh(ctx, id)
}

// fresh reads the row of a job.
func (s *Service) fresh(ctx context.Context, id string) (knownJob, error) {
	row, err := s.options.Store.Get(ctx, jobKey(id))
	if err != nil {
		return knownJob{}, err
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		return knownJob{}, err
	}
	s.learn(id, r, row.Revision, s.options.Now())
	return knownJob{record: r, revision: row.Revision}, nil
}

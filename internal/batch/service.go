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
	"github.com/egretspar/egretspar/internal/ownership"
	"github.com/egretspar/egretspar/internal/placement"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/reward"
	"github.com/egretspar/egretspar/internal/startlimit"
	"github.com/egretspar/egretspar/internal/targetlimit"
)

// Store is the subset of the platform's table service and object store that jobs need. All rows of one job are in
// the same partition of the table.
type Store interface {
	follow.Source
	Get(ctx context.Context, key string) (api.Row, error)
	// Range returns up to limit rows whose keys begin with prefix and are not less than from, in the order of their
	// keys, and whether there are more.
	Range(ctx context.Context, prefix, from string, limit int) ([]api.Row, bool, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
	Put(ctx context.Context, object string, data []byte) error
	Object(ctx context.Context, object string) ([]byte, error)
	Delete(ctx context.Context, object string) error
	// Names returns the names of objects that begin with prefix.
	Names(ctx context.Context, prefix string) ([]string, error)
}

// Run describes one attempt to run an item on an engine.
type Run struct {
	Job    *Job
	Item   *Item
	Target live.Target
	// LastEvent is the ID of the last event received in earlier runs; the engine continues after it. 0 means none.
	LastEvent int
	// Deadline is the time at which the item expires.
	Deadline time.Time
	// EarlierStepOpen is set while an earlier step of the job's route is still open: items of that step take
	// precedence.
	EarlierStepOpen bool
}

const (
	// FirstEventTimeout limits the time until an item's first event, including its time in the engine's queue.
	FirstEventTimeout = 1500 * time.Millisecond
	// EventTimeout limits the interval between two events of an item. Events are 40 to 140 ms apart, only one item in
	// a thousand has an interval of more than 0.43 s, and an item that continues at another engine loses less time
	// than that.
	EventTimeout = 600 * time.Millisecond
)

// Runner sends items to engines. Run calls sink for each event in order. The run ends when sink returns an error or
// when the engine exceeds FirstEventTimeout or EventTimeout.
type Runner interface {
	Run(ctx context.Context, run Run, sink func(Event) error) Ending
}

// Options configure a Service.
type Options struct {
	// Instance is the name of this process. It changes with every start, also on the same machine.
	Instance string
	// Machine is the prefix of Instance, up to its first slash, that stays the same when the process is restarted.
	Machine string
	Store   Store
	Runner  Runner
	View    *live.View
	// AssignModels returns, by target ID, the model whose new weights each target loads.
	AssignModels func(targets []live.Target, models []string) map[string]string
	// Capacities compares the processor time of instances; nil means that all are alike.
	Capacities ownership.Capacities
	// Limits holds the limits that engines name; nil means that there are none.
	Limits *targetlimit.Table
	// ColdBound limits the requests that a cold engine gets in a second.
	ColdBound startlimit.Bound
	// Rewards and RewardMetrics are needed only for items with reward requests.
	Rewards       RewardCaller
	RewardMetrics RewardMetrics
	Counter       outcome.Counter
	// Loaded is called with each job that is read from the store, and with the size of its encoding; nil means not at all.
	Loaded func(job *Job, size int)
	// PageReads limits the pages of results that are read from the store at once; 0 means no limit.
	PageReads int
	Log       zerolog.Logger
	// Now returns the time of a clock that keeps counting while the machine is suspended.
	Now func() time.Time
}

// Service accepts jobs, runs those that this instance owns, and reads the results of any job.
type Service struct {
	options       Options
	jobFollower   *follow.Follower
	ownerFollower *follow.Follower

	mu sync.Mutex
	// rows holds the rows of all jobs, by job ID.
	rows map[string]jobRow
	// lastHeartbeat is when each owner's heartbeat row last changed; the zero time marks an owner that departed.
	lastHeartbeat map[string]time.Time
	// owned holds the jobs that this instance runs, by job ID.
	owned map[string]*ownedJob
	// pools holds the placement pools, by service and model.
	pools map[poolKey]*placement.Pool
	// starts counts the runs that this process started.
	starts *startlimit.Counter
	// heldStarts counts the rounds of placement in which items waited because of this instance's share of the starts.
	heldStarts int64
	// peerReports holds the last heartbeat of each other owner, for pools that are created later.
	peerReports map[string]peerReport
	// speeds holds the speeds of engines that any owner reported. lastReported is the last engine whose speed this
	// instance reported.
	speeds       *placement.SpeedTable
	lastReported string
	// starting marks jobs that a takeover or Accept is about to start.
	starting map[string]bool
	// rewardLimiters limits the concurrent reward calls, by service.
	rewardLimiters map[string]*reward.Limiter
	// wake triggers the next round of placement, rewardWake the next round of reward calls.
	wake, rewardWake chan struct{}
	// pageReads holds a token for each page of results that is being read; nil means that there is no limit.
	pageReads chan struct{}
	// itemRead is held while an item is looked up for a caller, which may read the job from the store.
	itemRead chan struct{}
	draining bool
	// ownedJobsAt is when this instance last owned a job.
	ownedJobsAt time.Time
	// heartbeatSlot is held by the current write of the heartbeat row. departed is set by the last one.
	heartbeatSlot chan struct{}
	departed      bool
	cache         *jobCache
	tasks         conc.WaitGroup
	// taskCtx is the context of all background tasks; cancelTasks cancels it when Run ends.
	taskCtx     context.Context
	cancelTasks context.CancelFunc
}

// minHeartbeatPollInterval is the shortest time between two reads of the owners' heartbeats. Every instance reads
// them: with 330 instances, reads every 100 ms would take half of the table's capacity.
const minHeartbeatPollInterval = 250 * time.Millisecond

// jobRow is a job's record with the revision of the row from which it was read.
type jobRow struct {
	jobRecord
	revision int
	// ownerSeenAt is when this instance first saw the row with its current owner, endedSeenAt when it saw that the job had
	// ended.
	ownerSeenAt, endedSeenAt time.Time
}

// New returns a Service that owns no jobs.
func New(options Options) *Service {
	if options.Limits == nil {
		options.Limits = targetlimit.NewTable(options.Instance)
	}
	if options.Capacities == nil {
		options.Capacities = equalCapacities{}
	}
	s := &Service{
		options: options,
		rows:    map[string]jobRow{}, lastHeartbeat: map[string]time.Time{}, owned: map[string]*ownedJob{},
		pools: map[poolKey]*placement.Pool{}, starts: startlimit.NewCounter(time.Now()), starting: map[string]bool{},
		speeds: placement.NewSpeedTable(), peerReports: map[string]peerReport{},
		rewardLimiters: map[string]*reward.Limiter{}, heartbeatSlot: make(chan struct{}, 1),
		wake: make(chan struct{}, 1), rewardWake: make(chan struct{}, 1), cache: newJobCache(),
		itemRead: make(chan struct{}, 1),
	}
	if options.PageReads > 0 {
		s.pageReads = make(chan struct{}, options.PageReads)
	}
	s.taskCtx, s.cancelTasks = context.WithCancel(context.Background())
	s.jobFollower = follow.New(follow.Options{Table: jobTable, Source: options.Store, Apply: s.applyJobs, Log: options.Log, Now: options.Now, MaxInterval: follow.UrgentMaxInterval})
	s.ownerFollower = follow.New(follow.Options{Table: ownerTable, Source: options.Store, Apply: s.applyOwners, Log: options.Log, Now: options.Now, MinInterval: minHeartbeatPollInterval})
	return s
}

// Run runs the jobs that this instance owns until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.cancelTasks)()
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.jobFollower.Run(ctx) })
	wg.Go(func() { _ = s.ownerFollower.Run(ctx) })
	wg.Go(func() { s.placementLoop(ctx) })
	wg.Go(func() { s.rewardLoop(ctx) })
	wg.Go(func() { s.heartbeatLoop(ctx) })
	wg.Go(func() { s.watchOwners(ctx) })
	wg.Wait()
	s.cancelTasks()
	s.tasks.Wait()
	return nil
}

// Wake triggers a round of placement, for example after a change of the engines.
func (s *Service) Wake() {
	signal(s.wake)
}

// applyJobs applies changes of job rows.
func (s *Service) applyJobs(changes []api.Change) {
	now := s.options.Now()
	for _, c := range changes {
		id := c.Key[len(jobTable)+1:]
		if c.Deleted {
			s.dropRow(id)
			continue
		}
		r, err := decodeRecord(c.Value)
		if err != nil {
			s.options.Log.Warn().Err(err).Str("job", id).Msg(event.JobDecodeFailed)
			continue
		}
		s.applyRow(id, r, c.Revision, now)
	}
	s.Wake()
}

// applyRow records a job's row unless the same or a newer revision is recorded already. If this instance owns the
// job and the row ends it or names another owner, its runs stop.
func (s *Service) applyRow(id string, r jobRecord, revision int, now time.Time) {
	s.mu.Lock()
	oldRow, ok := s.rows[id]
	if ok && oldRow.revision >= revision {
		s.mu.Unlock()
		return
	}
	row := jobRow{jobRecord: r, revision: revision, ownerSeenAt: now}
	if ok && oldRow.Owner == r.Owner {
		row.ownerSeenAt = oldRow.ownerSeenAt
	}
	switch {
	case ok && oldRow.Ended:
		row.endedSeenAt = oldRow.endedSeenAt
	case r.Ended:
		row.endedSeenAt = now
	}
	s.rows[id] = row
	owned := s.owned[id]
	needsTakeover := owned == nil && r.Owner == s.options.Instance && !r.Ended && !s.starting[id] && !s.draining
	s.mu.Unlock()
	if owned != nil && (r.Ended || r.Owner != s.options.Instance) {
		owned.stop(r)
		return
	}
	if owned != nil {
		owned.setRevision(revision)
	}
	if needsTakeover {
		// An earlier commit made this instance the owner, but its response was lost.
		s.startTakeover(id, row)
	}
}

// dropRow removes a job whose row was deleted, and stops its runs.
func (s *Service) dropRow(id string) {
	s.mu.Lock()
	delete(s.rows, id)
	owned := s.owned[id]
	s.mu.Unlock()
	if owned != nil {
		owned.stop(jobRecord{Ended: true})
	}
}

// applyOwners applies changes of heartbeat rows.
func (s *Service) applyOwners(changes []api.Change) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		owner := c.Key[len(ownerTable)+1:]
		if c.Deleted {
			delete(s.lastHeartbeat, owner)
			delete(s.peerReports, owner)
			continue
		}
		received, err := decodeHeartbeat(c.Value)
		if err != nil {
			s.options.Log.Warn().Err(err).Str("owner", owner).Msg(event.HeartbeatDecodeFailed)
			continue
		}
		if received.Departed {
			// The zero time allows an immediate takeover.
			s.lastHeartbeat[owner] = time.Time{}
			delete(s.peerReports, owner)
			continue
		}
		s.lastHeartbeat[owner] = now
		s.applyMeasurements(owner, received)
	}
}

// OpenItems returns the total number of items in open jobs, by route.
func (s *Service) OpenItems() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := map[string]int{}
	for _, row := range s.rows {
		if !row.Ended {
			open[row.Route] += row.Total
		}
	}
	return open
}

// row returns the row of a job. It reads the store only if the row is not in memory.
func (s *Service) row(ctx context.Context, id string) (jobRow, error) {
	s.mu.Lock()
	row, ok := s.rows[id]
	s.mu.Unlock()
	if ok {
		return row, nil
	}
	return s.refreshRow(ctx, id)
}

// refreshRow reads the row of a job from the store and applies it.
func (s *Service) refreshRow(ctx context.Context, id string) (jobRow, error) {
	row, err := s.options.Store.Get(ctx, jobKey(id))
	if err != nil {
		return jobRow{}, err
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		return jobRow{}, err
	}
	s.applyRow(id, r, row.Revision, s.options.Now())
	return jobRow{jobRecord: r, revision: row.Revision}, nil
}

package batch

import "time"

const (
	// maxHeartbeatAge is the age of an owner's last heartbeat up to which it is given further jobs: two heartbeat
	// intervals and the time of a call. An older one may belong to an owner that has just crashed, whose jobs would wait
	// for a takeover.
	maxHeartbeatAge = 2*heartbeatInterval + 100*time.Millisecond
	// ownerIdleTime is how long an owner continues to write heartbeats after its last job. The next step of a route may
	// be submitted seconds after the previous one has ended.
	ownerIdleTime = 10 * time.Second
	// minEnginesToKeepOwner is the number of engines of a service from which on steps stay with their owner. In a smaller
	// deployment most instances have open connections from recent steps anyway, and it costs more that a failed owner
	// delays all open steps of a trainer.
	minEnginesToKeepOwner = 32
)

// ownerChoice holds what the choice of a new job's owner depends on.
type ownerChoice struct {
	self string
	job  *Job
	rows map[string]jobRow
	// lastHeartbeat is when each owner's heartbeat last changed; the zero time marks an owner that departed.
	lastHeartbeat map[string]time.Time
	// engines is the number of engines of the job's service.
	engines int
	now     time.Time
}

// owner returns the instance that should run the job. Steps of a route mostly go to the owner of the previous step: it
// has open connections to the engines of the route's model and knows their load and speed. Any other instance would open
// a connection for each item that it runs concurrently. The accepting instance runs the job itself if the service
// has few engines, or if that owner may be down, leaves, or runs jobs of another route too, so that the routes spread over
// the instances.
func (c ownerChoice) owner() string {
	previous, ok := c.previousOwner()
	if !ok || c.engines < minEnginesToKeepOwner || previous == c.self || !c.isAlive(previous) || c.runsOtherRoute(previous) {
		return c.self
	}
	return previous
}

// previousOwner returns the owner of the newest earlier step of the job's route and model.
func (c ownerChoice) previousOwner() (string, bool) {
	newest, owner := -1, ""
	for id, row := range c.rows {
		if id != c.job.ID && row.Route == c.job.Route && row.Model == c.job.Model && row.Step < c.job.Step && row.Step > newest {
			newest, owner = row.Step, row.Owner
		}
	}
	return owner, newest >= 0
}

// isAlive reports whether an owner's heartbeat is recent enough.
func (c ownerChoice) isAlive(owner string) bool {
	last, ok := c.lastHeartbeat[owner]
	return ok && !last.IsZero() && c.now.Sub(last) <= maxHeartbeatAge
}

// runsOtherRoute reports whether an owner runs an open job of another route.
func (c ownerChoice) runsOtherRoute(owner string) bool {
	for _, row := range c.rows {
		if row.Owner == owner && !row.Ended && row.Route != c.job.Route {
			return true
		}
	}
	return false
}

// chooseOwner returns the instance that should run a job that this instance accepts.
func (s *Service) chooseOwner(job *Job) string {
	engines := 0
	for _, t := range s.options.View.Targets() {
		if t.Service == job.Service {
			engines++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ownerChoice{
		self: s.options.Instance, job: job, rows: s.rows, lastHeartbeat: s.lastHeartbeat, engines: engines, now: s.options.Now(),
	}.owner()
}

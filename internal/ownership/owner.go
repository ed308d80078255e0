// Package ownership decides which instance runs a batch job, and when another one takes the job over. It does no I/O and has
// no clock.
//
// It is designed for this load: a trainer submits a step every few seconds through any instance, several trainers do so at once,
// and the instances differ in processor time by a factor of five.
package ownership

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats of an owner.
	HeartbeatInterval = 300 * time.Millisecond
	// MaxHeartbeatAge is the age of an owner's last heartbeat up to which it is given further jobs: two heartbeat
	// intervals and the time of a call. An older one may belong to an owner that has just crashed, whose jobs would wait
	// for a takeover.
	MaxHeartbeatAge = 2*HeartbeatInterval + 100*time.Millisecond
	// MinEnginesToKeepOwner is the number of engines of a service from which on steps stay with their owner. In a smaller
	// deployment most instances have open connections from recent steps anyway, and it costs more that a failed owner
	// delays all open steps of a trainer.
	MinEnginesToKeepOwner = 32
)

// Unassigned is the owner of a job that any instance may take over at once.
const Unassigned = ""

// Job is what the choice of an owner needs to know of a job.
type Job struct {
	ID, Route, Model string
	Step             int
	Owner            string
	Ended            bool
}

// Capacities compares the processor time of instances.
type Capacities interface {
	// IsSmall reports whether an instance is known to have at most smallFraction of the processor time of the largest one.
	IsSmall(instance string) bool
}

// Choice holds what the choice of a new job's owner depends on.
type Choice struct {
	Self string
	Job  Job
	// Jobs are all known jobs.
	Jobs []Job
	// LastHeartbeat is when each owner's heartbeat last changed; the zero time marks an owner that departed.
	LastHeartbeat map[string]time.Time
	// Engines is the number of engines of the job's service.
	Engines    int
	Capacities Capacities
	Now        time.Time
}

// Owner returns the instance that should run the job. Steps of a route mostly go to the owner of the previous step: it
// has open connections to the engines of the route's model and knows their load and speed. Any other instance would open
// a connection for each item that it runs concurrently. The accepting instance runs the job itself if the service
// has few engines, or if that owner may be down, leaves, or runs jobs of another route too, so that the routes spread over
// the instances. A small instance is no owner, since the items of a step keep its processor busy: the job then stays unassigned
// until a larger instance takes it.
func (c Choice) Owner() string {
	previous, ok := c.previousOwner()
	if ok && c.Engines >= MinEnginesToKeepOwner && c.isAlive(previous) && !c.runsOtherRoute(previous) && !c.Capacities.IsSmall(previous) {
		return previous
	}
	if c.Capacities.IsSmall(c.Self) {
		return Unassigned
	}
	return c.Self
}

// previousOwner returns the owner of the newest earlier step of the job's route and model.
func (c Choice) previousOwner() (string, bool) {
	newest, owner := -1, Unassigned
	for _, j := range c.Jobs {
		if j.ID != c.Job.ID && j.Route == c.Job.Route && j.Model == c.Job.Model && j.Step < c.Job.Step && j.Step > newest {
			newest, owner = j.Step, j.Owner
		}
	}
	return owner, owner != Unassigned
}

// isAlive reports whether an owner's heartbeat is recent enough. This instance is alive.
func (c Choice) isAlive(owner string) bool {
	last, ok := c.LastHeartbeat[owner]
	return owner == c.Self || ok && !last.IsZero() && c.Now.Sub(last) <= MaxHeartbeatAge
}

// runsOtherRoute reports whether an owner runs an open job of another route. This instance has accepted the job, so it may.
func (c Choice) runsOtherRoute(owner string) bool {
	if owner == c.Self {
		return false
	}
	for _, j := range c.Jobs {
		if j.Owner == owner && !j.Ended && j.Route != c.Job.Route {
			return true
		}
	}
	return false
}

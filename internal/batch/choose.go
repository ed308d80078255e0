package batch

import (
	"time"

	"github.com/egretspar/egretspar/internal/ownership"
)

// ownerIdleTime is how long an owner continues to write heartbeats after its last job. The next step of a route may
// be submitted seconds after the previous one has ended.
const ownerIdleTime = 10 * time.Second

// equalCapacities is used when nothing is known of the processor time of instances.
type equalCapacities struct{}

// IsSmall implements ownership.Capacities.
func (equalCapacities) IsSmall(string) bool { return false }

// chooseOwner returns the instance that should run a job that this instance accepts, or ownership.Unassigned.
func (s *Service) chooseOwner(job *Job) string {
	engines := 0
	for _, t := range s.options.View.Targets() {
		if t.Service == job.Service {
			engines++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]ownership.Job, 0, len(s.rows))
	for id, row := range s.rows {
		jobs = append(jobs, ownership.Job{ID: id, Route: row.Route, Model: row.Model, Step: row.Step, Owner: row.Owner, Ended: row.Ended})
	}
	return ownership.Choice{
		Self: s.options.Instance, Job: ownership.Job{ID: job.ID, Route: job.Route, Model: job.Model, Step: job.Step}, Jobs: jobs,
		LastHeartbeat: s.lastHeartbeat, Engines: engines, Capacities: s.options.Capacities, Now: s.options.Now(),
	}.Owner()
}

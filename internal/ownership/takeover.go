package ownership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownerTimeout is the time without a heartbeat after which an owner's jobs are taken over: three heartbeat
	// intervals and the time of a call.
	ownerTimeout = time.Second
	// takeoverSpread is the range of delays by which the takeover attempts of different instances differ, so that one
	// succeeds before the others try.
	takeoverSpread = 600 * time.Millisecond
	// smallInstanceDelay is by how much later a small instance takes a job over. All larger instances have tried by then.
	smallInstanceDelay = takeoverSpread + 100*time.Millisecond
	// busyInstanceDelay is by how much later an instance that runs jobs takes an unassigned one, so that jobs spread.
	busyInstanceDelay = 200 * time.Millisecond
	// maxSilence is the longest silence for which an instance waits.
	maxSilence = ownerTimeout + takeoverSpread + smallInstanceDelay
)

// Silence is what an instance knows of the time in which an owner has sent no heartbeat.
type Silence struct {
	// LastRead is when the heartbeats were last read. HealthyFor is how long reads had succeeded without a failure by then.
	LastRead   time.Time
	HealthyFor time.Duration
	// LastHeartbeat is when the owner's heartbeat last changed, if HasHeartbeat; the zero time marks an owner that departed.
	LastHeartbeat time.Time
	HasHeartbeat  bool
	// OwnerSeenAt is when this instance first saw the job with its owner.
	OwnerSeenAt time.Time
}

// Duration returns for how long the owner has certainly sent no heartbeat. Time in which this instance could not
// read the heartbeats does not count.
func (s Silence) Duration() time.Duration {
	if s.HasHeartbeat && s.LastHeartbeat.IsZero() {
		return maxSilence
	}
	lastSeen := s.OwnerSeenAt
	if s.LastHeartbeat.After(lastSeen) {
		lastSeen = s.LastHeartbeat
	}
	return min(s.LastRead.Sub(lastSeen), s.HealthyFor)
}

// Candidate is an instance that may take jobs over.
type Candidate struct {
	Instance string
	// Machine is the prefix of Instance, up to its first slash, that stays the same when the process is restarted.
	Machine string
	IsSmall bool
	// RunsJobs is set while the instance owns other open jobs.
	RunsJobs bool
}

// MayTakeOver reports whether the candidate may take over a job now, given the silence of its owner.
func (c Candidate) MayTakeOver(job, owner string, s Silence) bool {
	if owner == c.Instance {
		return true
	}
	if machine, _, ok := strings.Cut(owner, "/"); ok && machine == c.Machine {
		// The owner was an earlier process on this machine, which no longer runs.
		return true
	}
	if owner == Unassigned {
		delay := c.delay(job)
		if c.RunsJobs {
			delay += busyInstanceDelay
		}
		return s.LastRead.Sub(s.OwnerSeenAt) >= delay
	}
	return s.Duration() >= ownerTimeout+c.delay(job)
}

// delay differs between the candidates of one job.
func (c Candidate) delay(job string) time.Duration {
	delay := time.Duration(xxhash.Sum64String(job+c.Instance) % uint64(takeoverSpread))
	if c.IsSmall {
		delay += smallInstanceDelay
	}
	return delay
}

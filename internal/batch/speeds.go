package batch

import (
	"maps"
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/placement"
)

// maxReportedSpeeds bounds the speeds in one heartbeat, because every instance reads all heartbeats. Successive heartbeats report the
// engines in turn.
const maxReportedSpeeds = 8

// engineSpeed is the lasting speed of an engine in a heartbeat row.
type engineSpeed struct {
	StartNumber int64 `json:"start,omitempty"`
	// IntervalUs is the time between two events at the reference load of package placement, in microseconds.
	IntervalUs int64 `json:"us"`
	Windows    int   `json:"n"`
}

// ownSpeeds returns the speeds that the next heartbeat reports, by engine, and records them in s.speeds. Each call continues
// after the engines that the last one reported. The caller holds the lock.
func (s *Service) ownSpeeds(now time.Time) map[string]engineSpeed {
	all := map[string]placement.Speed{}
	for _, pool := range s.pools {
		for id, speed := range pool.Speeds() {
			if speed.Windows > all[id].Windows {
				all[id] = speed
			}
		}
	}
	reported := map[string]engineSpeed{}
	for _, id := range s.nextReported(slices.Sorted(maps.Keys(all))) {
		speed := all[id]
		s.speeds.Learn(id, speed, now)
		reported[id] = engineSpeed{StartNumber: speed.StartNumber, IntervalUs: speed.Interval.Microseconds(), Windows: speed.Windows}
	}
	return reported
}

// nextReported returns the engines whose speeds the next heartbeat reports. The caller holds the lock.
func (s *Service) nextReported(ids []string) []string {
	if len(ids) <= maxReportedSpeeds {
		return ids
	}
	first, found := slices.BinarySearch(ids, s.lastReported)
	if found {
		first++
	}
	var next []string
	for i := range maxReportedSpeeds {
		next = append(next, ids[(first+i)%len(ids)])
	}
	s.lastReported = next[len(next)-1]
	return next
}

// learnSpeeds records the speeds in another owner's heartbeat. The caller holds the lock.
func (s *Service) learnSpeeds(speeds map[string]engineSpeed, now time.Time) {
	for id, speed := range speeds {
		s.speeds.Learn(id, placement.Speed{
			StartNumber: speed.StartNumber, Interval: time.Duration(speed.IntervalUs) * time.Microsecond, Windows: speed.Windows,
		}, now)
	}
}

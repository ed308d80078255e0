package confsync

import "time"

// outage is the state of the last store outage, as seen by this instance's own reads.
type outage struct {
	isOngoing bool
	endedAt   time.Time
}

// recordReadResult updates the outage state after a read of the row.
func (s *Sync) recordReadResult(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.outage.isOngoing = true
		return
	}
	if s.outage.isOngoing {
		s.outage = outage{endedAt: now}
	}
}

// StoreOutage returns the time since the end of the last store outage that this instance saw, or 0 during an outage.
// If there was none, seen is false.
func (s *Sync) StoreOutage(now time.Time) (age time.Duration, seen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage.isOngoing {
		return 0, true
	}
	if s.outage.endedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.outage.endedAt), true
}

package retry

import "time"

// AdoptSuspect lets this instance run a suspect as if it had seen the crashes itself. It is for requests that only
// one instance runs at a time, such as the samples of a step. Without it, an instance that takes over from
// one that saw a crash and stopped would wait for another instance that never receives the request.
func (g *Guard) AdoptSuspect(fingerprint uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	crashes := g.allCrashes(fingerprint, now)
	if len(crashes) == 0 {
		return
	}
	rec := g.ensureRecord(fingerprint, now)
	for _, crash := range crashes {
		rec.crashes = rec.crashes.add(crash)
	}
}

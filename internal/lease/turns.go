package lease

import "time"

// turnDelay returns how long this candidate leaves a released lease to others, counted from when it first saw the release. A former
// holder waits until the lease duration has passed since it acted, because receivers take a holder that acts again within it, after
// another one, for two holders at once. All others wait only if the row has no room for one more former holder.
func (c *candidateState) turnDelay() time.Duration {
	if c.latest.Holder == c.holder {
		return 0
	}
	var oldest time.Duration
	for _, f := range c.latest.Former {
		if f.Holder == c.holder {
			return max(0, c.turnDuration()-f.age())
		}
		oldest = max(oldest, f.age())
	}
	if len(c.latest.Former) < maxFormerHolders {
		return 0
	}
	return max(0, c.turnDuration()-oldest)
}

// formerHolders returns the former holders for a record of this candidate that is written at now. Ages grow by the time since the
// latest row was seen, which is not before it was written, so they are never too high.
func (c *candidateState) formerHolders(now time.Time) []formerHolder {
	elapsed := max(0, now.Sub(c.latestSince))
	var former []formerHolder
	for _, f := range c.latest.Former {
		former = c.appendRecent(former, f.Holder, f.age()+elapsed)
	}
	switch {
	case c.latest.revision == 0:
	case c.latest.Released:
		former = c.appendRecent(former, c.latest.Holder, elapsed)
	default:
		// The holder may have acted until the lease expired.
		former = c.appendRecent(former, c.latest.Holder, max(0, elapsed-c.duration()))
	}
	return former
}

// appendRecent appends another holder that acted last at the given age, unless it may act again.
func (c *candidateState) appendRecent(former []formerHolder, holder string, age time.Duration) []formerHolder {
	if holder == c.holder || age >= c.turnDuration() {
		return former
	}
	return append(former, formerHolder{Holder: holder, AgeMs: age.Milliseconds()})
}

// age returns the least time since the holder acted last, when the record was written.
func (f formerHolder) age() time.Duration { return time.Duration(max(0, f.AgeMs)) * time.Millisecond }

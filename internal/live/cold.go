package live

import "time"

// minColdChange is the change of ColdUntil from which on it is news. Each response states the remaining time anew.
const minColdChange = 50 * time.Millisecond

// ObserveCold records that a target says it remains cold for a time. It reports whether that changes when the target has
// warmed up. A statement never shortens what an earlier one said: it may have been under way for longer.
func (v *View) ObserveCold(id string, left time.Duration, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.runs[id]
	until := now.Add(left)
	if !ok || left <= 0 || until.Before(r.coldUntil.Add(minColdChange)) {
		return false
	}
	r.coldUntil = until
	v.runs[id] = r
	if t, ok := v.targets[id]; ok {
		t.ColdUntil = until
		v.put(t, r)
		v.signalChange()
	}
	return true
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package startlimit

import (
	"slices"
	"time"
)

const (
	// window is the time over which starts are counted: a second, and the time by which the delays of two requests on
	// their way to a target differ.
	window = 1200 * time.Millisecond
	// predecessorTime is how long a process that has just started starts no runs, because its predecessor may have used the
	// whole share just before. Until window has passed, half of the share counts as used.
	predecessorTime = 700 * time.Millisecond
	// frozenAfter is the time without a round of placement from which on the process counts as frozen. Rounds are at most
	// 150 ms apart while items are open.
	frozenAfter = time.Second
)

// Counter counts the runs that this process started on each target lately. It is not safe for concurrent use.
type Counter struct {
	starts map[string][]time.Time
	// startedAt is when the process started, resumedAt when it went on after it was frozen.
	startedAt, resumedAt time.Time
	// nextRound is when the next round of placement is due; the zero time if none is.
	nextRound time.Time
	evictedAt time.Time
}

// NewCounter returns a counter of a process that started at a time.
func NewCounter(startedAt time.Time) *Counter {
	return &Counter{starts: map[string][]time.Time{}, startedAt: startedAt}
}

// BeginRound records that a round of placement begins. It returns true if the process was frozen before.
func (c *Counter) BeginRound(now time.Time) bool {
	wasFrozen := !c.nextRound.IsZero() && now.Sub(c.nextRound) > frozenAfter
	if wasFrozen {
		c.resumedAt = now
	}
	c.nextRound = now
	return wasFrozen
}

// EndRound records when the next round of placement is due; 0 means that there is nothing to place.
func (c *Counter) EndRound(pause time.Duration, now time.Time) {
	c.nextRound = time.Time{}
	if pause > 0 {
		c.nextRound = now.Add(pause)
	}
	c.evict(now)
}

// Left returns how many runs may start on a target now, given this instance's share.
func (c *Counter) Left(target string, share int, now time.Time) int {
	used := 0
	for _, at := range c.starts[target] {
		if now.Sub(at) < window {
			used++
		}
	}
	switch {
	case now.Sub(c.startedAt) < predecessorTime:
		used = share
	case now.Sub(c.startedAt) < window, now.Sub(c.resumedAt) < window:
		used += (share + 1) / 2
	}
	return share - used
}

// Record counts a start.
func (c *Counter) Record(target string, now time.Time) {
	c.starts[target] = append(c.starts[target], now)
}

// Delay records that the run that was counted at a time starts only now.
func (c *Counter) Delay(target string, countedAt, now time.Time) {
	starts := c.starts[target]
	if i := slices.IndexFunc(starts, countedAt.Equal); i >= 0 {
		starts[i] = now
		return
	}
	c.Record(target, now)
}

// evict forgets starts that no longer count.
func (c *Counter) evict(now time.Time) {
	if now.Sub(c.evictedAt) < window {
		return
	}
	c.evictedAt = now
	for target, starts := range c.starts {
		starts = slices.DeleteFunc(starts, func(at time.Time) bool { return now.Sub(at) >= window })
		if len(starts) == 0 {
			delete(c.starts, target)
			continue
		}
		c.starts[target] = starts
	}
}

package reward

import "time"

const (
	// initialCallsPerTarget is the initial limit of concurrent calls for each target of a service.
	initialCallsPerTarget = 2
	// latencyWeight is the weight of a new observation in the smoothed latency.
	latencyWeight = 0.2
	// queueingFraction is the part of the latency objective that a call may take on average. Beyond it, calls wait in
	// the targets' queues, and so do the requests of callers.
	queueingFraction = 0.5
	// decreaseFactor reduces the limit, at most once per decreaseInterval: calls that are running when the limit falls
	// were started under the old one.
	decreaseFactor   = 0.7
	decreaseInterval = 100 * time.Millisecond
)

// Limiter limits the concurrent reward calls of one instance to one service. The limit grows by one for each round of
// calls that end quickly, and shrinks when targets refuse calls or respond slowly. Instances therefore share a service
// without knowing of each other, and a single busy instance uses all of it.
type Limiter struct {
	limit      float64
	running    int
	latency    time.Duration
	decreaseAt time.Time
}

// Capacity describes the usable targets of a service.
type Capacity struct {
	Targets int
	Slots   int
}

// Add adds a target.
func (c Capacity) Add(slots int) Capacity {
	return Capacity{Targets: c.Targets + 1, Slots: c.Slots + slots}
}

// maxCalls is the highest limit: one slot of each target stays free for the requests of callers.
func (c Capacity) maxCalls() float64 { return float64(max(1, c.Slots-c.Targets)) }

// Start reserves a place for a call, or returns false if the limit is reached or the service has no targets.
func (l *Limiter) Start(c Capacity) bool {
	if c.Targets == 0 {
		return false
	}
	if l.limit == 0 {
		l.limit = float64(initialCallsPerTarget * c.Targets)
	}
	l.limit = min(l.limit, c.maxCalls())
	if float64(l.running) >= l.limit {
		return false
	}
	l.running++
	return true
}

// End releases the place of a call and adapts the limit. objective is the latency objective of the call's route, or 0.
func (l *Limiter) End(ending Ending, elapsed, objective time.Duration, now time.Time) {
	l.running--
	if ending == Scored || ending == Failed {
		l.observeLatency(elapsed)
	}
	isSlow := objective > 0 && float64(l.latency) > queueingFraction*float64(objective)
	if ending == Refused || ending == Lost || isSlow {
		l.decrease(now)
		return
	}
	l.limit += 1 / l.limit
}

// Cancel releases the place of a call that ended for a reason other than its targets.
func (l *Limiter) Cancel() { l.running-- }

func (l *Limiter) observeLatency(elapsed time.Duration) {
	if l.latency == 0 {
		l.latency = elapsed
		return
	}
	l.latency += time.Duration(latencyWeight * float64(elapsed-l.latency))
}

func (l *Limiter) decrease(now time.Time) {
	if now.Before(l.decreaseAt) {
		return
	}
	l.limit = max(1, l.limit*decreaseFactor)
	l.decreaseAt = now.Add(decreaseInterval)
}

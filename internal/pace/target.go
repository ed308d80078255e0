package pace

import (
	"math"
	"time"

	"github.com/egretspar/egretspar/internal/target"
)

const (
	// startShare is the part of its requests for a target that an instance sends to one that just started.
	startShare = 0.1
	// minTargetRate, in requests per second, lets an instance find out that a target has room.
	minTargetRate = 0.02
	// startGrowth is the growth of the rate per second, as a part of it, before the first bad response.
	startGrowth = 1.0
	// quickStep is the change of the rate, in requests per second, by a response that found nothing waiting, and nearStep
	// that near a rate that was too high within limitRetention: between nearLimit of it and as far above.
	quickStep      = 3.0
	nearStep       = 0.5
	nearLimit      = 0.75
	limitRetention = 2 * time.Second
	// targetSetpoint places the response time at which the rate does not change between the usual one and the objective.
	targetSetpoint = 0.18
	// targetGain is the change of the rate by a response that is slower than that by the objective, and refusedCut by a
	// refusal.
	targetGain = 8.0
	refusedCut = 3.0
	// maxBase is the largest usual response time of a target as a part of the objective.
	maxBase = 0.5
	// slowerWeight, shorterWeight and floorWeight are the weights of a response in the usual response time if it is slower,
	// if it is shorter, and while the rate is so low that nothing waits.
	slowerWeight  = 0.02
	shorterWeight = 0.1
	floorWeight   = 0.2
	floorFactor   = 1.5
	// wantedWindow is the time constant in seconds of the counts of wanted requests of a service, and of wanted, served and
	// refused requests of a target.
	wantedWindow = 2.0
	// growthPause is the time after a bad response before the rate grows without good responses.
	growthPause = time.Second
	// refusalsToBegin is the number of recent refusals that limit a target.
	refusalsToBegin = 1.5
	// A limit ends after minLimited if no response was bad for quietToEnd, nor any of the last goodToEnd, and the rate is endFactor
	// of what is wanted.
	minLimited = 5 * time.Second
	quietToEnd = 3 * time.Second
	endFactor  = 0.9
	goodToEnd  = 12
	// capFactor is the most that the rate is raised to, as a multiple of what is wanted.
	capFactor = 1.3
	// targetBurst is the time in seconds for which an unused rate may be used later, besides one request.
	targetBurst = 0.02
	// targetRetention is how long a target is remembered that gets no requests.
	targetRetention = time.Minute
)

// targetPace holds the rate of requests that one instance sends to one target while the target is limited: because it has
// just started, has recovered from a fault or refuses requests.
type targetPace struct {
	limited bool
	// down is set after a fault until the first response.
	down bool
	// rate is in requests per second, floor is the rate at which the limit began, and tokens are the requests that may be
	// sent now.
	rate, floor, tokens float64
	// tooHigh is a rate that was too high at tooHighAt.
	tooHigh   float64
	tooHighAt time.Time
	// base is the usual response time in seconds.
	base float64
	// wasSlow reports whether the last response was slower than the setpoint.
	wasSlow bool
	// wanted, served and refused count recent requests, each weighted by its age.
	wanted, served, refused float64
	// good counts the responses since the last bad one.
	good int
	// growth is the growth factor of this instance for the target.
	growth               float64
	updatedAt, startedAt time.Time
	lastBadAt            time.Time
}

// start begins a limit. The tokens are random, so that instances do not send their first requests together.
func (t *targetPace) start(rate, base, tokens float64, now time.Time) {
	t.limited, t.down, t.wasSlow = true, false, false
	t.floor = max(minTargetRate, rate)
	t.rate, t.tokens, t.base = t.floor, tokens, base
	t.tooHigh, t.lastBadAt = 0, time.Time{}
	t.startedAt, t.updatedAt = now, now
}

// startRate returns the rate with which a target starts.
func (t *targetPace) startRate() float64 { return startShare * t.wanted / wantedWindow }

func (t *targetPace) advance(now time.Time) {
	step := min(now.Sub(t.updatedAt), maxStep).Seconds()
	t.updatedAt = now
	if step <= 0 {
		return
	}
	retained := math.Exp(-step / wantedWindow)
	t.wanted *= retained
	t.served *= retained
	t.refused *= retained
	if !t.limited {
		return
	}
	if quiet := now.Sub(t.lastBadAt); t.lastBadAt.IsZero() {
		t.rate *= 1 + step*startGrowth*t.growth
	} else if quiet > growthPause {
		t.rate *= 1 + step*growthPerSecond*t.growth*min(quiet, endAfter).Seconds()
	}
	t.tokens = min(t.tokens+t.rate*step, 1+t.rate*targetBurst)
	isQuiet := t.good >= goodToEnd && now.Sub(t.startedAt) > minLimited && now.Sub(t.lastBadAt) > quietToEnd
	if isQuiet && t.rate > endFactor*t.wanted/wantedWindow {
		t.limited = false
	}
}

// take reports whether a request may be sent to the target. While the target is down, its breaker decides.
func (t *targetPace) take(now time.Time) bool {
	t.advance(now)
	t.wanted++
	switch {
	case !t.limited || t.down:
		return true
	case t.tokens < 1:
		return false
	}
	t.tokens--
	return true
}

// observe changes the state after an attempt. base is the usual response time of the service in seconds, and tokens a random
// number below 1.
func (t *targetPace) observe(c Call, result target.Result, elapsed time.Duration, base, tokens float64, now time.Time) {
	t.advance(now)
	switch result {
	case target.OK:
		t.observeResponse(c, elapsed, base, tokens, now)
	case target.Unreachable, target.Broken:
		t.down = t.down || result == target.Unreachable
		t.cut(refusedCut, now)
	case target.Refused:
		t.refused++
		if !t.limited && t.refused >= refusalsToBegin {
			t.start(t.served/wantedWindow, base, 0, now)
		}
		t.tooHigh, t.tooHighAt = t.rate, now
		t.cut(refusedCut, now)
	case target.Cancelled, target.Misdirected, target.Failed:
	}
}

func (t *targetPace) observeResponse(c Call, elapsed time.Duration, base, tokens float64, now time.Time) {
	t.served++
	t.good++
	if t.down {
		t.start(t.startRate(), base, tokens, now)
	}
	if !t.limited || c.Untimed {
		return
	}
	s, objective := elapsed.Seconds(), c.Objective.Seconds()
	t.learnBase(s, objective)
	e := (s-t.base)/objective - targetSetpoint*max(0, 1-t.base/objective)
	wasSlow := t.wasSlow
	t.wasSlow = e > 0
	switch {
	case e > 0:
		// One slow response may be slow because of its own work.
		if wasSlow {
			t.tooHigh, t.tooHighAt = t.rate, now
		}
		t.cut(targetGain*min(e, maxError), now)
	case t.isNearTooHigh(now):
		t.raise(nearStep * min(1, -e/targetSetpoint))
	default:
		t.raise(quickStep * min(1, -e/targetSetpoint))
	}
}

// raise raises the rate, but not far above what is wanted: a cut of a higher one would have no effect.
func (t *targetPace) raise(by float64) {
	t.rate = max(t.rate, min(t.rate+by, capFactor*t.wanted/wantedWindow))
}

// cut lowers the rate, at most by half and not below the floor.
func (t *targetPace) cut(by float64, now time.Time) {
	t.lastBadAt, t.good = now, 0
	t.rate = max(min(t.rate, t.floor), t.rate-by, t.rate/2)
}

func (t *targetPace) learnBase(s, objective float64) {
	weight := slowerWeight
	switch {
	case t.rate < floorFactor*t.floor:
		weight = floorWeight
	case s < t.base:
		weight = shorterWeight
	}
	t.base = min(t.base+weight*(s-t.base), maxBase*objective)
}

// isNearTooHigh reports whether the rate is near one that was too high a short time ago.
func (t *targetPace) isNearTooHigh(now time.Time) bool {
	return now.Sub(t.tooHighAt) < limitRetention && t.rate > nearLimit*t.tooHigh && t.rate < t.tooHigh/nearLimit
}

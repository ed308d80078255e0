package pace

import (
	"math"
	"time"

	"github.com/egretspar/egretspar/internal/target"
)

const (
	// evidenceRetention is the time constant in seconds with which evidence of an overload is forgotten.
	evidenceRetention = 4.0
	// triggerEvidence is the evidence at which a service becomes limited. A refusal counts as 1, so one is not enough.
	triggerEvidence = 1.5
	// lateEvidence is the evidence of a late response, which may be late because of its own work.
	lateEvidence = 0.25
	// goodOffset is the evidence that a good response takes back.
	goodOffset = 0.1
	// missingEvidence is the evidence while at least one target cannot be reached, because the others get its load.
	missingEvidence = 0.7
	// minEvidence is the evidence from refused and late responses without which nothing is limited.
	minEvidence = 0.5
	// recentWeight is the weight of a response in the mean time of the last few.
	recentWeight = 0.4
	// slownessWeight is what the last two responses add if both took as long as the objective; maxSlowness is the most.
	slownessWeight = 2.0
	maxSlowness    = 1.0
	// baseWeight is the weight of a response in the usual response time.
	baseWeight = 0.05
	// priorBase is the usual response time, as a part of the objective, before any response.
	priorBase = 0.15
	// calmEvidence is the evidence from which responses may have waited for others and do not count as usual. If there never
	// was a calm response, longerWeight is the weight of a longer one.
	calmEvidence = 0.2
	longerWeight = 0.01

	// goodputWindow is the time constant in seconds of the counts of served and of all requests.
	goodputWindow = 0.5
	// shortWindow is the time constant in seconds of a second count of served requests, for a crowd that has just begun.
	shortWindow = 0.2
	// setpointFraction places the mean response time that the rate aims at between the usual one and the objective.
	setpointFraction = 0.08
	// gain is the change of the rate, in requests per second, by a response whose time differs from the setpoint by the
	// objective.
	gain = 2.3
	// refusedError is the error of a refused attempt as a part of the objective, and maxError that of a slow response.
	refusedError = 0.8
	maxError     = 0.6
	// minGoodput is the part of the served requests below which one response does not lower the rate.
	minGoodput = 0.8
	// recentServed is taken off the count of served requests when a response has just raised it by 1: on average, the count is
	// then about half a request above its mean over time.
	recentServed = 0.5
	// minRate, in requests per second, lets an instance find out that the overload has ended.
	minRate = 0.2
	// idleFactor times the usual response time is a mean of the last responses that shows that nothing waits at the
	// targets. The rate then grows faster by idleBoost, and the level rises by idleLift.
	idleFactor = 1.2
	idleBoost  = 2.5
	idleLift   = 0.5
	// evenGrowth is the growth of the rate per second as a part of what the instance is asked for. A cut by one response does
	// not depend on the rate, but an instance gets responses in proportion to its rate. Its cuts per second therefore grow with
	// its rate, so instances that are asked for the same get the same rate in the end.
	evenGrowth = 0.2
	// startPart is the least part of the requests that a service is limited to at first.
	startPart = 0.15
	// refusalWindow is the time after a refusal within which a fast response raises the rate.
	refusalWindow = time.Second
	// growthPerSecond is the part by which the rate grows in a second without responses, for each second since the last
	// bad one: slowly near the limit and fast when the limit is long past.
	growthPerSecond = 0.05
	// burstSeconds is the time for which an unused rate may be used later.
	burstSeconds = 0.15
	// endAfter is the time without a bad response and a refusal after which a service is no longer limited.
	endAfter = 4 * time.Second
	// returnFactor is what the rate is raised by when a target takes requests again, and returnLift what the level is.
	returnFactor = 2.0
	returnLift   = 1.0
	// reportInterval is the least time between two reports of a corrected rate.
	reportInterval = time.Second
	// maxStep limits the time that one update accounts for, in case the process was frozen or the clock jumped.
	maxStep = 2 * time.Second
)

// limiter holds the admission rate of one service at one instance.
type limiter struct {
	limited bool
	// rate is the admission rate in requests per second, if limited.
	rate float64
	// level is a token bucket in requests, if limited: it grows at the rate and falls by one for each admitted request. A
	// request is admitted if the level is at least the need of its team, so teams with few recent requests come first.
	level float64
	teams teamUses
	// evidence counts recent bad responses. missing is the evidence from targets that cannot be reached: each such attempt sets
	// it to missingEvidence, however many targets are missing, and it decays like evidence.
	evidence, missing float64
	// base is the usual response time in seconds while the service is not limited; 0 if unknown. recent is the mean of the
	// last few.
	base, recent float64
	// last is the response time of the last response in seconds, and shorterOfLastTwo the shorter one of the last two.
	last, shorterOfLastTwo float64
	// calmResponses is the number of responses that arrived while nothing was limited and there was little evidence.
	calmResponses int
	// served and arrived count recent responses and requests, each weighted by its age.
	served, arrived float64
	// wanted counts the same requests as arrived, but with the time constant wantedWindow.
	wanted float64
	// servedNow counts the same responses as served, but only timed ones and with the time constant shortWindow.
	servedNow float64
	// growth is growthPerSecond times the growth factor of this instance.
	growth    float64
	updatedAt time.Time
	createdAt time.Time
	lastBadAt time.Time
	refusedAt time.Time
	// reportedAt is when Corrected was returned last.
	reportedAt time.Time
}

// advance accounts for the time since the last update.
func (l *limiter) advance(now time.Time) {
	step := min(now.Sub(l.updatedAt), maxStep).Seconds()
	l.updatedAt = now
	if step <= 0 {
		return
	}
	retained := math.Exp(-step / evidenceRetention)
	l.evidence *= retained
	l.missing *= retained
	retained = math.Exp(-step / goodputWindow)
	l.served *= retained
	l.arrived *= retained
	l.wanted *= math.Exp(-step / wantedWindow)
	l.servedNow *= math.Exp(-step / shortWindow)
	l.teams.age(step)
	if l.limited {
		quiet := max(0, now.Sub(l.lastBadAt).Seconds())
		l.rate += step * (l.growth*quiet*l.rate + evenGrowth*l.wanted/wantedWindow)
		l.level = min(l.level+l.rate*step, l.teams.maxNeed()+1+l.rate*burstSeconds)
	}
}

// admit reports whether a request may be sent.
func (l *limiter) admit(team string, now time.Time) bool {
	l.advance(now)
	l.arrived++
	l.wanted++
	admitted := !l.limited || l.level >= l.teams.uses[team].need()
	l.teams.add(team, admitted)
	switch {
	case !admitted:
		l.refusedAt = now
	case l.limited:
		l.level--
	}
	return admitted
}

// observe changes the state after an attempt.
func (l *limiter) observe(c Call, result target.Result, elapsed time.Duration, now time.Time) Change {
	l.advance(now)
	switch {
	case result == target.Misdirected, result == target.Failed, result == target.Cancelled && (c.Untimed || elapsed <= c.Objective):
		return Unchanged
	case result == target.Unreachable:
		l.missing = missingEvidence
		return Unchanged
	case result == target.OK && c.Untimed:
		l.served++
		return Unchanged
	case result == target.OK:
		l.observeResponse(c.Objective, elapsed, now)
	case result == target.Cancelled:
		// The caller gave up waiting.
		l.addBad(lateEvidence, now)
	default:
		l.addBad(1, now)
	}
	if l.limited {
		l.correct(c.Objective, result, elapsed, now)
		return l.endOrReport(now)
	}
	return l.begin(c.Objective)
}

func (l *limiter) addBad(evidence float64, now time.Time) {
	l.evidence += evidence
	l.lastBadAt = now
}

// observeResponse records the time of a complete response.
func (l *limiter) observeResponse(objective, elapsed time.Duration, now time.Time) {
	t := elapsed.Seconds()
	l.served++
	l.servedNow++
	l.recent += recentWeight * (t - l.recent)
	l.shorterOfLastTwo, l.last = min(l.last, t), t
	if elapsed > objective {
		l.addBad(lateEvidence, now)
		return
	}
	l.evidence = max(0, l.evidence-goodOffset)
	l.learnBase(t, objective.Seconds())
}

// learnBase learns the usual response time from calm responses. An instance that had none before the overload learns it
// from the others, and shorter times count more, because the longer ones have waited.
func (l *limiter) learnBase(t, objective float64) {
	if l.base == 0 {
		l.base = priorBase * objective
	}
	weight := baseWeight
	switch {
	case !l.limited && l.evidence+l.missing < calmEvidence:
		l.calmResponses++
		weight = max(baseWeight, 1/float64(l.calmResponses+1))
	case l.calmResponses > 0:
		return
	case t > l.base:
		weight = longerWeight
	}
	l.base += weight * (t - l.base)
}

// setpoint returns the mean response time in seconds at which the rate does not change.
func (l *limiter) setpoint(objective time.Duration) float64 {
	return l.base + setpointFraction*max(0, objective.Seconds()-l.base)
}

// slowness returns the evidence from the times of the last two responses. One alone may be slow because of its own work.
func (l *limiter) slowness(objective time.Duration) float64 {
	setpoint := l.setpoint(objective)
	span := objective.Seconds() - setpoint
	if span <= 0 {
		return 0
	}
	return min(maxSlowness, max(0, slownessWeight*(l.shorterOfLastTwo-setpoint)/span))
}

// begin limits the service if there is enough evidence.
func (l *limiter) begin(objective time.Duration) Change {
	if l.evidence < minEvidence || l.evidence+l.missing+l.slowness(objective) < triggerEvidence {
		return Unchanged
	}
	l.limited = true
	// The served requests are this instance's share of what the targets can run.
	l.rate = max(minRate, l.served/goodputWindow, l.servedNow/shortWindow, startPart*l.arrived/goodputWindow)
	l.level = l.teams.levelFor(l.rate / max(l.rate, l.arrived/goodputWindow))
	l.teams.capNeeds(l.level)
	return Began
}

// correct changes the rate in proportion to the error of one response.
func (l *limiter) correct(objective time.Duration, result target.Result, elapsed time.Duration, now time.Time) {
	e, served := refusedError, l.served
	if result == target.OK {
		served = max(0, served-recentServed)
		e = min(maxError, (elapsed.Seconds()-l.setpoint(objective))/objective.Seconds())
	}
	if e > 0 {
		floor := max(minRate, min(l.rate, minGoodput*served/goodputWindow))
		l.rate = max(floor, l.rate-gain*e)
		return
	}
	if l.recent < idleFactor*l.base {
		e *= idleBoost
		l.level += idleLift
	}
	// A rate that refuses nothing is high enough.
	if now.Sub(l.refusedAt) < refusalWindow {
		l.rate -= gain * e
	}
}

// endOrReport ends the limit if it has not been needed for some time.
func (l *limiter) endOrReport(now time.Time) Change {
	switch {
	case now.Sub(l.lastBadAt) >= endAfter && now.Sub(l.refusedAt) >= endAfter:
		l.limited = false
		l.evidence = 0
		return Ended
	case now.Sub(l.reportedAt) >= reportInterval:
		l.reportedAt = now
		return Corrected
	}
	return Unchanged
}

// targetReturned raises the rate of a limited service because one of its targets takes requests again.
func (l *limiter) targetReturned(now time.Time) {
	l.advance(now)
	if l.limited {
		l.rate *= returnFactor
		l.level += returnLift
	}
}

// Package quarantine detects requests that crash the targets that run them, and keeps them away from further targets.
// A caller may retry such a request at any instance, so the instances exchange through rows of the table service which
// request crashed which target.
package quarantine

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/event"
)

const (
	// crashLimit is the number of crashed targets from which on a request is refused. Fewer crashes prove nothing,
	// because a crash interrupts every request that the target is running.
	crashLimit = 3
	// crashTTL is how long a crash counts. It covers callers that retry for minutes.
	crashTTL = 10 * time.Minute
	// maxTrackedRequests limits the requests whose crashes, and those whose completion, this instance reports.
	maxTrackedRequests = 256
	// completedTableSize is the number of slots in the hash table of completed requests.
	completedTableSize = 1 << 12
)

// Crash records that a target crashed, or its connection broke, while it was running a request.
type Crash struct {
	// Request is the request's hash.
	Request uint64 `json:"request"`
	Target  string `json:"target"`
	// AtUnix is when the crash was seen, in Unix seconds; builds before it do not write it. It outlives the process, so that a row that
	// is read again after a restart does not count for another crashTTL.
	AtUnix int64 `json:"at,omitempty"`
}

// seenAt returns when the crash was seen, or otherwise if it does not say so. A clock that is ahead does not make it last longer.
func (c Crash) seenAt(now, otherwise time.Time) time.Time {
	if c.AtUnix == 0 {
		return otherwise
	}
	if at := time.Unix(c.AtUnix, 0); at.Before(now) {
		return at
	}
	return now
}

// Report is the row in which an instance shares its observations with the other instances.
type Report struct {
	Crashes []Crash `json:"crashes"`
	// Completed lists the requests that completed on this instance although other instances reported crashes of them.
	Completed []uint64 `json:"completed"`
}

// crashTimes holds, by target that one request crashed, when the crash was seen.
type crashTimes map[string]time.Time

// crashesByRequest holds the crashed targets by request hash.
type crashesByRequest map[uint64]crashTimes

func (s crashesByRequest) add(c Crash, at time.Time) {
	if s[c.Request] == nil {
		s[c.Request] = crashTimes{}
	}
	s[c.Request][c.Target] = at
}

// List counts the targets that crashed while they ran a request, as seen by this and other instances. A request that
// completed on any instance is not regarded as the cause. A List is safe for concurrent use.
type List struct {
	log zerolog.Logger

	mu         sync.Mutex
	ownCrashes crashesByRequest
	// reportedCrashes holds the crashes that other instances reported, by instance.
	reportedCrashes map[string]crashesByRequest
	// completed is a hash table that holds one completed request per slot. A request that is overwritten by another one
	// only loses its exemption.
	completed [completedTableSize]uint64
	// completionTimes holds when requests of which other instances reported crashes completed on this instance, by
	// request hash.
	completionTimes map[uint64]time.Time
	changes         chan struct{}
}

// NewList returns an empty list.
func NewList(log zerolog.Logger) *List {
	return &List{
		log: log, ownCrashes: crashesByRequest{}, reportedCrashes: map[string]crashesByRequest{}, completionTimes: map[uint64]time.Time{},
		changes: make(chan struct{}, 1),
	}
}

// IsQuarantined reports whether a request must be refused because it crashed too many targets.
func (l *List) IsQuarantined(request uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countCrashedTargets(request, now) >= crashLimit
}

// RecordCrash records that a target crashed, or its connection broke, while it was running a request. It reports
// whether the request must not run again.
func (l *List) RecordCrash(request uint64, target string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasCompleted(request) {
		return false
	}
	l.evictOwnCrashes(now)
	l.ownCrashes.add(Crash{Request: request, Target: target}, now)
	l.signalChange()
	crashes := l.countCrashedTargets(request, now)
	l.log.Info().Uint64("request_hash", request).Str("target", target).Int("crashes", crashes).
		Bool("quarantined", crashes >= crashLimit).Msg(event.TargetCrashed)
	return crashes >= crashLimit
}

// RecordCompleted records that a request completed.
func (l *List) RecordCompleted(request uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markCompleted(request)
	for _, reported := range l.reportedCrashes {
		if reported[request] != nil && l.completionTimes[request].IsZero() && len(l.completionTimes) < maxTrackedRequests {
			l.completionTimes[request] = now
			l.signalChange()
		}
	}
}

func (l *List) markCompleted(request uint64) {
	l.completed[request%completedTableSize] = request
	if l.ownCrashes[request] != nil {
		delete(l.ownCrashes, request)
		l.signalChange()
	}
}

// CrashCount returns the number of crashes, own and reported, that have not expired and whose requests have not
// completed.
func (l *List) CrashCount(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := map[uint64]bool{}
	for request := range l.ownCrashes {
		requests[request] = true
	}
	for _, reported := range l.reportedCrashes {
		for request := range reported {
			requests[request] = true
		}
	}
	total := 0
	for request := range requests {
		total += l.countCrashedTargets(request, now)
	}
	return total
}

// Report returns this instance's report for the other instances.
func (l *List) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownCrashes.removeExpired(now)
	report := Report{Crashes: []Crash{}, Completed: []uint64{}}
	for request, crashes := range l.ownCrashes {
		for target, at := range crashes {
			report.Crashes = append(report.Crashes, Crash{Request: request, Target: target, AtUnix: at.Unix()})
		}
	}
	for request, at := range l.completionTimes {
		if now.Sub(at) >= crashTTL {
			delete(l.completionTimes, request)
			continue
		}
		report.Completed = append(report.Completed, request)
	}
	return report
}

// AdoptReport adds what a former process of this instance reported, so that a restart forgets neither crashes nor completed requests.
func (l *List) AdoptReport(report Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range report.Completed {
		l.markCompleted(request)
		if l.completionTimes[request].IsZero() && len(l.completionTimes) < maxTrackedRequests {
			l.completionTimes[request] = now
		}
	}
	for _, c := range report.Crashes {
		at := c.seenAt(now, now)
		if _, known := l.ownCrashes[c.Request][c.Target]; known || l.hasCompleted(c.Request) || now.Sub(at) >= crashTTL {
			continue
		}
		l.evictOwnCrashes(now)
		l.ownCrashes.add(c, at)
	}
}

// ApplyReport replaces the report of another instance. A crash without a time that the instance's previous report also contained
// keeps the time when it was read first, so repeated reports do not postpone its expiry.
func (l *List) ApplyReport(instance string, report Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range report.Completed {
		l.markCompleted(request)
	}
	updated, previous := crashesByRequest{}, l.reportedCrashes[instance]
	for _, c := range report.Crashes {
		at := now
		if recordedAt, ok := previous[c.Request][c.Target]; ok {
			at = recordedAt
		}
		updated.add(c, c.seenAt(now, at))
	}
	l.reportedCrashes[instance] = updated
}

// RemoveReport removes the report of an instance whose row was deleted.
func (l *List) RemoveReport(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reportedCrashes, instance)
}

// ExpiredReporters returns the instances all of whose reported crashes have expired.
func (l *List) ExpiredReporters(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for instance, reported := range l.reportedCrashes {
		reported.removeExpired(now)
		if len(reported) == 0 {
			names = append(names, instance)
		}
	}
	return names
}

// Changes returns a channel that receives a value when Report has something new.
func (l *List) Changes() <-chan struct{} { return l.changes }

func (l *List) signalChange() {
	select {
	case l.changes <- struct{}{}:
	default:
	}
}

// hasCompleted reports whether the table of completed requests holds the request. It is false for request 0, which
// marks an empty slot.
func (l *List) hasCompleted(request uint64) bool {
	return request != 0 && l.completed[request%completedTableSize] == request
}

// countCrashedTargets returns the number of different targets that a request crashed, or 0 if it has completed.
func (l *List) countCrashedTargets(request uint64, now time.Time) int {
	if len(l.ownCrashes) == 0 && len(l.reportedCrashes) == 0 || l.hasCompleted(request) {
		return 0
	}
	crashed := map[string]bool{}
	collect := func(s crashesByRequest) {
		for target, at := range s[request] {
			if now.Sub(at) < crashTTL {
				crashed[target] = true
			}
		}
	}
	collect(l.ownCrashes)
	for _, reported := range l.reportedCrashes {
		collect(reported)
	}
	return len(crashed)
}

// evictOwnCrashes makes room for a new request in ownCrashes: it removes expired crashes and then arbitrary requests.
func (l *List) evictOwnCrashes(now time.Time) {
	if len(l.ownCrashes) < maxTrackedRequests {
		return
	}
	l.ownCrashes.removeExpired(now)
	for request := range l.ownCrashes {
		if len(l.ownCrashes) < maxTrackedRequests {
			return
		}
		delete(l.ownCrashes, request)
	}
}

// removeExpired removes crashes that are older than crashTTL.
func (s crashesByRequest) removeExpired(now time.Time) {
	for request, crashes := range s {
		for target, at := range crashes {
			if now.Sub(at) >= crashTTL {
				delete(crashes, target)
			}
		}
		if len(crashes) == 0 {
			delete(s, request)
		}
	}
}

// Package quarantine finds requests that crash the targets that run them, and keeps them from further targets.
// Callers send such a request again at any instance, so instances tell each other through rows of the table
// service which request broke which target.
package quarantine

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/event"
)

const (
	// crashLimit is the number of targets that a request may break before it does not run again. Fewer are no
	// proof: a crash breaks every request that the target was running.
	crashLimit = 3
	// memory is how long a crash counts. It covers callers that resend for minutes.
	memory = 10 * time.Minute
	// maxSuspects bounds the requests that this instance remembers and reports.
	maxSuspects = 256
	// completedSlots is the size of the table of requests that completed.
	completedSlots = 1 << 12
)

// Crash is one target that broke while it ran a request.
type Crash struct {
	Request uint64 `json:"request"`
	Target  string `json:"target"`
}

// Report is what one instance tells the others.
type Report struct {
	Crashes []Crash `json:"crashes"`
	// Completed lists requests that others reported and that completed here.
	Completed []uint64 `json:"completed"`
}

// targets holds the targets that one request broke, and when this instance learned of each.
type targets map[string]time.Time

// suspects holds the targets that each request broke.
type suspects map[uint64]targets

func (s suspects) add(c Crash, at time.Time) {
	if s[c.Request] == nil {
		s[c.Request] = targets{}
	}
	s[c.Request][c.Target] = at
}

// List counts the targets that broke while they ran a request, here and on other instances. A request that
// completed on any instance is never the cause. A List is safe for concurrent use.
type List struct {
	log zerolog.Logger

	mu  sync.Mutex
	own suspects
	// reported holds what the other instances saw, by instance.
	reported map[string]suspects
	// completed is a lossy set. A request that is overwritten only loses its exemption.
	completed [completedSlots]uint64
	// cleared holds the reported requests that completed here, and when.
	cleared map[uint64]time.Time
	changes chan struct{}
}

// NewList returns an empty list.
func NewList(log zerolog.Logger) *List {
	return &List{
		log: log, own: suspects{}, reported: map[string]suspects{}, cleared: map[uint64]time.Time{},
		changes: make(chan struct{}, 1),
	}
}

// Refuses reports whether a request must not run, because it broke too many targets.
func (l *List) Refuses(request uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(request, now) >= crashLimit
}

// Broke records that a target broke while it ran a request, and reports whether the request must not run again.
func (l *List) Broke(request uint64, target string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasCompleted(request) {
		return false
	}
	l.makeRoom(now)
	l.own.add(Crash{Request: request, Target: target}, now)
	l.signal()
	crashes := l.count(request, now)
	l.log.Info().Uint64("request_hash", request).Str("target", target).Int("crashes", crashes).
		Bool("quarantined", crashes >= crashLimit).Msg(event.TargetBroke)
	return crashes >= crashLimit
}

// Completed records that a request has run to its end.
func (l *List) Completed(request uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteCompleted(request)
	for _, reported := range l.reported {
		if reported[request] != nil && l.cleared[request].IsZero() && len(l.cleared) < maxSuspects {
			l.cleared[request] = now
			l.signal()
		}
	}
}

func (l *List) noteCompleted(request uint64) {
	l.completed[request%completedSlots] = request
	if l.own[request] != nil {
		delete(l.own, request)
		l.signal()
	}
}

// Count returns the number of crashes that count, here and as reported.
func (l *List) Count(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := map[uint64]bool{}
	for request := range l.own {
		requests[request] = true
	}
	for _, reported := range l.reported {
		for request := range reported {
			requests[request] = true
		}
	}
	total := 0
	for request := range requests {
		total += l.count(request, now)
	}
	return total
}

// Report returns what this instance saw, for the other ones.
func (l *List) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.forget(now)
	report := Report{Crashes: []Crash{}, Completed: []uint64{}}
	for request, broken := range l.own {
		for target := range broken {
			report.Crashes = append(report.Crashes, Crash{Request: request, Target: target})
		}
	}
	for request, at := range l.cleared {
		if now.Sub(at) >= memory {
			delete(l.cleared, request)
			continue
		}
		report.Completed = append(report.Completed, request)
	}
	return report
}

// Learn replaces what another instance reported. A crash that was reported before keeps its time.
func (l *List) Learn(instance string, report Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range report.Completed {
		l.noteCompleted(request)
	}
	next, last := suspects{}, l.reported[instance]
	for _, c := range report.Crashes {
		at := now
		if known, ok := last[c.Request][c.Target]; ok {
			at = known
		}
		next.add(c, at)
	}
	l.reported[instance] = next
}

// Forget drops what an instance reported whose row was removed.
func (l *List) Forget(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reported, instance)
}

// Outdated returns the instances whose reports do not count any more.
func (l *List) Outdated(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for instance, reported := range l.reported {
		reported.forget(now)
		if len(reported) == 0 {
			names = append(names, instance)
		}
	}
	return names
}

// Changes signals that there is something new to report.
func (l *List) Changes() <-chan struct{} { return l.changes }

func (l *List) signal() {
	select {
	case l.changes <- struct{}{}:
	default:
	}
}

// hasCompleted is false for the request 0, which stands for an empty slot.
func (l *List) hasCompleted(request uint64) bool {
	return request != 0 && l.completed[request%completedSlots] == request
}

// count returns the number of different targets that a request broke.
func (l *List) count(request uint64, now time.Time) int {
	if len(l.own) == 0 && len(l.reported) == 0 || l.hasCompleted(request) {
		return 0
	}
	broken := map[string]bool{}
	note := func(s suspects) {
		for target, at := range s[request] {
			if now.Sub(at) < memory {
				broken[target] = true
			}
		}
	}
	note(l.own)
	for _, reported := range l.reported {
		note(reported)
	}
	return len(broken)
}

// makeRoom bounds the own suspects; any of them may be dropped.
func (l *List) makeRoom(now time.Time) {
	if len(l.own) < maxSuspects {
		return
	}
	l.own.forget(now)
	for request := range l.own {
		if len(l.own) < maxSuspects {
			return
		}
		delete(l.own, request)
	}
}

// forget removes crashes that do not count any more.
func (s suspects) forget(now time.Time) {
	for request, broken := range s {
		for target, at := range broken {
			if now.Sub(at) >= memory {
				delete(broken, target)
			}
		}
		if len(broken) == 0 {
			delete(s, request)
		}
	}
}

package forward

import (
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// failureTracker counts the targets that broke while running one request. It decides which targets are excluded
// from further attempts and whether the request must not run again.
type failureTracker struct {
	options *Options
	// fingerprint is a hash of the request; 0 means that the request cannot be quarantined.
	fingerprint uint64
	// brokenTargets counts attempts that broke their target. A generation resets it after an attempt that produced
	// tokens.
	brokenTargets int
	// reusedRetryUsed reports whether a target was already allowed a retry after a response was lost on a reused
	// connection.
	reusedRetryUsed bool
}

// canQuarantine reports whether the request can be quarantined.
func (f *failureTracker) canQuarantine() bool {
	return f.options.Quarantine != nil && f.fingerprint != 0
}

// checkQuarantine returns a refusal if the request is quarantined.
func (f *failureTracker) checkQuarantine() *outcome.Refusal {
	if f.canQuarantine() && f.options.Quarantine.IsQuarantined(f.fingerprint, time.Now()) {
		return outcome.Refuse(outcome.Quarantined)
	}
	return nil
}

// recordCompleted records that the request ran to completion.
func (f *failureTracker) recordCompleted() {
	if f.canQuarantine() {
		f.options.Quarantine.RecordCompleted(f.fingerprint, time.Now())
	}
}

// shouldExclude reports whether the target must not be tried again for this request. The first response that is
// lost on a reused connection may be due to the target closing the idle connection, so the target is not excluded.
func (f *failureTracker) shouldExclude(result attemptResult) bool {
	if result.reusedConn && !f.reusedRetryUsed {
		f.reusedRetryUsed = true
		return false
	}
	return result.targetResult != target.Cancelled
}

// recordFailure counts a failed attempt and returns a refusal if the request must not run again.
func (f *failureTracker) recordFailure(result attemptResult, failed target.Target) *outcome.Refusal {
	if result.targetResult != target.Broken {
		return nil
	}
	f.brokenTargets++
	if f.canQuarantine() && f.options.Quarantine.RecordCrash(f.fingerprint, failed.ID, time.Now()) {
		return outcome.Refuse(outcome.Quarantined)
	}
	if f.brokenTargets >= f.options.Limits.MaxBrokenTargets {
		return result.finalRefusal()
	}
	return nil
}

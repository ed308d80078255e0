package forward

import (
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// breakage counts the targets that broke while they ran one request.
type breakage struct {
	options *Options
	// fingerprint identifies the request by its content; 0 means that it is not quarantined.
	fingerprint uint64
	breaks      int
	// spared: a target was not excluded although its answer was lost.
	spared bool
}

// counts reports whether the request may be quarantined.
func (b *breakage) counts() bool { return b.options.Quarantine != nil && b.fingerprint != 0 }

// check refuses a request that broke too many targets before.
func (b *breakage) check() *outcome.Refusal {
	if b.counts() && b.options.Quarantine.Refuses(b.fingerprint, time.Now()) {
		return outcome.Refuse(outcome.Quarantined)
	}
	return nil
}

// completed records that the request ran to its end.
func (b *breakage) completed() {
	if b.counts() {
		b.options.Quarantine.Completed(b.fingerprint, time.Now())
	}
}

// excludes reports whether the target is not tried again for this request. The first answer that is lost
// on a reused connection may be due to the target closing it, so the target may be tried once more.
func (b *breakage) excludes(end ending) bool {
	if end.reused && !b.spared {
		b.spared = true
		return false
	}
	return end.result != target.Cancelled
}

// note counts the end of an attempt and returns a refusal if the request must not run again.
func (b *breakage) note(end ending, failed target.Target) *outcome.Refusal {
	if end.result != target.Broken {
		return nil
	}
	b.breaks++
	if b.counts() && b.options.Quarantine.Broke(b.fingerprint, failed.ID, time.Now()) {
		return outcome.Refuse(outcome.Quarantined)
	}
	if b.breaks >= b.options.Limits.Breaks {
		return end.final()
	}
	return nil
}

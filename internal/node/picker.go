package node

import (
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/routing"
	"github.com/egretspar/egretspar/internal/target"
)

// suspectWaitTimeout limits how long an attempt of a suspect, a request that may have crashed a target, waits for the
// reports of peers or for the instance that should run the suspect before this one.
const suspectWaitTimeout = 5 * time.Second

// guardedPicker selects targets for requests that may crash them. The guard restricts the targets of a request that
// has not completed before.
type guardedPicker struct {
	router *routing.Router
	guard  *retry.Guard
	budget *retry.Budget
}

func (p *guardedPicker) pick(req target.Request, now time.Time) (target.Reservation, *outcome.Refusal) {
	if req.Fingerprint == 0 {
		return p.router.Pick(req, now)
	}
	attempt, refusal := p.beginAttempt(req, now)
	if refusal != nil {
		return nil, refusal
	}
	reservation, refusal := p.router.PickForAttempt(attempt, req, now)
	if refusal != nil {
		attempt.Done(target.Cancelled, now)
		return nil, refusal
	}
	return &guardedReservation{Reservation: reservation, attempt: attempt}, nil
}

// beginAttempt starts an attempt. If the request is a suspect, it waits, at most for suspectWaitTimeout, until the peers
// have reported their crashes and no other instance should run the suspect first. If only this instance runs the
// request, it adopts the suspect instead of refusing it: no other instance receives the request, so the suspect would
// never run.
func (p *guardedPicker) beginAttempt(req target.Request, now time.Time) (*retry.Attempt, *outcome.Refusal) {
	deadline := now.Add(suspectWaitTimeout)
	mayNotAdopt := !req.SingleOwner // also set after the first adoption
	for {
		attempt, refusal, retryReady := p.guard.TryBegin(req.Fingerprint, req.Resend, now)
		if retryReady == nil && refusal != nil && refusal.Reason == outcome.Suspected && !mayNotAdopt {
			p.guard.AdoptSuspect(req.Fingerprint, now)
			mayNotAdopt = true
			continue
		}
		if retryReady == nil {
			return attempt, refusal
		}
		select {
		case <-retryReady:
		case <-time.After(time.Until(deadline)):
			return nil, refusal
		}
		now = time.Now()
	}
}

type guardedReservation struct {
	target.Reservation
	attempt *retry.Attempt
}

// Done ends the attempt. After a crash it waits until the crash was sent to the peers, at most for
// retry.MaxResponseHold, so that a caller that gets the failed response and resends through another instance reaches
// one that knows of the crash.
func (r *guardedReservation) Done(result target.Result, elapsed time.Duration) {
	r.Reservation.Done(result, elapsed)
	crashSent := r.attempt.Done(result, time.Now())
	if crashSent == nil {
		return
	}
	select {
	case <-crashSent:
	case <-time.After(retry.MaxResponseHold):
	}
}

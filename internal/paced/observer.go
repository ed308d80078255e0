// Package paced reserves targets for requests as package pace allows, and tells it how their attempts ended.
package paced

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/pace"
	"github.com/egretspar/egretspar/internal/target"
)

// Observer asks a pacer about requests that have a latency objective, and tells it how their attempts ended.
type Observer struct {
	pacer *pace.Pacer
	log   zerolog.Logger
}

// NewObserver returns an observer that logs changes of the limits.
func NewObserver(pacer *pace.Pacer, log zerolog.Logger) *Observer {
	return &Observer{pacer: pacer, log: log}
}

// callOf returns what the pacer needs to know about a request.
func callOf(r target.Request) pace.Call {
	return pace.Call{Service: r.Service, Team: r.Team, Objective: r.LatencyObjective, Background: r.Background, Untimed: r.Untimed}
}

// Admit returns the refusal of a request that the targets of its service have no room for.
func (o *Observer) Admit(r target.Request, now time.Time) *outcome.Refusal {
	return o.pacer.Admit(callOf(r), now)
}

// maxDiverted limits how many targets that may not take the request now are passed over.
const maxDiverted = 4

// Pick reserves a slot with pick at a target that may take the request now, or at any if there is none: refusing requests is
// up to Admit.
func (o *Observer) Pick(
	r target.Request, now time.Time, pick func(target.Request, time.Time) (target.Reservation, *outcome.Refusal),
) (target.Reservation, *outcome.Refusal) {
	if r.LatencyObjective <= 0 {
		return pick(r, now)
	}
	remaining := r
	for range maxDiverted {
		reservation, refusal := pick(remaining, now)
		if refusal != nil {
			break
		}
		id := reservation.Target().ID
		if o.pacer.Take(callOf(r), id, now) {
			return reservation, nil
		}
		reservation.Done(target.Cancelled, 0)
		remaining.Exclude = append(slices.Clone(remaining.Exclude), id)
	}
	return pick(r, now)
}

// Observe returns a reservation that also passes the result of the attempt to the pacer.
func (o *Observer) Observe(reservation target.Reservation, r target.Request) target.Reservation {
	if r.LatencyObjective <= 0 {
		return reservation
	}
	return &pacedReservation{Reservation: reservation, observer: o, call: callOf(r), id: reservation.Target().ID}
}

// pacedReservation passes the result of its attempt to the pacer.
type pacedReservation struct {
	target.Reservation
	observer *Observer
	call     pace.Call
	id       string
	// timeToHeader is the time until the header of a response that is forwarded as it arrives; 0 without one.
	timeToHeader time.Duration
}

// ResponseStarted implements target.ResponseTimer.
func (r *pacedReservation) ResponseStarted(elapsed time.Duration) { r.timeToHeader = elapsed }

// Done implements target.Reservation.
func (r *pacedReservation) Done(result target.Result, elapsed time.Duration) {
	r.Reservation.Done(result, elapsed)
	if r.timeToHeader > 0 {
		elapsed = r.timeToHeader
	}
	change, status := r.observer.pacer.Observe(r.call, r.id, result, elapsed, time.Now())
	var line *zerolog.Event
	var name event.Name
	switch change {
	case pace.Unchanged:
		return
	case pace.Began:
		line, name = r.observer.log.Info(), event.ServiceLimitBegan
	case pace.Corrected:
		line, name = r.observer.log.Debug(), event.ServiceLimitChanged
	case pace.Ended:
		line, name = r.observer.log.Info(), event.ServiceLimitEnded
	}
	line.Str("service", r.call.Service).Str("target", r.id).Float64("rate", status.Rate).Float64("evidence", status.Evidence).
		Float64("missing", status.Missing).Dur("recent", status.Recent).Dur("setpoint", status.Setpoint).Stringer("result", result).
		Dur("elapsed", elapsed).Msg(name)
}

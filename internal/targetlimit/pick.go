package targetlimit

import (
	"slices"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// Pick reserves a slot with pick at a target whose limit allows another request.
func (t *Table) Pick(
	r target.Request, now time.Time, pick func(target.Request, time.Time) (target.Reservation, *outcome.Refusal),
) (target.Reservation, *outcome.Refusal) {
	blocked, retryAfter := t.Blocked(r.Service, now)
	if len(blocked) > 0 {
		r.Exclude = slices.Concat(r.Exclude, blocked)
	}
	for {
		reservation, refusal := pick(r, now)
		if refusal != nil {
			if len(blocked) > 0 && refusal.Reason == outcome.NoTarget {
				refusal = outcome.Refuse(outcome.TargetLimited)
				refusal.RetryAfter = retryAfter
			}
			return nil, refusal
		}
		id := reservation.Target().ID
		if t.Take(id, now) {
			return reservation, nil
		}
		// Another request took the permit since.
		reservation.Done(target.Cancelled, 0)
		blocked = append(blocked, id)
		r.Exclude = append(slices.Clone(r.Exclude), id)
	}
}

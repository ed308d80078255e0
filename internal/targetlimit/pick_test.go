package targetlimit

import (
	"slices"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

type fakeReservation struct{ id string }

func (r fakeReservation) Target() target.Target             { return target.Target{ID: r.id} }
func (r fakeReservation) Done(target.Result, time.Duration) {}

// Guards against a request that goes to a limited target while another one is free, against a refusal that does not say
// why or when to come back, and against limits of one service that block another.
func TestPick(t *testing.T) {
	now := time.Now()
	table := NewTable("a")
	observe := func(id string) {
		table.Observe(Observation{Target: id, Service: "s", Named: true, Rate: 1}, now)
	}
	observe("t1")
	pick := func(service string) (string, *outcome.Refusal) {
		reservation, refusal := table.Pick(target.Request{Service: service}, now, func(r target.Request, _ time.Time) (target.Reservation, *outcome.Refusal) {
			for _, id := range []string{"t1", "t2"} {
				if !slices.Contains(r.Exclude, id) {
					return fakeReservation{id}, nil
				}
			}
			return nil, outcome.Refuse(outcome.NoTarget)
		})
		if refusal != nil {
			return "", refusal
		}
		return reservation.Target().ID, nil
	}
	if id, refusal := pick("s"); id != "t2" {
		t.Errorf("picked %q, %v", id, refusal)
	}
	observe("t2")
	if id, refusal := pick("s"); refusal == nil || refusal.Reason != outcome.TargetLimited || refusal.Outcome != outcome.NotRun {
		t.Errorf("all limited: picked %q, %v", id, refusal)
	}
	if !table.Take("t3", now) {
		t.Error("a target without a limit is blocked")
	}
	table.Confirm(table.Report(now), now)
	table.RecordRead(now)
	now = now.Add(settleTime)
	if id, refusal := pick("s"); id != "t1" {
		t.Errorf("with a part of the rate: picked %q, %v", id, refusal)
	}
	for range 20 {
		_, _ = pick("s")
	}
	if id, refusal := pick("s"); refusal == nil || refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second {
		t.Errorf("permits used up: picked %q, %v", id, refusal)
	}
}

// Package startlimit decides how many runs this instance may start on a target of a service with a warm-up. Any target
// may have become cold without an instance knowing it yet, so the owners of batch jobs share the bound of a cold target at
// all times. The package does no I/O and has no clock.
//
// It is designed for 1 to 8 trainers whose jobs are owned by as many instances, 3,900 engines, and job rows that an
// instance reads up to 0.8 s late.
package startlimit

import "math"

// Bound limits the requests that a cold target gets in any second, relative to the rate of its warm-up.
type Bound struct {
	// Overshoot multiplies the rate. Slack is added to the product.
	Overshoot, Slack float64
}

// PerSecond returns the number of requests that a cold target may get in any second. Without a bound in the settings it is
// the rate.
func (b Bound) PerSecond(rate float64) float64 {
	return rate*max(1, b.Overshoot) + max(0, b.Slack)
}

const (
	// assignedFraction is the part of the bound for the owners whose model the target is assigned to, otherFraction that
	// for all other owners. The rest is for requests that are on their way while owners learn of each other.
	assignedFraction = 0.55
	otherFraction    = 0.28
)

// budgets returns how many runs the owners of both kinds may start on a target in a second. A bound that is too small for
// two parts is divided among all owners alike; others is 0 then.
func budgets(perSecond float64) (assigned, others int) {
	assigned, others = int(math.Floor(assignedFraction*perSecond)), int(math.Floor(otherFraction*perSecond))
	if assigned < 1 || others < 1 {
		return max(1, int(math.Floor((assignedFraction+otherFraction)*perSecond))), 0
	}
	return assigned, others
}

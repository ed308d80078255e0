package demo

import (
	"strings"
	"time"

	"github.com/egretspar/egretspar/opsconfig"
)

// report counts what callers and stand-ins saw.
func (r *run) report() *Report {
	report := &Report{
		Seed: r.options.Seed, Seconds: time.Since(r.begun).Seconds(),
		DrainCompleted: r.drainComplete, ConfigurationInForceMillis: int(r.withdrawal.Milliseconds()),
	}
	r.trainerFigures(report)
	r.callerFigures(report)
	r.targetFigures(report)
	r.platformFigures(report)
	served := float64(report.RequestsOK) / float64(max(r.callers.offered, 1))
	samples := float64(report.SamplesDelivered) / float64(max(report.SamplesRequested, 1))
	report.WorstTeamServiceFraction = min(served, samples)
	return report
}

func (r *run) trainerFigures(report *Report) {
	t := r.trainer
	t.mu.Lock()
	defer t.mu.Unlock()
	report.SamplesRequested, report.SamplesDelivered, report.SamplesDuplicate = t.requested, t.delivered, t.duplicate
	report.SamplesMissing = steps*stepGroups*samplesPerGroup - t.delivered
	report.SamplesOverStaleness, report.SamplesMislabelled, report.SamplesBroken = t.stale, t.wrong, t.broken
	report.TrainerIdleFraction = t.waited.Seconds() / (t.waited + t.trained).Seconds()
	report.TrainerIdleFractionBound = t.bound.Seconds() / (t.bound + t.trained).Seconds()
}

func (r *run) callerFigures(report *Report) {
	c := r.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	report.RequestsOK, report.RequestsRefusedNotRun, report.RequestsLost = c.ok, c.refused, c.lost
	report.RequestsWrongAnswer, report.RequestsCutByDrain = c.wrong, c.cut
	report.KeyUses = int(r.keyHolder.uses.Load())
	// A use of the key before the withdrawal is no delay.
	if delay := r.keyHolder.lastUse().Sub(r.withdrawnAt); delay > 0 {
		report.KeyWithdrawalSeconds = delay.Seconds()
	}
}

func (r *run) targetFigures(report *Report) {
	runs := map[string]int{}
	for _, service := range r.bed.Plain[serviceBooking] {
		seen := service.Observed()
		report.KeysLeaked += seen.Leaked
		for _, request := range seen.Requests {
			if request.Method == "POST" {
				runs[request.ID]++
			}
		}
	}
	for id, n := range runs {
		if id != "" && n > 1 {
			report.RequestsDoubled++
		}
	}
	for _, id := range r.callers.notRun {
		if runs[id] > 0 {
			report.RequestsFalseNotRun++
		}
	}
	for _, e := range r.engines() {
		report.KeysLeaked += e.Observed().Leaked
	}
	report.WeightVersionOnAllEngines = r.bed.Engines[serviceTraining][0].Observed().Version
	for _, e := range r.bed.Engines[serviceTraining] {
		report.WeightVersionOnAllEngines = min(report.WeightVersionOnAllEngines, e.Observed().Version)
	}
	report.TargetCost = r.targetCost()
}

// targetCost is the price of all targets for the time of the run, less the time that a crashed one was
// not running.
func (r *run) targetCost() float64 {
	hours := time.Since(r.begun).Hours()
	cost := 0.0
	for _, t := range r.bed.Targets {
		price := onDemandPerHour
		if t.Supply == opsconfig.Reclaimable {
			price = reclaimablePerHour
		}
		if strings.HasPrefix(t.ID, serviceBooking) {
			price = 0 // plain services run on machines that are paid for anyway
		}
		cost += price * hours
	}
	return cost - reclaimablePerHour*r.crashedFor.Hours()
}

func (r *run) platformFigures(report *Report) {
	seen := r.bed.Platform.Observed()
	report.OrdersFromTwoHolders = seen.StaleOrders
	report.UsageWindowsReported = len(seen.Windows)
	report.UsageWindowsConflicting = seen.ConflictingWindows
	report.UsageWindowsDoubled = seen.DoubledWindows
}

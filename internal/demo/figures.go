package demo

import (
	"strings"
	"time"

	"github.com/egretspar/egretspar/opsconfig"
)

// buildReport collects the figures that the callers, the emulated targets and the emulated platform counted.
func (r *run) buildReport() *Report {
	report := &Report{
		Seed: r.options.Seed, Seconds: time.Since(r.startedAt).Seconds(),
		DrainCompleted: r.drainCompleted, ConfigurationInForceMillis: int(r.withdrawalTime.Milliseconds()),
	}
	r.addTrainerFigures(report)
	r.addCallerFigures(report)
	r.addTargetFigures(report)
	r.addPlatformFigures(report)
	served := float64(report.RequestsOK) / float64(max(r.callers.offered, 1))
	samples := float64(report.SamplesDelivered) / float64(max(report.SamplesRequested, 1))
	report.WorstTeamServiceFraction = min(served, samples)
	return report
}

func (r *run) addTrainerFigures(report *Report) {
	t := r.trainer
	t.mu.Lock()
	defer t.mu.Unlock()
	report.SamplesRequested, report.SamplesDelivered, report.SamplesDuplicate = t.requested, t.delivered, t.duplicate
	report.SamplesMissing = stepCount*stepGroups*samplesPerGroup - t.delivered
	report.SamplesOverStaleness, report.SamplesMislabelled, report.SamplesBroken = t.stale, t.mislabelled, t.broken
	report.TrainerIdleFraction = t.waitTime.Seconds() / (t.waitTime + t.optimizerTime).Seconds()
	report.TrainerIdleFractionBound = t.minWaitTime.Seconds() / (t.minWaitTime + t.optimizerTime).Seconds()
}

func (r *run) addCallerFigures(report *Report) {
	c := r.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	report.RequestsOK, report.RequestsRefusedNotRun, report.RequestsLost = c.succeeded, c.refused, c.lost
	report.RequestsWrongAnswer, report.RequestsCutByDrain = c.wrongResponses, c.cutByDrain
	report.KeyUses = int(r.keyProber.uses.Load())
	// The delay is 0 if the key was not used after its withdrawal.
	if delay := r.keyProber.lastUse().Sub(r.withdrawnAt); delay > 0 {
		report.KeyWithdrawalSeconds = delay.Seconds()
	}
}

func (r *run) addTargetFigures(report *Report) {
	runs := map[string]int{}
	for _, service := range r.bed.Plain[serviceBooking] {
		observed := service.Observed()
		report.KeysLeaked += observed.Leaked
		for _, request := range observed.Requests {
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
	for _, id := range r.callers.notRunIDs {
		if runs[id] > 0 {
			report.RequestsFalseNotRun++
		}
	}
	for _, e := range r.allEngines() {
		report.KeysLeaked += e.Observed().Leaked
	}
	report.WeightVersionOnAllEngines = r.bed.Engines[serviceTraining][0].Observed().Version
	for _, e := range r.bed.Engines[serviceTraining] {
		report.WeightVersionOnAllEngines = min(report.WeightVersionOnAllEngines, e.Observed().Version)
	}
	report.TargetCost = r.targetCost()
}

// targetCost returns the price of all targets for the duration of the run, minus the price of the crashed engine for
// the time that it was down.
func (r *run) targetCost() float64 {
	hours := time.Since(r.startedAt).Hours()
	cost := 0.0
	for _, t := range r.bed.Targets {
		price := onDemandPricePerHour
		if t.Supply == opsconfig.Reclaimable {
			price = reclaimablePricePerHour
		}
		if strings.HasPrefix(t.ID, serviceBooking) {
			price = 0 // plain services run on machines that are paid for in any case
		}
		cost += price * hours
	}
	return cost - reclaimablePricePerHour*r.engineDownTime.Hours()
}

func (r *run) addPlatformFigures(report *Report) {
	observed := r.bed.Platform.Observed()
	report.OrdersFromTwoHolders = observed.StaleOrders
	report.UsageWindowsReported = len(observed.Windows)
	report.UsageWindowsConflicting = observed.ConflictingWindows
	report.UsageWindowsDoubled = observed.OverlappingWindows
}

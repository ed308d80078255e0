package demo

import (
	"strings"
	"testing"
)

// validReport returns a report that meets every requirement.
func validReport() Report {
	return Report{
		SamplesRequested: 8, SamplesDelivered: 8, RequestsOK: 1, KeyUses: 1, UsageWindowsReported: 1, DrainCompleted: true, KeyWithdrawalSeconds: 1.9,
	}
}

// Guards against a run that misses a requirement and is still reported as successful.
func TestReportListsEveryUnmetRequirement(t *testing.T) {
	report := validReport()
	if report.UnmetRequirements = report.unmetRequirements(); report.Err() != nil {
		t.Fatal(report.Err())
	}
	for name, violate := range map[string]func(*Report){
		"samples_duplicate":         func(r *Report) { r.SamplesDuplicate = 1 },
		"samples_missing":           func(r *Report) { r.SamplesMissing = 1 },
		"samples_over_staleness":    func(r *Report) { r.SamplesOverStaleness = 1 },
		"samples_mislabelled":       func(r *Report) { r.SamplesMislabelled = 1 },
		"samples_broken":            func(r *Report) { r.SamplesBroken = 1 },
		"requests_lost":             func(r *Report) { r.RequestsLost = 1 },
		"requests_doubled":          func(r *Report) { r.RequestsDoubled = 1 },
		"requests_wrong_answer":     func(r *Report) { r.RequestsWrongAnswer = 1 },
		"requests_false_not_run":    func(r *Report) { r.RequestsFalseNotRun = 1 },
		"requests_cut_by_drain":     func(r *Report) { r.RequestsCutByDrain = 1 },
		"keys_leaked":               func(r *Report) { r.KeysLeaked = 1 },
		"orders_from_two_holders":   func(r *Report) { r.OrdersFromTwoHolders = 1 },
		"usage_windows_conflicting": func(r *Report) { r.UsageWindowsConflicting = 1 },
		"usage_windows_doubled":     func(r *Report) { r.UsageWindowsDoubled = 1 },
		"key_withdrawal_seconds":    func(r *Report) { r.KeyWithdrawalSeconds = 2.1 },
		"never used":                func(r *Report) { r.KeyUses = 0 },
		"usage_windows_reported":    func(r *Report) { r.UsageWindowsReported = 0 },
		"no request":                func(r *Report) { r.RequestsOK = 0 },
		"drained instance":          func(r *Report) { r.DrainCompleted = false },
	} {
		report := validReport()
		violate(&report)
		report.UnmetRequirements = report.unmetRequirements()
		if err := report.Err(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

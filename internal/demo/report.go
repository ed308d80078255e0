package demo

import (
	"fmt"

	"github.com/pkg/errors"
)

// Report is the result of a run. The callers, the emulated targets and the emulated platform count every figure; the
// entry instances count none.
type Report struct {
	Seed                  int64   `json:"seed"`
	Seconds               float64 `json:"seconds"`
	SamplesRequested      int     `json:"samples_requested"`
	SamplesDelivered      int     `json:"samples_delivered"`
	SamplesDuplicate      int     `json:"samples_duplicate"`
	SamplesMissing        int     `json:"samples_missing"`
	SamplesOverStaleness  int     `json:"samples_over_staleness"`
	SamplesMislabelled    int     `json:"samples_mislabelled"`
	SamplesBroken         int     `json:"samples_broken"`
	RequestsOK            int     `json:"requests_ok"`
	RequestsRefusedNotRun int     `json:"requests_refused_not_run"`
	RequestsLost          int     `json:"requests_lost"`
	RequestsDoubled       int     `json:"requests_doubled"`
	RequestsWrongAnswer   int     `json:"requests_wrong_answer"`
	RequestsFalseNotRun   int     `json:"requests_false_not_run"`
	RequestsCutByDrain    int     `json:"requests_cut_by_drain"`
	KeysLeaked            int     `json:"keys_leaked"`
	KeyWithdrawalSeconds  float64 `json:"key_withdrawal_seconds"`
	KeyUses               int     `json:"key_uses"`
	TrainerIdleFraction   float64 `json:"trainer_idle_fraction"`
	// TrainerIdleFractionBound is the lowest possible idle fraction: that of a run in which all engines work on each
	// step from its start at full speed.
	TrainerIdleFractionBound   float64 `json:"trainer_idle_fraction_bound"`
	WorstTeamServiceFraction   float64 `json:"worst_team_service_fraction"`
	TargetCost                 float64 `json:"target_cost"`
	OrdersFromTwoHolders       int     `json:"orders_from_two_holders"`
	UsageWindowsReported       int     `json:"usage_windows_reported"`
	UsageWindowsConflicting    int     `json:"usage_windows_conflicting"`
	UsageWindowsDoubled        int     `json:"usage_windows_doubled"`
	DrainCompleted             bool    `json:"drain_completed"`
	WeightVersionOnAllEngines  int     `json:"weight_version_on_all_engines"`
	ConfigurationInForceMillis int     `json:"configuration_in_force_ms"`
	// UnmetRequirements lists the requirements that were not met.
	UnmetRequirements []string `json:"out_of_bounds"`
}

// maxWithdrawalSeconds limits the time from the withdrawal of a key to its last use that is accepted.
const maxWithdrawalSeconds = 2.0

// Err returns an error that lists every requirement that was not met, or nil if all were met.
func (r *Report) Err() error {
	if len(r.UnmetRequirements) > 0 {
		return errors.Errorf("requirements not met: %v", r.UnmetRequirements)
	}
	return nil
}

// unmetRequirements returns a message for each requirement that was not met.
func (r *Report) unmetRequirements() []string {
	unmet := []string{}
	requireZero := func(name string, n int) {
		if n != 0 {
			unmet = append(unmet, fmt.Sprintf("%s is %d", name, n))
		}
	}
	requireZero("samples_duplicate", r.SamplesDuplicate)
	requireZero("samples_missing", r.SamplesMissing)
	requireZero("samples_over_staleness", r.SamplesOverStaleness)
	requireZero("samples_mislabelled", r.SamplesMislabelled)
	requireZero("samples_broken", r.SamplesBroken)
	requireZero("requests_lost", r.RequestsLost)
	requireZero("requests_doubled", r.RequestsDoubled)
	requireZero("requests_wrong_answer", r.RequestsWrongAnswer)
	requireZero("requests_false_not_run", r.RequestsFalseNotRun)
	requireZero("requests_cut_by_drain", r.RequestsCutByDrain)
	requireZero("keys_leaked", r.KeysLeaked)
	requireZero("orders_from_two_holders", r.OrdersFromTwoHolders)
	requireZero("usage_windows_conflicting", r.UsageWindowsConflicting)
	requireZero("usage_windows_doubled", r.UsageWindowsDoubled)
	if r.KeyWithdrawalSeconds > maxWithdrawalSeconds {
		unmet = append(unmet, fmt.Sprintf("key_withdrawal_seconds is %.2f", r.KeyWithdrawalSeconds))
	}
	if r.KeyUses == 0 {
		unmet = append(unmet, "the withdrawn key was never used")
	}
	if r.UsageWindowsReported == 0 {
		unmet = append(unmet, "usage_windows_reported is 0")
	}
	if r.RequestsOK == 0 || r.SamplesDelivered == 0 {
		unmet = append(unmet, "no request or no sample was served")
	}
	if !r.DrainCompleted {
		unmet = append(unmet, "the drained instance did not stop by itself")
	}
	return unmet
}

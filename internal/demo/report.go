package demo

import (
	"fmt"

	"github.com/pkg/errors"
)

// Report is the result of a run. Every figure is counted by the callers or by the stand-ins, none by the
// entry instances.
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
	// TrainerIdleFractionBound is the idle fraction if all engines worked on each step from its start at full speed.
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
	// OutOfBounds names the requirements that were not met.
	OutOfBounds []string `json:"out_of_bounds"`
}

// maxWithdrawalSeconds is the required time from the withdrawal of a key to its last effect.
const maxWithdrawalSeconds = 2.0

// Err returns an error that names every requirement that was not met, or nil.
func (r *Report) Err() error {
	if len(r.OutOfBounds) > 0 {
		return errors.Errorf("requirements not met: %v", r.OutOfBounds)
	}
	return nil
}

// check lists the requirements that were not met.
func (r *Report) check() []string {
	broken := []string{}
	zero := func(name string, n int) {
		if n != 0 {
			broken = append(broken, fmt.Sprintf("%s is %d", name, n))
		}
	}
	zero("samples_duplicate", r.SamplesDuplicate)
	zero("samples_missing", r.SamplesMissing)
	zero("samples_over_staleness", r.SamplesOverStaleness)
	zero("samples_mislabelled", r.SamplesMislabelled)
	zero("samples_broken", r.SamplesBroken)
	zero("requests_lost", r.RequestsLost)
	zero("requests_doubled", r.RequestsDoubled)
	zero("requests_wrong_answer", r.RequestsWrongAnswer)
	zero("requests_false_not_run", r.RequestsFalseNotRun)
	zero("requests_cut_by_drain", r.RequestsCutByDrain)
	zero("keys_leaked", r.KeysLeaked)
	zero("orders_from_two_holders", r.OrdersFromTwoHolders)
	zero("usage_windows_conflicting", r.UsageWindowsConflicting)
	zero("usage_windows_doubled", r.UsageWindowsDoubled)
	if r.KeyWithdrawalSeconds > maxWithdrawalSeconds {
		broken = append(broken, fmt.Sprintf("key_withdrawal_seconds is %.2f", r.KeyWithdrawalSeconds))
	}
	if r.KeyUses == 0 {
		broken = append(broken, "the key that was withdrawn was never used")
	}
	if r.UsageWindowsReported == 0 {
		broken = append(broken, "usage_windows_reported is 0")
	}
	if r.RequestsOK == 0 || r.SamplesDelivered == 0 {
		broken = append(broken, "no request or no sample was served")
	}
	if !r.DrainCompleted {
		broken = append(broken, "the drained instance did not stop by itself")
	}
	return broken
}

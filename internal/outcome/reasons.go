package outcome

import (
	"net/http"
	"sort"
	"time"
)

// Reasons of refusals.
const (
	KeyMissing         Reason = "key_missing"
	KeyInvalid         Reason = "key_invalid"
	KeyWithdrawn       Reason = "key_withdrawn"
	RouteForbidden     Reason = "route_forbidden"
	ServiceUnknown     Reason = "service_unknown"
	RequestInvalid     Reason = "request_invalid"
	RequestTooLarge    Reason = "request_too_large"
	UpgradeUnsupported Reason = "upgrade_unsupported"
	ConfigStale        Reason = "config_stale"
	ConfigConflict     Reason = "config_conflict"
	ConfigInvalid      Reason = "config_invalid"
	StoreUnavailable   Reason = "store_unavailable"
	StoreUnknown       Reason = "store_unknown"
	Draining           Reason = "draining"
	QueueFull          Reason = "queue_full"
	TeamLimit          Reason = "team_limit"
	TeamLeaving        Reason = "team_leaving"
	DeadlinePassed     Reason = "deadline_passed"
	NoTarget           Reason = "no_target"
	TargetUnreachable  Reason = "target_unreachable"
	TargetRefused      Reason = "target_refused"
	TargetLimited      Reason = "target_limited"
	Overloaded         Reason = "overloaded"
	StreamUnknown      Reason = "stream_unknown"
	Quarantined        Reason = "quarantined"
	Suspected          Reason = "suspected"
	RetryBudget        Reason = "retry_budget"
	ResponseLost       Reason = "answer_lost"
	ResponseTruncated  Reason = "answer_truncated"
	DuplicateRequest   Reason = "duplicate_request"
	ClaimRecordLost    Reason = "no_record"
	ClaimUnavailable   Reason = "claim_unavailable"
	CallerDisconnected Reason = "caller_gone"
	StepUnknown        Reason = "step_unknown"
	StepMismatch       Reason = "step_mismatch"
	StepExpired        Reason = "step_expired"
	AdminForbidden     Reason = "admin_forbidden"
	MemoryFull         Reason = "memory_full"
)

// reasonInfo holds what a refusal contains by default, and its HTTP status code.
type reasonInfo struct {
	outcome    Outcome
	status     int
	message    string
	retryAfter time.Duration
}

var reasons = map[Reason]reasonInfo{
	KeyMissing:         {NotRun, http.StatusUnauthorized, "the route needs a key in the Authorization header", 0},
	KeyInvalid:         {NotRun, http.StatusUnauthorized, "the key is not known", 0},
	KeyWithdrawn:       {Unknown, http.StatusUnauthorized, "the key was withdrawn while the request was running", 0},
	RouteForbidden:     {NotRun, http.StatusForbidden, "the key's team may not use this service", 0},
	ServiceUnknown:     {NotRun, http.StatusNotFound, "no such service", 0},
	RequestInvalid:     {NotRun, http.StatusBadRequest, "the request is malformed", 0},
	RequestTooLarge:    {NotRun, http.StatusRequestEntityTooLarge, "the request exceeds the size limit", 0},
	UpgradeUnsupported: {NotRun, http.StatusNotImplemented, "protocol upgrades are not supported", 0},
	ConfigStale:        {NotRun, http.StatusServiceUnavailable, "this instance cannot confirm its configuration", time.Second},
	ConfigConflict:     {NotRun, http.StatusConflict, "the configuration changed since the named revision", 0},
	ConfigInvalid:      {NotRun, http.StatusUnprocessableEntity, "the configuration is invalid", 0},
	StoreUnavailable:   {NotRun, http.StatusServiceUnavailable, "the platform's store is unavailable", 2 * time.Second},
	StoreUnknown:       {Unknown, http.StatusServiceUnavailable, "the platform's store did not confirm the write", 2 * time.Second},
	Draining:           {NotRun, http.StatusServiceUnavailable, "this instance is stopping", time.Second},
	QueueFull:          {NotRun, http.StatusTooManyRequests, "the queue of the service is full", time.Second},
	TeamLimit:          {NotRun, http.StatusTooManyRequests, "the team has reached its limit", time.Second},
	TeamLeaving:        {NotRun, http.StatusForbidden, "the team is leaving and opens no new steps", 0},
	DeadlinePassed:     {NotRun, http.StatusGatewayTimeout, "the deadline passed before a target was free", 0},
	NoTarget:           {NotRun, http.StatusServiceUnavailable, "no target of the service is available", time.Second},
	TargetLimited:      {NotRun, http.StatusServiceUnavailable, "the targets of the service limit their requests", time.Second},
	Overloaded:         {NotRun, http.StatusServiceUnavailable, "the targets of the service are overloaded", time.Second},
	StreamUnknown:      {NotRun, http.StatusServiceUnavailable, "the software version that began the stream is not known", time.Second},
	TargetUnreachable:  {NotRun, http.StatusBadGateway, "no connection to a target could be opened", time.Second},
	TargetRefused:      {NotRun, http.StatusServiceUnavailable, "the target refused the request before running it", time.Second},
	Quarantined:        {NotRun, http.StatusUnprocessableEntity, "this request crashed targets and is quarantined", 10 * time.Minute},
	Suspected:          {NotRun, http.StatusServiceUnavailable, "this request was running when a target crashed; one copy of it is being tried", time.Second},
	RetryBudget:        {Unknown, http.StatusBadGateway, "the retry budget is used up", time.Second},
	ResponseLost:       {Unknown, http.StatusBadGateway, "the connection to the target broke before its answer", 0},
	ResponseTruncated:  {Unknown, http.StatusBadGateway, "the target's answer ended early", 0},
	DuplicateRequest:   {Unknown, http.StatusConflict, "a request with this Idempotency-Key has started before", time.Second},
	ClaimRecordLost:    {Unknown, http.StatusConflict, "a store outage may have lost the record of an earlier attempt", 0},
	ClaimUnavailable:   {NotRun, http.StatusServiceUnavailable, "the request could not be recorded and was not sent", time.Second},
	CallerDisconnected: {Unknown, 499, "the caller closed the connection", 0},
	StepUnknown:        {NotRun, http.StatusNotFound, "the step is not open; open it again with the same id", 0},
	StepMismatch:       {NotRun, http.StatusConflict, "a step with this id and another specification is open", 0},
	StepExpired:        {NotRun, http.StatusGone, "the step was not polled before its deadline", 0},
	AdminForbidden:     {NotRun, http.StatusUnauthorized, "the operator token is missing or wrong", 0},
	MemoryFull:         {NotRun, http.StatusServiceUnavailable, "the memory for requests is used up", time.Second},
}

// Reasons returns every refusal reason in alphabetical order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(reasons))
	for r := range reasons {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// RetryReason is the machine-readable cause of a retry.
type RetryReason string

// Reasons of retries.
const (
	RetryConnect           RetryReason = "connect_failed"
	RetryRefused           RetryReason = "target_refused"
	RetryResponseLost      RetryReason = "answer_lost"
	RetryBrokenAgain       RetryReason = "broke_again"
	RetryResume            RetryReason = "stream_resumed"
	RetryHedge             RetryReason = "hedged"
	RetryStale             RetryReason = "sample_stale"
	RetryUnlabelled        RetryReason = "sample_unlabelled"
	RetryStore             RetryReason = "store_unavailable"
	RetryStoreResponseLost RetryReason = "store_answer_lost"
	RetrySwapFailed        RetryReason = "weight_swap_failed"
	RetryPeerUnreachable   RetryReason = "peer_unreachable"
	RetryFasterTarget      RetryReason = "moved_to_faster_target"
	RetryLeavingTarget     RetryReason = "moved_from_leaving_target"
)

// RetryReasons returns every retry reason.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryConnect, RetryRefused, RetryResponseLost, RetryBrokenAgain, RetryResume, RetryHedge, RetryStale, RetryUnlabelled,
		RetryStore, RetryStoreResponseLost, RetrySwapFailed, RetryPeerUnreachable, RetryFasterTarget, RetryLeavingTarget,
	}
}

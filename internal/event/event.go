// Package event lists the names of the log lines that instances on the users' platform write. docs/OPERATIONS.md
// shows the list, and a test compares them.
package event

// Name is the value of the field "event" of a log line.
type Name = string

// Names of events.
const (
	AppendFailed              Name = "results not appended"
	ConfigDecodeFailed        Name = "configuration not decoded, the previous one stays in force"
	ConfigInForce             Name = "configuration in force"
	CrashReportApplied        Name = "crash report of another instance applied"
	CrashReportDecodeFailed   Name = "crash report not decoded"
	CrashReportWriteFailed    Name = "crash report not written"
	DepartureWriteFailed      Name = "departure not written, jobs are taken over after the owner timeout"
	Drained                   Name = "instance drained"
	EvacuationBegan           Name = "evacuation began"
	EvacuationEnded           Name = "evacuation ended"
	EvacuationOfUnknownZone   Name = "evacuation of a zone without targets"
	EvacuationValueUnknown    Name = "value of an evacuation row unknown, the zone is evacuated"
	FeedFailed                Name = "feed failed"
	FeedRecovered             Name = "feed recovered"
	FeedThrottled             Name = "feed throttled, the table refused calls"
	HeartbeatDecodeFailed     Name = "heartbeat not decoded"
	HeartbeatRemovalFailed    Name = "heartbeats not removed"
	HeartbeatWriteFailed      Name = "heartbeat not written"
	HistoryLost               Name = "feed history lost, all rows read again"
	ItemBrokeAgain            Name = "item broke again"
	ItemsHeldBack             Name = "items held back, their route has its share of the slots"
	ItemMoved                 Name = "item moved to another engine"
	ItemReadFailed            Name = "item not read"
	ItemRestarted             Name = "item begins again, no engine of its version has room"
	ItemRunEnded              Name = "item run ended"
	ItemRunStarted            Name = "item run started"
	ItemsExpired              Name = "items expired"
	JobAssigned               Name = "job assigned to the owner of the previous step"
	JobUnassigned             Name = "job left to a larger instance"
	JobDecodeFailed           Name = "job row not decoded"
	JobEndRequested           Name = "job end requested"
	JobMalformed              Name = "malformed job refused"
	JobRemoved                Name = "job removed"
	JobNotStarted             Name = "job not started"
	JobStarted                Name = "job started"
	JobStopped                Name = "job stopped"
	JobSubmitted              Name = "job submitted"
	JobTakenOver              Name = "job taken over"
	LeaseChanged              Name = "lease changed"
	LeaseReleaseFailed        Name = "lease not released, it expires later"
	LeaseReleased             Name = "lease released"
	LeaseWriteFailed          Name = "lease row not written"
	LimitReportDecodeFailed   Name = "limit report not decoded"
	LimitReportWriteFailed    Name = "limit report not written"
	LoadLimitsReadFailed      Name = "load limits not read, learned anew"
	LoadLimitsWriteFailed     Name = "load limits not written"
	MetricsServeFailed        Name = "metrics not served"
	OperatorRowDeleted        Name = "operator row deleted, its last value stays in force"
	PlacementDelayed          Name = "placement delayed"
	RequestEnded              Name = "request ended"
	RequestRefused            Name = "request refused"
	RequestsInterrupted       Name = "requests interrupted at the end of the grace period"
	ReachDecodeFailed         Name = "row of another instance not decoded"
	ReachWriteFailed          Name = "row of this instance not written"
	RelayServeFailed          Name = "port for other instances not opened"
	ResultsAppended           Name = "results appended"
	ResultsRead               Name = "results read"
	ResultsReadFailed         Name = "results not read"
	RewardAttemptEnded        Name = "reward attempt ended"
	SettingsReadFailed        Name = "settings not read, the previous ones stay in force"
	SettingsReloaded          Name = "settings reloaded"
	LinksLost                 Name = "links to all targets lost"
	LinksRestored             Name = "links to targets restored"
	Started                   Name = "instance started"
	StopRequested             Name = "stop requested"
	Stopped                   Name = "instance stopped"
	StreamBegan               Name = "stream began"
	StreamNotResumed          Name = "stream not taken up"
	StreamsDecodeFailed       Name = "streams not decoded"
	StreamsWriteFailed        Name = "streams not written"
	TakeoverFailed            Name = "job not taken over"
	TargetChanged             Name = "target changed"
	TargetCold                Name = "target warms up"
	TargetColdDecodeFailed    Name = "warm-up of a target not decoded"
	TargetCrashed             Name = "target crashed or disconnected while it ran a request"
	TargetDecodeFailed        Name = "target entry not decoded"
	TargetEntryExpired        Name = "target entry expired around an outage, target kept for now"
	TargetLeaving             Name = "target says it leaves"
	TargetLimitBegan          Name = "target names a limit"
	TargetLimitDecodeFailed   Name = "limit of a target not decoded"
	TargetLimitEnded          Name = "target no longer names a limit"
	TargetRemoved             Name = "target removed"
	TargetStays               Name = "target no longer says it leaves"
	TargetsNotSent            Name = "list of targets not sent"
	TargetWarm                Name = "target has warmed up"
	TargetsOrdered            Name = "targets ordered"
	ServiceLimitBegan         Name = "service overloaded, its requests are limited"
	ServiceLimitChanged       Name = "limit of an overloaded service"
	ServiceLimitEnded         Name = "service no longer overloaded"
	TextListFailed            Name = "stored text not listed, items restart"
	TextRead                  Name = "stored text read"
	TextReadFailed            Name = "stored text not read, items restart"
	TextRemovalFailed         Name = "stored text not removed"
	TextSegmentReadFailed     Name = "stored text segment not read"
	TextSegmentWriteFailed    Name = "text segment not stored, the next one repeats it"
	TextWriteFailed           Name = "text not stored, a later job restarts the items"
	UsageWindowFailed         Name = "usage window not closed or reported"
	UsageWriteDeferred        Name = "usage not written, kept in memory"
	UsageWriteFailed          Name = "usage not written"
	WeightVersionAnnounced    Name = "weight version announced"
	WeightVersionDecodeFailed Name = "weight version not decoded"
	WeightsLoaded             Name = "weights loaded"
	WeightsOrdered            Name = "weights ordered"
)

// Meanings says what each event tells an operator.
var Meanings = map[Name]string{
	AppendFailed:              "an append failed or its response was lost; the list is read again before the next append",
	ConfigDecodeFailed:        "the operator's row could not be decoded; the last valid version still serves",
	ConfigInForce:             "requests are served by a newer configuration from now on; fields `version`, `revision`",
	CrashReportApplied:        "another instance reported `crashes` that requests caused and requests that `completed`; `known` crashes count now",
	CrashReportDecodeFailed:   "another instance's report of crashes could not be decoded; its previous report still counts",
	CrashReportWriteFailed:    "other instances do not know yet which requests crashed targets here; the write is retried",
	DepartureWriteFailed:      "a stopping owner could not write that it leaves; other instances take its jobs over after the owner timeout",
	Drained:                   "the instance completed a graceful shutdown",
	EvacuationBegan:           "targets in `zone` get no requests from now on; `revision` of the operator's row, `targets` in the zone",
	EvacuationEnded:           "targets in `zone` get requests again; `revision`, `targets` in the zone",
	EvacuationOfUnknownZone:   "the operator evacuates `zone`, in which this instance knows no target; the name may be wrong",
	EvacuationValueUnknown:    "the row that evacuates `zone` holds `value` instead of an empty object; the row counts whatever it holds",
	FeedFailed:                "calls to the feed of a table fail; the state read from it becomes stale",
	FeedRecovered:             "calls to the feed succeed again",
	FeedThrottled:             "the store returned 429; `pace` is the time between two calls from now on, and it falls again while calls succeed",
	HeartbeatDecodeFailed:     "another owner's row could not be decoded",
	HeartbeatRemovalFailed:    "heartbeat rows of stopped processes stay in the store for now",
	HeartbeatWriteFailed:      "the store did not accept this owner's heartbeat",
	HistoryLost:               "the feed cannot continue from the last revision read",
	ItemBrokeAgain:            "two or more runs of an item in a row broke without a new event; it runs again after `wait`, at the latest when the job's time allows",
	ItemsHeldBack:             "`items` of the job's `route` wait: it has `running` items and may have `allowance`, its `demand` is larger; logged when it begins",
	ItemMoved:                 "an item's run was cancelled so that the item continues at another engine; `from`, `to`, `last` event, expected `remaining` events, expected intervals at both engines, `gain` of the step's end and the `price` that it exceeds, or `leaving`",
	ItemReadFailed:            "a caller's request for the body of an item failed",
	ItemRestarted:             "the text of an item up to event `last` was dropped: no engine with the version `software` could continue it in the time that it takes to generate it again",
	ItemRunEnded:              "one run of an item ended; `target`, `ending`, events `after` and `last`, `breaks`, `pause`, `elapsed`",
	ItemRunStarted:            "an item was sent to `target`, which has the version `software`, to continue after event `after`; `job`, `item`",
	ItemsExpired:              "open items passed their deadline and are listed as failed",
	JobAssigned:               "this instance accepted the job, and `owner` runs it",
	JobUnassigned:             "this small instance accepted the job; see `job taken over`",
	JobDecodeFailed:           "a job's row could not be decoded",
	JobEndRequested:           "a caller asked to end a job; `error` if that could not be stored",
	JobMalformed:              "a submitted job was refused as malformed",
	JobRemoved:                "an old job was removed with everything stored for it, or not: `error`",
	JobNotStarted:             "this instance wrote `revision` of the job's row to run it, but by its `newest` revision the job has `ended`, or got another `owner`, or was removed (0)",
	JobStarted:                "this instance runs the job from now on; `term`, `listed`, `min_version`",
	JobStopped:                "this instance no longer runs the job; `ended`, new `owner`, `open` items",
	JobSubmitted:              "a submitted job was accepted, or not: `error`",
	JobTakenOver:              "this instance took over the job and runs it from now on; `former` owner, `term`",
	LeaseChanged:              "this instance acquired or lost the lease; `term`",
	LeaseReleaseFailed:        "a stopping lease holder could not release the lease",
	LeaseReleased:             "the lease was released by a graceful shutdown",
	LeaseWriteFailed:          "a renewal or takeover of the lease failed",
	LimitReportDecodeFailed:   "another instance's report of limited targets could not be decoded; its previous one still counts",
	LimitReportWriteFailed:    "other instances may not count this one's requests for limited targets; it uses half of its shares, or none of new ones",
	LoadLimitsReadFailed:      "a new lease holder does not know yet how many engines may load weights at once, and starts with few",
	LoadLimitsWriteFailed:     "what the lease holder learned about concurrent loads is not stored for its successor",
	MetricsServeFailed:        "the metrics address could not be opened",
	OperatorRowDeleted:        "a row of the operator was deleted",
	PlacementDelayed:          "a round of placement came a second late, because the process was frozen or had no processor time; `jobs` owned",
	RequestEnded:              "a request ended; `target`, `status`, `outcome`, `reason`, `attempts`, `elapsed`",
	RequestRefused:            "this instance refused a request; `reason`, configuration `version` and its `age`, with `memory_full` the `client`'s address, `omitted` lines before this one that exceeded 200 a second",
	RequestsInterrupted:       "the grace period of a graceful shutdown ended before the last requests did",
	ReachDecodeFailed:         "another instance's row could not be decoded; requests go through it as its previous row says",
	ReachWriteFailed:          "other instances do not know yet where this one takes their requests, or whether it reaches targets itself; the write is retried",
	RelayServeFailed:          "this instance passes on no requests of other instances, because their port could not be opened",
	ResultsAppended:           "results were appended; `position`, `results`, `open`, `term`",
	ResultsRead:               "a caller read results; `after`, `results`",
	ResultsReadFailed:         "a caller's request for results failed",
	RewardAttemptEnded:        "one attempt of an item's reward call ended; `reward` is its request id, `target`, `ending`, `status`, `gave_up` if the item fails, `waited` since the end of the text",
	SettingsReadFailed:        "the settings file is missing or invalid; the process continues with the previous settings",
	SettingsReloaded:          "memory, grace period and job lifetime apply at once; `restart` says that other settings changed, which take effect after a restart",
	LinksLost:                 "no target has been reached directly for `lost_for` ms, after attempts at this many `targets`; requests go through other instances if these reach the targets",
	LinksRestored:             "a target was reached directly again, `elapsed` after the first failed attempt",
	Started:                   "the process serves requests",
	StopRequested:             "the process received SIGTERM; `again` says that its graceful shutdown was under way already",
	Stopped:                   "the process exits",
	StreamBegan:               "a caller's stream began at `target`, which has the version `software`; with `resumes` it continues that stream after event `after`",
	StreamNotResumed:          "the version that began the stream `resumes` is not known; with `error`, the store did not say which versions there are",
	StreamsDecodeFailed:       "a row with the software versions of streams could not be decoded; they cannot be taken up again here while versions are mixed",
	StreamsWriteFailed:        "other instances do not know yet which software version began some streams; the write is retried",
	TakeoverFailed:            "a takeover failed and is retried",
	TargetChanged:             "a target reported new properties; `draining`, `versions`",
	TargetCold:                "`target` of `service` takes few requests for the time `left`; `input` that says so (`entry` or `response`), `start` number, `status` of the response",
	TargetColdDecodeFailed:    "a response of `target` states the rest of its warm-up, but as no number",
	TargetCrashed:             "a target crashed or disconnected while it ran the request with this hash; from the third target on the request is refused",
	TargetDecodeFailed:        "a target entry could not be decoded and is not used",
	TargetEntryExpired:        "a target's entry vanished near an outage of the store; the target is used for 2.2 s more",
	TargetLeaving:             "a response of `target` to this instance says that it leaves; `service`, `status`",
	ServiceLimitBegan:         "responses of the targets show more requests than they can run; the inputs are `evidence`, `missing`, `recent`, `setpoint`, `result`; `rate` in requests a second of this instance",
	ServiceLimitChanged:       "`rate` of a limited service, each second; `recent` and `setpoint` in milliseconds decide whether it grows",
	ServiceLimitEnded:         "the limit refused nothing and no response was bad for 4 s",
	TargetLimitBegan:          "a response of `target` to this instance names a limit that it had not named here before; `limit` in requests a second, `status`",
	TargetLimitDecodeFailed:   "a response of `target` names a limit that is no number; what it named before stays in force",
	TargetLimitEnded:          "a response of `target` to this instance names its limit no more",
	TargetRemoved:             "a target's entry was removed",
	TargetStays:               "a response of `target` to a later request no longer says that it leaves",
	TargetsNotSent:            "a request for the list of targets ended before its response was sent",
	TargetWarm:                "the warm-up of `target` is over; `input` is `expiry`",
	TargetsOrdered:            "the lease holder ordered a number of engines; `load`, `count`, `term`",
	TextListFailed:            "a takeover could not list stored text",
	TextRead:                  "items continue after stored text; `stored`, `used`",
	TextReadFailed:            "stored text could not be read, so its items start over",
	TextRemovalFailed:         "stored text of an ended job stays in the store",
	TextSegmentReadFailed:     "a segment of stored text could not be read",
	TextSegmentWriteFailed:    "a segment of text could not be stored",
	TextWriteFailed:           "text of an ended job could not be stored",
	UsageWindowFailed:         "a usage window could not be closed or reported; this is retried",
	UsageWriteDeferred:        "usage could not be stored and is kept in memory",
	UsageWriteFailed:          "usage is kept in memory or, during a shutdown, lost",
	WeightVersionAnnounced:    "a trainer announced a newer weight version",
	WeightVersionDecodeFailed: "a row with a weight version could not be decoded",
	WeightsLoaded:             "an engine finished loading a version; `elapsed`",
	WeightsOrdered:            "the lease holder ordered an engine to load a version; `has`, `orders`, `term`, `accepted`",
}

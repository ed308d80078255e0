// Package event lists the names of the log lines that instances on the users' platform write. docs/OPERATIONS.md
// shows the list, and a test compares them.
package event

// Name is the value of the field "event" of a log line.
type Name = string

// Names of events.
const (
	AppendFailed        Name = "results not appended"
	ConfigInForce       Name = "configuration in force"
	ConfigUnreadable    Name = "configuration not readable, the last one stays in force"
	DepartureUnwritten  Name = "departure not written, jobs are taken over later"
	CrashesLearned      Name = "crashes of another instance learned"
	CrashesUnreadable   Name = "report of crashes is not readable"
	CrashesUnwritten    Name = "report of crashes not written"
	Drained             Name = "drained"
	FeedLost            Name = "feed lost"
	FeedRegained        Name = "feed regained"
	FeedThrottled       Name = "feed asked less often, the table takes no more calls"
	HeartbeatUnreadable Name = "heartbeat is not readable"
	HeartbeatUnwritten  Name = "heartbeat not written"
	HistoryLost         Name = "history lost, rows are read anew"
	ItemMoves           Name = "item moves"
	ItemRun             Name = "item run"
	ItemUnread          Name = "item not read"
	ItemsExpired        Name = "items given up, their time is over"
	JobEnd              Name = "job end asked"
	JobMalformed        Name = "job not readable"
	JobOwned            Name = "job owned"
	JobRemoved          Name = "job removed"
	JobStopped          Name = "job stopped"
	JobSubmitted        Name = "job submitted"
	JobTakenOver        Name = "job taken over"
	JobUnreadable       Name = "job row is not readable"
	LeaseChanged        Name = "lease changed"
	LeaseReleased       Name = "lease released"
	LeaseUnreleased     Name = "lease not released, it expires"
	LeaseUnwritten      Name = "lease row not written"
	MetricsUnserved     Name = "metrics not served"
	OperatorRowDeleted  Name = "operator row deleted, its last value stays in force"
	Reloaded            Name = "settings read again"
	OwnersUnremoved     Name = "heartbeats not removed"
	RequestEnded        Name = "request ended"
	RequestRefused      Name = "request refused"
	RequestsCut         Name = "requests cut by the end of the grace period"
	ResultsListed       Name = "results listed"
	ResultsRead         Name = "results read"
	ResultsUnread       Name = "results not read"
	SettingsUnreadable  Name = "settings not readable, the last ones stay in force"
	Started             Name = "instance started"
	StopAsked           Name = "stop asked"
	Stopped             Name = "instance stopped"
	TakeoverFailed      Name = "job not taken over"
	TargetBroke         Name = "target broke while it ran a request"
	TargetChanged       Name = "target changed"
	TargetGone          Name = "target gone"
	TargetInvalid       Name = "entry names no target"
	TargetLapsed        Name = "entry lapsed around an outage, target kept for now"
	TargetsOrdered      Name = "targets ordered"
	TextPartUnread      Name = "stored text not read"
	TextRead            Name = "stored text read"
	TextUnkept          Name = "text not stored, a later job starts it anew"
	TextUnlisted        Name = "stored text not listed, items start anew"
	TextUnread          Name = "stored text not read, items start anew"
	TextUnremoved       Name = "stored text not removed"
	TextUnsaved         Name = "text not stored, the next piece repeats it"
	UsageKept           Name = "usage not written, kept in memory"
	UsageUnwritten      Name = "usage not written"
	VersionNamed        Name = "weight version named"
	VersionUnreadable   Name = "weight version not readable"
	WeightsLoaded       Name = "weights loaded"
	WeightsOrdered      Name = "weights ordered"
	WindowOpen          Name = "usage window not closed"
)

// Meanings says what each event tells an operator.
var Meanings = map[Name]string{
	AppendFailed:        "an append failed or its answer was lost; the list is read before the next",
	ConfigInForce:       "a newer configuration serves requests from now on; fields `version`, `revision`",
	ConfigUnreadable:    "the operator's row could not be decoded; the last version still serves",
	DepartureUnwritten:  "a stopping owner could not tell; others take over after its silence",
	CrashesLearned:      "another instance reported `crashes` that requests caused and requests that `completed`; `known` crashes count now",
	CrashesUnreadable:   "another instance's report of crashes could not be decoded; what it reported before still counts",
	CrashesUnwritten:    "others do not know yet which requests broke targets here; the write is repeated",
	Drained:             "a planned stop is complete",
	FeedLost:            "calls to the feed of a table fail; what is known of it grows old",
	FeedRegained:        "the feed answers again",
	FeedThrottled:       "the store answers 429; `pace` is the time between two calls from now on, and it falls again while calls succeed",
	HeartbeatUnreadable: "another owner's row could not be decoded",
	HeartbeatUnwritten:  "the store did not take this owner's heartbeat",
	HistoryLost:         "the feed cannot go on from the last revision",
	ItemMoves:           "an item goes on at another engine; `from`, `to`, `last` event, expected `remaining` events",
	ItemRun:             "one run of an item ended; `target`, `ending`, events `after` and `last`, `crashes`, `pause`, `elapsed`",
	ItemUnread:          "a caller's question for an item's body failed",
	ItemsExpired:        "open items are listed as failed because their time is over",
	JobEnd:              "a caller ended a job; `error` if it could not be stored",
	JobMalformed:        "a submitted job was refused as malformed",
	JobOwned:            "this instance runs the job; `term`, `listed`, `min_version`",
	JobRemoved:          "an old job was removed with all that was stored of it, or not: `error`",
	JobStopped:          "this instance runs the job no more; `ended`, new `owner`, `open` items",
	JobSubmitted:        "a submitted job was accepted, or not: `error`",
	JobTakenOver:        "this instance rewrote the job's row; `former` owner, `term`",
	JobUnreadable:       "a job's row could not be decoded",
	LeaseChanged:        "this instance holds the lease, or does not any more; `term`",
	LeaseReleased:       "a planned stop gave the lease up",
	LeaseUnreleased:     "a stopping holder could not release the lease",
	LeaseUnwritten:      "a renewal or takeover failed",
	MetricsUnserved:     "the metrics address could not be opened",
	OperatorRowDeleted:  "a row of the operator vanished",
	Reloaded:            "memory, grace period and life of jobs apply at once; `restart` says that other settings changed, which need a new start",
	OwnersUnremoved:     "rows of processes that are gone stay in the store for now",
	RequestEnded:        "a request was answered; `target`, `status`, `outcome`, `reason`, `attempts`, `elapsed`",
	RequestRefused:      "a request was refused here; `reason`, configuration `version` and its `age`",
	RequestsCut:         "a planned stop ended before its last requests",
	ResultsListed:       "results were appended; `position`, `results`, `open`, `term`",
	ResultsRead:         "a caller read results; `after`, `results`",
	ResultsUnread:       "a caller's question for results failed",
	SettingsUnreadable:  "the settings file is missing or wrong; the process goes on as before",
	Started:             "the process serves",
	StopAsked:           "SIGTERM",
	Stopped:             "the process ends",
	TakeoverFailed:      "a takeover failed and is tried again",
	TargetBroke:         "a target broke off while it ran the request with this hash; from the third target on the request is refused",
	TargetChanged:       "a target described itself anew; `draining`, `versions`",
	TargetGone:          "a target's entry was removed",
	TargetInvalid:       "an entry could not be decoded and is not used",
	TargetLapsed:        "a target's entry vanished near an outage of the store; it is used for 2.2 s more",
	TargetsOrdered:      "the lease holder ordered a number of engines; `load`, `count`, `term`",
	TextPartUnread:      "a piece of stored text could not be read",
	TextRead:            "items go on after stored text; `stored`, `used`",
	TextUnkept:          "text of an ended job could not be stored",
	TextUnlisted:        "a takeover could not list stored text",
	TextUnread:          "stored text could not be read",
	TextUnremoved:       "stored text of an ended job stays",
	TextUnsaved:         "a piece of text could not be stored",
	UsageKept:           "usage could not be stored and is kept",
	UsageUnwritten:      "usage is kept in memory or, at the stop, lost",
	VersionNamed:        "a trainer named a newer weight version",
	VersionUnreadable:   "a row with a weight version could not be decoded",
	WeightsLoaded:       "an engine has loaded a version; `elapsed`",
	WeightsOrdered:      "the lease holder ordered an engine to load a version; `has`, `orders`, `term`, `accepted`",
	WindowOpen:          "a usage window could not be closed or reported and is tried again",
}

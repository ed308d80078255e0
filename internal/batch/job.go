// Package batch stores and runs jobs of many items. A job is stored before it is acknowledged, its results form an
// append-only list, and any instance can serve reads of any job.
//
// The owner of a job is the instance that runs its items. Every append to the list of results is conditional on the
// revision of the job's row. A takeover and the end of the job both rewrite the row, so a former owner cannot append
// results.
package batch

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Item is one request of a job.
type Item struct {
	ID string
	// Group is the name that items with the same prompt share.
	Group string
	Path  string
	// Headers are sent to the engine unchanged.
	Headers map[string]string
	Body    []byte
	// Tokens is the number of prompt tokens plus the maximum number of output tokens.
	Tokens int
	// Estimate is the expected number of output tokens; 0 means unknown.
	Estimate int
	// Reward is the request that returns the score of the item's text; nil means that the result has no score.
	Reward *Reward
}

// Job is a batch of items as a caller submitted it, with the settings that apply to all of them.
type Job struct {
	ID    string
	Team  string
	Route string
	// Host is the route's host name; it is sent to engines with each item.
	Host    string
	Service string
	Model   string
	Step    int
	// MinVersion is the oldest weight version that may generate text for the job.
	MinVersion int
	// Wanted is the number of complete groups that the caller waits for.
	Wanted int
	// SingleVersion requires that a single weight version generates the whole text of an item.
	SingleVersion bool
	// EventTokens is the number of tokens in one event; 0 means unknown.
	EventTokens int
	// MaxAttempts is the number of runs reported as failed after which an item's result is a failure.
	MaxAttempts int
	Submitted   time.Time
	// Life is the time after the submission at which items expire.
	Life  time.Duration
	Items []Item
}

// Result is the outcome of an item: its text, or a failure.
type Result struct {
	ID     string `json:"id"`
	Failed bool   `json:"failed,omitempty"`
	// Output holds the data of all events, separated by line feeds.
	Output   string `json:"output"`
	Versions []int  `json:"versions,omitempty"`
	// Score is the score that the item's reward call returned.
	Score string `json:"score,omitempty"`
}

// Text is the part of an item's output that has been generated so far.
type Text struct {
	Output []byte
	// Last is the ID of the last event; 0 means that there is none.
	Last int
	// Versions are the weight versions that generated the events, in ascending order.
	Versions []int
	// Software is the software version of the engines that generated the events. Only such engines may continue the text:
	// others do not notice that it does not fit.
	Software string
}

// Event is one piece of an item's text as an engine streams it.
type Event struct {
	ID      int
	Data    []byte
	Version int
}

// errNotConsecutive reports an event whose ID does not follow that of the previous event.
var errNotConsecutive = errors.New("event IDs are not consecutive")

// Append adds an event to the text. It returns an error if the event's ID does not follow that of the last event.
func (t *Text) Append(e Event) error {
	if e.ID != t.Last+1 {
		return errors.Wrapf(errNotConsecutive, "event %d after event %d", e.ID, t.Last)
	}
	if t.Last > 0 {
		t.Output = append(t.Output, '\n')
	}
	t.Output = append(t.Output, e.Data...)
	t.Last = e.ID
	if at, found := slices.BinarySearch(t.Versions, e.Version); !found {
		t.Versions = slices.Insert(t.Versions, at, e.Version)
	}
	return nil
}

// isUsableFor reports whether a job may use the text: the text's weight versions must satisfy the job's MinVersion and
// SingleVersion.
func (t *Text) isUsableFor(job *Job) bool {
	if t.Last == 0 {
		return true
	}
	if len(t.Versions) == 0 || t.Versions[0] < job.MinVersion {
		return false
	}
	return !job.SingleVersion || len(t.Versions) == 1
}

// jobRecord is the value of a job's row.
type jobRecord struct {
	Team      string `json:"team"`
	Route     string `json:"route"`
	Model     string `json:"model"`
	Step      int    `json:"step"`
	Total     int    `json:"total"`
	Owner     string `json:"owner"`
	Term      int    `json:"term"`
	Ended     bool   `json:"ended,omitempty"`
	Submitted int64  `json:"submitted_unix_ms"`
}

const (
	jobTable    = "job"
	itemTable   = "item"
	resultTable = "result"
	ownerTable  = "owner"
)

// partitions is the number of table partitions over which jobs are distributed. A partition commits one transaction
// at a time.
const partitions = 8

// Partition returns the name of the partition that holds the row with a key. All rows of a job are in the same
// partition, so that one transaction can cover them. Rows of other tables are in the partition with the empty name.
func Partition(key string) string {
	table, rest, _ := strings.Cut(key, "/")
	if !isPartitioned(table) {
		return ""
	}
	job, _, _ := strings.Cut(rest, "/")
	return partitionName(int(xxhash.Sum64String(job) % partitions))
}

// PartitionsOf returns the names of the partitions that hold rows whose keys begin with prefix.
func PartitionsOf(prefix string) []string {
	table, rest, _ := strings.Cut(prefix, "/")
	if rest != "" || !isPartitioned(table) {
		return []string{Partition(prefix)}
	}
	var all []string
	for n := range partitions {
		all = append(all, partitionName(n))
	}
	return all
}

func isPartitioned(table string) bool {
	return table == jobTable || table == itemTable || table == resultTable
}

func partitionName(n int) string { return strconv.Itoa(n) }

func jobKey(job string) string { return jobTable + "/" + job }

func resultPrefix(job string) string { return resultTable + "/" + job + "/" }

func resultKey(job string, position int) string {
	return fmt.Sprintf("%s%06d", resultPrefix(job), position)
}

func itemsObjectName(job string) string { return "batch/" + job }

func textObjectName(job string, term int) string { return fmt.Sprintf("text/%s/%d", job, term) }

func decodeRecord(value string) (jobRecord, error) {
	var r jobRecord
	err := json.Unmarshal([]byte(value), &r)
	return r, errors.Wrap(err, "decode job row")
}

func encodeObject(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeObject(data []byte, value any) error {
	return errors.Wrap(cbor.Unmarshal(data, value), "decode object")
}

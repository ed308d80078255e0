// Package batch keeps and runs jobs of many items. A job is stored before it is acknowledged, its results
// form a list that only grows, and any instance answers for any job.
//
// A job's owner runs its items. Every append to the list of results is conditional on the job's row, which a
// change of owner and the end of the job rewrite, so an owner that lost the job cannot add a result.
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
	// Group names the items that share a prompt.
	Group string
	Path  string
	// Headers are sent to the engine as they are.
	Headers map[string]string
	Body    []byte
	// Tokens is the sum of prompt tokens and the largest number of output tokens.
	Tokens int
	// Estimate is the expected number of output tokens; 0 means unknown.
	Estimate int
}

// Job is what a caller submitted.
type Job struct {
	ID    string
	Team  string
	Route string
	// Host is that of the route; engines get it with each item.
	Host    string
	Service string
	Model   string
	Step    int
	// MinVersion is the oldest weight version that may generate text.
	MinVersion int
	// Wanted is the number of complete groups that the caller waits for.
	Wanted int
	// SingleVersion demands that one version makes the whole text of an item.
	SingleVersion bool
	// EventTokens is the number of tokens in one event; 0 means unknown.
	EventTokens int
	// MaxAttempts is the number of failed runs after which an item is given up.
	MaxAttempts int
	Submitted   time.Time
	// Life is the time after the submission at which an item is given up.
	Life  time.Duration
	Items []Item
}

// Result is what became of an item.
type Result struct {
	ID     string `json:"id"`
	Failed bool   `json:"failed,omitempty"`
	// Output holds the data of all events, separated by line feeds.
	Output   string `json:"output"`
	Versions []int  `json:"versions,omitempty"`
}

// Text is what was generated for an item so far.
type Text struct {
	Output []byte
	// Last is the id of the last event; 0 means that there is none.
	Last int
	// Versions are those that made the events, in ascending order.
	Versions []int
}

// Event is a piece of an item's text.
type Event struct {
	ID      int
	Data    []byte
	Version int
}

// errGap reports events that do not follow each other.
var errGap = errors.New("event does not follow the one before")

// Append adds an event.
func (t *Text) Append(e Event) error {
	if e.ID != t.Last+1 {
		return errors.Wrapf(errGap, "%d after %d", e.ID, t.Last)
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

// fits reports whether the text may be used by a job.
func (t *Text) fits(job *Job) bool {
	if t.Last == 0 {
		return true
	}
	if len(t.Versions) == 0 || t.Versions[0] < job.MinVersion {
		return false
	}
	return !job.SingleVersion || len(t.Versions) == 1
}

// record is the row of a job.
type record struct {
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

// parts is the number of parts over which jobs are spread. One part of the table commits one transaction at
// a time.
const parts = 8

// Part returns the part of a table in which the row with a key is kept. All rows of a job are in one part, so
// one transaction can cover them; rows of other tables are in the part without a name.
func Part(key string) string {
	table, rest, _ := strings.Cut(key, "/")
	if !partitioned(table) {
		return ""
	}
	job, _, _ := strings.Cut(rest, "/")
	return partName(int(xxhash.Sum64String(job) % parts))
}

// PartsOf returns the parts that hold rows whose keys begin with prefix.
func PartsOf(prefix string) []string {
	table, rest, _ := strings.Cut(prefix, "/")
	if rest != "" || !partitioned(table) {
		return []string{Part(prefix)}
	}
	var all []string
	for n := range parts {
		all = append(all, partName(n))
	}
	return all
}

func partitioned(table string) bool {
	return table == jobTable || table == itemTable || table == resultTable
}

func partName(n int) string { return strconv.Itoa(n) }

func jobKey(job string) string { return jobTable + "/" + job }

func resultPrefix(job string) string { return resultTable + "/" + job + "/" }

func resultKey(job string, position int) string {
	return fmt.Sprintf("%s%06d", resultPrefix(job), position)
}

func itemsObject(job string) string { return "batch/" + job }

func textObject(job string, term int) string { return fmt.Sprintf("text/%s/%d", job, term) }

func decodeRecord(value string) (record, error) {
	var r record
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

package usage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// usagePrefix is the prefix of the keys of all usage objects and rows.
	usagePrefix  = "usage/"
	windowPrefix = usagePrefix + "windows/"
	cursorKey    = usagePrefix + "cursor"
	// retainedWindows is the number of closed windows whose rows are kept. Statements for older windows are discarded,
	// because without the row it is unknown whether they were reported. Discarded statements are counted.
	retainedWindows = 128
)

// windowID returns the id of a window: its start in Unix seconds, zero-padded so that ids sort by time.
func windowID(start int64) string { return fmt.Sprintf("%012d", start) }

// statementKey identifies one statement of one writer.
type statementKey struct {
	window   int64
	writer   string
	sequence int64
}

func (k statementKey) String() string {
	return usagePrefix + windowID(k.window) + "/" + k.writer + "-" + strconv.FormatInt(k.sequence, 10)
}

// writerName identifies one run of an instance.
func writerName(instance string, startedUnixMs int64) string {
	return instance + "-" + strconv.FormatInt(startedUnixMs, 10)
}

func parseStatementKey(key string) (statementKey, bool) {
	window, rest, found := strings.Cut(strings.TrimPrefix(key, usagePrefix), "/")
	last := strings.LastIndexByte(rest, '-')
	if !found || last < 0 {
		return statementKey{}, false
	}
	start, errStart := strconv.ParseInt(window, 10, 64)
	sequence, errSequence := strconv.ParseInt(rest[last+1:], 10, 64)
	if errStart != nil || errSequence != nil {
		return statementKey{}, false
	}
	return statementKey{window: start, writer: rest[:last], sequence: sequence}, true
}

// cursor is the value of the row that serializes the closing of windows. All windows that end at or before ClosedUntil
// are closed, and the intake has confirmed all that end at or before ReportedUntil.
type cursor struct {
	ClosedUntil   int64 `json:"closed_until"`
	ReportedUntil int64 `json:"reported_until"`
}

// countedSequences holds, for each window and writer, the sequence number of the last statement counted in a closed
// window.
type countedSequences map[int64]map[string]int64

func (m countedSequences) raise(window int64, writer string, sequence int64) {
	if m[window] == nil {
		m[window] = map[string]int64{}
	}
	m[window][writer] = max(m[window][writer], sequence)
}

// windowRow is the value of a closed window's row. It never changes after it is written.
type windowRow struct {
	Window  api.Window       `json:"window"`
	Counted countedSequences `json:"counted"`
}

// tableState holds the decoded usage rows of the table.
type tableState struct {
	cursor         cursor
	cursorRevision int
	rows           []storedWindowRow
	counted        countedSequences
}

// storedWindowRow is a windowRow with the start of its window and its key and revision in the table.
type storedWindowRow struct {
	windowRow
	start    int64
	key      string
	revision int
}

// decodeTableState decodes the rows under usagePrefix.
func decodeTableState(rows []api.Row) (tableState, error) {
	s := tableState{counted: countedSequences{}}
	for _, row := range rows {
		if row.Key == cursorKey {
			if err := json.Unmarshal([]byte(row.Value), &s.cursor); err != nil {
				return tableState{}, errors.Wrap(err, row.Key)
			}
			s.cursorRevision = row.Revision
			continue
		}
		decoded, err := decodeWindowRow(row)
		if err != nil {
			return tableState{}, err
		}
		s.rows = append(s.rows, decoded)
		for window, writers := range decoded.Counted {
			for writer, sequence := range writers {
				s.counted.raise(window, writer, sequence)
			}
		}
	}
	slices.SortFunc(s.rows, func(a, b storedWindowRow) int { return cmp.Compare(a.start, b.start) })
	return s, nil
}

func decodeWindowRow(row api.Row) (storedWindowRow, error) {
	decoded := storedWindowRow{key: row.Key, revision: row.Revision}
	if err := json.Unmarshal([]byte(row.Value), &decoded.windowRow); err != nil {
		return storedWindowRow{}, errors.Wrap(err, row.Key)
	}
	start, err := strconv.ParseInt(strings.TrimPrefix(row.Key, windowPrefix), 10, 64)
	if err != nil {
		return storedWindowRow{}, errors.Wrap(err, row.Key)
	}
	decoded.start = start
	return decoded, nil
}

// oldestUnreported returns the oldest closed window that the intake has not confirmed.
func (s tableState) oldestUnreported() (storedWindowRow, bool) {
	for _, row := range s.rows {
		if row.start >= s.cursor.ReportedUntil {
			return row, true
		}
	}
	return storedWindowRow{}, false
}

// oldestKeptWindow returns the start of the oldest window whose row is kept, or 0 while no row has been deleted.
func (s tableState) oldestKeptWindow() int64 {
	if len(s.rows) < retainedWindows {
		return 0
	}
	return s.rows[0].start
}

// surplusRows returns the number of rows to delete when one more is written.
func (s tableState) surplusRows() int { return max(0, len(s.rows)+1-retainedWindows) }

// addClosedWindow updates the state after a commit that wrote the row and the cursor and deleted the surplus rows.
func (s *tableState) addClosedWindow(row storedWindowRow, next cursor) {
	s.rows = append(s.rows[s.surplusRows():], row)
	s.cursor, s.cursorRevision = next, row.revision
	for window, writers := range row.Counted {
		for writer, sequence := range writers {
			s.counted.raise(window, writer, sequence)
		}
	}
	for window := range s.counted {
		if window < s.oldestKeptWindow() {
			delete(s.counted, window)
		}
	}
}

// closePlan lists the statements to count when the window from start to end is closed.
type closePlan struct {
	start, end int64
	uncounted  []uncountedStatement
}

// uncountedStatement identifies the newest statement of a writer. countedSequence is the sequence number of the
// writer's earlier statement for the same window that a closed window has already counted; 0 means none.
type uncountedStatement struct {
	key             statementKey
	countedSequence int64
}

// newClosePlan selects the statements to count: those of the window itself and those of earlier windows that no closed
// window has counted yet.
func newClosePlan(s tableState, keys []statementKey, start, end int64) closePlan {
	latest := countedSequences{}
	for _, key := range keys {
		if key.window < end && key.window >= s.oldestKeptWindow() {
			latest.raise(key.window, key.writer, key.sequence)
		}
	}
	plan := closePlan{start: start, end: end}
	for window, writers := range latest {
		for writer, sequence := range writers {
			counted := s.counted[window][writer]
			if sequence > counted {
				key := statementKey{window: window, writer: writer, sequence: sequence}
				plan.uncounted = append(plan.uncounted, uncountedStatement{key: key, countedSequence: counted})
			}
		}
	}
	return plan
}

// statementPair is an uncounted statement and the counted one that it replaces, which is empty if there is none.
type statementPair struct {
	uncountedStatement
	current, previous statement
}

// buildRow sums the statements into the window's row. Statements of earlier windows become adjustments.
func (p closePlan) buildRow(pairs []statementPair, holder string, term int64) windowRow {
	teams, adjustments := accumulator{}, accumulator{}
	row := windowRow{Counted: countedSequences{}}
	for _, s := range pairs {
		totals := adjustments
		if s.key.window >= p.start {
			totals = teams
		}
		totals.add(s.current)
		totals.subtract(s.previous)
		row.Counted.raise(s.key.window, s.key.writer, s.key.sequence)
	}
	row.Window = api.Window{
		ID: windowID(p.start), StartUnixMs: int(p.start) * millisecondsPerSecond,
		EndUnixMs: int(p.end) * millisecondsPerSecond, Teams: teams.teamUsages(), Adjustments: adjustments.teamUsages(),
		Term: int(term), Holder: &holder,
	}
	return row
}

const millisecondsPerSecond = 1000

// obsoleteKeys returns the statements that are no longer needed: those older than the counted one, and those of windows
// whose row is no longer kept.
func obsoleteKeys(s tableState, keys []statementKey) []statementKey {
	var all []statementKey
	for _, key := range keys {
		if key.sequence < s.counted[key.window][key.writer] || key.window < s.oldestKeptWindow() {
			all = append(all, key)
		}
	}
	return all
}

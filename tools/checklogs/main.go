// Command checklogs recounts from the logs of instances on the users' platform what the instances sent to targets.
//
//	go run ./tools/checklogs LOG...
//
// It reads the lines of all instances, in any order, and prints the findings of each check. The exit status is 1 if a
// check found something.
package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
)

// line is one log line: its time and its other fields.
type line struct {
	at     time.Time
	fields map[string]string
}

func main() {
	lines, err := readFiles(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	lines = addMissingStarts(lines)
	found := false
	for _, check := range []func([]line) []string{checkLimits, checkSoftware, checkStreams, checkWaits, checkLinks, checkLeaving, checkEvacuations} {
		for _, finding := range check(lines) {
			fmt.Println(finding)
			found = true
		}
	}
	if found {
		os.Exit(1)
	}
}

// inOrder returns the lines in the order of their times.
func inOrder(lines []line) []line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b line) int { return a.at.Compare(b.at) })
	return sorted
}

// startOf returns when the request of a line began that tells its end.
func startOf(l line) time.Time { return l.at.Add(-milliseconds(l, "elapsed")) }

// milliseconds returns a field that holds a duration in milliseconds; 0 without one.
func milliseconds(l line, field string) time.Duration {
	ms, _ := strconv.ParseFloat(l.fields[field], 64)
	return time.Duration(ms * float64(time.Millisecond))
}

func readFiles(names []string) ([]line, error) {
	var all []line
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		lines, err := readLines(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// startTolerance is the largest difference between the logged start of a run and the one that its end tells.
const startTolerance = 50 * time.Millisecond

// addMissingStarts adds a start for each run whose end was logged alone. Lines get lost when a log is cut into pieces.
func addMissingStarts(lines []line) []line {
	starts := map[string][]time.Time{}
	for _, l := range lines {
		if l.fields["event"] == event.ItemRunStarted {
			key := l.fields["item"] + " " + l.fields["target"]
			starts[key] = append(starts[key], l.at)
		}
	}
	all := slices.Clone(lines)
	for _, l := range lines {
		elapsed, err := strconv.ParseFloat(l.fields["elapsed"], 64)
		if l.fields["event"] != event.ItemRunEnded || err != nil {
			continue
		}
		at := l.at.Add(-time.Duration(elapsed * float64(time.Millisecond)))
		isLogged := slices.ContainsFunc(starts[l.fields["item"]+" "+l.fields["target"]], func(start time.Time) bool {
			return start.Sub(at).Abs() <= startTolerance
		})
		if !isLogged {
			fields := maps.Clone(l.fields)
			fields["event"] = event.ItemRunStarted
			all = append(all, line{at: at, fields: fields})
		}
	}
	return all
}

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// readLines returns the lines that hold a time and an event. Text before the time is skipped.
func readLines(r io.Reader) ([]line, error) {
	var all []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, "time=")
		if start < 0 {
			continue
		}
		fields := parseFields(text[start:])
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil || fields["event"] == "" {
			continue
		}
		all = append(all, line{at: at, fields: fields})
	}
	return all, errors.WithStack(scanner.Err())
}

// parseFields splits a line into its key=value pairs. A value with spaces is quoted.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			value, rest = cutQuoted(rest[1:])
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		fields[strings.TrimSpace(key)] = value
		text = strings.TrimLeft(rest, " ")
	}
	return fields
}

// cutQuoted returns the text up to the next quote that is not escaped, and the rest after it.
func cutQuoted(text string) (value, rest string) {
	escaped := false
	for i, c := range text {
		switch {
		case escaped:
			escaped = false
		case c == '\\':
			escaped = true
		case c == '"':
			return text[:i], text[i+1:]
		}
	}
	return text, ""
}

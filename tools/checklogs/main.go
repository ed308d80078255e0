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
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
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
	found := false
	for _, check := range []func([]line) []string{checkLimits, checkSoftware, checkStreams} {
		for _, finding := range check(lines) {
			fmt.Println(finding)
			found = true
		}
	}
	if found {
		os.Exit(1)
	}
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

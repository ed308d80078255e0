package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// logOf returns the lines of a log that begins at 12:00:00; each entry is the milliseconds since then and the fields.
func logOf(t *testing.T, entries ...any) []line {
	t.Helper()
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	var text strings.Builder
	for n := 0; n < len(entries); n += 2 {
		at := start.Add(time.Duration(entries[n].(int)) * time.Millisecond)
		fmt.Fprintf(&text, "  1.2 node time=%s level=debug %s\n", at.Format("2006-01-02T15:04:05.000Z07:00"), entries[n+1])
	}
	lines, err := readLines(strings.NewReader(text.String()))
	if err != nil || len(lines) != len(entries)/2 {
		t.Fatalf("%d lines of %d: %v", len(lines), len(entries)/2, err)
	}
	return lines
}

// Guards against a count that misses requests above a limit, or that counts those of instances that do not know it, that
// came before it had to be kept, or that are allowed.
func TestCheckLimits(t *testing.T) {
	named := func(instance string) string {
		return fmt.Sprintf(`event="target names a limit" instance=%s limit=1 status=503 target=e`, instance)
	}
	started := func(instance string) string {
		return fmt.Sprintf(`event="item run started" after=0 instance=%s target=e job="a \"b\" c"`, instance)
	}
	requests := func(from, count, gap int, instance string) []any {
		var all []any
		for n := range count {
			all = append(all, from+n*gap, started(instance))
		}
		return all
	}
	for _, tc := range []struct {
		name    string
		entries []any
		found   bool
	}{
		{"allowed", append([]any{0, named("a")}, requests(3100, 11, 100, "a")...), false},
		{"one above", append([]any{0, named("a")}, requests(3100, 12, 100, "a")...), true},
		{"spread over more than a window", append([]any{0, named("a")}, requests(3100, 12, 400, "a")...), false},
		{"before it had to be kept", append([]any{0, named("a")}, requests(600, 20, 100, "a")...), false},
		{"an instance that does not know", append([]any{0, named("a")}, requests(3100, 20, 100, "b")...), false},
		{"an instance that has just learned of it", append([]any{0, named("a"), 3100, named("b")}, requests(3200, 12, 20, "b")...), false},
		{"sum of two", append(append([]any{0, named("a"), 100, named("b")}, requests(3100, 6, 100, "a")...), requests(3100, 6, 100, "b")...), true},
		{"after its end", append([]any{0, named("a"), 3000, `event="target no longer names a limit" instance=a target=e`}, requests(3100, 20, 100, "a")...), false},
		{"a new process that does not know", append([]any{0, named("a"), 3000, `event="instance started" instance=a`}, requests(3100, 20, 100, "a")...), false},
		{"above a limit that was higher before", append([]any{0, `event="target names a limit" instance=a limit=9 target=e`, 3000, named("a")}, requests(3100, 12, 100, "a")...), true},
		{"below a limit that dropped within the window", append(append([]any{0, `event="target names a limit" instance=a limit=9 target=e`, 3900, named("a")}, requests(3100, 8, 50, "a")...), requests(4000, 8, 50, "a")...), false},
		{"between two limits", append([]any{0, named("a"), 3000, `event="target no longer names a limit" instance=a target=e`, 9000, named("a")}, requests(3100, 20, 100, "a")...), false},
		{"requests of callers", append([]any{0, named("a")}, requestsEnded(12)...), true},
	} {
		if got := checkLimits(logOf(t, tc.entries...)); (len(got) > 0) != tc.found {
			t.Errorf("%s: findings %q, want some: %v", tc.name, got, tc.found)
		}
	}
}

// requestsEnded returns requests of which each failed at target e before another one served it.
func requestsEnded(count int) []any {
	var all []any
	for n := range count {
		all = append(all, 3200+n*100, `event="request ended" instance=a target=f elapsed=50.5 failed="e:refused"`)
	}
	return all
}

// Guards against a count that misses a text of two software versions, or that counts one that began again.
func TestCheckSoftware(t *testing.T) {
	start := func(after int, software string) string {
		return fmt.Sprintf(`event="item run started" after=%d instance=a item=i software=%s target=e`, after, software)
	}
	for _, tc := range []struct {
		name    string
		entries []any
		found   bool
	}{
		{"same version", []any{0, start(0, "v1"), 10, start(5, "v1")}, false},
		{"other version", []any{0, start(0, "v1"), 10, start(5, "v2")}, true},
		{"began again", []any{0, start(0, "v1"), 10, start(0, "v2"), 20, start(3, "v2")}, false},
		{"back at the first version", []any{0, start(0, "v1"), 10, start(0, "v2"), 20, start(3, "v1")}, true},
		{"lines out of order", []any{10, start(5, "v2"), 0, start(0, "v1")}, true},
	} {
		if got := checkSoftware(logOf(t, tc.entries...)); (len(got) > 0) != tc.found {
			t.Errorf("%s: findings %q, want some: %v", tc.name, got, tc.found)
		}
	}
}

// Guards against a count that misses a stream of two software versions.
func TestCheckStreams(t *testing.T) {
	began := func(id, resumes, software string) string {
		return fmt.Sprintf(`event="stream began" instance=a request=%s resumes=%q software=%s target=e`, id, resumes, software)
	}
	if got := checkStreams(logOf(t, 0, began("s", "", "v1"), 10, began("t", "s", "v1"), 20, began("u", "lost", "v2"))); len(got) != 0 {
		t.Errorf("findings %q", got)
	}
	if got := checkStreams(logOf(t, 10, began("t", "s", "v2"), 0, began("s", "", "v1"))); len(got) != 1 {
		t.Errorf("findings %q, want one", got)
	}
}

// Guards against a count that misses an item that was never placed again, or that counts one whose job ended.
func TestCheckWaits(t *testing.T) {
	ended := `event="item run ended" ending=broken instance=a item=i job=j target=e`
	started := `event="item run started" after=0 instance=a item=i job=j target=f`
	stopped := `event="job stopped" instance=a job=j`
	for _, tc := range []struct {
		name    string
		entries []any
		found   bool
	}{
		{"placed again", []any{0, ended, 4900, started}, false},
		{"placed late", []any{0, ended, 5100, started}, true},
		{"never placed", []any{0, ended, 9000, stopped}, true},
		{"job stopped", []any{0, ended, 3000, stopped, 9000, started}, false},
		{"complete", []any{0, `event="item run ended" ending=complete instance=a item=i job=j`, 9000, stopped}, false},
	} {
		if got := checkWaits(logOf(t, tc.entries...)); (len(got) > 0) != tc.found {
			t.Errorf("%s: findings %q, want some: %v", tc.name, got, tc.found)
		}
	}
}

// Guards against a run that no check sees because the line of its start was lost, and against one that counts twice.
func TestAddMissingStarts(t *testing.T) {
	lines := addMissingStarts(logOf(t,
		0, `event="item run started" after=0 instance=a item=i target=e`,
		100, `event="item run ended" after=0 instance=a item=i target=e elapsed=99.5 ending=broken`,
		300, `event="item run ended" after=2 instance=a item=i target=e elapsed=150 ending=complete`,
	))
	var starts []line
	for _, l := range lines {
		if l.fields["event"] == "item run started" {
			starts = append(starts, l)
		}
	}
	if len(starts) != 2 || starts[1].fields["after"] != "2" || lines[2].at.Sub(starts[1].at) != 150*time.Millisecond {
		t.Errorf("starts %+v", starts)
	}
}

// Guards against a count that misses instances whose callers fail because their links are lost, or that finds instances that
// serve them all the same, whose links are just lost, or beside which the others fail too.
func TestCheckLinks(t *testing.T) {
	requests := func(from, count int, instance, outcome string) []any {
		var all []any
		for n := range count {
			all = append(all, from+n*100, fmt.Sprintf(`event="request ended" elapsed=20 instance=%s outcome=%s`, instance, outcome))
		}
		return all
	}
	lost := []any{700, `event="links to all targets lost" instance=a lost_for=700 targets=2`}
	for _, tc := range []struct {
		name    string
		entries [][]any
		found   bool
	}{
		{"served nowhere there", [][]any{lost, requests(3100, 20, "a", "not_run"), requests(3100, 20, "b", "ran")}, true},
		{"served there", [][]any{lost, requests(3100, 20, "a", "ran"), requests(3100, 20, "b", "ran")}, false},
		{"a few failures", [][]any{lost, requests(3100, 10, "a", "unknown"), requests(3100, 20, "b", "ran")}, false},
		{"just lost", [][]any{lost, requests(800, 20, "a", "not_run"), requests(800, 20, "b", "ran")}, false},
		{"others fail too", [][]any{lost, requests(3100, 20, "a", "not_run"), requests(3100, 20, "b", "unknown")}, false},
		{"restored", [][]any{lost, {2000, `event="links to targets restored" instance=a elapsed=2000`}, requests(5100, 20, "a", "not_run"), requests(5100, 20, "b", "ran")}, false},
	} {
		findings := checkLinks(logOf(t, slices.Concat(tc.entries...)...))
		if (len(findings) > 0) != tc.found {
			t.Errorf("%s: %q", tc.name, findings)
		}
	}
}

// Guards against a count that misses requests to a target that said it leaves, or that finds those of other instances, of a new
// process, from just after, or to a target that stays after all.
func TestCheckLeaving(t *testing.T) {
	told := `event="target says it leaves" instance=a target=e`
	request := func(instance string) string {
		return fmt.Sprintf(`event="request ended" elapsed=10 instance=%s target=e`, instance)
	}
	for _, tc := range []struct {
		name    string
		entries []any
		found   bool
	}{
		{"late", []any{0, told, 2100, request("a")}, true},
		{"an item", []any{0, told, 2100, `event="item run started" instance=a target=e item=i`}, true},
		{"in time", []any{0, told, 2005, request("a")}, false},
		{"another instance", []any{0, told, 2100, request("b")}, false},
		{"a new process", []any{0, told, 1000, `event="instance started" instance=a`, 2100, request("a")}, false},
		{"the target stays", []any{0, told, 1000, `event="target no longer says it leaves" instance=a target=e`, 2100, request("a")}, false},
	} {
		if findings := checkLeaving(logOf(t, tc.entries...)); (len(findings) > 0) != tc.found {
			t.Errorf("%s: %q", tc.name, findings)
		}
	}
}

// Guards against a count that misses requests to an evacuated zone, or that finds those to another zone, of another instance, from
// just after the beginning, or after the end.
func TestCheckEvacuations(t *testing.T) {
	const began, ended = `event="evacuation began" instance=a zone=z`, `event="evacuation ended" instance=a zone=z`
	request := func(instance, target string) string {
		return fmt.Sprintf(`event="request ended" elapsed=10 instance=%s target=%s`, instance, target)
	}
	for _, tc := range []struct {
		name    string
		entries []any
		found   bool
	}{
		{"late", []any{0, began, 5100, request("a", "e")}, true},
		{"an item", []any{0, began, 5100, `event="item run started" instance=a target=e item=i`}, true},
		{"in time", []any{0, began, 5005, request("a", "e")}, false},
		{"another zone", []any{0, began, 5100, request("a", "f")}, false},
		{"another instance", []any{0, began, 5100, request("b", "e")}, false},
		{"a new process", []any{0, began, 1000, `event="instance started" instance=a`, 5100, request("a", "e")}, false},
		{"ended", []any{0, began, 5010, ended, 5100, request("a", "e")}, false},
	} {
		entries := append([]any{0, `event="target changed" instance=b target=e zone=z`, 0, `event="target changed" instance=b target=f zone=y`}, tc.entries...)
		if findings := checkEvacuations(logOf(t, entries...)); (len(findings) > 0) != tc.found {
			t.Errorf("%s: %q", tc.name, findings)
		}
	}
}

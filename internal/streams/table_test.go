package streams

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against streams that are refused although only one version serves, against streams of unknown version that are
// accepted while versions are mixed or shortly after, and against own streams that other instances never learn of.
func TestMixedVersions(t *testing.T) {
	table, start := NewTable(), time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	observe := func(s int, versions ...string) { table.ObserveTargets(map[string][]string{"s": versions}, at(s)) }
	expect := func(s int, id string, want Decision, software string) {
		t.Helper()
		if got, gotSoftware := table.Resume("s", id, at(s)); got != want || gotSoftware != software {
			t.Errorf("%d s, stream %s: %v %q, want %v %q", s, id, got, gotSoftware, want, software)
		}
	}
	expect(0, "other", NoTarget, "")
	observe(0, "v1")
	table.Begin(Entry{"early", "s", "v1"}, at(1))
	expect(2, "other", OnlySoftware, "v1")
	if got := table.TakeUnshared(10, at(2)); len(got) != 0 {
		t.Errorf("shared %v with one version", got)
	}
	observe(10, "v1", "v2")
	expect(10, "early", SameSoftware, "v1")
	expect(10, "other", Unknown, "")
	if got := table.TakeUnshared(10, at(10)); len(got) != 1 || got[0].ID != "early" {
		t.Errorf("shared %v, want the stream from before", got)
	}
	table.Learn([]Entry{{"other", "s", "v2"}}, at(11))
	expect(11, "other", SameSoftware, "v2")
	for n := range 5 {
		table.Begin(Entry{fmt.Sprint("n", n), "s", "v2"}, at(12))
	}
	first, second := table.TakeUnshared(3, at(12)), table.TakeUnshared(3, at(12))
	if len(first) != 3 || len(second) != 2 {
		t.Errorf("shared %d and %d of 5 streams", len(first), len(second))
	}
	table.PutBack(first)
	if got := table.TakeUnshared(10, at(13)); len(got) != 3 {
		t.Errorf("%d streams after a failed write, want 3", len(got))
	}
	observe(20, "v2")
	expect(30, "unseen", Unknown, "")
	expect(100, "unseen", OnlySoftware, "v2")
	table.Begin(Entry{"late", "s", "v2"}, at(100))
	expect(100, "early", OnlySoftware, "v2")
}

// Guards against streams that go on anywhere because the process that knew of another version is gone, and against streams that are
// refused long after that version left.
func TestVersionsOutliveTheProcess(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	listed := func(versions ...string) map[string][]string { return map[string][]string{"s": versions} }
	former := NewTable()
	former.ObserveTargets(listed("v1"), at(0))
	if got := former.OutdatedVersions(at(0))["s"]; !slices.Equal(got, []string{"v1"}) {
		t.Errorf("outdated %v at the start", got)
	}
	former.LearnVersions("s", []string{"v1"}, at(1))
	if got := former.OutdatedVersions(at(1)); len(got) != 0 {
		t.Errorf("outdated %v although the row says so", got)
	}
	table := NewTable()
	table.LearnVersions("s", []string{"v1"}, at(10))
	table.ObserveTargets(listed("v2"), at(11))
	if got, _ := table.Resume("s", "of the former process", at(12)); got != Unknown {
		t.Errorf("stream of a version that left while no process ran: %v", got)
	}
	table.Begin(Entry{"new", "s", "v2"}, at(13))
	if got := table.TakeUnshared(10, at(13)); len(got) != 1 {
		t.Errorf("shared %v, want the new stream", got)
	}
	if got := table.OutdatedVersions(at(13))["s"]; !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("outdated %v after the second version", got)
	}
	if got, software := table.Resume("s", "of the former process", at(100)); got != OnlySoftware || software != "v2" {
		t.Errorf("a minute later: %v %q", got, software)
	}
	if got := table.OutdatedVersions(at(100))["s"]; !slices.Equal(got, []string{"v2"}) {
		t.Errorf("outdated %v after the first version left", got)
	}
	table.ObserveTargets(listed(), at(101))
	if got := table.OutdatedVersions(at(300)); len(got) != 0 {
		t.Errorf("outdated %v without any target", got)
	}
}

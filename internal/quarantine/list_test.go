package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

const second = time.Second

func newTestList() *List { return NewList(zerolog.Nop()) }

var epoch = time.Unix(1_700_000_000, 0)

// Guards against a request that crashes one target after the other, at any instance.
func TestThirdTargetEndsIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		arrange  func(l *List)
		at       time.Duration
		refuses  bool
		onBreak  bool
		onTarget string
	}{
		{"two targets", func(l *List) { l.Broke(7, "a", epoch) }, 0, false, false, "b"},
		{"three targets", func(l *List) { l.Broke(7, "a", epoch); l.Broke(7, "b", epoch) }, 0, true, true, "c"},
		{"one target three times", func(l *List) { l.Broke(7, "a", epoch); l.Broke(7, "a", epoch) }, 0, false, false, "a"},
		{"another request", func(l *List) { l.Broke(8, "a", epoch); l.Broke(8, "b", epoch) }, 0, false, false, "c"},
		{"reported by two instances", func(l *List) {
			l.Learn("x", Report{Crashes: []Crash{{7, "a"}}}, epoch)
			l.Learn("y", Report{Crashes: []Crash{{7, "b"}}}, epoch)
		}, 0, true, true, "c"},
		{"reported and seen here", func(l *List) {
			l.Learn("x", Report{Crashes: []Crash{{7, "a"}}}, epoch)
			l.Broke(7, "a", epoch)
		}, 0, false, false, "b"},
		{"completed between", func(l *List) {
			l.Broke(7, "a", epoch)
			l.Broke(7, "b", epoch)
			l.Completed(7, epoch)
		}, 0, false, false, "c"},
		{"completed here, reported elsewhere", func(l *List) {
			l.Completed(7, epoch)
			l.Learn("x", Report{Crashes: []Crash{{7, "a"}, {7, "b"}, {7, "c"}}}, epoch)
		}, 0, false, false, "d"},
		{"long ago", func(l *List) { l.Broke(7, "a", epoch); l.Broke(7, "b", epoch) }, memory, false, false, "c"},
		{"reporter gone", func(l *List) {
			l.Learn("x", Report{Crashes: []Crash{{7, "a"}, {7, "b"}}}, epoch)
			l.Forget("x")
		}, 0, false, false, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestList()
			c.arrange(l)
			now := epoch.Add(c.at)
			if got := l.Broke(7, c.onTarget, now); got != c.onBreak {
				t.Errorf("break: quarantined %v, want %v", got, c.onBreak)
			}
			if got := l.Refuses(7, now.Add(second)); got != c.refuses {
				t.Errorf("refuses %v, want %v", got, c.refuses)
			}
		})
	}
}

// Guards against a report that renews its crashes each time the row is read.
func TestLearnedCrashKeepsItsTime(t *testing.T) {
	l := newTestList()
	report := Report{Crashes: []Crash{{7, "a"}, {7, "b"}, {7, "c"}}}
	for elapsed := time.Duration(0); elapsed < memory; elapsed += memory / 4 {
		l.Learn("x", report, epoch.Add(elapsed))
	}
	if l.Refuses(7, epoch.Add(memory)) {
		t.Error("crashes still count")
	}
	if outdated := l.Outdated(epoch.Add(memory)); len(outdated) != 1 || outdated[0] != "x" {
		t.Errorf("outdated %v", outdated)
	}
}

// Guards against a request that breaks off often enough to be refused on an instance that never completed it,
// although it completes on another one.
func TestCompletionElsewhereReleases(t *testing.T) {
	refusing, serving := newTestList(), newTestList()
	for _, target := range []string{"a", "b", "c"} {
		refusing.Broke(7, target, epoch)
	}
	if !refusing.Refuses(7, epoch) {
		t.Fatal("not refused")
	}
	serving.Learn("refusing", refusing.Report(epoch), epoch)
	serving.Completed(7, epoch)
	refusing.Learn("serving", serving.Report(epoch), epoch)
	if refusing.Refuses(7, epoch) || len(refusing.Report(epoch).Crashes) > 0 {
		t.Error("still refused after it completed elsewhere")
	}
}

// Guards against memory and rows that grow with the number of requests that were cut off.
func TestReportIsBounded(t *testing.T) {
	l := newTestList()
	for n := range 10 * maxSuspects {
		l.Broke(uint64(n+1), "a", epoch)
	}
	report := l.Report(epoch)
	data, err := json.Marshal(report)
	if err != nil || len(report.Crashes) > maxSuspects || len(data) > 64<<10 {
		t.Errorf("%d crashes, %d B, %v", len(report.Crashes), len(data), err)
	}
}

// Instances that read each other's reports late never let a request that always crashes break more targets than
// the limit and those that broke before the reports were read, and never refuse one that completes.
func TestReportsBoundTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := make([]*List, rapid.IntRange(1, 5).Draw(t, "instances"))
		for i := range instances {
			instances[i] = newTestList()
		}
		now := epoch
		broken := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(second)
			i := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
			switch {
			case rapid.Bool().Draw(t, "exchange"):
				for j, other := range instances {
					if j != i {
						other.Learn(fmt.Sprint(i), instances[i].Report(now), now)
					}
				}
			case !instances[i].Refuses(7, now):
				instances[i].Broke(7, fmt.Sprint("target-", step), now)
				broken++
			}
		}
		if broken > crashLimit*len(instances) {
			t.Fatalf("%d targets broke on %d instances", broken, len(instances))
		}
	})
}

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

// crashesOf returns crashes of a request without times, as older builds report them.
func crashesOf(request uint64, targets ...string) []Crash {
	var crashes []Crash
	for _, t := range targets {
		crashes = append(crashes, Crash{Request: request, Target: t})
	}
	return crashes
}

// Guards against a request that crashes one target after another, at one instance or at several.
func TestThirdCrashedTargetQuarantinesRequest(t *testing.T) {
	for _, c := range []struct {
		name            string
		arrange         func(l *List)
		elapsed         time.Duration
		wantRefused     bool
		wantQuarantined bool
		lastTarget      string
	}{
		{"two targets", func(l *List) { l.RecordCrash(7, "a", epoch) }, 0, false, false, "b"},
		{"three targets", func(l *List) { l.RecordCrash(7, "a", epoch); l.RecordCrash(7, "b", epoch) }, 0, true, true, "c"},
		{"one target three times", func(l *List) { l.RecordCrash(7, "a", epoch); l.RecordCrash(7, "a", epoch) }, 0, false, false, "a"},
		{"another request", func(l *List) { l.RecordCrash(8, "a", epoch); l.RecordCrash(8, "b", epoch) }, 0, false, false, "c"},
		{"reported by two instances", func(l *List) {
			l.ApplyReport("x", Report{Crashes: crashesOf(7, "a")}, epoch)
			l.ApplyReport("y", Report{Crashes: crashesOf(7, "b")}, epoch)
		}, 0, true, true, "c"},
		{"reported and seen here", func(l *List) {
			l.ApplyReport("x", Report{Crashes: crashesOf(7, "a")}, epoch)
			l.RecordCrash(7, "a", epoch)
		}, 0, false, false, "b"},
		{"completed in between", func(l *List) {
			l.RecordCrash(7, "a", epoch)
			l.RecordCrash(7, "b", epoch)
			l.RecordCompleted(7, epoch)
		}, 0, false, false, "c"},
		{"completed here, reported by another instance", func(l *List) {
			l.RecordCompleted(7, epoch)
			l.ApplyReport("x", Report{Crashes: crashesOf(7, "a", "b", "c")}, epoch)
		}, 0, false, false, "d"},
		{"crashes expired", func(l *List) { l.RecordCrash(7, "a", epoch); l.RecordCrash(7, "b", epoch) }, crashTTL, false, false, "c"},
		{"row of the reporting instance deleted", func(l *List) {
			l.ApplyReport("x", Report{Crashes: crashesOf(7, "a", "b")}, epoch)
			l.RemoveReport("x")
		}, 0, false, false, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestList()
			c.arrange(l)
			now := epoch.Add(c.elapsed)
			if got := l.RecordCrash(7, c.lastTarget, now); got != c.wantQuarantined {
				t.Errorf("after the last crash: quarantined %v, want %v", got, c.wantQuarantined)
			}
			if got := l.IsQuarantined(7, now.Add(second)); got != c.wantRefused {
				t.Errorf("refuses %v, want %v", got, c.wantRefused)
			}
		})
	}
}

// Guards against crashes that never expire because the row that reports them is read again and again.
func TestRepeatedReportDoesNotRenewCrashes(t *testing.T) {
	l := newTestList()
	report := Report{Crashes: crashesOf(7, "a", "b", "c")}
	for elapsed := time.Duration(0); elapsed < crashTTL; elapsed += crashTTL / 4 {
		l.ApplyReport("x", report, epoch.Add(elapsed))
	}
	if l.IsQuarantined(7, epoch.Add(crashTTL)) {
		t.Error("request still refused after its crashes expired")
	}
	if expired := l.ExpiredReporters(epoch.Add(crashTTL)); len(expired) != 1 || expired[0] != "x" {
		t.Errorf("instances with only expired crashes: %v, want x", expired)
	}
}

// Guards against a restart that forgets crashes, or completed requests, and against crashes that a restart renews.
func TestRestartKeepsReport(t *testing.T) {
	former, other := newTestList(), newTestList()
	for n, target := range []string{"a", "b", "c"} {
		former.RecordCrash(7, target, epoch.Add(time.Duration(n)*second))
		former.RecordCrash(8, target, epoch)
	}
	other.ApplyReport("former", former.Report(epoch), epoch)
	other.RecordCompleted(8, epoch)
	former.ApplyReport("other", other.Report(epoch), epoch)

	restarted, restartedOther := newTestList(), newTestList()
	now := epoch.Add(crashTTL / 2)
	restarted.AdoptReport(former.Report(now), now)
	restartedOther.AdoptReport(other.Report(now), now)
	if !restarted.IsQuarantined(7, now) {
		t.Error("a restart forgets that the request crashed three targets")
	}
	if report := restarted.Report(now); len(report.Crashes) != 3 {
		t.Errorf("%d crashes in the report after a restart, want 3", len(report.Crashes))
	}
	restartedOther.ApplyReport("late", Report{Crashes: crashesOf(8, "a", "b", "c")}, now)
	if restartedOther.IsQuarantined(8, now) {
		t.Error("a restart forgets that the request completed")
	}
	third := newTestList()
	third.ApplyReport("former", former.Report(now), now)
	for name, l := range map[string]*List{"the restarted instance": restarted, "another one": third} {
		if l.IsQuarantined(7, epoch.Add(crashTTL)) {
			t.Errorf("at %s the restart renewed the crashes", name)
		}
	}
	late := newTestList()
	if late.AdoptReport(former.Report(now), epoch.Add(2*crashTTL)); late.CrashCount(epoch.Add(2*crashTTL)) > 0 {
		t.Error("a restart adopts expired crashes")
	}
}

// Guards against a request that stays refused on an instance where it was interrupted several times, although it
// completed on another instance.
func TestCompletionOnOtherInstanceLiftsQuarantine(t *testing.T) {
	refusing, serving := newTestList(), newTestList()
	for _, target := range []string{"a", "b", "c"} {
		refusing.RecordCrash(7, target, epoch)
	}
	if !refusing.IsQuarantined(7, epoch) {
		t.Fatal("not refused after three crashes")
	}
	serving.ApplyReport("refusing", refusing.Report(epoch), epoch)
	serving.RecordCompleted(7, epoch)
	refusing.ApplyReport("serving", serving.Report(epoch), epoch)
	if refusing.IsQuarantined(7, epoch) || len(refusing.Report(epoch).Crashes) > 0 {
		t.Error("still refused after it completed on another instance")
	}
}

// Guards against memory use and rows that grow with the number of interrupted requests.
func TestReportIsBounded(t *testing.T) {
	l := newTestList()
	for n := range 10 * maxTrackedRequests {
		l.RecordCrash(uint64(n+1), "a", epoch)
	}
	report := l.Report(epoch)
	data, err := json.Marshal(report)
	if err != nil || len(report.Crashes) > maxTrackedRequests || len(data) > 64<<10 {
		t.Errorf("%d crashes, %d B, %v", len(report.Crashes), len(data), err)
	}
}

// Guards against a request that crashes more targets than crashLimit allows for each instance, when the instances read
// each other's reports late and in any order.
func TestReportsLimitCrashedTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := make([]*List, rapid.IntRange(1, 5).Draw(t, "instances"))
		for i := range instances {
			instances[i] = newTestList()
		}
		now := epoch
		crashes := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(second)
			i := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
			switch {
			case rapid.Bool().Draw(t, "exchange"):
				for j, other := range instances {
					if j != i {
						other.ApplyReport(fmt.Sprint(i), instances[i].Report(now), now)
					}
				}
			case !instances[i].IsQuarantined(7, now):
				instances[i].RecordCrash(7, fmt.Sprint("target-", step), now)
				crashes++
			}
		}
		if crashes > crashLimit*len(instances) {
			t.Fatalf("%d targets crashed on %d instances", crashes, len(instances))
		}
	})
}

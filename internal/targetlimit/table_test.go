package targetlimit

import (
	"testing"
	"time"
)

// Guards against a header that is no rate and lifts or sets a limit, and against the higher one of two.
func TestParseRate(t *testing.T) {
	for _, tc := range []struct {
		values []string
		rate   float64
		ok     bool
	}{
		{nil, 0, false},
		{[]string{""}, 0, false},
		{[]string{"two"}, 0, false},
		{[]string{"-1"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"Inf"}, 0, false},
		{[]string{"0"}, 0, true},
		{[]string{" 2.5 "}, 2.5, true},
		{[]string{"1e9"}, 1e9, true},
		{[]string{"4", "0.5"}, 0.5, true},
		{[]string{"4", "x"}, 4, true},
	} {
		rate, ok := ParseRate(tc.values)
		if ok != tc.ok || ok && rate != tc.rate {
			t.Errorf("%q: %v %v, want %v %v", tc.values, rate, ok, tc.rate, tc.ok)
		}
	}
}

// Guards against a limit that stays after the target named it last, and against one that an earlier response lifts.
func TestObserve(t *testing.T) {
	table, start := NewTable("a"), time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, step := range []struct {
		atMs, sentMs int
		named        bool
		rate         float64
		change       Change
		limited      bool
	}{
		{10, 0, false, 0, Unchanged, false},
		{20, 0, true, 2, Began, true},
		{30, 15, false, 0, Unchanged, true},
		{40, 30, true, 2, Unchanged, true},
		{50, 30, true, 0.5, Began, true},
		{70, 60, false, 0, Ended, false},
		{80, 60, false, 0, Unchanged, false},
		{90, 85, true, 0.5, Began, true},
	} {
		o := Observation{Target: "e", Named: step.named, Rate: step.rate, SentAt: at(step.sentMs)}
		if got := table.Observe(o, at(step.atMs)); got != step.change {
			t.Errorf("%d ms: change %v, want %v", step.atMs, got, step.change)
		}
		rate, limited := table.namedRate("e")
		if limited != step.limited || step.named && rate != step.rate {
			t.Errorf("%d ms: rate %v, %v", step.atMs, rate, limited)
		}
	}
}

// Guards against a restarted process that sends a target as much as it likes, because it forgot what its former process saw.
func TestFormerProcessOfInstance(t *testing.T) {
	now := time.Now()
	former := NewTable("a")
	former.Observe(Observation{Target: "e", Service: "s", Named: true, Rate: 1, SentAt: now}, now)
	table := NewTable("a")
	table.ApplyFormer(former.Report(now), now)
	if table.Take("e", now) {
		t.Error("a request without a permit")
	}
	table.Confirm(table.Report(now), now)
	table.RecordRead(now)
	if !table.Take("e", now.Add(settleTime)) {
		t.Error("no request after the report was accepted")
	}
}

// namedRate returns the limit that a target names, and false if it names none.
func (t *Table) namedRate(target string) (float64, bool) {
	e := t.targets[target]
	if e == nil || !e.endedAt.IsZero() {
		return 0, false
	}
	return e.rate, true
}

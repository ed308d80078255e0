package engine

import "testing"

// Guards against a log that accepts a version label although that version did not generate all labelled tokens.
func TestVersionLog(t *testing.T) {
	l, s := NewVersionLog(), NewStream(1, "prompt")
	l.record(s, 0, 4, 1)
	l.record(s, 4, 8, 1)
	l.record(s, 8, 12, 2)
	l.record(s, 6, 10, 3) // another engine resumed at 6
	for _, c := range []struct {
		from, to, version int
		want              bool
	}{
		{0, 8, 1, true},
		{8, 12, 2, true},
		{6, 10, 3, true},
		{0, 12, 1, false},
		{7, 9, 2, false},
		{8, 12, 1, false},
		{4, 6, 3, false},
		{8, 16, 2, false},
		{0, 4, 4, false},
		{5, 5, 9, true},
	} {
		if got := l.GeneratedBy(s.Text(0, 16), c.from, c.to, c.version); got != c.want {
			t.Errorf("tokens %d to %d by version %d: got %t", c.from, c.to, c.version, got)
		}
	}
	if l.GeneratedBy(NewStream(2, "prompt").Text(0, 8), 0, 8, 1) {
		t.Error("tokens of another sequence count as generated")
	}
}

package reach

import (
	"testing"
	"time"
)

// Guards against links that count as lost because one target fails, because targets respond on open connections, or because a
// slow attempt began before the last contact, and against a loss that is not noticed or does not end.
func TestLostLinks(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name   string
		events func(*Table)
		failed int
	}{
		{"one target", func(t *Table) { t.Failed("a", at(0), at(400)); t.Failed("a", at(400), at(800)) }, 0},
		{"two targets", func(t *Table) { t.Opened("a", at(0)); t.Failed("a", at(10), at(400)); t.Failed("b", at(400), at(800)) }, 2},
		{"a third one responds", func(t *Table) {
			t.Failed("a", at(10), at(400))
			t.Failed("b", at(10), at(400))
			t.Answered("c", at(500))
		}, 0},
		{"slow attempts from before", func(t *Table) {
			t.Answered("a", at(300))
			t.Answered("b", at(300))
			t.Failed("a", at(0), at(400))
			t.Failed("b", at(0), at(400))
		}, 0},
		{"restored", func(t *Table) { t.Failed("a", at(10), at(400)); t.Failed("b", at(10), at(400)); t.Opened("b", at(900)) }, 0},
	} {
		table := NewTable()
		tc.events(table)
		since, failed := table.LostSince(at(1000))
		if failed != tc.failed || (failed > 0) != since.Equal(at(10)) {
			t.Errorf("%s: %d failed since %v, want %d", tc.name, failed, since, tc.failed)
		}
	}
}

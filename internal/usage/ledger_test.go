package usage

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against windows that overlap or lose usage when the window length changes, the clock is set back,
// or writes fail.
func TestLedgerProperties(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		var l ledger
		now := time.Unix(1_000_000, 0)
		newest := map[int64]statement{}
		recorded, newestStart := int64(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-20, 90).Draw(t, "seconds")) * time.Second)
			length := time.Duration(rapid.IntRange(1, 120).Draw(t, "length")) * time.Second
			l.add(now, length, usageKey{team: "t"}, usageSums{requests: 1})
			recorded++
			if rapid.Bool().Draw(t, "flush") {
				storeAll(&l, now, newest, rapid.Bool().Draw(t, "confirmed"))
			}
			for i, w := range l.windows {
				if w.start >= w.end || i > 0 && w.start < l.windows[i-1].end || w.start < newestStart && i == len(l.windows)-1 {
					t.Fatalf("window from %d to %d is empty or overlaps or precedes another; newest start so far %d", w.start, w.end, newestStart)
				}
				newestStart = max(newestStart, w.start)
			}
		}
		storeAll(&l, now, newest, true)
		stored := int64(0)
		for _, s := range newest {
			stored += s.Totals[0].Requests
		}
		if stored != recorded {
			t.Fatalf("recorded %d, stored %d", recorded, stored)
		}
	})
}

// storeAll stores all unconfirmed statements. If confirmed is false, it simulates that their responses are lost.
func storeAll(l *ledger, now time.Time, newest map[int64]statement, confirmed bool) {
	for _, p := range l.unconfirmedStatements("i", 1) {
		if p.content.Sequence > newest[p.content.Window].Sequence {
			newest[p.content.Window] = p.content
		}
		if confirmed {
			l.confirm(p)
		}
	}
	l.dropStoredWindows(now)
}

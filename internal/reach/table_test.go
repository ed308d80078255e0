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
		{"one target", func(t *Table) { t.OpenFailed("a", at(0), at(400)); t.OpenFailed("a", at(400), at(800)) }, 0},
		{"two targets", func(t *Table) {
			t.Opened("a", at(0))
			t.OpenFailed("a", at(10), at(400))
			t.OpenFailed("b", at(400), at(800))
		}, 2},
		{"a third one responds", func(t *Table) {
			t.OpenFailed("a", at(10), at(400))
			t.OpenFailed("b", at(10), at(400))
			t.Answered("c", at(500))
		}, 0},
		{"slow attempts from before", func(t *Table) {
			t.Answered("a", at(300))
			t.Answered("b", at(300))
			t.OpenFailed("a", at(0), at(400))
			t.OpenFailed("b", at(0), at(400))
		}, 0},
		{"restored", func(t *Table) {
			t.OpenFailed("a", at(10), at(400))
			t.OpenFailed("b", at(10), at(400))
			t.Opened("b", at(900))
		}, 0},
	} {
		table := NewTable("z")
		tc.events(table)
		since, failed := table.LostSince()
		if failed != tc.failed || (failed > 0) != since.Equal(at(10)) {
			t.Errorf("%s: %d failed since %v, want %d", tc.name, failed, since, tc.failed)
		}
	}
}

// Guards against the wrong way to a target: through another instance because the target itself is gone, because one service or
// one connection fails, or because targets refuse; and directly, or over an open connection that hangs, while the links are cut.
func TestWay(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	direct, fresh := Way{UseIdle: true}, Way{}
	viaPeer, idleOrPeer := Way{ViaPeer: true}, Way{UseIdle: true, ViaPeer: true}
	for _, tc := range []struct {
		name   string
		events func(*Table)
		a, b   Way
		cut    bool
	}{
		{"nothing known", func(*Table) {}, direct, direct, false},
		{"a target is gone for all", func(t *Table) { t.OpenFailed("a", at(0), at(400)) }, direct, direct, false},
		{"a link is cut", func(t *Table) { t.Opened("b", at(0)); t.OpenFailed("a", at(10), at(400)); t.Relayed("a", at(120)) }, viaPeer, viaPeer, true},
		{"only one link is cut", func(t *Table) { t.OpenFailed("a", at(0), at(400)); t.Relayed("a", at(120)); t.Opened("b", at(500)) }, viaPeer, direct, false},
		{"open connections live on", func(t *Table) { t.OpenFailed("a", at(0), at(1)); t.Relayed("a", at(5)); t.Answered("b", at(9)) }, viaPeer, idleOrPeer, true},
		{"an open connection hangs", func(t *Table) { t.Answered("a", at(0)); t.Silent("a", at(10), at(400)) }, fresh, fresh, false},
		{"a slow target beside others", func(t *Table) { t.Silent("a", at(10), at(400)); t.Answered("b", at(450)) }, direct, direct, false},
		{"silent from before the last contact", func(t *Table) { t.Answered("b", at(300)); t.Silent("a", at(10), at(400)) }, direct, direct, false},
		{"restored", func(t *Table) { t.OpenFailed("a", at(0), at(400)); t.Relayed("a", at(120)); t.Opened("a", at(900)) }, direct, direct, false},
		{"restored, with the links that were cut too", func(t *Table) {
			t.OpenFailed("a", at(0), at(400))
			t.Relayed("a", at(120))
			t.OpenFailed("b", at(0), at(400))
			t.Relayed("b", at(120))
			t.Opened("b", at(900))
		}, direct, direct, false},
		{"others did not reach it either", func(t *Table) { t.OpenFailed("a", at(0), at(400)); t.Denied("a", at(500)) }, Way{UseIdle: true, NoPeers: true}, direct, false},
		{"others did not reach it long ago", func(t *Table) { t.OpenFailed("a", at(-2000), at(-1000)); t.Denied("a", at(-500)) }, direct, direct, false},
		{"reached by others before it failed here", func(t *Table) { t.Relayed("a", at(0)); t.OpenFailed("a", at(10), at(400)) }, direct, direct, false},
	} {
		table := NewTable("z")
		table.SetPeer(Peer{Name: "other"})
		tc.events(table)
		if a, b, cut := table.Way("a", at(1000)), table.Way("b", at(1000)), !table.CutSince(at(1000)).IsZero(); a != tc.a || b != tc.b || cut != tc.cut {
			t.Errorf("%s: %+v and %+v, cut %v", tc.name, a, b, cut)
		}
	}
}

// Guards against requests that go through instances that are cut, gone or full, or all through the zone of this one, which may be
// cut as a whole, and against instances that are not used again.
func TestPeers(t *testing.T) {
	now := time.Now()
	table := NewTable("a")
	for name, zone := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"} {
		table.SetPeer(Peer{Name: name, Zone: zone})
	}
	zones := func() string {
		text := ""
		for _, p := range table.Peers("target", now) {
			text += p.Zone
		}
		return text
	}
	if got := zones(); got != "abc" && got != "acb" {
		t.Errorf("zones %q, want each once and the own one first", got)
	}
	table.SetPeer(Peer{Name: "a1", Zone: "a", Cut: true})
	table.PeerUnusable("a2", now)
	table.PeerBusy("c1", now)
	if got := zones(); got != "bb" {
		t.Errorf("zones %q with unusable instances, want bb", got)
	}
	for range maxRequestsPerPeer {
		table.Begin("b1")
	}
	if got := zones(); got != "b" {
		t.Errorf("zones %q with a full instance", got)
	}
	table.SetPeer(Peer{Name: "a1", Zone: "a"})
	table.SetPeer(Peer{Name: "a2", Zone: "a", Start: "new"})
	table.End("b1")
	now = now.Add(busyBackoff)
	if got := zones(); got != "abc" && got != "acb" {
		t.Errorf("zones %q after all came back", got)
	}
}

// Guards against instances that ask each other about a target that is gone as often as about one that may be back.
func TestQuestionsBecomeRarer(t *testing.T) {
	start := time.Now()
	table := NewTable("z")
	table.OpenFailed("a", start, start)
	questions := 0
	for at := time.Duration(0); at < 2*time.Minute; at += checkInterval {
		for range table.TakeUnexplained(maxQuestions, start.Add(at)) {
			table.Denied("a", start.Add(at))
			questions++
		}
	}
	// At 0, 4, 12 and 28 s, then each 30 s.
	if questions != 7 {
		t.Errorf("%d questions in two minutes", questions)
	}
	if got := table.TakeCut(maxProbes, start); len(got) != 0 {
		t.Errorf("probes of %v, which no instance reaches", got)
	}
}

package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
)

// fixture is a table with two instances that started long ago. The tested attempt begins on local.
type fixture struct {
	table *fakeTable
	other *Claims
	local *Claims
}

func newFixture() *fixture {
	w := &fixture{table: newTable()}
	w.other = w.newInstance(time.Now().Add(-time.Hour))
	w.local = w.newInstance(time.Now().Add(-time.Hour))
	return w
}

func (w *fixture) newInstance(started time.Time) *Claims {
	return New(w.table, noCounter{}, started)
}

func begin(c *Claims, attempt int) (Decision, *outcome.Refusal) {
	return c.Begin(context.Background(), "team", "id", attempt, time.Now())
}

// mustBegin begins a first attempt and panics if it may not be sent.
func mustBegin(c *Claims) *Claim {
	decision, refusal := begin(c, 0)
	if decision.Claim == nil {
		panic(fmt.Sprint("attempt may not be sent: ", refusal))
	}
	return decision.Claim
}

func finish(c *Claim, body string) {
	c.Finish(context.Background(), Response{Status: 201, ContentType: "text/plain", Body: []byte(body)})
}

// Guards each case of the at-most-once table of the design page.
func TestBeginDecisions(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  func(w *fixture)
		attempt int
		// sent expects that the attempt is sent, response that a recorded response is replayed.
		sent     bool
		response string
		reason   outcome.Reason
		result   outcome.Outcome
	}{
		{name: "first attempt", before: func(*fixture) {}, attempt: NoAttempt, sent: true},
		{name: "still running on this instance", before: func(w *fixture) { mustBegin(w.local) }, attempt: 1, reason: outcome.DuplicateRequest, result: outcome.Unknown},
		{name: "still running on another instance", before: func(w *fixture) { mustBegin(w.other) }, attempt: 1, reason: outcome.DuplicateRequest, result: outcome.Unknown},
		{name: "finished on another instance", before: func(w *fixture) { finish(mustBegin(w.other), "done") }, attempt: 1, response: "done"},
		{name: "finished on this instance", before: func(w *fixture) { finish(mustBegin(w.local), "done") }, attempt: 1, response: "done"},
		{name: "large body", before: func(w *fixture) { finish(mustBegin(w.other), string(make([]byte, MaxBody+1))) }, attempt: 1, response: "omitted"},
		{name: "released", before: func(w *fixture) { mustBegin(w.other).Release(context.Background()) }, attempt: 1, sent: true},
		{name: "released before an outage", before: func(w *fixture) {
			mustBegin(w.other).Release(context.Background())
			w.local.NoteOutage(time.Now())
		}, attempt: 1, sent: true},
		{name: "store down, attempt 0", before: func(w *fixture) { w.table.setFault(tableDown) }, attempt: 0, sent: true},
		{name: "store down, no attempt number", before: func(w *fixture) { w.table.setFault(tableDown) }, attempt: NoAttempt, reason: outcome.ClaimUnavailable, result: outcome.NotRun},
		{name: "store down, later attempt", before: func(w *fixture) { w.table.setFault(tableDown) }, attempt: 2, reason: outcome.ClaimUnavailable, result: outcome.NotRun},
		{name: "store down, not confirmed by other instances", before: func(w *fixture) {
			w.table.setFault(tableDown)
			w.local.SetUnrecordedCheck(func(string, time.Time) bool { return false })
		}, attempt: 0, reason: outcome.ClaimUnavailable, result: outcome.NotRun},
		{name: "no record after an outage", before: func(w *fixture) { w.local.NoteOutage(time.Now().Add(-Lifetime + time.Second)) }, attempt: 1, reason: outcome.ClaimRecordLost, result: outcome.Unknown},
		{name: "no record long after an outage", before: func(w *fixture) { w.local.NoteOutage(time.Now().Add(-Lifetime)) }, attempt: 1, sent: true},
		{name: "no record on a new instance", before: func(w *fixture) { w.local = w.newInstance(time.Now()) }, attempt: 1, reason: outcome.ClaimRecordLost, result: outcome.Unknown},
		{name: "new instance, no outage reported by a peer", before: func(w *fixture) {
			w.local = w.newInstance(time.Now())
			w.local.NoOutageSince(time.Now().Add(-time.Hour))
		}, attempt: 1, sent: true},
		{name: "first attempt after an outage", before: func(w *fixture) { w.local.NoteOutage(time.Now()) }, attempt: 0, sent: true},
		{name: "recorded when the store returns", before: func(w *fixture) {
			w.table.setFault(tableDown)
			finish(mustBegin(w.other), "late")
			w.table.setFault(noFault)
			w.other.Flush(context.Background(), time.Now())
		}, attempt: 1, response: "late"},
		{name: "retried while the store is down", before: func(w *fixture) {
			w.table.setFault(tableDown)
			finish(mustBegin(w.local), "pending")
		}, attempt: 1, response: "pending"},
		{name: "instance crashed", before: func(w *fixture) { mustBegin(w.other); w.other = nil }, attempt: 1, reason: outcome.DuplicateRequest, result: outcome.Unknown},
		{name: "expired", before: func(w *fixture) { mustBegin(w.other); time.Sleep(Lifetime) }, attempt: 1, sent: true},
		{name: "commit call lost", before: func(w *fixture) { w.table.failCommits(2, callLost) }, attempt: 1, sent: true},
		{name: "commit response lost", before: func(w *fixture) { w.table.failCommits(2, responseLost) }, attempt: 1, sent: true},
		{name: "commit responses lost, then row read back", before: func(w *fixture) { w.table.failCommits(maxUnknownRetries+1, responseLost) }, attempt: NoAttempt, sent: true},
		{name: "all commit calls lost", before: func(w *fixture) { w.table.failCommits(maxUnknownRetries+1, callLost) }, attempt: NoAttempt, reason: outcome.ClaimUnavailable, result: outcome.NotRun},
		{name: "uncertain claim is released", before: func(w *fixture) {
			w.table.failCommits(maxUnknownRetries+1, callLost)
			begin(w.other, NoAttempt)
			w.other.Flush(context.Background(), time.Now())
		}, attempt: NoAttempt, sent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture()
				c.before(w)
				decision, refusal := begin(w.local, c.attempt)
				if (decision.Claim != nil) != c.sent {
					t.Errorf("sent %v, refusal %v", decision.Claim != nil, refusal)
				}
				if got := responseText(decision.Response); got != c.response {
					t.Errorf("response %q, want %q", got, c.response)
				}
				if c.reason != "" && (refusal == nil || refusal.Reason != c.reason || refusal.Outcome != c.result) {
					t.Errorf("refusal %+v, want %s %s", refusal, c.result, c.reason)
				}
				synctest.Wait()
			})
		})
	}
}

func responseText(a *Response) string {
	switch {
	case a == nil:
		return ""
	case a.Omitted:
		return "omitted"
	default:
		return string(a.Body)
	}
}

// Guards against one commit per claim, and against a conflict on one row that fails the others.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture()
		mustBegin(w.other)
		w.table.commits = 0
		var callers sync.WaitGroup
		var mu sync.Mutex
		granted := 0
		for i := range 64 {
			callers.Go(func() {
				id := fmt.Sprint("id-", i)
				if i == 17 {
					id = "id"
				}
				decision, _ := w.local.Begin(context.Background(), "team", id, NoAttempt, time.Now())
				mu.Lock()
				defer mu.Unlock()
				if decision.Claim != nil {
					granted++
				}
			})
		}
		callers.Wait()
		// One commit of 64 rows and two for each of the 6 halvings.
		if granted != 63 || w.table.commits != 13 {
			t.Errorf("%d of 64 claims granted in %d commits", granted, w.table.commits)
		}
	})
}

// Guards against expired rows that are never removed.
func TestOldRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture()
		finish(mustBegin(w.other), "x")
		w.local.Begin(context.Background(), "team", "crashed", 0, time.Now())
		time.Sleep(Lifetime)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = w.other.Run(ctx)
		synctest.Wait()
		if left := w.table.list(); len(left) != 1 {
			t.Errorf("%d rows left, want only that of the crashed instance", len(left))
		}
		w.other.Sweep(w.table.list(), time.Now())
		time.Sleep(time.Second)
		if left := w.table.list(); len(left) != 0 {
			t.Errorf("%d rows left", len(left))
		}
	})
}

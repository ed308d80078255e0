package claim

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// machine is a state machine that runs requests on instances that crash, with a table that loses calls and
// responses.
type machine struct {
	table     *fakeTable
	instances []*Claims
	requests  []*request
}

// request is one request of a caller, who retries it under the same id until shortly before Lifetime.
type request struct {
	id        string
	createdAt time.Time
	attempts  int
	// openClaim is the claim of an attempt that was sent and has not ended.
	openClaim *Claim
	// ran is set when an attempt was sent that ran or may have run.
	ran bool
}

func (m *machine) newInstance(at time.Time) *Claims {
	c := New(m.table, noCounter{}, at)
	c.SetUnrecordedCheck(func(key string, now time.Time) bool {
		agreed := true
		for _, other := range m.instances {
			if other != c && !other.ConfirmUnclaimed(key, now) {
				agreed = false
			}
		}
		return agreed
	})
	return c
}

func (m *machine) pickInstance(t *rapid.T) int {
	return rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")
}

// attempt sends one or two concurrent attempts of a new or existing request.
func (m *machine) attempt(t *rapid.T) {
	at := rapid.IntRange(0, len(m.requests)).Draw(t, "request")
	if at == len(m.requests) {
		m.requests = append(m.requests, &request{id: fmt.Sprint(at), createdAt: time.Now()})
	}
	r := m.requests[at]
	if time.Since(r.createdAt) > Lifetime-time.Minute {
		return
	}
	decisions := make([]Decision, rapid.IntRange(1, 2).Draw(t, "attempts"))
	var callers sync.WaitGroup
	for i := range decisions {
		instance, number := m.instances[m.pickInstance(t)], r.attempts
		r.attempts++
		callers.Go(func() {
			decisions[i], _ = instance.Begin(context.Background(), "team", r.id, number, time.Now())
		})
	}
	callers.Wait()
	for _, decision := range decisions {
		switch {
		case decision.Claim != nil && (r.ran || r.openClaim != nil):
			t.Fatalf("request %s was sent a second time", r.id)
		case decision.Claim != nil:
			r.openClaim = decision.Claim
		case decision.Response != nil && !r.ran:
			t.Fatalf("request %s has a response but never ran", r.id)
		}
	}
}

// endAttempt ends an attempt that was sent: it ran, did not run, or the outcome is unknown.
func (m *machine) endAttempt(t *rapid.T) {
	for _, r := range m.requests {
		if r.openClaim == nil {
			continue
		}
		switch rapid.IntRange(0, 2).Draw(t, "end") {
		case 0:
			r.openClaim.Finish(context.Background(), Response{Status: 200})
			r.ran = true
		case 1:
			r.openClaim.Release(context.Background())
		default:
			r.ran = true
		}
		r.openClaim = nil
		return
	}
}

// crash replaces an instance; the requests that it was sending may have run.
func (m *machine) crash(t *rapid.T) {
	at := m.pickInstance(t)
	for _, r := range m.requests {
		if r.openClaim != nil && r.openClaim.claims == m.instances[at] {
			r.ran = true
			r.openClaim = nil
		}
	}
	m.instances[at] = m.newInstance(time.Now())
}

// setFaults draws new faults for the next calls to the table.
func (m *machine) setFaults(t *rapid.T) {
	plan := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, tableDown, callLost, responseLost, appliedLate, appliedLate}), 0, 12).Draw(t, "faults")
	after := rapid.SampledFrom([]fault{noFault, noFault, tableDown}).Draw(t, "after")
	m.table.mu.Lock()
	defer m.table.mu.Unlock()
	m.table.nextFault = func(bool) fault {
		if len(plan) == 0 {
			return after
		}
		next := plan[0]
		plan = plan[1:]
		return next
	}
}

func (m *machine) flush(t *rapid.T) {
	m.instances[m.pickInstance(t)].Flush(context.Background(), time.Now())
}

func (m *machine) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
}

// Guards against running a request twice when instances crash, calls and responses are lost, or the table
// is down at any point.
func TestAtMostOnce(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			// rapid recognises a failure only in its own goroutine.
			defer func() { failure = recover() }()
			m := &machine{table: newTable()}
			for range 3 {
				m.instances = append(m.instances, m.newInstance(time.Now().Add(-time.Hour)))
			}
			rt.Repeat(map[string]func(*rapid.T){
				"attempt":       m.attempt,
				"attempt again": m.attempt,
				"end":           m.endAttempt,
				"crash":         m.crash,
				"faults":        m.setFaults,
				"flush":         m.flush,
				"arrive":        func(*rapid.T) { m.table.applyLateCommits() },
				"wait":          m.advanceTime,
			})
		})
		if failure != nil {
			panic(failure)
		}
	})
}

// fixSeed makes a run repeatable unless a seed is given on the command line.
func fixSeed(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("20260417"); err != nil {
			t.Fatal(err)
		}
	}
}

package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/rapidtest"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/target"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engineTargets(n int) []target.Target {
	zones := []string{"rennes", "brest", "vannes"}
	all := make([]target.Target, n)
	for i := range all {
		id := fmt.Sprintf("engine-%04d", i)
		all[i] = target.Target{ID: id, Service: "chat", URL: "http://" + id, Zone: zones[i%3], Slots: 16}
	}
	return all
}

func newRouter(n int) *Router {
	r := NewRouter("rennes", 1, epoch)
	r.SetTargets(engineTargets(n))
	return r
}

// Guards against requests to a target that is draining, is excluded, has an open breaker or lacks the required
// weight version, in small and large pools and for any order of events.
func TestPickIsEligible(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		targets := engineTargets(rapid.SampledFrom([]int{3, 40}).Draw(t, "targets"))
		r := NewRouter("brest", 1, epoch)
		r.SetTargets(targets)
		now := epoch
		versions := map[string]int{}
		openedAt := map[string]time.Time{}
		brokenCount := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(targets)-1).Draw(t, "target")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				targets[i].Draining = !targets[i].Draining
				r.SetTargets(targets)
			case 1:
				versions[targets[i].ID] = rapid.IntRange(1, 3).Draw(t, "version")
				r.ApplyLoadReport(targets[i].ID, engine.Load{Running: i, WeightVersion: versions[targets[i].ID]}, now)
			case 2:
				r.ApplyCacheEvent(targets[i].ID, engine.CacheEvent{Block: i % 3, Event: engine.EventStored, Sequence: i})
			default:
				req := target.Request{Service: "chat", MinVersion: rapid.IntRange(0, 2).Draw(t, "min"), Exclude: []string{targets[i].ID}, Prefix: []uint64{0, 1, 2}}
				res, refusal := r.Pick(req, now)
				if refusal != nil {
					for _, other := range targets {
						if !other.Draining && other.ID != targets[i].ID && versions[other.ID] >= req.MinVersion && openedAt[other.ID].IsZero() {
							t.Fatalf("request refused although target %s is eligible", other.ID)
						}
					}
					continue
				}
				got := res.Target()
				if got.Draining || got.ID == targets[i].ID || versions[got.ID] < req.MinVersion || now.Sub(openedAt[got.ID]) < 500*time.Millisecond {
					t.Fatalf("request sent to ineligible target %+v with version %d", got, versions[got.ID])
				}
				switch rapid.IntRange(0, 3).Draw(t, "result") {
				case 0:
					res.Done(target.Unreachable, 0)
					openedAt[got.ID] = now
				case 1:
					res.Done(target.Broken, 0)
					brokenCount[got.ID]++
					// Three broken connections in a row open the breaker, and so does a single one if it ends a probe.
					if brokenCount[got.ID] >= 3 || !openedAt[got.ID].IsZero() {
						openedAt[got.ID] = now
					}
				}
			}
		}
	})
}

// Guards against cache affinity to a target that restarted or cleared its cache, against one popular prefix
// overloading a target, and against a reservation that loses its target in Done: a report that is written
// afterwards would lack the target.
func TestPrefixAffinity(t *testing.T) {
	r := newRouter(12)
	prefix := []uint64{11, 12, 13, 14}
	pick := func() (string, target.Reservation) {
		res, refusal := r.Pick(target.Request{Service: "chat", Prefix: prefix}, r.now.Add(2*time.Second))
		if refusal != nil {
			t.Fatal(refusal)
		}
		return res.Target().ID, res
	}
	first, res := pick()
	res.Done(target.OK, time.Second)
	if afterDone := res.Target().ID; afterDone != first {
		t.Errorf("target %q after Done, want %s", afterDone, first)
	}
	if second, res := pick(); second != first {
		t.Errorf("prompt cached on %s was sent to %s", first, second)
	} else {
		res.Done(target.OK, time.Second)
	}
	for _, event := range []engine.CacheEvent{{Event: engine.EventCleared, Sequence: 9}, {Event: engine.EventStored, Sequence: 9, Block: 14}} {
		r.ApplyCacheEvent(first, event)
	}
	if m := r.byID[first]; m.generation == r.cache.find(14)[0].generation {
		t.Error("index entry is still valid after the target cleared its cache")
	}
	counts := map[string]int{}
	for range 96 {
		id, _ := pick()
		counts[id]++
	}
	for id, n := range counts {
		if float64(n) > maxAffinityLoadRatio*8+1 {
			t.Errorf("target %s got %d of 96 requests with the same prefix, fair share is 8", id, n)
		}
	}
}

// Guards against a target that gets no requests again after its breaker opened, and against several probes at
// the same time.
func TestHalfOpenProbe(t *testing.T) {
	r := newRouter(3)
	res, _ := r.Pick(target.Request{Service: "chat"}, epoch)
	id := res.Target().ID
	res.Done(target.Unreachable, 0)
	later := epoch.Add(time.Second)
	if _, refusal := r.PickTarget(id, target.Request{Service: "chat"}, later); refusal == nil {
		t.Error("ordinary request accepted by a half-open target before ordinaryProbeDelay")
	}
	r.ApplyLoadReport(id, engine.Load{}, later)
	if res, refusal := r.PickTarget(id, target.Request{Service: "chat"}, later); refusal != nil {
		t.Error("ordinary request refused although the target reported its load after the failure")
	} else {
		res.Done(target.Cancelled, 0)
	}
	res, refusal := r.Pick(target.Request{Service: "chat", Probe: true}, later)
	if refusal != nil || res.Target().ID != id {
		t.Fatalf("probe not sent to half-open target %s: refusal %v", id, refusal)
	}
	if res, _ := r.Pick(target.Request{Service: "chat", Probe: true}, later); res.Target().ID == id {
		t.Error("second probe sent while the first one is running")
	}
	res.Done(target.OK, 0)
	if r.byID[id].tripped {
		t.Error("breaker not closed after a successful probe")
	}
}

// Guards against resends of one request that run on different targets at the same time because they reach
// different instances, and against resends that move to the next target right after a failure.
func TestPlaceResend(t *testing.T) {
	guard := retry.NewGuard("entry-1")
	clock := func() time.Time { return epoch }
	place := func(r *Router, fingerprint uint64, now time.Time) (target.Reservation, *outcome.Refusal) {
		attempt, _ := guard.BeginResend(t.Context(), fingerprint, clock)
		defer attempt.Done(target.Cancelled, epoch)
		return r.PickForAttempt(attempt, target.Request{Service: "chat"}, now)
	}
	for fingerprint := range uint64(20) {
		rennes, vannes := newRouter(40), NewRouter("vannes", 5, epoch)
		vannes.SetTargets(engineTargets(40))
		first, _ := place(rennes, fingerprint, epoch)
		second, _ := place(vannes, fingerprint, epoch)
		id := first.Target().ID
		if second.Target().ID != id {
			t.Fatalf("resends of one request placed on %s and %s", id, second.Target().ID)
		}
		first.Done(target.Broken, 0)
		if res, refusal := place(rennes, fingerprint, epoch); refusal == nil {
			t.Fatalf("resend moved to %s right after the failure of %s", res.Target().ID, id)
		}
		if _, refusal := place(rennes, fingerprint, epoch.Add(retry.RecentFailureWindow)); refusal != nil {
			t.Fatalf("resend still refused %v after the failure", retry.RecentFailureWindow)
		}
	}
}

// Guards against copies of a request without a prompt that reach many targets through different instances at
// the same time although its fingerprint has not completed before: if the request crashes targets, each copy
// could crash another one. Also guards against more copies of one prompt on a target than it has slots, against
// the refusal of a copy that excludes the target of the first one, and against a router that sends a request to
// another zone although its own zone is idle.
func TestCopiesOfUncompletedRequestUseFewTargets(t *testing.T) {
	copyTargets := map[string]bool{}
	for i := range 9 {
		r := NewRouter("rennes", uint64(i), epoch)
		r.SetTargets(engineTargets(200))
		attempt, _ := retry.NewGuard("").Begin(t.Context(), 666, func() time.Time { return epoch })
		res, _ := r.PickForAttempt(attempt, target.Request{Service: "chat"}, epoch)
		copyTargets[res.Target().ID] = true
		if res, _ := r.Pick(target.Request{Service: "chat"}, epoch); res.Target().Zone != "rennes" {
			t.Errorf("router in rennes sent a request to zone %s although its own zone is idle", res.Target().Zone)
		}
	}
	guard, r, promptCopies := retry.NewGuard(""), newRouter(200), map[string]int{}
	for range 48 {
		attempt, _ := guard.Begin(t.Context(), 666, func() time.Time { return epoch })
		res, _ := r.PickForAttempt(attempt, target.Request{Service: "chat", Prefix: []uint64{1}}, epoch)
		promptCopies[res.Target().ID]++
	}
	for id, n := range promptCopies {
		if n > 16 {
			t.Errorf("%d copies of one prompt on target %s, which has 16 slots", n, id)
		}
	}
	attempt, _ := guard.Begin(t.Context(), 666, func() time.Time { return epoch })
	if _, refusal := r.PickForAttempt(attempt, target.Request{Service: "chat", Exclude: []string{attempt.PinnedTarget}}, epoch); refusal != nil {
		t.Errorf("copy that excludes the target of the first one was refused: %v", refusal)
	}
	if len(copyTargets) > 2 {
		t.Errorf("copies of one request on %d targets, want at most 2", len(copyTargets))
	}
}

// Guards against the refusal of requests that were running on a crashed target if there are more of them than
// other targets, and against a second copy of such a request that is refused or sent to another target.
func TestSuspectsOfOneCrash(t *testing.T) {
	guard, r := retry.NewGuard(""), newRouter(3)
	clock := func() time.Time { return epoch }
	for fingerprint := range uint64(8) {
		attempt, _ := guard.Begin(t.Context(), fingerprint+1, clock)
		attempt.Sent("engine-0001")
		attempt.Done(target.Broken, epoch)
		retried, refusal := guard.Begin(t.Context(), fingerprint+1, clock)
		if refusal != nil {
			t.Fatal(refusal)
		}
		res, refusal := r.PickForAttempt(retried, target.Request{Service: "chat"}, epoch)
		if refusal != nil || res.Target().ID == "engine-0001" {
			t.Fatalf("suspect %d refused or sent to the crashed target: refusal %v", fingerprint, refusal)
		}
		secondCopy, _ := guard.Begin(t.Context(), fingerprint+1, clock)
		if second, refusal := r.PickForAttempt(secondCopy, target.Request{Service: "chat"}, epoch); refusal != nil || second.Target().ID != res.Target().ID {
			t.Fatalf("second copy of suspect %d not on the target of the first one: refusal %v", fingerprint, refusal)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name    string
		targets int
		version int
		blocks  int
	}{{"12", 12, 0, 32}, {"4000", 4000, 0, 32}, {"4000-plain", 4000, 0, 0}, {"4000-rare-version", 4000, 2, 32}} {
		b.Run(c.name, func(b *testing.B) {
			r := newRouter(c.targets)
			for i := range 8 {
				r.ApplyLoadReport(fmt.Sprintf("engine-%04d", i*c.targets/8), engine.Load{WeightVersion: 2}, epoch)
			}
			prefix := make([]uint64, c.blocks)
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for k := range prefix {
					prefix[k] = uint64(i%5000)<<8 + uint64(k) + 1
				}
				now = now.Add(time.Microsecond)
				res, refusal := r.Pick(target.Request{Service: "chat", Prefix: prefix, MinVersion: c.version}, now)
				if refusal != nil {
					b.Fatal(refusal)
				}
				res.Done(target.OK, time.Microsecond)
			}
		})
	}
}

func BenchmarkSetTargets(b *testing.B) {
	targets := engineTargets(4000)
	for name, change := range map[string]bool{"unchanged": false, "one leaves": true} {
		b.Run(name, func(b *testing.B) {
			r := newRouter(4000)
			for b.Loop() {
				targets[7].Draining = change != targets[7].Draining
				r.SetTargets(targets)
			}
		})
	}
}

package admission

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/rapidtest"
)

// startAcquire runs Acquire in a goroutine and sends "granted <team>" or the refusal's outcome and reason. A
// granted request runs for one second.
func startAcquire(ctx context.Context, c *Controller, req Request, results chan<- string) {
	go func() {
		ticket, refusal := c.Acquire(ctx, req)
		if refusal != nil {
			results <- string(refusal.Outcome) + " " + string(refusal.Reason)
			return
		}
		results <- "granted " + req.Team
		time.Sleep(time.Second)
		ticket.Done(req.Cost)
	}()
	synctest.Wait()
}

// Guards against a training request that runs before a waiting request of the latency class, a queue above its
// limit, a request that gets a slot although it cannot complete by its deadline, and a request that stays in the
// queue after its caller disconnected.
func TestAcquireOrderAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController("a", time.Now)
		// All requests are for the service chat and set the class themselves; none is for the service train.
		c.ApplyConfig(&config.Document{
			Teams:    []config.Team{{Name: "big"}, {Name: "one", MaxConcurrency: 1}},
			Services: []config.Service{{Name: "chat", QueueLimit: 3}, {Name: "train", Class: config.ServiceClassTraining}},
		})
		results := make(chan string, 20)
		cancellable, disconnect := context.WithCancel(t.Context())
		request := func(ctx context.Context, team string, class config.ServiceClass, timeout time.Duration) {
			startAcquire(ctx, c, Request{Team: team, Service: "chat", Class: class, Cost: 100, Deadline: time.Now().Add(timeout)}, results)
		}
		c.SetCapacity("chat", 1)
		request(t.Context(), "big", "", time.Minute) // completes, so that the controller knows that a request takes 1 s
		time.Sleep(2 * time.Second)
		request(t.Context(), "big", "", time.Minute)                            // runs at once
		request(cancellable, "big", config.ServiceClassTraining, time.Minute)   // its caller disconnects
		request(t.Context(), "big", "", 1500*time.Millisecond)                  // waits 1 s, then would miss its deadline
		request(t.Context(), "big", config.ServiceClassTraining, 9*time.Second) // evicted by the next request
		request(t.Context(), "one", "", time.Minute)                            // exceeds the queue limit of 3
		disconnect()
		synctest.Wait()
		request(t.Context(), "big", config.ServiceClassTraining, time.Minute) // runs last because of its class
		request(t.Context(), "one", "", 500*time.Millisecond)                 // refused at once: a request takes 1 s
		time.Sleep(10 * time.Second)
		synctest.Wait()
		close(results)
		got := slices.Collect(func(yield func(string) bool) {
			for r := range results {
				yield(r)
			}
		})
		// In the order in which the requests were granted or refused, not in that of their submission.
		want := []string{
			"granted big", "granted big", "not_run queue_full", "not_run caller_gone", "not_run deadline_passed",
			"not_run deadline_passed", "granted one", "granted big",
		}
		if !slices.Equal(got, want) {
			t.Errorf("got  %q\nwant %q", got, want)
		}
	})
}

// Guards against shares of a team's limit that do not add up to the limit, and against an instance without a
// share although the limit is large enough for one request on each instance.
func TestUsableLimitShares(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 200).Draw(t, "limit")
		var demands []teamDemand
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			demands = append(demands, teamDemand{instance: fmt.Sprint(i), requests: rapid.Float64Range(0, 1e6).Draw(t, "demand")})
		}
		sum := 0
		for _, d := range slices.Clone(demands) {
			share := usableLimitShare(limit, d.instance, demands)
			if sum += share; share < 1 && limit >= len(demands) {
				t.Fatalf("instance %s has no share of the limit %d", d.instance, limit)
			}
		}
		if sum != limit {
			t.Fatalf("shares add up to %d, want the limit %d", sum, limit)
		}
	})
}

// Guards against a crashed instance that keeps its share, and against a share that expires although the
// instance's report is only late.
func TestShareOfCrashedInstanceExpires(t *testing.T) {
	now := epoch
	c := NewController("a", func() time.Time { return now })
	c.ApplyConfig(&config.Document{Teams: []config.Team{{Name: "blue", MaxConcurrency: 10}}})
	c.SetCapacity("chat", 100)
	demand := 900
	c.ApplyPeerState(peer.State{Instance: "b", Costs: []peer.TeamCost{{Team: "blue", Service: "chat", Waiting: &demand, InFlight: &demand}}}, now)
	// The pairs are this instance's shares of the 100 slots and of the team's limit of 10.
	for age, want := range map[time.Duration][2]int{0: {1, 1}, peerReportTTL - 1: {1, 1}, peerReportTTL: {100, 10}} {
		now = epoch.Add(age)
		c.recomputeShares(now)
		if got := [2]int{c.services["chat"].ownSlots, c.teams["blue"].share}; got != want {
			t.Errorf("shares of slots and limit %v after the last report: %v, want %v", age, got, want)
		}
	}
}

func BenchmarkAcquire(b *testing.B) {
	c := NewController("a", time.Now)
	c.SetCapacity("chat", 64)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, refusal := c.Acquire(context.Background(), Request{Team: "blue", Service: "chat", Cost: 100})
			if refusal != nil {
				b.Fatal(refusal.Reason == outcome.QueueFull, refusal)
			}
			ticket.Done(100)
		}
	})
}

// BenchmarkRecomputeShares uses the expected size of one region in two years, where every instance reports to
// every other one.
func BenchmarkRecomputeShares(b *testing.B) {
	c := NewController("self", func() time.Time { return epoch })
	amount := 1000
	for i := range 330 {
		state := peer.State{Instance: fmt.Sprint("entry-", i)}
		for k := range 8 {
			cost := peer.TeamCost{Team: fmt.Sprint(k), Service: fmt.Sprint(k % 4), Served: &amount, InFlight: &amount, Waiting: &amount}
			state.Costs = append(state.Costs, cost)
		}
		c.ApplyPeerState(state, epoch)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.recomputeShares(epoch)
	}
}

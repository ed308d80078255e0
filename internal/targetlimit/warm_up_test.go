package targetlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// coldTime is how long the target of the tests is cold after each of its starts, coldBound how many requests it may get in
	// any second meanwhile, and coldLag the longest time until an instance knows of a start.
	coldTime  = 3 * time.Second
	coldRate  = 8.1
	coldBound = 17.15
	coldLag   = 800 * time.Millisecond
	// unknownStarts is how many runs the owners of jobs together start within unknownWindow while they do not know that the target is cold.
	unknownStarts = 15
	unknownWindow = 1200 * time.Millisecond
)

// warmUpSimulation plays instances that send requests to a target that becomes cold at some times.
type warmUpSimulation struct {
	*simulation
	starts []time.Duration
	// recent holds the last requests of an instance that did not know of a start.
	recent map[*simInstance][]time.Time
	owners int
}

func newWarmUpSimulation(seed uint64, size, owners int) *warmUpSimulation {
	s := &warmUpSimulation{
		simulation: newSimulation(seed, size), starts: []time.Duration{3 * time.Second, 9 * time.Second, 10 * time.Second, 18 * time.Second},
		recent: map[*simInstance][]time.Time{}, owners: owners,
	}
	for _, n := range s.instances {
		n.table.SetWarmUps(map[string]WarmUp{"s": {Rate: coldRate, Bound: coldBound}})
	}
	for _, start := range s.starts {
		for _, n := range s.instances {
			lag := 100*time.Millisecond + time.Duration(s.random.Int64N(int64(coldLag-100*time.Millisecond)))
			s.after(s.start, start+lag, func(now time.Time) { s.learn(n, now) })
		}
	}
	s.wants = func(i int, elapsed time.Duration) bool {
		n, now := s.instances[i], s.start.Add(elapsed)
		return i < owners && (n.table.Limited(now)["e"] || s.mayStart(n, now))
	}
	return s
}

// learn makes an instance read the target's entry.
func (s *warmUpSimulation) learn(n *simInstance, now time.Time) {
	if now.Before(n.frozenTill) {
		s.after(n.frozenTill, 300*time.Millisecond, func(now time.Time) { s.learn(n, now) })
		return
	}
	n.table.ObserveCold("e", "s", now.Add(coldTime), false, now)
}

// mayStart tells whether an owner that believes the target to be warm may start a run there; see package startlimit.
func (s *warmUpSimulation) mayStart(n *simInstance, now time.Time) bool {
	s.recent[n] = slices.DeleteFunc(s.recent[n], func(at time.Time) bool { return now.Sub(at) >= unknownWindow })
	if len(s.recent[n]) >= unknownStarts/s.owners {
		return false
	}
	s.recent[n] = append(s.recent[n], now)
	return true
}

// mostWhileCold returns the largest number of arrivals in a second of a warm-up.
func (s *warmUpSimulation) mostWhileCold() int {
	slices.Sort(s.allArrivals)
	most := 0
	for _, start := range s.starts {
		for i, first := range s.allArrivals {
			if first < start || first >= start+coldTime {
				continue
			}
			count := 0
			for _, at := range s.allArrivals[i:] {
				if at-first < time.Second && at < start+coldTime {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// Guards against instances that together send a cold target more than it takes: owners that learn late that it has started
// or become cold again, an outage of the table, frozen instances, and a limit that the target names meanwhile. And against a
// cold target that gets nothing although there are requests.
func TestInstancesShareWarmUp(t *testing.T) {
	const length = 24 * time.Second
	for _, count := range []int{1, 3, 8} {
		for _, fault := range []string{"none", "outage", "freeze", "limit"} {
			t.Run(fmt.Sprint(count, " owners, fault ", fault), func(t *testing.T) {
				t.Parallel()
				most, cold := 0, 0
				for seed := range uint64(10) {
					s := newWarmUpSimulation(seed, max(9, count), count)
					s.limit = constantly(-1)
					switch fault {
					case "outage":
						s.storeDown = func(elapsed time.Duration) bool { return elapsed > 9500*time.Millisecond && elapsed < 14*time.Second }
					case "freeze":
						s.after(s.start, 9100*time.Millisecond, func(now time.Time) { s.instances[0].frozenTill = now.Add(2 * time.Second) })
					case "limit":
						s.limit = constantly(3)
					}
					s.run(length)
					most = max(most, s.mostWhileCold())
					for _, start := range s.starts {
						cold += countIn(s.allArrivals, start+coldLag, start+coldTime)
					}
				}
				t.Logf("at most %d requests in a second while cold, %d in all", most, cold/10)
				if float64(most) > coldBound || cold == 0 {
					t.Errorf("%d requests in a second while cold, allowed %.2f; %d in all", most, coldBound, cold)
				}
			})
		}
	}
}

// Guards against callers' requests at many instances that together exceed what a cold target takes.
func TestCallersShareWarmUp(t *testing.T) {
	for _, size := range []int{9, 74, 330} {
		s := newWarmUpSimulation(uint64(size), size, 1)
		s.limit = constantly(-1)
		spread := s.spread(200, size)
		s.wants = func(i int, elapsed time.Duration) bool {
			return s.instances[i].table.Limited(s.start.Add(elapsed))["e"] && spread(i, elapsed)
		}
		s.run(24 * time.Second)
		t.Logf("%d instances: at most %d requests in a second while cold, %d in all", size, s.mostWhileCold(), len(s.allArrivals))
		if most := s.mostWhileCold(); float64(most) > coldBound {
			t.Errorf("%d instances: %d requests in a second while cold, allowed %.2f", size, most, coldBound)
		}
	}
}

// Guards against what is known of a warm-up that a later, older statement shortens, against an instance that uses a cold target
// without a share, and against a warm-up that instances tell each other of again and again.
func TestColdUntilLatestStatement(t *testing.T) {
	now := time.Now()
	a, b := NewTable("a"), NewTable("b")
	for _, table := range []*Table{a, b} {
		table.SetWarmUps(map[string]WarmUp{"s": {Rate: coldRate, Bound: coldBound}})
	}
	a.ObserveCold("e", "s", now.Add(3*time.Second), true, now)
	a.ObserveCold("e", "s", now.Add(time.Second), false, now)
	if a.Take("e", now) || !a.Limited(now.Add(2 * time.Second))["e"] || a.Limited(now.Add(3 * time.Second))["e"] {
		t.Error("the later statement does not hold, or the target was used without a share")
	}
	b.ApplyReport("a", a.Report(now), now.Add(time.Second))
	if !b.Limited(now.Add(3500 * time.Millisecond))["e"] {
		t.Error("the other instance does not know of the warm-up")
	}
	a.ApplyReport("b", b.Report(now.Add(time.Second)), now.Add(2*time.Second))
	if a.Limited(now.Add(3 * time.Second))["e"] {
		t.Error("the warm-up was prolonged by what the other instance had heard")
	}
	a.ObserveCold("other", "warm service", now.Add(time.Second), true, now)
	if a.CountCold(now) != 1 {
		t.Error("a target of a service without a warm-up counts as cold")
	}
}

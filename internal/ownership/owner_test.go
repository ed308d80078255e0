package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against steps that go to a new owner although the previous one runs and has connections to many engines, to one that may be down, to one that
// runs other routes too, and to one whose processor is small.
func TestOwnerChoice(t *testing.T) {
	now := time.Now()
	job := func(route, model, owner string, step int, ended bool) Job {
		return Job{ID: fmt.Sprint(route, model, owner, step), Route: route, Model: model, Owner: owner, Step: step, Ended: ended}
	}
	recent, old := now.Add(-300*time.Millisecond), now.Add(-MaxHeartbeatAge-time.Millisecond)
	cases := []struct {
		name       string
		jobs       []Job
		heartbeats map[string]time.Time
		small      []string
		want       string
	}{
		{"first step", nil, nil, nil, "self"},
		{"previous owner runs", []Job{job("r", "m", "a", 4, false)}, map[string]time.Time{"a": recent}, nil, "a"},
		{"previous step has ended", []Job{job("r", "m", "a", 4, true)}, map[string]time.Time{"a": recent}, nil, "a"},
		{"the newest step decides", []Job{job("r", "m", "b", 3, false), job("r", "m", "a", 4, false)}, map[string]time.Time{"a": recent, "b": recent}, nil, "a"},
		{"later steps do not count", []Job{job("r", "m", "a", 6, false)}, map[string]time.Time{"a": recent}, nil, "self"},
		{"no heartbeat for too long", []Job{job("r", "m", "a", 4, false)}, map[string]time.Time{"a": old}, nil, "self"},
		{"no heartbeat yet", []Job{job("r", "m", "a", 4, false)}, nil, nil, "self"},
		{"departed", []Job{job("r", "m", "a", 4, false)}, map[string]time.Time{"a": {}}, nil, "self"},
		{"another model", []Job{job("r", "n", "a", 4, false)}, map[string]time.Time{"a": recent}, nil, "self"},
		{"runs another route", []Job{job("r", "m", "a", 4, false), job("s", "m", "a", 1, false)}, map[string]time.Time{"a": recent}, nil, "self"},
		{"ran another route", []Job{job("r", "m", "a", 4, false), job("s", "m", "a", 1, true)}, map[string]time.Time{"a": recent}, nil, "a"},
		{"small instance accepts the first step", nil, nil, []string{"self"}, Unassigned},
		{"small instance accepts a later step", []Job{job("r", "m", "a", 4, false)}, map[string]time.Time{"a": recent}, []string{"self"}, "a"},
		{"previous owner is small", []Job{job("r", "m", "a", 4, false)}, map[string]time.Time{"a": recent}, []string{"a"}, "self"},
		{"previous step is unassigned", []Job{job("r", "m", Unassigned, 4, false)}, nil, nil, "self"},
		{"both are small", []Job{job("r", "m", "a", 4, false)}, map[string]time.Time{"a": recent}, []string{"a", "self"}, Unassigned},
	}
	for _, tc := range cases {
		c := Choice{
			Self: "self", Job: Job{ID: "new", Route: "r", Model: "m", Step: 5}, Jobs: tc.jobs, LastHeartbeat: tc.heartbeats,
			Engines: MinEnginesToKeepOwner, Capacities: smallInstances(tc.small), Now: now,
		}
		if got := c.Owner(); got != tc.want {
			t.Errorf("%s: owner %q, want %q", tc.name, got, tc.want)
		}
		c.Engines, c.Capacities = c.Engines-1, smallInstances(nil)
		if got := c.Owner(); got != "self" {
			t.Errorf("%s, few engines: owner %q, want self", tc.name, got)
		}
	}
}

type smallInstances []string

func (s smallInstances) IsSmall(instance string) bool { return slices.Contains(s, instance) }

// Guards against a deployment of equal instances in which some count as small, and against a small one that nobody knows of.
func TestIsSmall(t *testing.T) {
	table := NewCapacityTable("a", 0.464)
	table.SetCapacity("b", 0.8)
	table.SetCapacity("unknown", 0)
	if table.IsSmall("a/1") || table.IsSmall("b/1") || table.IsSmall("unknown/1") {
		t.Error("an instance with over half of the largest processor time is small")
	}
	table.SetCapacity("c", 0.144)
	if !table.IsSmall("c/1") || !table.IsSmall("c") {
		t.Error("an instance with a fifth of the largest processor time is not small")
	}
	table.RemoveCapacity("a")
	table.RemoveCapacity("b")
	if table.IsSmall("c/1") {
		t.Error("the only instance is small")
	}
}

// Guards against an unassigned job that nobody takes, that all instances take at the same moment, or that a small or busy one takes
// before a large idle one could.
func TestUnassignedJobIsTaken(t *testing.T) {
	seen := time.Now()
	firstTry := func(c Candidate) time.Duration {
		for after := time.Duration(0); after < 5*time.Second; after += 10 * time.Millisecond {
			if c.MayTakeOver("job", Unassigned, Silence{LastRead: seen.Add(after), OwnerSeenAt: seen}) {
				return after
			}
		}
		t.Fatal("no instance takes the job")
		return 0
	}
	for _, instances := range []int{3, 9, 74, 330} {
		var large, small []time.Duration
		for n := range instances {
			name := fmt.Sprint("n", n)
			large = append(large, firstTry(Candidate{Instance: name, Machine: name}))
			small = append(small, firstTry(Candidate{Instance: name, Machine: name, IsSmall: true, RunsJobs: true}))
		}
		if first := slices.Min(large); first > takeoverSpread {
			t.Errorf("%d instances: the first large one tries after %v", instances, first)
		}
		if slices.Min(small) < smallInstanceDelay+busyInstanceDelay {
			t.Errorf("%d instances: a small one tries after %v", instances, slices.Min(small))
		}
	}
}

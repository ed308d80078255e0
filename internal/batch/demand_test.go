package batch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an owner that cannot know what another one needs, and that keeps all slots.
func TestOwnersShareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(a, b)
		first, second := newJob("first", 200), newJob("second", 200)
		second.Route = "other-route"
		for _, job := range []*Job{first, second} {
			for i := range job.Items {
				c.runner.lengths[fmt.Sprintf("%s-%03d", job.ID, i)] = 10 + i%20
			}
		}
		accept(t, a, first)
		time.Sleep(time.Second)
		accept(t, b, second)
		time.Sleep(2500 * time.Millisecond)
		counts := map[string]int{}
		for name, n := range map[string]*testInstance{"a": a, "b": b} {
			n.mu.Lock()
			for _, o := range n.owned {
				counts[name] += o.load().Running
			}
			n.mu.Unlock()
		}
		slots := 0
		for _, target := range c.view.Targets() {
			slots += target.Slots
		}
		if sum := counts["a"] + counts["b"]; sum > slots*10/8 {
			t.Errorf("running items %v at %d slots", counts, slots)
		}
		if counts["a"] == 0 || counts["b"]*10 < counts["a"]*7 {
			t.Errorf("running items %v, want about equal numbers", counts)
		}
		for _, job := range []*Job{first, second} {
			c.checkResults(job, c.readAll(a, job))
		}
	})
}

// Guards against demand that is counted for the engines of another service or model, and against an owner of an earlier build
// that counts as one without demand.
func TestDemandOfPool(t *testing.T) {
	key := poolKey{"engines", "m"}
	h, err := decodeHeartbeat(`{"demand":[{"service":"engines","model":"m","route":"r","items":4},{"service":"engines","model":"n","route":"s","items":7}]}`)
	if got := h.demandOf(key); err != nil || len(got) != 1 || got["r"] != 4 {
		t.Errorf("demand %v, %v", got, err)
	}
	if got := (heartbeat{Running: map[string]int{"e1": 3}}).demandOf(key); got != nil {
		t.Errorf("demand of an earlier build %v", got)
	}
}

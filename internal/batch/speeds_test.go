package batch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/placement"
)

// Guards against an owner that takes a job over and measures all engines again, although it never ran a job.
func TestNextOwnerKnowsSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.start("a/1"), c.start("b/1")
		defer c.stop(b)
		job := newJob("job", 16)
		for i := range 16 {
			c.runner.lengths[fmt.Sprintf("job-%03d", i)] = 120
		}
		accept(t, a, job)
		time.Sleep(3 * time.Second)
		a.kill()
		time.Sleep(2500 * time.Millisecond)
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, r := range c.runner.runs("job-005") {
			if speed, ok := b.speeds.Of(r.Target.ID); !ok || speed.Interval < 20*time.Millisecond || speed.Interval > 80*time.Millisecond {
				t.Errorf("speed of %s: %+v, %v", r.Target.ID, speed, ok)
			}
		}
	})
}

// Guards against a heartbeat that grows with the number of engines, and against engines that are never reported.
func TestSpeedsAreReportedInTurn(t *testing.T) {
	s := &Service{}
	var ids []string
	for i := range 3*maxReportedSpeeds - 5 {
		ids = append(ids, fmt.Sprintf("e%03d", i))
	}
	seen := map[string]bool{}
	for range 3 {
		next := s.nextReported(ids)
		if len(next) != maxReportedSpeeds {
			t.Fatalf("%d engines in a heartbeat", len(next))
		}
		for _, id := range next {
			seen[id] = true
		}
	}
	if len(seen) != len(ids) {
		t.Errorf("%d of %d engines reported", len(seen), len(ids))
	}
}

// Guards against rows of earlier builds, which have no speeds, and of later ones that this build cannot read.
func TestHeartbeatsOfOtherBuilds(t *testing.T) {
	old, err := decodeHeartbeat(`{"paces":{"e1":41000},"running":{"e1":3}}`)
	if err != nil || old.Speeds != nil || old.Running["e1"] != 3 {
		t.Errorf("old row %+v, %v", old, err)
	}
	h, err := decodeHeartbeat(`{"speeds":{"e1":{"start":7,"us":41000,"n":5,"later":1}},"later":{}}`)
	s := &Service{speeds: placement.NewSpeedTable()}
	s.learnSpeeds(h.Speeds, time.Now())
	want := placement.Speed{StartNumber: 7, Interval: 41 * time.Millisecond, Windows: 5}
	if got, ok := s.speeds.Of("e1"); err != nil || !ok || got != want {
		t.Errorf("speed %+v, %v, %v", got, ok, err)
	}
}

package retry

import (
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/target"
)

// Guards against a step that waits forever because its owner saw a crash and stopped, and the new owner is not
// the instance that rendezvous hashing selects for the suspect.
func TestSuccessorAdoptsSuspect(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	owner, successor, third := NewGuard("owner"), NewGuard("successor"), NewGuard("third")
	fingerprint := uint64(1)
	for Rendezvous(fingerprint, RendezvousHash("third")) < Rendezvous(fingerprint, RendezvousHash("successor")) {
		fingerprint++
	}
	attempt, _, _ := owner.TryBegin(fingerprint, false, now)
	attempt.Sent("engine-1")
	attempt.Done(target.Broken, now)
	crashes, quarantines, _ := owner.State(now)
	for _, g := range []*Guard{successor, third} {
		g.Merge(peer.State{Instance: "owner", Crashes: crashes, Quarantined: quarantines}, now)
	}
	now = now.Add(time.Minute)
	successor.Merge(peer.State{Instance: "third"}, now)
	if _, refusal, _ := successor.TryBegin(fingerprint, false, now); refusal == nil || refusal.Reason != outcome.Suspected {
		t.Fatalf("refusal %v, want suspected", refusal)
	}
	successor.AdoptSuspect(fingerprint, now)
	if _, refusal, _ := successor.TryBegin(fingerprint, false, now); refusal != nil {
		t.Errorf("adopted suspect was refused: %v", refusal)
	}
}

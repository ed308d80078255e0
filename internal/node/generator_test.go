package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/routing"
	"github.com/egretspar/egretspar/internal/target"
)

// Guards against a sample of a step that is refused because engines died under it: it is owed.
func TestSamplesAreNotQuarantined(t *testing.T) {
	now := time.Now()
	control := admission.NewController("entry", time.Now)
	control.ApplyConfig(&config.Document{Teams: []config.Team{{Name: "t"}}, Services: []config.Service{{Name: "s", Type: config.TypeEngine, TimeoutMs: 1000}}})
	control.SetCapacity("s", 1)
	router := routing.NewRouter("z", 1, now)
	var targets []target.Target
	for n := range 6 {
		targets = append(targets, target.Target{ID: fmt.Sprint("e", n), Service: "s", URL: fmt.Sprint("http://e", n), Zone: "z", Slots: 4})
	}
	router.SetTargets(targets)
	picker := &guardedPicker{router: router, guard: retry.NewGuard("entry"), budget: retry.NewBudget(retry.RetryPolicy)}
	var last *outcome.Refusal
	generator := &admittedGenerator{admission: control, generate: func(_ context.Context, g engine.Generation, _ func(engine.Chunk) error) *outcome.Refusal {
		reservation, refusal := picker.pick(target.Request{Service: g.Service, Team: g.Team, Fingerprint: g.Fingerprint, SingleOwner: true}, now)
		last = refusal
		if refusal == nil {
			reservation.Done(target.Broken, time.Millisecond)
		}
		return refusal
	}}
	for n := range 5 {
		_ = generator.Generate(t.Context(), engine.Generation{Team: "t", Service: "s", Prompt: "p"}, nil)
		if last != nil {
			t.Fatalf("run %d: %v", n, last)
		}
	}
}

package node

import (
	"context"
	"time"

	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
)

// admittedGenerator sends the generations of steps through the same fair queue as the requests of callers.
type admittedGenerator struct {
	admission *admission.Controller
	generate  func(ctx context.Context, g engine.Generation, emit func(engine.Chunk) error) *outcome.Refusal
}

// Generate implements rollout.Generator.
func (a *admittedGenerator) Generate(ctx context.Context, g engine.Generation, emit func(engine.Chunk) error) *outcome.Refusal {
	g.Prefix = engine.PrefixHashes(g.Prompt)
	// A sample of a step is owed, whatever broke under it, so it is not tracked as a request that may crash targets.
	g.Fingerprint = 0
	promptTokens := 1 + len(g.Prompt)/engine.BytesPerToken
	ticket, refusal := a.admission.Acquire(ctx, admission.Request{
		Team: g.Team, Service: g.Service, Class: config.ServiceClassTraining,
		Cost: engine.Cost(promptTokens, g.MaxTokens),
	})
	if refusal != nil {
		return refusal
	}
	generatedTokens := 0
	defer func() { ticket.Done(engine.Cost(promptTokens, generatedTokens)) }()
	return a.generate(ctx, g, func(c engine.Chunk) error {
		generatedTokens += c.Tokens
		return emit(c)
	})
}

// stepPeerCaller lets the rollout service find and call the instances that own steps.
type stepPeerCaller struct{ node *Node }

// Owner implements rollout.Peers.
func (p stepPeerCaller) Owner(key string) (string, bool) {
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	owner, ok := p.node.membership.Snapshot(time.Now()).Owner(key)
	if !ok {
		return p.node.self.ID, true
	}
	return owner.ID, owner.ID == p.node.self.ID
}

// Successors implements rollout.Successors.
func (p stepPeerCaller) Successors(key string) []string {
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	var ids []string
	for _, instance := range p.node.membership.Snapshot(time.Now()).Successors(key) {
		ids = append(ids, instance.ID)
	}
	return ids
}

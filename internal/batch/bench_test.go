package batch

import (
	"fmt"
	"testing"

	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/weights"
)

// BenchmarkSetEngines uses the number of engines of the largest deployment, and three trainers with jobs for two open
// steps each.
func BenchmarkSetEngines(b *testing.B) {
	const engines, trainers, steps = 3000, 3, 2
	view := live.NewView()
	config := live.NewConfig(1, live.Limits{})
	models := []string{"model-0", "model-1", "model-2"}
	config.Services["llm"] = live.Service{Name: "llm", Models: models, Slots: 8}
	view.SetConfig(config)
	targets := make([]live.Target, engines)
	for n := range targets {
		targets[n] = live.Target{ID: fmt.Sprint("engine-", n), Service: "llm", Slots: 8, Versions: map[string]int{"model-0": 1}}
	}
	var jobs []*ownedJob
	for n := range trainers * steps {
		jobs = append(jobs, &ownedJob{job: &Job{Service: "llm", Model: models[n%trainers]}})
	}
	s := New(Options{View: view, AssignModels: weights.Assign})
	for b.Loop() {
		s.setEngines(jobs, targets)
	}
}

package main

import (
	"testing"

	"github.com/egretspar/egretspar/internal/config"
)

// Guards against an example that the current schema rejects, or that lacks one of the operator's 8 teams.
func TestExampleIsAccepted(t *testing.T) {
	data, err := buildConfiguration().TOML()
	if err != nil {
		t.Fatal(err)
	}
	d, err := config.Parse("kerlann", data)
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Teams) != 8 || len(d.Pools) == 0 || len(d.Budget) != 2 {
		t.Errorf("%d teams, %d pools, %d budget steps", len(d.Teams), len(d.Pools), len(d.Budget))
	}
}

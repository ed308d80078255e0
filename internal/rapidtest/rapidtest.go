// Package rapidtest runs property tests with a fixed seed, so that every run checks the same inputs.
package rapidtest

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

const seed = "20261204"

// Check runs the property with the fixed seed, which overrides the flag -rapid.seed.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if err := flag.Set("rapid.seed", seed); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, property)
}

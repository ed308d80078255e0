package bench

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/standin/engine"
)

// BenchmarkSmallRequest compares a direct request to a plain service with the same request through an instance.
func BenchmarkSmallRequest(b *testing.B) {
	bed, err := startEnvironment(b.Context(), Experiment{Seed: 1, Instances: 1, Engines: 1}, engine.Options{}, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	defer bed.stop()
	client := newHTTPClient(1)
	for _, c := range []struct{ name, url, bearer string }{
		{"direct", bed.plainTargetURL() + "/x", ""},
		{"through", bed.Instances[0].URL + "/svc/" + servicePlain + "/x", bed.Keys[teamSmall].Bearer},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if !get(b.Context(), client, c.url, c.bearer) {
					b.Fatal("request failed")
				}
			}
		})
	}
}

package step

import (
	"testing"
	"time"

	"github.com/egretspar/egretspar/api"
)

// Guards against replacing temperature 0 (greedy decoding) by the default temperature.
func TestTemperatureZeroIsKept(t *testing.T) {
	for _, c := range []struct {
		given *float64
		want  float64
	}{{nil, 1}, {new(0.0), 0}, {new(0.7), 0.7}} {
		spec := api.StepSpec{ID: "s", Groups: []string{"p"}, SamplesPerGroup: 1, Temperature: c.given}
		if got := *New(spec, nil, time.Unix(0, 0)).Spec().Temperature; got != c.want {
			t.Errorf("temperature %g, want %g", got, c.want)
		}
	}
}

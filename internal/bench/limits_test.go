package bench

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/standin"
	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/plain"
)

// mostIn returns the largest number of requests that arrived within 4 s from a time on.
func mostIn(requests []standin.Request, after time.Time) int {
	most := 0
	for i, first := range requests {
		count := 0
		for _, r := range requests[i:] {
			if r.At.Sub(first.At) < 4*time.Second {
				count++
			}
		}
		if !first.At.Before(after) {
			most = max(most, count)
		}
	}
	return most
}

// Guards against entry instances of our own deployment that together send a target more than the limit that it names, and
// against a limit that takes requests from a target without one.
func TestInstancesKeepLimitOfPlainTarget(t *testing.T) {
	ctx := context.Background()
	b, err := startEnvironment(ctx, Experiment{Seed: 1, Instances: 3}, engine.Options{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer b.stop()
	limited, free := b.Plain[servicePlain][0], b.Plain[servicePlain][1]
	limited.Set(plain.Behavior{Limit: "1"})
	const length, grace = 9 * time.Second, 3 * time.Second
	start := time.Now()
	var callers conc.WaitGroup
	for _, instance := range b.Instances {
		callers.Go(func() {
			for time.Since(start) < length {
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, instance.URL+"/svc/"+servicePlain+"/x", nil)
				if err != nil {
					t.Error(err)
					return
				}
				request.Header.Set("Authorization", "Bearer "+b.Keys[teamSmall].Bearer)
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Error(err)
					return
				}
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					t.Errorf("status %d although a target has no limit", response.StatusCode)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if got, allowed := mostIn(limited.Observed().Requests, start.Add(grace)), 6+5; got > allowed {
		t.Errorf("the limited target got %d requests in 4 s, allowed %d", got, allowed)
	}
	if l, f := len(limited.Observed().Requests), len(free.Observed().Requests); l == 0 || f < l {
		t.Errorf("%d requests at the limited target, %d at the other", l, f)
	}
}

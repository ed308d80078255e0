package startlimit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound measures the shares of one round of placement: 8 owners, 200 job rows, 3,900 engines.
func BenchmarkRound(b *testing.B) {
	now := time.Now()
	var jobs []Job
	for i := range 200 {
		j := Job{Route: fmt.Sprint("r", i%8), Model: fmt.Sprint("m", i%3), Owner: fmt.Sprint("i", i%8), OwnedSince: now.Add(-time.Minute)}
		if i >= 8 {
			j.EndedAt = now.Add(-time.Duration(i) * 100 * time.Millisecond)
		}
		jobs = append(jobs, j)
	}
	var ids []string
	for i := range 3900 {
		ids = append(ids, fmt.Sprint("e", i))
	}
	models := []string{"m0", "m1", "m2"}
	for b.Loop() {
		places := NewPlaces("i0", jobs, 8, now, now)
		for i, id := range ids {
			places.Share(id, models[i%3], 17.15, now)
		}
	}
}

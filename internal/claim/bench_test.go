package claim

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkClaim claims and finishes requests of many concurrent callers. It measures the number of
// commits, which the table limits for all instances together.
func BenchmarkClaim(b *testing.B) {
	table := newTable()
	claims := New(table, noCounter{}, time.Now().Add(-time.Hour))
	var ids atomic.Int64
	b.SetParallelism(64)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := strconv.FormatInt(ids.Add(1), 10)
			decision, refusal := claims.Begin(context.Background(), "team", id, 0, time.Now())
			if refusal != nil {
				b.Error(refusal)
				return
			}
			decision.Claim.Finish(context.Background(), Response{Status: 200})
		}
	})
	b.ReportMetric(float64(table.commits)/float64(b.N), "commits/claim")
	b.ReportMetric(float64(table.commits)/b.Elapsed().Seconds(), "commits/s")
}

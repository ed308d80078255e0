package usage

import (
	"testing"
	"time"
)

// Guards against metering that delays requests or allocates memory.
func BenchmarkRecord(b *testing.B) {
	m := NewMeter("entry-1")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Record("team", "service", 100, 200, time.Millisecond)
		}
	})
}

package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an emulated engine that is too slow for load tests of an entry instance: one entry instance
// forwards 20,000 small requests per second to several engines.
func BenchmarkSmallCompletion(b *testing.B) {
	e := New(Options{Slots: 64, LengthMedian: 4, Version: 1})
	defer e.Close()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","max_tokens":4,"stream":true}`))
			e.ServeHTTP(httptest.NewRecorder(), r)
		}
	})
}

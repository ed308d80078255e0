package forward

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretspar/egretspar/internal/engine"
)

const benchBody = `{"id":"booking-1","state":"confirmed"}`

func benchTarget(b *testing.B) string {
	return serve(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, benchBody)
	})
}

// benchPost sends requests one after the other and reports the latency at the 50th and 99th percentile.
func benchPost(b *testing.B, url string) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(time.Second), 3)
	b.ReportAllocs()
	for b.Loop() {
		begin := time.Now()
		post(b, transport, url)
		_ = histogram.RecordValue(int64(time.Since(begin)))
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
}

func post(b *testing.B, transport *http.Transport, url string) {
	request, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(benchBody))
	response, err := transport.RoundTrip(request)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Error(response.Status)
	}
}

// benchParallel sends requests from many callers at once. The CPU time covers callers, entry instance and target;
// unlike the request rate, it does not depend on the other load of the machine.
func benchParallel(b *testing.B, url string) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256}
	defer transport.CloseIdleConnections()
	b.SetParallelism(16)
	b.ReportAllocs()
	begin := processorTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			post(b, transport, url)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64((processorTime()-begin).Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkPlain(b *testing.B) {
	direct := benchTarget(b) + "/"
	forwarded := newFakeDeps(direct).serveEntry(b, Call{}) + "/"
	b.Run("direct", func(b *testing.B) { benchPost(b, direct) })
	b.Run("forwarded", func(b *testing.B) { benchPost(b, forwarded) })
	b.Run("direct, parallel", func(b *testing.B) { benchParallel(b, direct) })
	b.Run("forwarded, parallel", func(b *testing.B) { benchParallel(b, forwarded) })
}

const benchTokens = 256

// benchStream serves a stream of 256 chunks.
func benchStream(b *testing.B) string {
	var stream strings.Builder
	for i := range benchTokens {
		stream.WriteString(chunkEvent("engine", i, 3))
	}
	stream.WriteString("data: [DONE]\n\n")
	return serve(b, respondWith(stream.String()))
}

// BenchmarkGenerate reports the cost of one token.
func BenchmarkGenerate(b *testing.B) {
	f := New(newFakeDeps(benchStream(b)).options())
	b.ReportAllocs()
	for b.Loop() {
		refusal := f.Generate(b.Context(), engine.Generation{Service: "m", MaxTokens: benchTokens}, func(engine.Chunk) error { return nil })
		if refusal != nil {
			b.Fatal(refusal)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
}

// BenchmarkCompletion reports the cost of one token that is sent to a streaming caller.
func BenchmarkCompletion(b *testing.B) {
	entry := newFakeDeps(benchStream(b)).serveEntry(b, Call{})
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.Post(entry+"/v1/completions", "", strings.NewReader(`{"model":"model","stream":true}`))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
}

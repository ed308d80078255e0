package bench

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

const (
	// The histogram covers 1 µs to 60 s with three significant digits.
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// latencies is a histogram of latencies from the intended send time to the end of the response, so that a stall
// counts for every request that it delayed (no coordinated omission).
type latencies struct {
	mu        sync.Mutex
	histogram *hdr.Histogram
	failed    int
}

func newLatencies() *latencies {
	return &latencies{histogram: hdr.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

func (l *latencies) record(d time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed++
		return
	}
	// Values outside the range of the histogram are recorded as its bounds.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// quantile returns the latency at a percentile (0 to 100), in microseconds.
func (l *latencies) quantile(percent float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(percent))
}

func (l *latencies) count() (ok, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.histogram.TotalCount()), l.failed
}

// openLoop sends requests at a fixed rate for the given duration and waits for the responses. The intended send times
// are distributed over the workers in turn and stay fixed when a worker is late.
func openLoop(ctx context.Context, rate, workers int, duration time.Duration, send func(ctx context.Context) bool) *latencies {
	l := newLatencies()
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	total := int(duration / interval)
	var wg conc.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := w; n < total && ctx.Err() == nil; n += workers {
				sendTime := waitForSendTime(start.Add(time.Duration(n) * interval))
				ok := send(ctx)
				l.record(time.Since(sendTime), ok)
			}
		})
	}
	wg.Wait()
	return l
}

// waitForSendTime waits for the intended send time and returns the time from which the latency is measured: the
// intended time if the worker is late because an earlier response was late, or the current time if the worker was
// idle, so that the delay of the timer is not measured.
func waitForSendTime(intended time.Time) time.Time {
	remaining := time.Until(intended)
	if remaining <= 0 {
		return intended
	}
	time.Sleep(remaining)
	return time.Now()
}

// get sends a GET request and reports whether it got a complete response with status 200.
func get(ctx context.Context, client *http.Client, url, bearer string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	if bearer != "" {
		request.Header.Set("Authorization", "Bearer "+bearer)
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func newHTTPClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}}
}

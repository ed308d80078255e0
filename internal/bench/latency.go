package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/standin/engine"
)

const (
	maxAddedP50Micros    = 100
	maxAddedP99Micros    = 1000
	minRequestsPerSecond = 20_000
	unitMicroseconds     = "us"
)

// runForwarding compares the latency of requests through an instance with that of direct requests to the target. It
// alternates between the two in one run, so that both see the same load on the machine.
func runForwarding(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	b, err := startEnvironment(ctx, e, engine.Options{}, log)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	bearer := b.Keys[teamSmall].Bearer
	directClient, instanceClient := newHTTPClient(e.Connections), newHTTPClient(e.Connections)
	targetURL := b.plainTargetURL()
	rounds := 4
	loopDuration := measurementDuration(e) / time.Duration(2*rounds)
	directTimes, instanceTimes := newLatencies(), newLatencies()
	for range rounds {
		merge(directTimes, openLoop(ctx, e.Rate, e.Connections, loopDuration, func(ctx context.Context) bool { return get(ctx, directClient, targetURL+"/x", "") }))
		merge(instanceTimes, openLoop(ctx, e.Rate, e.Connections, loopDuration, func(ctx context.Context) bool {
			return get(ctx, instanceClient, b.Instances[0].URL+"/svc/"+servicePlain+"/x", bearer)
		}))
	}
	r := &Result{Experiment: e}
	_, failed := instanceTimes.count()
	for _, q := range []float64{50, 99} {
		r.add(fmt.Sprintf("direct_p%g", q), unitMicroseconds, directTimes.quantile(q))
		r.add(fmt.Sprintf("through_p%g", q), unitMicroseconds, instanceTimes.quantile(q))
	}
	r.addAtMost("added_p50", unitMicroseconds, instanceTimes.quantile(50)-directTimes.quantile(50), maxAddedP50Micros)
	r.addAtMost("added_p99", unitMicroseconds, instanceTimes.quantile(99)-directTimes.quantile(99), maxAddedP99Micros)
	r.addAtMost("failed_requests", "requests", float64(failed), 0)
	return r, nil
}

func merge(into, from *latencies) {
	into.histogram.Merge(from.histogram)
	into.failed += from.failed
}

func (b *environment) plainTargetURL() string {
	for _, t := range b.Targets {
		if t.Service == servicePlain {
			return t.URL
		}
	}
	return ""
}

// runThroughput sends requests in a closed loop: each connection sends its next request as soon as the previous one
// has ended. Callers, instance and targets share the process, so the figure is a lower bound for an instance that
// doesn't share its cores.
func runThroughput(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	b, err := startEnvironment(ctx, e, engine.Options{}, log)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	client := newHTTPClient(e.Connections)
	url, bearer := b.Instances[0].URL+"/svc/"+servicePlain+"/x", b.Keys[teamSmall].Bearer
	ctx, cancel := context.WithTimeout(ctx, measurementDuration(e))
	defer cancel()
	var succeeded, failed atomic.Int64
	var wg conc.WaitGroup
	start := time.Now()
	for range e.Connections {
		wg.Go(func() {
			for ctx.Err() == nil {
				if get(ctx, client, url, bearer) {
					succeeded.Add(1)
				} else if ctx.Err() == nil {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	r := &Result{Experiment: e}
	r.add("cores", "cores", float64(runtime.GOMAXPROCS(0)))
	r.addAtLeast("requests_per_second", "1/s", float64(succeeded.Load())/time.Since(start).Seconds(), minRequestsPerSecond)
	r.addAtMost("failed_requests", "requests", float64(failed.Load()), 0)
	return r, nil
}

// runIdle measures the memory of idle keep-alive connections that have sent one request. Both ends are in this
// process; the callers' ends are plain sockets without user-space buffers.
func runIdle(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	b, err := startEnvironment(ctx, e, engine.Options{}, log)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	memoryBefore := heapAndStackInUse()
	var connections []net.Conn
	defer func() {
		for _, c := range connections {
			_ = c.Close()
		}
	}()
	for range e.Connections {
		c, err := idleConnection(ctx, b)
		if err != nil {
			return nil, err
		}
		connections = append(connections, c)
	}
	time.Sleep(time.Second)
	used := heapAndStackInUse() - memoryBefore
	r := &Result{Experiment: e}
	r.add("connections", "connections", float64(e.Connections))
	r.add("memory_per_connection", "KB", used/float64(e.Connections)/1024)
	r.add("memory_per_10000_connections", "MB", used/float64(e.Connections)*10_000/1024/1024)
	return r, nil
}

// idleConnection opens a connection, sends one request and reads the response.
func idleConnection(ctx context.Context, b *environment) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", b.Instances[0].Node.Address())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return nil, errors.WithStack(err)
	}
	response := make([]byte, 256)
	_, err = c.Read(response)
	return c, errors.WithStack(err)
}

// heapAndStackInUse returns the bytes of heap and stack in use after a garbage collection.
func heapAndStackInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

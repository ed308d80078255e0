package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/member"
)

// countingConn counts the bytes that each end of a dialled connection sends.
type countingConn struct {
	net.Conn
	localSent, remoteSent *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.localSent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.remoteSent.Add(int64(n))
	return n, err
}

const measureDuration = 10 * time.Second

// BenchmarkCluster measures bytes sent per second, CPU time and memory of each node in an idle cluster on loopback.
// Each node reports the costs of 8 teams on 2 services.
func BenchmarkCluster(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				measureCluster(b, n)
			}
		})
	}
}

func measureCluster(b *testing.B, n int) {
	before := memoryInUse()
	sent := make([]atomic.Int64, n)
	index := map[string]int{}
	var listeners []net.Listener
	var members []member.Instance
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, listener)
		address := listener.Addr().String()
		index[address] = i
		members = append(members, member.Instance{ID: fmt.Sprintf("entry-%03d", i), Address: address, Zone: "z", Region: "r", Start: time.Now().UnixNano()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	var nodes []*Links
	for i := range n {
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{Conn: conn, localSent: &sent[i], remoteSent: &sent[index[address]]}, nil
		}
		client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
		l := NewLinks(Options{Self: members[i], Secrets: []string{"s"}, Client: client, Log: zerolog.Nop()})
		server := &http.Server{Handler: l.Handler()}
		wg.Go(func() { _ = server.Serve(listeners[i]) })
		wg.Go(func() { _ = l.Run(ctx); _ = server.Close() })
		nodes = append(nodes, l)
	}
	for i, l := range nodes {
		l.SetMembers(members)
		l.Broadcast(benchState(i))
	}
	time.Sleep(6 * time.Second)
	bytesBefore := loadCounts(sent)
	cpuBefore := cpuTime()
	time.Sleep(measureDuration)
	cpuUsed := cpuTime() - cpuBefore
	sum, most := sumAndMax(sent, bytesBefore)
	memoryUsed := memoryInUse() - before
	nodesF := float64(n)
	seconds := measureDuration.Seconds()
	b.ReportMetric(float64(sum)/nodesF/seconds, "B/s/node")
	b.ReportMetric(float64(most)/seconds, "B/s/busiest")
	b.ReportMetric(cpuUsed.Seconds()/seconds/nodesF*100, "%core/node")
	b.ReportMetric(float64(memoryUsed)/nodesF/(1<<20), "MB/node")
	cancel()
	wg.Wait()
}

func benchState(i int) State {
	s := State{Revision: 12345, EvidenceAgeMs: 100}
	for team := range 8 {
		for service := range 2 {
			served := 1e9 + i*1000 + team
			waiting := 12345
			s.Costs = append(s.Costs, TeamCost{
				Team: fmt.Sprint("team-", team), Service: fmt.Sprint("service-", service),
				Served: &served, Waiting: &waiting, InFlight: &team,
			})
		}
	}
	return s
}

func loadCounts(sent []atomic.Int64) []int64 {
	list := make([]int64, len(sent))
	for i := range sent {
		list[i] = sent[i].Load()
	}
	return list
}

func sumAndMax(sent []atomic.Int64, before []int64) (sum, most int64) {
	for i := range sent {
		d := sent[i].Load() - before[i]
		sum += d
		most = max(most, d)
	}
	return sum, most
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

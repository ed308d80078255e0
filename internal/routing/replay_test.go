package routing

import (
	"cmp"
	"container/list"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	tracePath           = "testdata/requests.trace"
	traceSeed           = 7
	routerCount         = 3 // entry instances
	replayZone          = "rennes"
	engineCount         = 12
	engineSlots         = 16
	engineCacheBlocks   = 1200 // prefix cache of one engine; all prefixes of the trace need 12 times as much
	prefillTimePerBlock = 4 * time.Millisecond
	decodeTimePerToken  = 12 * time.Millisecond
	reportInterval      = time.Second
	reportLag           = 500 * time.Millisecond
	eventLag            = 700 * time.Millisecond
	eventLossRate       = 0.1

	// minHitRate is 85% of 0.824, the fraction of blocks that an earlier request of the trace also contained.
	minHitRate = 0.7
	// maxHotSpotRatio limits the requests on the busiest engine relative to the mean.
	maxHotSpotRatio = 1.25
	// maxTailRatio limits the p99 latency under load relative to that of idle engines.
	maxTailRatio = 1.3
)

var recordTrace = flag.Bool("record", false, "generate the trace file again")

// traceRequest is one line of the trace: a request of a session. Its prompt begins with the blocks of a system
// prompt that many sessions share; tokens is the number of generated tokens.
type traceRequest struct {
	atMs, system, sharedBlocks, session, blocks, tokens int
}

// generateTrace returns the requests of sessions with several turns each. A few of the system prompts are much
// more frequent than the others.
func generateTrace() []traceRequest {
	random := rand.New(rand.NewPCG(traceSeed, 1))
	zipf := rand.NewZipf(random, 1.3, 1, 39)
	var all []traceRequest
	for session := range 900 {
		atMs := random.IntN(60000)
		system := int(zipf.Uint64())
		sharedBlocks := 8 + system%5*8
		blocks := sharedBlocks
		for range 1 + random.IntN(8) {
			blocks += 2 + random.IntN(12)
			all = append(all, traceRequest{atMs, system, sharedBlocks, session, blocks, 20 + int(random.ExpFloat64()*120)})
			atMs += 1500 + random.IntN(5000)
		}
	}
	slices.SortFunc(all, func(a, b traceRequest) int {
		return cmp.Or(cmp.Compare(a.atMs, b.atMs), cmp.Compare(a.session, b.session))
	})
	return all
}

func (r traceRequest) prefix() []uint64 {
	prefix := make([]uint64, r.blocks)
	for i := range prefix {
		if i < r.sharedBlocks {
			prefix[i] = uint64(r.system+1)<<32 | uint64(i)
		} else {
			prefix[i] = uint64(r.session+1000)<<32 | uint64(i)
		}
	}
	return prefix
}

const traceFormat = "%d %d %d %d %d %d\n"

func readTrace(t *testing.T) (all []traceRequest) {
	if *recordTrace {
		var out strings.Builder
		for _, r := range generateTrace() {
			fmt.Fprintf(&out, traceFormat, r.atMs, r.system, r.sharedBlocks, r.session, r.blocks, r.tokens)
		}
		if err := os.WriteFile(tracePath, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(tracePath)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		var r traceRequest
		if _, err := fmt.Sscanf(line, traceFormat, &r.atMs, &r.system, &r.sharedBlocks, &r.session, &r.blocks, &r.tokens); err != nil {
			t.Fatal(err)
		}
		all = append(all, r)
	}
	return all
}

// simulatedEngine simulates an engine with an LRU prefix cache, slots and a queue.
type simulatedEngine struct {
	id       string
	blocks   map[uint64]*list.Element
	lru      *list.List
	running  int
	waiting  []func()
	sequence int
	requests int
}

// cachePrefix caches all blocks of the prefix and returns how many leading blocks were cached already.
func (e *simulatedEngine) cachePrefix(prefix []uint64, emit func(engine.CacheEvent)) (cached int) {
	for cached < len(prefix) && e.blocks[prefix[cached]] != nil {
		cached++
	}
	for _, block := range slices.Backward(prefix) {
		if element := e.blocks[block]; element != nil {
			e.lru.MoveToFront(element)
			continue
		}
		e.blocks[block] = e.lru.PushFront(block)
		e.emitEvent(engine.EventStored, block, emit)
	}
	for e.lru.Len() > engineCacheBlocks {
		block := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.blocks, block)
		e.emitEvent(engine.EventEvicted, block, emit)
	}
	return cached
}

func (e *simulatedEngine) emitEvent(kind engine.Event, block uint64, emit func(engine.CacheEvent)) {
	e.sequence++
	emit(engine.CacheEvent{Event: kind, Block: int(block), Sequence: e.sequence})
}

// replay simulates engines and the routers of several instances on a virtual clock.
type replay struct {
	now time.Time
	// scheduled holds functions to run by the virtual time in ms.
	scheduled       map[int64][]func()
	engines         []*simulatedEngine
	routers         []*Router
	random          *rand.Rand
	roundRobinTurns int
}

type replayResult struct {
	// hitRate is the fraction of prompt blocks that were cached; hotSpot is the number of requests on the
	// busiest engine relative to the mean of all engines.
	hitRate, hotSpot float64
	p50, p99         time.Duration
}

func (p *replay) schedule(d time.Duration, run func()) {
	at := p.now.Add(d).Sub(epoch).Milliseconds()
	p.scheduled[at] = append(p.scheduled[at], run)
}

// policy selects a target and reserves a slot on it.
type policy func(p *replay, r *Router, req target.Request) target.Reservation

// replayTrace replays the trace at the given speed. Load reports and cache events reach every router with a
// delay, and some cache events are lost.
func replayTrace(trace []traceRequest, speed float64, pick policy) replayResult {
	p := &replay{now: epoch, scheduled: map[int64][]func(){}, random: rand.New(rand.NewPCG(traceSeed, 2))}
	targets := engineTargets(engineCount)
	for i := range targets {
		targets[i].Slots = engineSlots
		p.engines = append(p.engines, &simulatedEngine{id: targets[i].ID, blocks: map[uint64]*list.Element{}, lru: list.New()})
	}
	for i := range routerCount {
		r := NewRouter(replayZone, uint64(i+1)*99, epoch)
		r.SetTargets(targets)
		p.routers = append(p.routers, r)
	}
	var cached, blocks int
	var latencies []time.Duration
	for i, traced := range trace {
		p.schedule(time.Duration(float64(traced.atMs)/speed)*time.Millisecond, func() {
			arrivedAt := p.now
			req := target.Request{Service: "chat", Prefix: traced.prefix()}
			res := pick(p, p.routers[i%routerCount], req)
			e := p.engines[slices.IndexFunc(p.engines, func(e *simulatedEngine) bool { return e.id == res.Target().ID })]
			e.requests++
			e.waiting = append(e.waiting, func() {
				hits := e.cachePrefix(req.Prefix, func(event engine.CacheEvent) { p.deliverEvent(e, event) })
				cached += hits
				blocks += traced.blocks
				serviceTime := time.Duration(traced.blocks-hits)*prefillTimePerBlock + time.Duration(traced.tokens)*decodeTimePerToken
				p.schedule(serviceTime, func() {
					latencies = append(latencies, p.now.Sub(arrivedAt))
					e.running--
					res.Done(target.OK, p.now.Sub(arrivedAt))
					e.startWaiting()
				})
			})
			e.startWaiting()
		})
	}
	end := int64(float64(trace[len(trace)-1].atMs)/speed) + 60000
	for ms := int64(0); ms < end; ms++ {
		p.now = epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms%reportInterval.Milliseconds() == 0 {
			p.reportLoads()
		}
		for len(p.scheduled[ms]) > 0 {
			due := p.scheduled[ms]
			delete(p.scheduled, ms)
			for _, run := range due {
				run()
			}
		}
	}
	slices.Sort(latencies)
	busiest := slices.MaxFunc(p.engines, func(a, b *simulatedEngine) int { return cmp.Compare(a.requests, b.requests) })
	return replayResult{
		hitRate: float64(cached) / float64(blocks),
		hotSpot: float64(busiest.requests*engineCount) / float64(len(trace)),
		p50:     latencies[len(latencies)/2],
		p99:     latencies[len(latencies)*99/100],
	}
}

func (e *simulatedEngine) startWaiting() {
	for e.running < engineSlots && len(e.waiting) > 0 {
		e.running++
		start := e.waiting[0]
		e.waiting = e.waiting[1:]
		start()
	}
}

func (p *replay) reportLoads() {
	for _, e := range p.engines {
		load := engine.Load{Running: e.running, Waiting: len(e.waiting)}
		p.schedule(reportLag, func() {
			for _, r := range p.routers {
				r.ApplyLoadReport(e.id, load, p.now)
			}
		})
	}
}

func (p *replay) deliverEvent(e *simulatedEngine, event engine.CacheEvent) {
	for _, r := range p.routers {
		if p.random.Float64() >= eventLossRate {
			p.schedule(eventLag, func() { r.ApplyCacheEvent(e.id, event) })
		}
	}
}

func (p *replay) pickLeastLoaded(r *Router, req target.Request, candidates []*simulatedEngine) target.Reservation {
	best := slices.MinFunc(candidates, func(a, b *simulatedEngine) int {
		return cmp.Compare(r.byID[a.id].load(p.now), r.byID[b.id].load(p.now))
	})
	res, _ := r.PickTarget(best.id, req, p.now)
	return res
}

var policies = map[string]policy{
	"round robin": func(p *replay, r *Router, req target.Request) target.Reservation {
		p.roundRobinTurns++
		return p.pickLeastLoaded(r, req, p.engines[p.roundRobinTurns%engineCount:][:1])
	},
	"least loaded": func(p *replay, r *Router, req target.Request) target.Reservation {
		return p.pickLeastLoaded(r, req, p.engines)
	},
	"power of two": func(p *replay, r *Router, req target.Request) target.Reservation {
		return p.pickLeastLoaded(r, req, []*simulatedEngine{p.engines[p.random.IntN(engineCount)], p.engines[p.random.IntN(engineCount)]})
	},
	"router": func(p *replay, r *Router, req target.Request) target.Reservation {
		res, _ := r.pick(&req, req.Prefix[len(req.Prefix)-1], p.now)
		return res
	},
}

// Guards against a change that makes the router worse than simple policies in cache hits or latency, or that
// overloads single engines, at half of the engines' capacity, at three quarters and at saturation.
func TestReplay(t *testing.T) {
	trace := readTrace(t)
	idle := replayTrace(trace, 0.2, policies["router"])
	for _, speed := range []float64{1, 1.5, 2} {
		t.Run(fmt.Sprint("speed ", speed), func(t *testing.T) {
			t.Parallel()
			comparePolicies(t, trace, speed, idle)
		})
	}
}

func comparePolicies(t *testing.T, trace []traceRequest, speed float64, idle replayResult) {
	got := map[string]replayResult{}
	for name, pick := range policies {
		got[name] = replayTrace(trace, speed, pick)
		t.Logf("%-12s hit rate %.3f, p50 %v, p99 %v, hot spot %.2f", name, got[name].hitRate, got[name].p50, got[name].p99, got[name].hotSpot)
	}
	routed := got["router"]
	if routed.hitRate < minHitRate || routed.hotSpot > maxHotSpotRatio {
		t.Errorf("hit rate %.3f, hot spot %.2f, want >= %v and <= %v", routed.hitRate, routed.hotSpot, minHitRate, maxHotSpotRatio)
	}
	if speed < 2 && routed.p99.Seconds() > maxTailRatio*idle.p99.Seconds() {
		t.Errorf("p99 %v is above %v times %v on idle engines", routed.p99, maxTailRatio, idle.p99)
	}
	for name, other := range got {
		if routed.p50 > other.p50 || routed.p99 > other.p99 || name != "router" && routed.hitRate < 2*other.hitRate {
			t.Errorf("policy %s is better than the router: %+v, router %+v", name, other, routed)
		}
	}
}

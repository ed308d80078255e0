package weights

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	fetchTime = time.Second
	swapTime  = 400 * time.Millisecond
	// maxFetchesPerSecond is the rate limit of the fake weight store.
	maxFetchesPerSecond = 900
)

type fakeEngine struct {
	activeVersion, loadedVersion, startNumber, highestTerm int
	isBroken                                               bool
	// rng decides which orders fail. Each engine has its own, and an order that the rate limit refuses draws no number,
	// so that the same orders fail however the goroutines are scheduled.
	rng *rand.Rand
}

// fakeFleet is a fake of the engines of one service and of their weight store.
type fakeFleet struct {
	mu                sync.Mutex
	engines           map[string]*fakeEngine
	targets           []target.Target
	latest            int
	failureRate       float64
	swapping          int
	maxSwapping       int
	totalSwapTime     time.Duration
	fetchesThisSecond int
	currentSecond     int64
	refusedFetches    int
}

func newFakeFleet(engines int, failureRate float64) *fakeFleet {
	f := &fakeFleet{engines: map[string]*fakeEngine{}, latest: 1, failureRate: failureRate}
	for i := range engines {
		id := fmt.Sprintf("e%04d", i)
		f.engines[id] = &fakeEngine{activeVersion: 1, startNumber: 1, rng: rand.New(rand.NewPCG(5, uint64(i)))}
		f.targets = append(f.targets, target.Target{ID: id, Service: "m"})
	}
	return f
}

func (f *fakeFleet) Latest(context.Context, string) (api.Release, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return api.Release{Service: "m", Version: f.latest, Object: "weights"}, nil
}

func (f *fakeFleet) Load(_ context.Context, t target.Target) (engine.Load, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[t.ID]
	loadedVersion, startNumber := e.loadedVersion, e.startNumber
	return engine.Load{WeightVersion: e.activeVersion, LoadedVersion: &loadedVersion, StartNumber: &startNumber}, nil
}

// admitFetch counts a fetch and returns false if it exceeds the store's rate limit.
func (f *fakeFleet) admitFetch() bool {
	if now := time.Now().Unix(); now != f.currentSecond {
		f.currentSecond, f.fetchesThisSecond = now, 0
	}
	f.fetchesThisSecond++
	return f.fetchesThisSecond <= maxFetchesPerSecond
}

func (f *fakeFleet) Order(_ context.Context, t target.Target, o engine.WeightOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[t.ID]
	if o.Term < e.highestTerm {
		return api.ErrFenced
	}
	e.highestTerm = o.Term
	if o.Phase == engine.PhaseLoad && !e.isBroken && !f.admitFetch() {
		f.refusedFetches++
		return ErrRateLimited
	}
	if e.isBroken || e.rng.Float64() < f.failureRate {
		return errors.New("order failed")
	}
	if o.Phase == engine.PhaseLoad {
		time.AfterFunc(time.Duration(float64(fetchTime)*(0.8+0.4*e.rng.Float64())), func() { f.change(func() { e.loadedVersion = o.Version }) })
		return nil
	}
	f.swapping++
	f.maxSwapping = max(f.maxSwapping, f.swapping)
	f.totalSwapTime += swapTime
	time.AfterFunc(swapTime, func() { f.change(func() { e.activeVersion = o.Version; f.swapping-- }) })
	return nil
}

func (f *fakeFleet) change(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
}

// outdatedEngines counts the engines that are not broken and have not reached the latest version.
func (f *fakeFleet) outdatedEngines() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.activeVersion < f.latest && !e.isBroken {
			n++
		}
	}
	return n
}

func (f *fakeFleet) startWorker(ctx context.Context, term int) *Worker {
	w := NewWorker(Options{Store: f, Engines: f, Log: zerolog.Nop(), Term: func() (int, bool) { return term, true }})
	w.SetTargets(f.targets)
	go func() { _ = w.Run(ctx) }()
	return w
}

// publishRelease publishes the next version and returns the time until every engine that is not broken uses it.
func (f *fakeFleet) publishRelease() time.Duration {
	f.change(func() { f.latest++ })
	start := time.Now()
	for f.outdatedEngines() > 0 && time.Since(start) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against a release that takes longer than 9 s, whose swaps cost more than 2% of the time between releases, or
// that swaps more than a quarter of a service's engines at once. -v prints the measured values.
func TestReleaseTime(t *testing.T) {
	const interval = 33 * time.Minute
	const releases = 2
	for _, c := range []struct {
		engines     int
		failureRate float64
	}{{12, 0}, {12, 0.05}, {3900, 0}, {3900, 0.05}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(c.engines, c.failureRate)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f.startWorker(ctx, 1)
			time.Sleep(5 * time.Second)
			longestRelease := time.Duration(0)
			for range releases {
				longestRelease = max(longestRelease, f.publishRelease())
				time.Sleep(10 * time.Second)
			}
			lostCapacity := float64(f.totalSwapTime) / float64(releases*interval) / float64(c.engines)
			t.Logf("%d engines, %.0f%% failed orders: longest release %v, %.3f%% of the capacity lost, at most %d swaps at once, %d fetches refused",
				c.engines, 100*c.failureRate, longestRelease, 100*lostCapacity, f.maxSwapping, f.refusedFetches)
			if longestRelease > 9*time.Second || lostCapacity > 0.02 || f.maxSwapping > c.engines/4 {
				t.Errorf("want at most 9 s, 2%% and a quarter of the engines")
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

type statusTransport int

func (s statusTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Body: http.NoBody}, nil
}

// Guards against an engine's conflict (409) being taken for the refusal of a stale fencing token (412), which would end
// all orders of the term, and against an order that counts as accepted after a status that is none, such as 000.
func TestOrderStatus(t *testing.T) {
	for _, code := range []int{0, 99, 200, 409, 412, 429, 500} {
		h := HTTPEngines{Client: &http.Client{Transport: statusTransport(code)}}
		err := h.Order(context.Background(), target.Target{URL: "http://e"}, engine.WeightOrder{})
		if (err == nil) != (code == 200) || errors.Is(err, api.ErrFenced) != (code == 412) || errors.Is(err, ErrRateLimited) != (code == 429) {
			t.Errorf("status %d: %v", code, err)
		}
	}
}

// Guards against an engine that keeps old weights after a restart, against endless orders to an engine that fails all
// of them, and against two instances that both send orders.
func TestRestartQuarantineAndFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(4, 0)
		ctx, cancel := context.WithCancel(context.Background())
		oldWorker := f.startWorker(ctx, 1)
		f.change(func() { f.engines["e0000"].isBroken = true })
		time.Sleep(5 * time.Second)
		if took := f.publishRelease(); took > 9*time.Second {
			t.Errorf("release with one broken engine took %v", took)
		}
		time.Sleep(5 * time.Second)
		if g := oldWorker.Progress("m", 0); g != (Progress{Engines: 4, UpToDate: 3, Quarantined: 1, Outdated: 1}) {
			t.Errorf("progress %+v, want 3 of 4 engines up to date and the broken one quarantined and outdated", g)
		}
		if g := oldWorker.Progress("m", 1); g.Outdated != 0 {
			t.Errorf("progress %+v, want no outdated engine with a staleness bound of 1", g)
		}
		f.change(func() { e := f.engines["e0000"]; e.isBroken, e.startNumber = false, 2 })
		f.change(func() { e := f.engines["e0001"]; e.activeVersion, e.loadedVersion, e.startNumber = 1, 0, 2 })
		time.Sleep(8 * time.Second)
		if f.outdatedEngines() != 0 {
			t.Errorf("%d engines have an outdated version after a restart", f.outdatedEngines())
		}
		newWorker := f.startWorker(ctx, 2)
		time.Sleep(5 * time.Second)
		f.publishRelease()
		f.publishRelease()
		if _, ok := oldWorker.heldTerm(); ok {
			t.Error("the instance with the old term still sends orders")
		}
		if _, ok := newWorker.heldTerm(); !ok {
			t.Error("the instance with the new term has stopped sending orders")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

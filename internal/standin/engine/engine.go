package engine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	messages "github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/standin"
)

// maxBodyBytes limits the body of one request.
const maxBodyBytes = 16 << 20

// Engine is one emulated model engine.
type Engine struct {
	options  Options
	router   *httprouter.Router
	recorder *standin.Recorder
	done     context.Context
	stop     context.CancelFunc
	tasks    conc.WaitGroup
	wake     chan struct{}

	mu               sync.Mutex
	server           *standin.Server
	random           *rand.Rand
	closed           bool
	crashSignal      chan struct{}
	crashed          bool
	startNumber      int
	arrivalCount     int
	waiting          []*sequence
	running          []*sequence
	stepDue          time.Time
	pendingSwapPause time.Duration
	cache            *cache
	weights          weightState
	lastLoad         messages.Load
	lastLoadAt       time.Time
	stats            Stats
}

// New returns a running engine that does not listen on an address.
func New(o Options) *Engine {
	o = o.withDefaults()
	done, stop := context.WithCancel(context.Background())
	e := &Engine{
		options: o, recorder: standin.NewRecorder(o.Secrets), done: done, stop: stop,
		wake: make(chan struct{}, 1), crashSignal: make(chan struct{}),
		random: rand.New(rand.NewPCG(o.Seed, 4)), startNumber: 1,
		weights: weightState{version: o.Version},
	}
	e.cache = newCache(o.CacheBlocks, e.dropsCacheEvent)
	e.router = e.routes()
	e.tasks.Go(e.runDecodeLoop)
	return e
}

func (e *Engine) routes() *httprouter.Router {
	r := httprouter.New()
	// A crashed engine sends no response: its handlers panic, and the server closes the connection.
	r.PanicHandler = nil
	r.POST("/v1/completions", e.abortIfCrashed(e.complete))
	r.POST("/weights", e.abortIfCrashed(e.changeWeights))
	r.GET("/load", e.abortIfCrashed(e.reportLoad))
	r.GET("/cache_events", e.abortIfCrashed(e.reportCacheEvents))
	r.GET("/observed", e.abortIfCrashed(e.reportObserved))
	r.POST("/crash", e.handleCrash)
	return r
}

// Listen serves the engine on an IP address and port. Port 0 selects a free port. A crash closes the listener
// and all connections; a restart listens on the same address again.
func (e *Engine) Listen(address string) (string, error) {
	server, err := standin.Listen(address, e)
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
	return server.URL(), nil
}

// ServeHTTP makes the engine an http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close cancels all requests and closes the listener.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	server := e.server
	e.mu.Unlock()
	e.stop()
	if server != nil {
		server.Crash()
	}
	e.tasks.Wait()
	return nil
}

// abortIfCrashed wraps a handler so that a crashed engine closes the connection without a response.
func (e *Engine) abortIfCrashed(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		e.mu.Lock()
		crashed := e.crashed
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		h(w, r, params)
	}
}

// Crash closes all connections and rejects new ones until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.crashed || e.closed {
		return
	}
	e.crashed = true
	e.stats.Crashes++
	close(e.crashSignal)
	e.waiting = nil
	e.running = nil
	if e.server != nil {
		e.server.Crash()
	}
	if e.options.RestartAfter > 0 {
		e.tasks.Go(e.restartLater)
	}
}

func (e *Engine) restartLater() {
	timer := time.NewTimer(e.options.RestartAfter)
	defer timer.Stop()
	select {
	case <-e.done.Done():
	case <-timer.C:
		// The address should be free again by now. If the restart fails, the engine stays down, as a real
		// engine would.
		_ = e.Restart(e.options.RestartVersion)
	}
}

// Restart restarts a crashed engine with an empty cache and the weights of the given version.
func (e *Engine) Restart(version int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.crashed || e.closed {
		return nil
	}
	if e.server != nil {
		if err := e.server.Start(); err != nil {
			return errors.WithMessage(err, "restart engine")
		}
	}
	e.crashed = false
	e.crashSignal = make(chan struct{})
	e.startNumber++
	e.cache = newCache(e.options.CacheBlocks, e.dropsCacheEvent)
	e.weights = weightState{version: version, newestTerm: e.weights.newestTerm}
	e.pendingSwapPause = 0
	e.lastLoadAt = time.Time{}
	return nil
}

func (e *Engine) dropsCacheEvent() bool { return e.random.Float64() < e.options.CacheEventLoss }

func (e *Engine) handleCrash(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusNoContent)
	e.Crash()
}

// reportLoad returns a load report that is up to LoadLag old.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	now := time.Now()
	if now.Sub(e.lastLoadAt) >= e.options.LoadLag {
		e.lastLoad = e.currentLoad()
		e.lastLoadAt = now
	}
	load := e.lastLoad
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) currentLoad() messages.Load {
	cached := len(e.cache.blocks)
	free := e.options.CacheBlocks - cached
	loaded := e.weights.loadedVersion
	startNumber := e.startNumber
	load := messages.Load{
		Running: len(e.running), Waiting: len(e.waiting), CachedBlocks: &cached, FreeBlocks: &free,
		StartNumber: &startNumber, LoadedVersion: &loaded,
	}
	if !e.options.HideVersion {
		load.WeightVersion = e.weights.version
	}
	return load
}

// reportCacheEvents returns the cache events after the sequence number in the query.
func (e *Engine) reportCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, time.Now().Add(-e.options.CacheEventDelay))
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) reportObserved(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, e.Observed())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Stats holds the engine's counters.
type Stats struct {
	// Started, Finished and Cancelled count sequences. Refused counts the requests that were refused because
	// the queue was full.
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	Resumed   int `json:"resumed"`
	// ResumeMismatches counts resumed sequences whose text or token count differs from what engines generate.
	ResumeMismatches int `json:"resume_mismatches"`
	Tokens           int `json:"tokens"`
	PromptTokens     int `json:"prompt_tokens"`
	// CachedTokens counts the prompt tokens that were found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// LongestCancel is the longest time from a client's disconnect to the removal of its sequence.
	LongestCancel time.Duration `json:"longest_cancel"`
	PeakRunning   int           `json:"peak_running"`
	Crashes       int           `json:"crashes"`
	Loads         int           `json:"loads"`
	Swaps         int           `json:"swaps"`
	FailedChanges int           `json:"failed_changes"`
	// SwapPause is the total time for which swaps paused generation.
	SwapPause time.Duration `json:"swap_pause"`
	// StaleOrders counts weight orders with a stale term, whether or not they were refused.
	StaleOrders int `json:"stale_orders"`
}

// Observed holds the recorded requests and the counters, for the checks of tests and experiments.
type Observed struct {
	standin.RequestLog
	Stats
	Version     int `json:"version"`
	StartNumber int `json:"start_number"`
}

// Observed returns the recorded requests and the counters.
func (e *Engine) Observed() Observed {
	seen := e.recorder.Snapshot()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Observed{RequestLog: seen, Stats: e.stats, Version: e.weights.version, StartNumber: e.startNumber}
}

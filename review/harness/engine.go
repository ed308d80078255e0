package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	silenceLimit  = 3 * heartbeat
	engineQueue   = 36
	eventInterval = 100 * time.Millisecond
	engineAddress = 8080
)

// engineSpec describes an engine. handle answers a request that is meant for the engine.
type engineSpec struct {
	service, software string
	// models are those that the engine runs; there are none at a plain service.
	models []string
	slots  int
	handle func(e *engine, w http.ResponseWriter, r *http.Request)
	// began is called when the engine begins to run a request for tokens, if set.
	began func()
}

// engine plays one engine, from its start to its end.
type engine struct {
	engineSpec
	world *world
	id    string
	host  int
	born  int64
	// places holds a token for each request that runs, queued one for each that runs or waits.
	places, queued chan struct{}
	server         *http.Server
	stopped        context.Context
	stop           context.CancelFunc

	draining atomic.Bool

	mu       sync.Mutex
	version  int
	accepted int
}

// startEngine starts an engine at a host number; it registers itself in the store.
func (w *world) startEngine(host int, spec engineSpec) (*engine, error) {
	e := &engine{
		engineSpec: spec, world: w, id: "i-" + w.newID(), host: host, born: time.Now().UnixMilli(), version: 1,
		places: make(chan struct{}, spec.slots), queued: make(chan struct{}, spec.slots+engineQueue),
	}
	e.stopped, e.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	l, err := (&net.ListenConfig{}).Listen(e.stopped, "tcp", e.address())
	if err != nil {
		return nil, err
	}
	go func() { _ = e.server.Serve(l) }()
	w.atEnd(func() { e.stop(); _ = e.server.Close() })
	w.note("engine %s (%s, software %s) starts at %s", e.id, e.service, e.software, e.address())
	go e.register()
	return e, nil
}

func (e *engine) address() string { return e.world.address(e.host, engineAddress) }

// register writes the engine's entry at each heartbeat until the engine ends. The store drops it after three of them.
func (e *engine) register() {
	for seq := 1; ; seq++ {
		e.writeEntry(seq)
		select {
		case <-e.stopped.Done():
			time.AfterFunc(silenceLimit, func() { e.world.store.remove("servers", e.id) })
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) writeEntry(seq int) {
	state := "ready"
	if e.draining.Load() {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.service, "addr": e.address(), "zone": "z", "version": e.software, "slots": e.slots, "state": state, "cold_left_ms": 0,
		"seq": seq, "born": e.born,
	}
	if len(e.models) > 0 {
		entry["stage"], entry["models"] = "both", e.modelEntries()
	}
	e.world.store.put("servers", e.id, entry)
}

// modelEntries returns what the engine says of its models.
func (e *engine) modelEntries() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	var entries []map[string]any
	for _, model := range e.models {
		entries = append(entries, map[string]any{"name": model, "version": e.version, "adapters": []string{}})
	}
	return entries
}

// drain makes the engine report that it drains. It goes on serving.
func (e *engine) drain() {
	e.world.note("engine %s drains", e.id)
	e.draining.Store(true)
	e.writeEntry(0)
}

// crash ends the engine at once: its connections break.
func (e *engine) crash(reason string) {
	if e.stopped.Err() != nil {
		return
	}
	e.world.note("engine %s crashes: %s", e.id, reason)
	e.stop()
	_ = e.server.Close()
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": e.modelEntries(), "busy": false, "seq": e.accepted, "waiting": max(0, len(e.queued)-e.slots), "running": len(e.places),
		"kv_used": 0, "kv_total": 80000, "handles": 0,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version  int  `json:"version"`
		Expected *int `json:"expected_rev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Expected != nil && *order.Expected != e.accepted:
		w.WriteHeader(http.StatusConflict)
	case order.Version == e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.accepted++
		e.version = order.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// serveRequest answers a request: 421 if it is meant for another engine.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp."+e.id)
	e.handle(e, w, r)
}

// takePlace waits in the queue until the request may run. It returns false if the engine is full, in which case it has answered, or
// if the connection was closed.
func (e *engine) takePlace(w http.ResponseWriter, r *http.Request) bool {
	select {
	case e.queued <- struct{}{}:
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	select {
	case e.places <- struct{}{}:
		return true
	case <-r.Context().Done():
	case <-e.stopped.Done():
	}
	<-e.queued
	return false
}

func (e *engine) freePlace() {
	<-e.places
	<-e.queued
}

// streamEvents returns a handler that streams events, one each eventInterval. The events of a request begin after its Last-Event-Id.
func streamEvents(events int) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !e.takePlace(w, r) {
			return
		}
		defer e.freePlace()
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		id := r.Header.Get("X-Request-Id")
		e.world.note("engine %s (%s, software %s) begins to run %s after event %d", e.id, e.service, e.software, id, last)
		finished := false
		e.world.runs.begin(id)
		if e.began != nil {
			e.began()
		}
		defer func() { e.world.runs.end(id, finished) }()
		w.Header().Set("Content-Type", "text/event-stream")
		e.mu.Lock()
		w.Header().Set("X-Weight-Versions", strconv.Itoa(e.version))
		e.mu.Unlock()
		for n := last + 1; n <= events; n++ {
			select {
			case <-time.After(eventInterval):
			case <-r.Context().Done():
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s/%s/%d\n\n", n, e.service, e.software, n)
			_ = http.NewResponseController(w).Flush()
		}
		finished = true
	}
}

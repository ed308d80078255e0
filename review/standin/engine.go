package main

import (
	"bytes"
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

// engine is a stand-in for a model engine or for an instance of a plain service.
type engine struct {
	bench   *bench
	service string
	address string
	slots   int
	// events and interval shape the streams: their number of events and the time between two of them.
	events   int
	interval time.Duration
	// crashesOn tells which request crashes the engine that begins to run it.
	crashesOn func(body []byte) bool
	// restartAfter is the time after a crash until the engine is back with a new id.
	restartAfter time.Duration

	mu         sync.Mutex
	id         string
	software   string
	born       int64
	starts     int
	listener   net.Listener
	conns      map[net.Conn]bool
	versions   map[string]int
	orders     int
	running    int
	waiting    int
	slotFreed  chan struct{}
	generation atomic.Int64
}

// start starts the engine, under a new id, and registers it.
func (e *engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	_, port, err := net.SplitHostPort(e.address)
	check(err)
	e.id = fmt.Sprintf("i-%s-%s-%d", e.service, port, e.starts)
	e.born = time.Now().UnixMilli()
	e.orders, e.running, e.waiting = 0, 0, 0
	e.conns = map[net.Conn]bool{}
	e.slotFreed = make(chan struct{}, 1024)
	for range 50 {
		if e.listener, err = listen(e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("POST /v1/order", e.order)
	mux.HandleFunc("/", e.run)
	server := &http.Server{Handler: mux, ConnState: e.track}
	go func(l net.Listener) { _ = server.Serve(l) }(e.listener)
	e.bench.store.put("servers", e.id, e.entryLocked("ready"))
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	default:
	}
}

// entryLocked returns the engine's entry in the store. The caller holds the lock.
func (e *engine) entryLocked(state string) string {
	entry := map[string]any{
		"service": e.service, "addr": e.address, "zone": "z1", "version": e.software, "slots": e.slots, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": e.born,
	}
	if len(e.versions) > 0 {
		entry["stage"], entry["models"] = "both", e.modelsLocked()
	}
	data, err := json.Marshal(entry)
	check(err)
	return string(data)
}

func (e *engine) modelsLocked() []map[string]any {
	var models []map[string]any
	for name, version := range e.versions {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return models
}

// crash resets all connections, forgets all runs and takes the engine down. Its entry expires after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.generation.Add(1)
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	id := e.id
	e.mu.Unlock()
	e.bench.record("engine %s crashes", id)
	time.AfterFunc(3*heartbeat, func() { e.bench.store.put("servers", id, "") })
	if e.restartAfter > 0 {
		time.AfterFunc(e.restartAfter, func() {
			e.start()
			e.bench.record("engine at %s is back as %s", e.address, e.id)
		})
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": e.modelsLocked(), "busy": false, "seq": e.orders, "waiting": e.waiting, "running": e.running,
		"kv_used": 0, "kv_total": 90_000, "handles": 0, "born": e.born,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model    string `json:"model"`
		Version  int    `json:"version"`
		Expected *int   `json:"expected_rev"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
	case e.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	default:
		e.orders++
		e.versions[o.Model] = o.Version
		e.bench.store.put("servers", e.id, e.entryLocked("ready"))
		w.WriteHeader(http.StatusAccepted)
	}
}

// takeSlot waits for a slot; it returns false if the queue is full or the caller has left.
func (e *engine) takeSlot(r *http.Request, generation int64) bool {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	if e.waiting >= 3*e.slots {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	freed := e.slotFreed
	e.mu.Unlock()
	ok := false
	select {
	case <-freed:
		ok = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation == e.generation.Load() {
		e.waiting--
	}
	return ok
}

// freeSlot passes the slot on to a waiting request, or frees it.
func (e *engine) freeSlot(generation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.generation.Load() {
		return
	}
	if e.waiting > 0 && len(e.slotFreed) < e.waiting {
		e.slotFreed <- struct{}{}
		return
	}
	e.running--
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	id, software, version, generation := e.id, e.software, e.versions[r.Header.Get("X-Model")], e.generation.Load()
	e.mu.Unlock()
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	w.Header().Set("X-Instance-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.takeSlot(r, generation) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.freeSlot(generation)
	e.bench.engineRan(run{
		request: request, engine: id, software: software, arrived: arrived, lastEvent: r.Header.Get("Last-Event-Id"), from: r.RemoteAddr, path: r.URL.Path,
		tenant: r.Header.Get("X-Tenant"),
	})
	if e.crashesOn != nil && e.crashesOn(body) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s.%s", id, software, request))
	if e.events == 0 {
		time.Sleep(e.interval)
		answer := bytes.Repeat([]byte("x"), 800)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.Itoa(max(1, version)))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.interval):
		}
		if generation != e.generation.Load() {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%s/%d\n\n", n, software, request, n)
		_ = controller.Flush()
	}
}

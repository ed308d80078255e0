package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	// modelName is the one model of the model engines.
	modelName = "model-1"
)

// server is a stand-in for an engine: a plain service or a model engine. handle runs a request once the server has read it whole.
type server struct {
	id, service string
	isModel     bool
	slots       int
	store       *store
	record      *record
	handle      func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	address  string
	listener net.Listener
	http     *http.Server
	started  time.Time
	version  atomic.Int64
	orders   atomic.Int64
	beats    atomic.Int64
	ended    atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// start listens on a free port and registers the server.
func (s *server) start() {
	l := listen("127.0.0.1")
	s.listener, s.address, s.started, s.conns = l, l.Addr().String(), time.Now(), map[net.Conn]bool{}
	if s.version.Load() == 0 {
		s.version.Store(1)
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: s.track}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = true
}

// beat writes the server's entry until the server has ended.
func (s *server) beat() {
	for !s.ended.Load() {
		entry := map[string]any{
			"service": s.service, "addr": s.address, "zone": "zone-a", "version": "v1", "slots": s.slots, "state": "ready", "cold_left_ms": 0,
			"seq": s.beats.Add(1), "born": s.started.UnixMilli(),
		}
		if s.isModel {
			entry["stage"] = "both"
			entry["models"] = []map[string]any{{"name": modelName, "version": s.version.Load(), "adapters": []string{}}}
		}
		s.store.put("servers", s.id, entry)
		time.Sleep(beatInterval)
	}
}

// crash ends the server at once: its connections are reset. Its entry expires after three intervals.
func (s *server) crash() {
	if s.ended.Swap(true) {
		return
	}
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	time.AfterFunc(3*beatInterval, func() { s.store.remove("servers", s.id) })
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []map[string]any{{"name": modelName, "version": s.version.Load(), "adapters": []string{}}},
			"busy": false, "seq": s.orders.Load(), "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 80000, "handles": 0,
		})
		return
	case "/v1/order":
		s.order(w, r)
		return
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.handle(s, w, r, body)
}

// order switches the weights at once.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version     int64  `json:"version"`
		ExpectedRev *int64 `json:"expected_rev"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.ExpectedRev != nil && *order.ExpectedRev != s.orders.Load() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.orders.Add(1)
	s.version.Store(order.Version)
	w.WriteHeader(http.StatusAccepted)
}

// answer sends a complete response of a plain service.
func (s *server) answer(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp-of-"+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// eventData is the data of one event of an item's text.
func eventData(item string, n int) string { return item + "." + strconv.Itoa(n) }

// stream sends the events of an item after the last one that the caller has.
func (s *server) stream(w http.ResponseWriter, r *http.Request, events int, pause time.Duration) {
	item := r.Header.Get("X-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Request-Id", item)
	w.Header().Set("X-Server-Stamp", "stamp-of-"+s.id)
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(s.version.Load(), 10))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if r.Context().Err() != nil {
			return
		}
		_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: "+eventData(item, n)+"\n\n")
		_ = controller.Flush()
		if n < events {
			time.Sleep(pause)
		}
	}
}

// cloud is a stand-in for the platform's API for usage reports and target counts. It accepts everything.
func cloud(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// serveOn serves a handler on a free loopback port and returns its address.
func serveOn(ctx context.Context, handler http.Handler) string {
	l := listen("127.0.0.1")
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   *int   `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

const (
	readTime     = 4 * time.Millisecond
	txnTime      = 5 * time.Millisecond
	objectTime   = 25 * time.Millisecond
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	maxTxnRows   = 100
	maxRowBytes  = 64 << 10
)

// store is a stand-in for the platform's metadata and object store. Each instance has a listener (gate) of its own, so that
// the store can treat machines differently.
type store struct {
	started time.Time

	mu      sync.Mutex
	version int
	rows    map[string]row
	// log holds the last change of each row, in the order of the changes.
	log     []row
	objects map[string][]byte
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// slowness multiplies the time of each call.
	slowness atomic.Int64
}

func newStore() *store {
	s := &store{started: time.Now(), rows: map[string]row{}, objects: map[string][]byte{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
	s.slowness.Store(1)
	return s
}

func (s *store) sleep(d time.Duration) { time.Sleep(d * time.Duration(s.slowness.Load())) }

// put writes a row of the operator or of an engine; an empty value removes it.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: []byte(value), Tombstone: value == ""})
}

// write applies a change. The caller holds the lock and has incremented the version.
func (s *store) write(r row) {
	version := s.version
	r.Version = &version
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// gate is the store's listener for one machine.
type gate struct {
	address string
	// turnsAway makes the store reset all connections of this machine.
	turnsAway atomic.Bool

	mu    sync.Mutex
	conns map[*gateConn]bool
}

// gateConn is a connection to the store. A silent one delivers nothing, in either direction, and is not closed.
type gateConn struct {
	net.Conn
	gate   *gate
	silent atomic.Bool
}

func (c *gateConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *gateConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	if c.silent.Load() {
		// A silent connection isn't closed towards the machine either.
		return nil
	}
	return c.Conn.Close()
}

type gateListener struct {
	net.Listener
	gate *gate
}

func (l gateListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	for err == nil && l.gate.turnsAway.Load() {
		reset(raw)
		raw, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	c := &gateConn{Conn: raw, gate: l.gate}
	l.gate.mu.Lock()
	l.gate.conns[c] = true
	l.gate.mu.Unlock()
	return c, nil
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// turnAway makes the store reject the machine for a time: it resets all connections.
func (g *gate) turnAway(d time.Duration) {
	g.turnsAway.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		reset(c.Conn)
	}
	time.AfterFunc(d, func() { g.turnsAway.Store(false) })
}

// silence makes all open connections go silent and returns their number. New ones work.
func (g *gate) silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(true)
	}
	return len(g.conns)
}

// open opens a gate at an address.
func (s *store) open(address string) *gate {
	l, err := listen(address)
	check(err)
	g := &gate{address: l.Addr().String(), conns: map[*gateConn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-parts", s.listParts)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("PUT /v1/blob-put/{id}", s.putObject)
	mux.HandleFunc("GET /v1/blob-get/{id}", s.getObject)
	mux.HandleFunc("DELETE /v1/blob-drop/{id}", s.dropObject)
	mux.HandleFunc("GET /v1/blob-list", s.listObjects)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(gateListener{l, g}) }()
	return g
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var txn struct {
		Expected []row `json:"expected_rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.Unmarshal(body, &txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	all := slices.Concat(txn.Expected, txn.Put, txn.Remove)
	if len(all) == 0 || len(all) > maxTxnRows || len(body) > 1<<20 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range all {
		if e.Part != all[0].Part || len(e.Value) > maxRowBytes || len(e.Key) > 200 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, e := range slices.Concat(txn.Put, txn.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	part := s.part(all[0].Part)
	part.Lock()
	s.sleep(txnTime)
	status, answer := s.apply(txn.Expected, txn.Put, txn.Remove)
	part.Unlock()
	s.sleep(readTime)
	writeJSON(w, status, answer)
}

func (s *store) apply(expected, put, remove []row) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []row{}
	for _, e := range expected {
		version := 0
		if r, ok := s.rows[e.id()]; ok {
			version = *r.Version
			current = append(current, r)
		}
		conflict = conflict || e.Version == nil || *e.Version != version
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now_ms": s.nowMs()}
	}
	s.version++
	for _, r := range put {
		s.write(r)
	}
	for _, r := range remove {
		r.Tombstone = true
		s.write(r)
	}
	return http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.nowMs()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.sleep(readTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	found := []row{}
	for _, e := range s.rows {
		if e.Table == q.Get("table") && e.Part == q.Get("part") && e.Key >= q.Get("from") && (q.Get("to") == "" || e.Key < q.Get("to")) {
			found = append(found, e)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, count := 0, 0
	for count < min(limit, len(found)) && (count == 0 || size+len(found[count].Value) <= maxPageBytes) {
		size += len(found[count].Value)
		count++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": found[:count], "has_more": count < len(found), "ver": version, "now_ms": s.nowMs()})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	s.sleep(readTime)
	names := map[string]bool{}
	s.mu.Lock()
	for _, e := range s.rows {
		if e.Table == r.URL.Query().Get("table") {
			names[e.Part] = true
		}
	}
	s.mu.Unlock()
	all := []string{}
	for name := range names {
		all = append(all, name)
	}
	slices.Sort(all)
	writeJSON(w, http.StatusOK, map[string]any{"parts": all, "has_more": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []row{}
		for i := len(s.log) - 1; i >= 0 && *s.log[i].Version > after; i-- {
			if s.log[i].Table == q.Get("table") {
				found = append(found, s.log[i])
			}
		}
		slices.Reverse(found)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		s.sleep(readTime)
		writeJSON(w, http.StatusOK, map[string]any{"rows": found, "ver": version, "now_ms": s.nowMs()})
		return
	}
}

func (s *store) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.sleep(objectTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[r.PathValue("id")]; ok && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[r.PathValue("id")] = data
}

func (s *store) getObject(w http.ResponseWriter, r *http.Request) {
	s.sleep(objectTime)
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *store) dropObject(_ http.ResponseWriter, r *http.Request) {
	s.sleep(objectTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, r.PathValue("id"))
}

func (s *store) listObjects(w http.ResponseWriter, r *http.Request) {
	s.sleep(objectTime)
	names := []string{}
	s.mu.Lock()
	for name := range s.objects {
		if strings.HasPrefix(name, r.URL.Query().Get("prefix")) && name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	slices.Sort(names)
	more := len(names) > 1000
	writeJSON(w, http.StatusOK, map[string]any{"names": names[:min(1000, len(names))], "has_more": more})
}

package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	txnTime       = 4 * time.Millisecond
	blobTime      = 25 * time.Millisecond
	maxRowBytes   = 65536
	maxBlobBytes  = 8388608
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	maxPageRows   = 500
	historyTime   = 20 * time.Second
)

// row is a row of the store as the platform's pages spell it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   *int   `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`

	changedAt time.Time
}

type rowName struct{ table, part, key string }

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type transaction struct {
	Expected []row `json:"expected_rev"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

// entries returns all entries of the transaction.
func (t transaction) entries() []row { return slices.Concat(t.Expected, t.Put, t.Remove) }

// store plays the platform's metadata store.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version int
	rows    map[rowName]row
	// history holds the changes of the last historyTime; forgotten is the newest version that is no longer in it.
	history   []row
	forgotten int
	blobs     map[string][]byte
	changed   chan struct{}
	// refuse returns whether a transaction gets 503, or a read of the part that its entries name; nil means none does.
	refuse func(transaction) bool
}

func startStore(w *world) (*store, error) {
	s := &store{address: w.address(1, 8688), started: time.Now(), rows: map[rowName]row{}, blobs: map[string][]byte{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /v1/rows-get", s.serveRows)
	mux.HandleFunc("GET /v1/rows-parts", s.serveParts)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	mux.HandleFunc("PUT /v1/blob-put/{id}", s.servePut)
	mux.HandleFunc("GET /v1/blob-get/{id}", s.serveBlob)
	mux.HandleFunc("DELETE /v1/blob-drop/{id}", s.serveDrop)
	mux.HandleFunc("GET /v1/blob-list", s.serveNames)
	return s, w.serve(s.address, mux)
}

// serve starts an HTTP server that runs until the end of the case.
func (w *world) serve(address string, handler http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.atEnd(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// nowMs returns the time of the store's steady clock.
func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data})
}

// remove removes a row as the operator or an engine does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Tombstone: true})
}

// setRefuse replaces what the store refuses.
func (s *store) setRefuse(refuse func(transaction) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// apply changes a row. The caller holds the lock and has counted the version.
func (s *store) apply(r row) {
	version := s.version
	r.Version, r.changedAt = &version, time.Now()
	if r.Tombstone {
		r.Value = nil
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history = append(s.history, r)
	for len(s.history) > 0 && time.Since(s.history[0].changedAt) > historyTime {
		s.forgotten = *s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(txnTime)
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil || !isValid(t, len(body)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if slices.ContainsFunc(slices.Concat(t.Put, t.Remove), func(r row) bool { return r.Table == "op" || r.Table == "servers" }) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse != nil && s.refuse(t) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	current, holds := []row{}, true
	for _, e := range t.Expected {
		found, ok := s.rows[e.name()]
		version := 0
		if ok {
			version = *found.Version
			current = append(current, found)
		}
		holds = holds && e.Version != nil && version == *e.Version
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now_ms": s.nowMs()})
		return
	}
	s.version++
	for _, p := range t.Put {
		s.apply(p)
	}
	for _, p := range t.Remove {
		if _, ok := s.rows[p.name()]; ok {
			p.Tombstone = true
			s.apply(p)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.nowMs()})
}

// isValid reports whether a transaction keeps to the store's limits.
func isValid(t transaction, size int) bool {
	entries := t.entries()
	if len(entries) > maxTxnEntries || size > maxTxnBytes {
		return false
	}
	for _, e := range entries {
		if e.Part != entries[0].Part || len(e.Value) > maxRowBytes || max(len(e.Table), len(e.Part), len(e.Key)) > 200 {
			return false
		}
	}
	return true
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	time.Sleep(txnTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse != nil && s.refuse(transaction{Expected: []row{{Table: q.Get("table"), Part: q.Get("part")}}}) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var found []row
	for name, r := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	page, size := []row{}, 0
	for _, r := range found {
		if size += len(r.Value) * 4 / 3; len(page) == limit || size > maxTxnBytes && len(page) > 0 {
			break
		}
		page = append(page, r)
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": page, "has_more": len(page) < len(found), "ver": s.version, "now_ms": s.nowMs()})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(txnTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for name := range s.rows {
		if name.table == r.URL.Query().Get("table") && name.part > r.URL.Query().Get("after") && !seen[name.part] {
			seen[name.part] = true
			parts = append(parts, name.part)
		}
	}
	slices.Sort(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false, "ver": s.version, "now_ms": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(txnTime)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for _, c := range s.history {
			if c.Table == q.Get("table") && *c.Version > after {
				rows = append(rows, c)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBlobBytes+1))
	if err != nil {
		return
	}
	time.Sleep(blobTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.blobs[r.PathValue("id")]
	switch {
	case len(data) > maxBlobBytes:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case exists && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		s.blobs[r.PathValue("id")] = data
	}
}

func (s *store) serveBlob(w http.ResponseWriter, r *http.Request) {
	time.Sleep(blobTime)
	s.mu.Lock()
	data, ok := s.blobs[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *store) serveDrop(_ http.ResponseWriter, r *http.Request) {
	time.Sleep(blobTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.blobs, r.PathValue("id"))
}

func (s *store) serveNames(w http.ResponseWriter, r *http.Request) {
	time.Sleep(blobTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.blobs {
		if strings.HasPrefix(name, r.URL.Query().Get("prefix")) && name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	const maxNames = 1000
	writeJSON(w, http.StatusOK, map[string]any{"names": names[:min(maxNames, len(names))], "has_more": len(names) > maxNames})
}

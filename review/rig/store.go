package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the store as it stands on the wire.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       *int   `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowName struct{ table, part, key string }

func (r storeRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// transaction is the body of POST /v1/rows-tx.
type transaction struct {
	Expected []storeRow `json:"expected_rev"`
	Put      []storeRow `json:"put"`
	Remove   []storeRow `json:"remove"`
}

// store is a stand-in for the platform's metadata store and object store. It loses nothing, and its responses are linearizable.
type store struct {
	start time.Time

	mu   sync.Mutex
	ver  int
	rows map[rowName]storeRow
	// log holds every change in order.
	log     []storeRow
	objects map[string][]byte
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowName]storeRow{}, objects: map[string][]byte{}, changed: make(chan struct{})}
}

// put writes a row without a condition, as the operator and the engines do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Put: []storeRow{{Table: table, Key: key, Value: data}}})
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []storeRow{{Table: table, Key: key}}})
}

// apply performs a transaction whose conditions hold. The caller holds the lock.
func (s *store) apply(t transaction) {
	s.ver++
	for _, r := range t.Put {
		r.Ver = new(s.ver)
		s.rows[r.name()] = r
		s.log = append(s.log, r)
	}
	for _, r := range t.Remove {
		delete(s.rows, r.name())
		s.log = append(s.log, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: new(s.ver), Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// conflicts returns the current rows of a transaction's conditions, and whether one does not hold. The caller holds the lock.
func (s *store) conflicts(t transaction) ([]storeRow, bool) {
	var current []storeRow
	failed := false
	for _, e := range t.Expected {
		row, ok := s.rows[e.name()]
		actual := 0
		if ok {
			actual = *row.Ver
			current = append(current, row)
		}
		failed = failed || e.Ver == nil || *e.Ver != actual
	}
	return current, failed
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/v1/rows-tx":
		s.commit(w, r)
	case r.URL.Path == "/v1/rows-get":
		limit, _ := strconv.Atoi(query.Get("limit"))
		s.get(w, query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to"), limit)
	case r.URL.Path == "/v1/rows-feed":
		after, _ := strconv.Atoi(query.Get("after"))
		waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
		s.feed(w, r, query.Get("table"), after, time.Duration(waitMs)*time.Millisecond)
	case strings.HasPrefix(r.URL.Path, "/v1/blob-"):
		s.blob(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(t.Put, t.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(row.Value) > 65536 {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, failed := s.conflicts(t); failed {
		s.respond(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(t)
	s.respond(w, http.StatusOK, nil, false)
}

// respond writes rows with the newest version. The caller holds the lock.
func (s *store) respond(w http.ResponseWriter, status int, rows []storeRow, hasMore bool) {
	body := struct {
		Rows    []storeRow `json:"rows"`
		HasMore bool       `json:"has_more"`
		Ver     int        `json:"ver"`
		NowMs   int64      `json:"now_ms"`
	}{rows, hasMore, s.ver, time.Since(s.start).Milliseconds()}
	if body.Rows == nil {
		body.Rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, table, part, from, to string, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	for name, row := range s.rows {
		if name.table == table && name.part == part && name.key >= from && (to == "" || name.key < to) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	size, end := 0, 0
	for end < len(found) && end < limit && (end == 0 || size+len(found[end].Value) < 700<<10) {
		size += len(found[end].Value)
		end++
	}
	s.respond(w, http.StatusOK, found[:end], end < len(found))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		newest := map[rowName]storeRow{}
		var order []rowName
		for _, row := range s.log {
			if row.Table == table && *row.Ver > after {
				if _, ok := newest[row.name()]; ok {
					order = slices.DeleteFunc(order, func(n rowName) bool { return n == row.name() })
				}
				newest[row.name()] = row
				order = append(order, row.name())
			}
		}
		changed := s.changed
		if len(order) > 0 {
			var rows []storeRow
			for _, name := range order {
				rows = append(rows, newest[name])
			}
			s.respond(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.mu.Lock()
			s.respond(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

func (s *store) blob(w http.ResponseWriter, r *http.Request) {
	verb, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/blob-"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case "put":
		if _, ok := s.objects[name]; ok && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.objects[name] = body
	case "get":
		data, ok := s.objects[name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	case "drop":
		if _, ok := s.objects[name]; !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		delete(s.objects, name)
	case "list":
		s.listObjects(w, r)
	}
}

// listObjects responds with all names in one page. The caller holds the lock.
func (s *store) listObjects(w http.ResponseWriter, r *http.Request) {
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, r.URL.Query().Get("prefix")) && name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	_ = json.NewEncoder(w).Encode(map[string]any{"names": names, "has_more": false})
}

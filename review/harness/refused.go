package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	bookingCount   = 40
	bookingPause   = 50 * time.Millisecond
	failingShare   = 4
	bookingRetries = 2
)

// ranBookings holds the client attempts that an engine began to work on.
type ranBookings struct {
	mu  sync.Mutex
	ran map[string]int
	// bookings holds how often each booking was made, by its body.
	bookings map[string]int
	seen     int
}

// begin notes that an engine begins to work on a client attempt, and returns the number of those so far.
func (b *ranBookings) begin(id, booking string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran[id]++
	b.bookings[booking]++
	b.seen++
	return b.seen
}

// playRefused lets engines fail a part of their requests, after they have begun to work on them, with status 503. Nothing in the
// answer says that the request was not executed.
func playRefused(w *world) (bool, error) {
	route := map[string]any{
		"name": "r-book", "host": host, "prefix": "/book/", "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 150, "priority": 1,
		"service": "app", "max_attempts": 2, "public": false,
	}
	w.configure(operatorConfig(7, []map[string]any{route}, []map[string]any{plainService("app")}))
	made := &ranBookings{ran: map[string]int{}, bookings: map[string]int{}}
	spec := engineSpec{service: "app", software: "v1", slots: 6, handle: func(e *engine, rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !e.takePlace(rw, r) {
			return
		}
		defer e.freePlace()
		id := r.Header.Get("X-Request-Id")
		n := made.begin(id, string(body))
		time.Sleep(25 * time.Millisecond)
		if w.trouble && n%failingShare == 0 {
			w.note("engine %s has run %s and fails: 503 without X-Not-Executed", e.id, id)
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = rw.Write([]byte("booked"))
	}}
	for n := range 3 {
		if _, err := w.startEngine(firstEngineHost+n, spec); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(2, 354); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	broken := 0
	for range bookingCount {
		broken += w.book(made)
		time.Sleep(bookingPause)
	}
	twice := 0
	for _, n := range made.bookings {
		if n > 1 {
			twice++
		}
	}
	w.note("%d client attempts were answered with the promise that they had not run, and had run; %d of %d bookings were made more than once", broken, twice, bookingCount)
	return broken > 0, nil
}

// book makes one booking as a client does, and returns how many of its attempts were answered 429 or 503 and have run.
func (w *world) book(made *ranBookings) int {
	booking, broken := w.newID(), 0
	for attempt := range bookingRetries {
		r := request{method: http.MethodPost, path: "/book/clock", id: w.newID(), body: []byte(booking), deadline: 2 * time.Second}
		a := w.send(w.instances[attempt%len(w.instances)], r)
		made.mu.Lock()
		ran := made.ran[r.id]
		made.mu.Unlock()
		w.note("booking %s, attempt %s: %d, stamp %q; engines that ran it: %d", booking, r.id, a.status, a.header.Get("X-Server-Stamp"), ran)
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return broken
		}
		if ran > 0 {
			broken++
		}
		time.Sleep(a.retryAfter)
	}
	return broken
}

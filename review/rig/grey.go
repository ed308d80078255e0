package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["grey"] = playGrey }

// playGrey sends bookings to an at-most-once route. For five seconds one of seven engines fails 40% of its requests: it has run them and
// responds with 503, without the header that says that it has not.
func playGrey(b *bench) (bool, error) {
	const (
		engines = 7
		// failEvery is the number of requests of the failing engine of which it fails two.
		failEvery = 5
		bookings  = 500
	)
	var mu sync.Mutex
	ranAt := map[string]string{}
	runsOfBooking := map[string]int{}
	atGrey := 0
	var isGrey atomic.Bool
	handle := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		ranAt[id] = s.id
		runsOfBooking[string(body)]++
		fails := false
		if s.id == "i-plain-1" && isGrey.Load() {
			atGrey++
			fails = b.trouble && atGrey%failEvery < 2
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		b.add("engine %s ran request %s (%s), fails: %v", s.id, id, body, fails)
		if fails {
			s.answer(w, r, http.StatusServiceUnavailable, "the booking is made, but the mail server does not respond")
			return
		}
		s.answer(w, r, http.StatusOK, "booked")
	}
	b.writeConfig([]route{plainRoute("r-book", "/book/", "unsafe", "app")}, []map[string]any{plainService("app")})
	for n := range engines {
		s := &server{id: fmt.Sprintf("i-plain-%d", n+1), service: "app", slots: 6, store: b.store, record: b.record, handle: handle}
		s.start()
	}
	if err := b.startInstances(2, 120); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	time.AfterFunc(3*time.Second, func() { isGrey.Store(true) })
	time.AfterFunc(8*time.Second, func() { isGrey.Store(false) })
	promisedAndRan := 0
	for n := range bookings {
		booking := fmt.Sprintf("booking %d", n)
		for attempt := range 2 {
			i := b.instances[(n+attempt)%len(b.instances)]
			id := newID()
			b.add("client sends request %s (%s), attempt %d, to %s", id, booking, attempt+1, i.name)
			r := b.call(i, http.MethodPost, "/book/1", id, []byte(booking), map[string]string{"X-Deadline-Ms": "2000"}, 2*time.Second)
			mu.Lock()
			engine, ran := ranAt[id]
			mu.Unlock()
			b.add("client gets %s from %s for request %s (%s)", r, i.name, id, booking)
			if r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests {
				break
			}
			if ran {
				promisedAndRan++
				b.add("BROKEN: request %s got %d, which promises that it has not run, and ran at %s", id, r.status, engine)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	twice := 0
	for _, runs := range runsOfBooking {
		if runs > 1 {
			twice++
		}
	}
	b.add("requests answered 429 or 503 that have run: %d; bookings that ran twice: %d of %d", promisedAndRan, twice, bookings)
	return promisedAndRan > 0, nil
}

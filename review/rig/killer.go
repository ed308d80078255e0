package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["killer-stream"] = func(b *bench) (bool, error) { return b.playKiller("stream") }
	// A request that crashes its engine before the answer begins is kept from engines after the third crash.
	cases["killer-safe"] = func(b *bench) (bool, error) { return b.playKiller("safe") }
}

const (
	killerMark = "crash whoever runs this "
	// stableTime is stable_ms of the settings.
	stableTime = 3 * time.Second
	// maxRetriesAfterThird is the number of retries that the rule allows.
	maxRetriesAfterThird = 3
)

// playKiller sends a request that crashes each engine that begins to run it, again and again. Engines of a stream route crash right
// after the first event.
func (b *bench) playKiller(kind string) (bool, error) {
	const size = 2 << 10
	var mu sync.Mutex
	var crashes []time.Time
	var arrivals []time.Time
	next := 0
	var startServer func()
	handle := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		if !bytes.HasPrefix(body, []byte(killerMark)) {
			time.Sleep(25 * time.Millisecond)
			s.answer(w, r, http.StatusOK, "ok")
			return
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		b.add("engine %s begins to run request %s, attempt %d overall", s.id, r.Header.Get("X-Request-Id"), len(arrivals))
		mu.Unlock()
		if kind == "stream" {
			s.stream(w, r, 1, 0)
		}
		if !b.trouble && kind == "stream" {
			return
		}
		if !b.trouble {
			s.answer(w, r, http.StatusOK, "ok")
			return
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		b.add("engine %s crashes, crash %d", s.id, len(crashes))
		mu.Unlock()
		s.crash()
		time.AfterFunc(2*time.Second, startServer)
	}
	startServer = func() {
		mu.Lock()
		next++
		id := fmt.Sprintf("i-plain-%d", next)
		mu.Unlock()
		s := &server{id: id, service: "app", slots: 6, store: b.store, record: b.record, handle: handle}
		s.start()
	}
	b.writeConfig([]route{plainRoute("r-app", "/app/", kind)}, []map[string]any{plainService("app")})
	for range 6 {
		startServer()
	}
	if err := b.startInstances(3, 120); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	body := append([]byte(killerMark), bytes.Repeat([]byte("x"), size-len(killerMark))...)
	deadline := time.Now().Add(40 * time.Second)
	for n := 0; time.Now().Before(deadline); n++ {
		i := b.instances[n%len(b.instances)]
		id := newID()
		b.add("client sends request %s (%d bytes) to %s", id, len(body), i.name)
		r := b.call(i, http.MethodPost, "/app/1", id, body, map[string]string{"X-Deadline-Ms": "2000"}, 2*time.Second)
		b.add("client gets %s for request %s, %d bytes", r, id, len(r.body))
		time.Sleep(time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	b.add("engines crashed by the request: %d; times that it reached an engine: %d", len(crashes), len(arrivals))
	if len(crashes) < 3 {
		return false, nil
	}
	retries := 0
	for _, at := range arrivals {
		if at.Sub(crashes[2]) > stableTime {
			retries++
		}
	}
	b.add("times that it reached an engine later than stable_ms after the third crash: %d; the rule allows %d", retries, maxRetriesAfterThird)
	return retries > maxRetriesAfterThird, nil
}

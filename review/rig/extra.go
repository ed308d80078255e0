package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = playExtra }

// playExtra sends streams to model engines while a trainer names versions. In two spans of five seconds, six of eleven engines send up to 3%
// of their responses a second time, late, at the place of the next response. They choose responses to the system's own calls.
func playExtra(b *bench) (bool, error) {
	const (
		engines     = 11
		faulty      = 6
		share       = 0.03
		events      = 3
		clients     = 6
		playTime    = 26 * time.Second
		nameVersion = 2 * time.Second
	)
	var mu sync.Mutex
	foreign, answered := 0, 0
	var extras atomic.Int64
	var isFaulty atomic.Bool
	b.writeConfig([]route{{
		"name": "r-chat", "host": routeHost, "prefix": "/chat/", "kind": "stream", "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1,
		"service": "lm", "max_attempts": 2, "public": false, "sticky": true, "resumable": false,
	}}, []map[string]any{modelService("lm")})
	for n := range engines {
		e := &rawEngine{
			id: fmt.Sprintf("i-lm-%d", n+1), service: "lm", store: b.store,
			handle: func(e *rawEngine, w io.Writer, r *http.Request) {
				b.add("engine %s runs request %s", e.id, r.Header.Get("X-Request-Id"))
				e.writeStream(w, r, events, 10*time.Millisecond)
			},
			isSentAgain: func(e *rawEngine, path string) bool {
				again := b.trouble && n < faulty && isFaulty.Load() && float64(e.sentAgain.Load()+1) <= share*float64(e.responses.Load())
				if again {
					e.sentAgain.Add(1)
					extras.Add(1)
					b.add("engine %s will send its response to %s a second time", e.id, path)
				}
				return again
			},
			sentLate: func(e *rawEngine, r *http.Request) {
				b.add("engine %s sends the second copy where the response to %s %s %s is expected", e.id, r.Method, r.URL.Path, r.Header.Get("X-Request-Id"))
			},
		}
		e.start()
	}
	if err := b.startInstances(2, 120); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	stop := time.Now().Add(playTime)
	for _, begin := range []time.Duration{4 * time.Second, 16 * time.Second} {
		time.AfterFunc(begin, func() {
			isFaulty.Store(true)
			b.add("engines begin to send responses twice")
		})
		time.AfterFunc(begin+5*time.Second, func() {
			isFaulty.Store(false)
			b.add("engines send no more responses twice")
		})
	}
	var done sync.WaitGroup
	for n := range clients {
		done.Go(func() {
			for k := 0; time.Now().Before(stop); k++ {
				i, id := b.instances[(n+k)%len(b.instances)], newID()
				b.add("client sends stream request %s to %s", id, i.name)
				r := b.call(i, http.MethodPost, "/chat/1", id, []byte("prompt"), map[string]string{"X-Model": modelName, "X-Deadline-Ms": "3000"}, 3*time.Second)
				b.add("client gets %s for request %s, stamp %q", r, id, r.header.Get("X-Server-Stamp"))
				whole := strings.Count(string(r.body), "data: "+id+".") == events
				mu.Lock()
				answered++
				if r.err == nil && r.status/100 == 2 && (r.header.Get("X-Server-Stamp") == "" || !whole) {
					foreign++
					b.add("BROKEN: request %s gets %d without its engine's stamp and body; the body is %.200q", id, r.status, r.body)
				}
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	for version := 2; time.Now().Before(stop); version++ {
		b.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
		b.add("the trainer names version %d", version)
		time.Sleep(nameVersion)
	}
	done.Wait()
	b.add("responses sent a second time: %d; requests answered: %d; successes that are not the engine's answer: %d", extras.Load(), answered, foreign)
	return foreign > 0, nil
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["ended-job"] = playEndedJob }

// playEndedJob kills the owner of jobs while the store is slow, and ends the jobs while other instances take them over.
func playEndedJob(b *bench) {
	const (
		jobs     = 6
		items    = 1200
		slowness = 50
		slowFor  = 4500 * time.Millisecond
	)
	b.store.put("op", "config", configJSON(7, batchRoute, llmService, key))
	for range 2 {
		b.addEngine(&engine{service: "llm", software: "1.0", slots: 4, events: 20, interval: 40 * time.Millisecond, versions: map[string]int{"m0": 1}})
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	owner, other := b.nodes[0], b.nodes[2]
	ids := make([]string, 0, jobs)
	for range jobs {
		id := newID()
		status, text := b.sendForStatus(owner, "POST", "/steps/"+id, id, jobBody(id, items), "Content-Type", "application/json", "X-Deadline-Ms", "3000")
		b.record("job %s: %d %s", id, status, text)
		if status != http.StatusAccepted {
			b.exit(exitCannotRun)
		}
		ids = append(ids, id)
	}
	time.Sleep(2 * time.Second)
	calmSince := time.Now()
	if b.trouble {
		b.store.slowness.Store(slowness)
		b.record("the store's answers take %d times as long", slowness)
		owner.kill(3500 * time.Millisecond)
		calmSince = time.Now().Add(slowFor)
		time.AfterFunc(slowFor, func() {
			b.store.slowness.Store(1)
			b.record("the store is as quick as before")
		})
	}
	// Each trainer ends its job at a time of its own, and repeats the call until it is acknowledged.
	var wg sync.WaitGroup
	var mu sync.Mutex
	endedAt := map[string]time.Time{}
	for i, id := range ids {
		wg.Go(func() {
			time.Sleep(2*time.Second + time.Duration(i)*250*time.Millisecond)
			for {
				status, _ := b.sendForStatus(other, "DELETE", "/v1/lots/"+id, newID(), nil, "X-Deadline-Ms", "3000")
				b.record("end of job %s: %d", id, status)
				if status == http.StatusOK {
					mu.Lock()
					endedAt[id] = time.Now()
					mu.Unlock()
					return
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(25 * time.Second)
	late := map[string]int{}
	total := 0
	for _, r := range b.allRuns() {
		id, _, _ := strings.Cut(r.request, "-")
		mu.Lock()
		ended, ok := endedAt[id]
		mu.Unlock()
		// The machines are in touch from stable_ms after the end of the disruptions.
		if ok && r.arrived.Sub(ended) > cancelBound && r.arrived.Sub(calmSince) > stable {
			late[id]++
			total++
		}
	}
	for id, n := range late {
		b.record("job %s: %d items began to run later than cancel_ms after its acknowledged end, from machines in touch", id, n)
	}
	b.record("items that ran too late: %d", total)
	fmt.Println("items that ran too late:", total)
	if total > 0 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hup-in-shutdown"] = playHupInShutdown }

// playHupInShutdown stops each instance in turn, and tells it while it shuts down that its settings file has changed.
func playHupInShutdown(b *bench) {
	const (
		// hupAfter is the time from SIGTERM to SIGHUP.
		hupAfter = 1200 * time.Millisecond
		work     = 700 * time.Millisecond
		interval = 40 * time.Millisecond
		unsafe   = `{"name":"orders","host":"entry.example","prefix":"/orders/","kind":"unsafe","service":"app",` +
			`"timeout_ms":5000,"target_latency_ms":1500,"priority":2,"max_attempts":1}`
	)
	b.store.put("op", "config", configJSON(7, unsafe, appService, key))
	for range 3 {
		b.addEngine(&engine{service: "app", software: "1.0", slots: 40, interval: work})
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	stop := make(chan struct{})
	for _, n := range b.nodes {
		wg.Go(func() {
			// The clients of the node keep their connections.
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				if !n.takesNew() {
					continue
				}
				wg.Go(func() {
					end := b.order(client, n)
					mu.Lock()
					ends[end]++
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(time.Second)
	for _, n := range b.nodes {
		n.terminate(hupAfter)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	var cut int
	for end, count := range ends {
		b.record("%s: %d", end, count)
		if end == endCut {
			cut = count
		}
	}
	ran := map[string]bool{}
	for _, r := range b.allRuns() {
		ran[r.request] = true
	}
	lost := 0
	for _, id := range b.cutIDs {
		if ran[id] {
			lost++
			b.record("request %s ran at an engine, and its connection ended without an answer", id)
		}
	}
	b.record("requests whose connection ended without an answer: %d, of these passed on to an engine: %d", cut, lost)
	fmt.Println("requests that were passed on to an engine and whose connection ended without an answer:", lost)
	if lost > 0 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

const endCut = "connection ended without an answer"

// order sends one request and returns how it ended.
func (b *bench) order(client *http.Client, n *node) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	id := newID()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.front+"/orders/x", http.NoBody)
	check(err)
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if err != nil {
		b.record("request %s at %s: %v", id, n.name, err)
		b.mu.Lock()
		b.cutIDs = append(b.cutIDs, id)
		b.mu.Unlock()
		return endCut
	}
	b.record("request %s at %s: %d", id, n.name, response.StatusCode)
	return fmt.Sprint("status ", response.StatusCode)
}

// takesNew reports whether clients send requests to the node: the balancer uses it, and its process is up.
func (n *node) takesNew() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misses < 2 && !n.down
}

// terminate stops the process with SIGTERM and starts it again when it has ended. With trouble, it gets SIGHUP in between.
func (n *node) terminate(hupAfter time.Duration) {
	n.mu.Lock()
	process, done := n.command.Process, n.done
	n.mu.Unlock()
	began := time.Now()
	n.bench.record("%s gets SIGTERM", n.name)
	check(process.Signal(syscall.SIGTERM))
	if n.bench.trouble {
		time.Sleep(hupAfter)
		n.bench.record("%s gets SIGHUP", n.name)
		check(process.Signal(syscall.SIGHUP))
	}
	kill := time.AfterFunc(graceTime-time.Since(began), func() { _ = process.Kill() })
	<-done
	kill.Stop()
	n.mu.Lock()
	n.down = true
	n.mu.Unlock()
	n.bench.record("%s has ended %.2f s after SIGTERM", n.name, time.Since(began).Seconds())
	time.Sleep(restartDelay)
	n.start()
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["stale-key"] = playStaleKey }

// playStaleKey makes all open connections to the store go silent, while new ones work, and takes a key away.
func playStaleKey(b *bench) {
	const (
		withdrawn = "key-that-is-taken-away"
		readFor   = 4 * time.Second
	)
	// readers is the number of reading clients at each instance.
	readers := 24
	if n, err := strconv.Atoi(os.Getenv("READERS")); err == nil {
		readers = n
	}
	routes, services := appRoute+","+batchRoute, appService+","+llmService
	b.store.put("op", "config", configJSON(7, routes, services, key, withdrawn))
	for range 3 {
		b.addEngine(&engine{service: "app", software: "1.0", slots: 6, interval: 25 * time.Millisecond})
	}
	for range 2 {
		b.addEngine(&engine{service: "llm", software: "1.0", slots: 4, events: 20, interval: 40 * time.Millisecond, versions: map[string]int{"m0": 1}})
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	job := newID()
	status, _ := b.sendForStatus(b.nodes[0], "POST", "/steps/"+job, job, jobBody(job, 200), "Content-Type", "application/json", "X-Deadline-Ms", "3000")
	b.record("job %s: %d", job, status)
	// A client with the key sends bookings to each node over a connection that it keeps.
	clients := make([]*keptClient, 0, len(b.nodes))
	for _, n := range b.nodes {
		client := &keptClient{}
		clients = append(clients, client)
		go client.run(n, withdrawn)
	}
	// Clients of the tenant read the job at all nodes.
	var wg sync.WaitGroup
	readUntil := time.Now().Add(readFor)
	for i := range readers * len(b.nodes) {
		wg.Go(func() {
			for time.Now().Before(readUntil) {
				b.sendForStatus(b.nodes[i%len(b.nodes)], "GET", "/v1/lots/"+job+"?after=0", newID(), nil, "X-Wait-Ms", "1000")
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	silentAt := time.Now()
	if b.trouble {
		for _, n := range b.nodes {
			b.record("%s: %d open connections to the store go silent, new ones work", n.name, n.gate.silence())
		}
	}
	time.Sleep(500 * time.Millisecond)
	b.store.put("op", "config", configJSON(9, routes, services, key))
	acknowledged := time.Now()
	b.record("version 9, without %s, is acknowledged", withdrawn)
	time.Sleep(14500 * time.Millisecond)
	total := 0
	for i, n := range b.nodes {
		late := 0
		for _, a := range clients[i].answersSoFar() {
			inTouch := !b.trouble || a.sent.Sub(silentAt) > stable
			if a.status == http.StatusOK && a.reused && inTouch && a.sent.Sub(acknowledged) > configApply {
				b.record("%s: request %s, sent %.2f s after the acknowledgement and %.2f s after the connections went silent, is answered 200", n.name, a.id,
					a.sent.Sub(acknowledged).Seconds(), a.sent.Sub(silentAt).Seconds())
				late++
			}
		}
		b.record("%s: %d requests with the key that was taken away were served too late", n.name, late)
		total += late
	}
	fmt.Println("requests with a key that was taken away, served too late:", total)
	if total > 0 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

// answer is how one request of a keptClient ended. reused is set if it was sent over the connection of the request before.
type answer struct {
	id     string
	sent   time.Time
	status int
	reused bool
}

// keptClient sends requests over one connection.
type keptClient struct {
	mu      sync.Mutex
	answers []answer
}

func (k *keptClient) answersSoFar() []answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]answer(nil), k.answers...)
}

// run sends a request every 100 ms with a key.
func (k *keptClient) run(n *node, bearer string) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 2 * time.Second}
	for {
		a := answer{id: newID(), sent: time.Now()}
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.reused = info.Reused }}
		request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), "POST", "http://"+n.front+"/resa/x", strings.NewReader("a booking"))
		check(err)
		request.Host = host
		request.Header.Set("X-Request-Id", a.id)
		request.Header.Set("X-Deadline-Ms", "2000")
		request.Header.Set("Authorization", "Bearer "+bearer)
		if response, err := client.Do(request); err == nil {
			a.status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		n.bench.record("%s: request %s with the key: %d", n.name, a.id, a.status)
		k.mu.Lock()
		k.answers = append(k.answers, a)
		k.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

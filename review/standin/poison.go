package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

func init() { cases["poison"] = playPoison }

// chunked hides the length of a body, so that it is sent in chunks.
type chunked struct{ io.Reader }

// playPoison sends a request, whose body comes in chunks, that crashes each engine that begins to run it. It comes again at any
// machine.
func playPoison(b *bench) {
	const (
		attempts = 14
		interval = 1500 * time.Millisecond
	)
	poison := []byte("body of the request that crashes engines")
	b.store.put("op", "config", configJSON(7, appRoute, appService, key))
	for range 3 {
		e := &engine{service: "app", software: "1.0", slots: 6, interval: 25 * time.Millisecond, restartAfter: 2 * time.Second}
		if b.trouble {
			e.crashesOn = func(body []byte) bool { return bytes.Equal(body, poison) }
		}
		b.addEngine(e)
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			go b.sendForStatus(b.nodes[i%3], "POST", fmt.Sprintf("/resa/%d", i), newID(), []byte("a booking"), "X-Deadline-Ms", "2000")
		}
	}()
	ids := map[string]bool{}
	for i := range attempts {
		id, n := newID(), b.nodes[i%3]
		ids[id] = true
		status := b.sendChunked(n, "/resa/poison", id, poison)
		b.record("attempt %d, %s at %s: status %d", i+1, id, n.name, status)
		time.Sleep(interval)
	}
	close(stop)
	var crashes []run
	for _, r := range b.allRuns() {
		if ids[r.request] {
			crashes = append(crashes, r)
		}
	}
	late := 0
	if b.trouble && len(crashes) > 3 {
		for _, r := range crashes[3:] {
			if r.arrived.Sub(crashes[2].arrived) > stable {
				late++
			}
		}
	}
	b.record("the request ran %d times; retries that reached engines later than stable_ms after the third crash: %d", len(crashes), late)
	fmt.Println("retries that reached engines later than stable_ms after the third crash:", late)
	if late > 3 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

// sendChunked sends a request with a body in chunks, and returns the status, or 0 without an answer.
func (b *bench) sendChunked(n *node, path, id string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+path, chunked{bytes.NewReader(body)})
	check(err)
	if os.Getenv("SIZED") != "" {
		request.ContentLength = int64(len(body))
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := newConnectionClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

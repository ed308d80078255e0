package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["lost-streams"] = playLostStreams }

// playLostStreams turns an instance away from the store while engines of two software versions serve, and kills it. The clients
// take its streams up again at the other instances, which nothing disturbs.
func playLostStreams(b *bench) {
	const (
		clients       = 45
		turnedAwayFor = 9 * time.Second
		events        = 40
		tries         = 3
	)
	b.store.put("op", "config", configJSON(7, streamRoute, draftService, key))
	for _, software := range []string{"1.0", "1.0", "1.0", "2.0", "2.0", "2.0"} {
		b.addEngine(&engine{service: "drafts", software: software, slots: 24, events: events, interval: 50 * time.Millisecond})
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	killed := b.nodes[0]
	// With TROUBLE=kill the instance is only killed.
	if b.trouble && os.Getenv("TROUBLE") != "kill" {
		killed.gate.turnAway(turnedAwayFor)
		b.record("the store turns %s away for %v: it resets its connections", killed.name, turnedAwayFor)
	}
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	begun, began, takenUp, wentOn, joined := 0, 0, 0, 0, 0
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			first, node := newID(), i%3
			path := fmt.Sprintf("/drafts/%d", i)
			pieces, status, complete := b.readStream(b.nodes[node], path, first, "X-Deadline-Ms", "10000")
			b.record("client %d: first attempt %s at %s: status %d, %d events, complete %v", i, first, b.nodes[node].name, status, len(pieces), complete)
			mu.Lock()
			begun++
			if len(pieces) > 0 {
				began++
			}
			mu.Unlock()
			if len(pieces) == 0 || len(pieces) == events {
				return
			}
			goesOn := false
			for try := range tries {
				at := b.nodes[1+(i/3+try)%2]
				id, last := newID(), pieces[len(pieces)-1].id
				more, status, complete := b.readStream(at, path, id, "X-Deadline-Ms", "8000", "Last-Event-Id", strconv.Itoa(last), "Resumes", first)
				b.record("client %d: attempt %s at %s resumes %s after event %d: status %d, %d events, complete %v", i, id, at.name, first, last, status, len(more), complete)
				if status == http.StatusOK && len(more) > 0 {
					goesOn = true
					mu.Lock()
					if more[0].software != pieces[0].software {
						joined++
					}
					mu.Unlock()
					break
				}
				// The refusal says when to come back: after 0.3 to 0.375 s.
				time.Sleep(400 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if goesOn {
				wentOn++
			}
		})
	}
	time.Sleep(1300 * time.Millisecond)
	if b.trouble {
		killed.kill(3500 * time.Millisecond)
	}
	wg.Wait()
	b.record("new streams: %d of %d began; streams taken up again: %d, of these %d went on, %d at another software version", began, begun, takenUp, wentOn, joined)
	fmt.Printf("new streams: %d of %d began; streams taken up again: %d, of these %d went on\n", began, begun, takenUp, wentOn)
	if !b.trouble {
		b.exit(exitHeld)
	}
	if takenUp < 12 {
		b.exit(exitCannotRun)
	}
	if float64(wentOn)/float64(takenUp) < 0.5*float64(began)/float64(begun) {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

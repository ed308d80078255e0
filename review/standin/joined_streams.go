package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["joined-streams"] = playJoinedStreams }

// playJoinedStreams registers engines of a newer software version while the store turns one instance away. One of them crashes,
// and the clients take their streams up again.
func playJoinedStreams(b *bench) {
	const (
		clients = 90
		// turnedAwayFor is the length of the disruption of the store for one machine.
		turnedAwayFor = 9 * time.Second
		events        = 40
	)
	b.store.put("op", "config", configJSON(7, streamRoute, draftService, key))
	newEngine := func(software string) *engine {
		return b.addEngine(&engine{service: "drafts", software: software, slots: 24, events: events, interval: 50 * time.Millisecond, restartAfter: 2 * time.Second})
	}
	for range 3 {
		newEngine("1.0")
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	cut := b.nodes[1]
	if b.trouble {
		cut.gate.turnAway(turnedAwayFor)
		b.record("the store turns %s away for %v: it resets its connections", cut.name, turnedAwayFor)
	}
	time.Sleep(100 * time.Millisecond)
	newer := []*engine{newEngine("2.0"), newEngine("2.0"), newEngine("2.0")}
	b.record("a release: three engines of software 2.0 serve beside three of 1.0")
	time.Sleep(600 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	joined, resumed, refused, completed := 0, 0, 0, 0
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			first := newID()
			path := fmt.Sprintf("/drafts/%d", i)
			at := (i % 2) * 2
			pieces, status, complete := b.readStream(b.nodes[at], path, first, "X-Deadline-Ms", "10000")
			b.record("client %d: first attempt %s at %s: status %d, %d events, complete %v", i, first, b.nodes[at].name, status, len(pieces), complete)
			// Each retry goes to another node that the balancer uses.
			for try := 0; len(pieces) < events && len(pieces) > 0 && try < 3; try++ {
				at = (at + 1 + i/2%2) % 3
				if !b.nodes[at].inRotation() {
					at = (at + 1) % 3
				}
				id, last := newID(), pieces[len(pieces)-1].id
				more, status, complete := b.readStream(b.nodes[at], path, id, "X-Deadline-Ms", "8000", "Last-Event-Id", strconv.Itoa(last), "Resumes", first)
				b.record("client %d: attempt %s at %s resumes %s after event %d: status %d, %d events, complete %v", i, id, b.nodes[at].name, first, last, status, len(more), complete)
				mu.Lock()
				if status == http.StatusOK {
					resumed++
				} else {
					refused++
				}
				mu.Unlock()
				pieces = append(pieces, more...)
				if status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
			versions := map[string]bool{}
			text := ""
			for n, p := range pieces {
				if n == 0 || p.software != pieces[n-1].software {
					text += fmt.Sprintf(" from event %d on %s", p.id, p.software)
				}
				versions[p.software] = true
			}
			b.record("client %d: %d events:%s", i, len(pieces), text)
			mu.Lock()
			defer mu.Unlock()
			if len(versions) > 1 {
				joined++
			}
			if len(pieces) == events {
				completed++
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	if b.trouble {
		newer[0].crash()
	}
	wg.Wait()
	b.record("streams that hold events of two software versions: %d; attempts that resumed %d, refused %d; complete streams %d of %d", joined, resumed, refused, completed, clients)
	fmt.Println("streams that hold events of two software versions:", joined)
	// The rule allows two such streams.
	if joined > 2 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

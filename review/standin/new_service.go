package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["new-service"] = playNewService }

// playNewService adds a service and a route to it by a new version of the configuration. The engines of the service have registered
// before.
func playNewService(b *bench) {
	const (
		newRoute = `{"name":"quotes","host":"entry.example","prefix":"/quotes/","kind":"safe","service":"quotes",` +
			`"timeout_ms":2000,"target_latency_ms":150,"priority":2,"max_attempts":3}`
		newService = `{"name":"quotes"}`
	)
	all := func(version int) string {
		return configJSON(version, appRoute+","+newRoute, appService+","+newService, key)
	}
	if b.trouble {
		b.store.put("op", "config", configJSON(7, appRoute, appService, key))
	} else {
		b.store.put("op", "config", all(7))
	}
	newEngines := func(service string) {
		for range 3 {
			b.addEngine(&engine{service: service, software: "1.0", slots: 6, interval: 25 * time.Millisecond})
		}
	}
	newEngines("app")
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	newEngines("quotes")
	b.record("three engines of the new service have registered")
	time.Sleep(3 * time.Second)
	if b.trouble {
		b.store.put("op", "config", all(9))
		b.record("version 9, which adds the service and a route to it, is acknowledged")
	}
	time.Sleep(configApply + time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	asked, served := map[string]int{}, map[string]int{}
	for i := range 150 {
		for _, path := range []string{"/resa/", "/quotes/"} {
			wg.Go(func() {
				id := newID()
				status, _ := b.sendForStatus(b.nodes[i%3], "POST", path+id, id, []byte("a request"), "X-Deadline-Ms", "2000")
				b.record("%s at %s: %d", path+id, b.nodes[i%3].name, status)
				mu.Lock()
				defer mu.Unlock()
				asked[path]++
				if status == http.StatusOK {
					served[path]++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	first, added := float64(served["/resa/"])/float64(asked["/resa/"]), float64(served["/quotes/"])/float64(asked["/quotes/"])
	b.record("served on the first route %d of %d, on the route that was added %d of %d", served["/resa/"], asked["/resa/"], served["/quotes/"], asked["/quotes/"])
	fmt.Printf("served on the first route %d of %d, on the route that was added %d of %d\n", served["/resa/"], asked["/resa/"], served["/quotes/"], asked["/quotes/"])
	if added < first/4 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

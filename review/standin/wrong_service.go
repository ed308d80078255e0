package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["wrong-service"] = playWrongService }

// playWrongService moves the route of batch jobs to another service while a job of before is still running, and submits another
// job later.
func playWrongService(b *bench) {
	const (
		items   = 160
		service = `{"name":%q,"engine":{"slots":4,"stride":56,"models":[{"name":"m0"}]}}`
	)
	services := fmt.Sprintf(service, "llm-old") + "," + fmt.Sprintf(service, "llm-new")
	route := func(to string) string {
		return strings.Replace(batchRoute, `"service":"llm"`, fmt.Sprintf(`"service":%q`, to), 1)
	}
	b.store.put("op", "config", configJSON(7, route("llm-old"), services, key))
	serviceOf := map[string]string{}
	for _, name := range []string{"llm-old", "llm-old", "llm-new", "llm-new"} {
		e := b.addEngine(&engine{service: name, software: "1.0", slots: 4, events: 20, interval: 40 * time.Millisecond, versions: map[string]int{"m0": 1}})
		serviceOf[e.id] = name
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	submit := func(n *node) string {
		id := newID()
		status, text := b.sendForStatus(n, "POST", "/steps/"+id, id, jobBody(id, items), "Content-Type", "application/json", "X-Deadline-Ms", "3000")
		b.record("job %s at %s: %d %s", id, n.name, status, text)
		if status != http.StatusAccepted {
			b.exit(exitCannotRun)
		}
		return id
	}
	before := submit(b.nodes[0])
	time.Sleep(time.Second)
	allowed := "llm-old"
	if b.trouble {
		allowed = "llm-new"
		b.store.put("op", "config", configJSON(9, route(allowed), services, key))
		b.record("version 9, which moves the route to %s, is acknowledged", allowed)
	}
	time.Sleep(configApply + 500*time.Millisecond)
	second := b.nodes[0]
	if os.Getenv("OTHER") != "" {
		second = b.nodes[1]
	}
	after := submit(second)
	accepted := time.Now()
	time.Sleep(20 * time.Second)
	wrong, right, ofBefore := 0, 0, 0
	for _, r := range b.allRuns() {
		id, _, _ := strings.Cut(r.request, "-")
		switch {
		case id == before && r.arrived.After(accepted):
			ofBefore++
		case id != after:
		case serviceOf[r.engine] == allowed:
			right++
		default:
			wrong++
		}
	}
	b.record("items of job %s, accepted 2.5 s after the acknowledgement: %d runs at %s, %d at the service that the route had before; the job before still ran %d items",
		after, right, allowed, wrong, ofBefore)
	fmt.Printf("runs of items by the service of the route: %d, by the old service: %d\n", right, wrong)
	if wrong > 0 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

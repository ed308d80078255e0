package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["two-services"] = playTwoServices }

// playTwoServices runs jobs of two routes, which lead to different services with a model of the same name, at two instances, and
// kills one of them, so that the other owns both jobs.
func playTwoServices(b *bench) {
	const items = 240
	routes, services := []string{}, []string{}
	names := []string{"a", "b"}
	serviceOf := map[string]string{}
	for _, name := range names {
		route := strings.Replace(batchRoute, `"service":"llm"`, fmt.Sprintf(`"service":%q`, name), 1)
		route = strings.Replace(route, `"name":"steps"`, fmt.Sprintf(`"name":"steps-%s"`, name), 1)
		routes = append(routes, strings.Replace(route, "/steps/", "/"+name+"/", 1))
		services = append(services, strings.Replace(llmService, `"name":"llm"`, fmt.Sprintf(`"name":%q`, name), 1))
	}
	b.store.put("op", "config", configJSON(7, strings.Join(routes, ","), strings.Join(services, ","), key))
	for _, name := range []string{"a", "a", "b", "b"} {
		e := b.addEngine(&engine{service: name, software: "1.0", slots: 4, events: 20, interval: 40 * time.Millisecond, versions: map[string]int{"m0": 1}})
		serviceOf[e.id] = name
	}
	for range 2 {
		b.addNode()
	}
	b.waitReady()
	allowed := map[string]string{}
	for i, name := range names {
		id := newID()
		status, text := b.sendForStatus(b.nodes[i], "POST", "/"+name+"/"+id, id, jobBody(id, items), "Content-Type", "application/json", "X-Deadline-Ms", "3000")
		b.record("job %s of route %s at %s: %d %s", id, name, b.nodes[i].name, status, text)
		if status != http.StatusAccepted {
			b.exit(exitCannotRun)
		}
		allowed[id] = name
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.nodes[1].kill(3500 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	right, wrong := 0, 0
	for _, r := range b.allRuns() {
		id, _, _ := strings.Cut(r.request, "-")
		if serviceOf[r.engine] == allowed[id] {
			right++
		} else {
			wrong++
		}
	}
	b.record("items that the service of their route ran: %d, another service: %d", right, wrong)
	fmt.Printf("items that the service of their route ran: %d, another service: %d\n", right, wrong)
	if wrong > 0 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["hidden-tenant"] = playHiddenTenant }

// playHiddenTenant sends requests whose Connection header names the header of the tenant.
func playHiddenTenant(b *bench) {
	const requests = 30
	b.store.put("op", "config", configJSON(7, appRoute, appService, key))
	for range 3 {
		b.addEngine(&engine{service: "app", software: "1.0", slots: 6, interval: 25 * time.Millisecond})
	}
	for range 3 {
		b.addNode()
	}
	b.waitReady()
	ids := map[string]bool{}
	for i := range requests {
		id, headers := newID(), []string{"X-Deadline-Ms", "2000"}
		if b.trouble {
			headers = append(headers, "Connection", "keep-alive, X-Tenant")
		}
		status, _ := b.sendForStatus(b.nodes[i%3], "POST", "/resa/x", id, []byte("a booking"), headers...)
		b.record("request %s at %s: %d", id, b.nodes[i%3].name, status)
		ids[id] = status == http.StatusOK
	}
	wrong := 0
	for _, r := range b.allRuns() {
		if _, ok := ids[r.request]; ok && r.tenant != tenant {
			wrong++
			b.record("request %s ran with the tenant %q instead of %q", r.request, r.tenant, tenant)
		}
	}
	fmt.Printf("requests that ran without the tenant that holds their key: %d of %d\n", wrong, requests)
	if wrong > 0 {
		b.exit(exitBroken)
	}
	b.exit(exitHeld)
}

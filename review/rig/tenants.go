package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["tenants"] = playTenants }

// tenantText is the output of an item of a tenant.
func tenantText(tenant, item string, events int) string {
	var parts []string
	for n := 1; n <= events; n++ {
		parts = append(parts, tenantEvent(tenant, item, n))
	}
	return strings.Join(parts, "\n")
}

func tenantEvent(tenant, item string, n int) string {
	return fmt.Sprintf("word %d for %s of %s", n, item, tenant)
}

// playTenants hands in a step of one tenant, which is ended before its groups are complete, and then the next step of another tenant on the same
// route. With the disruption the two name their items alike, by the numbers of the prompts in a public collection.
func playTenants(b *bench) (bool, error) {
	const (
		other    = "team-two"
		otherKey = "key-of-team-two"
		groups   = 4
		size     = 4
		events   = 8
		attempts = 40
	)
	var mu sync.Mutex
	ranFor := map[string]bool{}
	b.addTenant(other, otherKey)
	b.writeConfig([]route{rolloutRoute("r-roll", "/roll/", "lm")}, []map[string]any{modelService("lm")})
	handle := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		item, tenant := r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		mu.Lock()
		ranFor[tenant+" "+item] = true
		mu.Unlock()
		b.add("engine %s runs item %s for %s after event %d", s.id, item, tenant, last)
		w.Header().Set("X-Request-Id", item)
		w.Header().Set("X-Server-Stamp", "stamp-of-"+s.id)
		w.Header().Set("X-Weight-Versions", strconv.FormatInt(s.version.Load(), 10))
		w.Header().Set("Content-Type", "text/event-stream")
		pause := 20 * time.Millisecond
		if strings.HasSuffix(item, "0") {
			// One long item in each group.
			pause = 300 * time.Millisecond
		}
		for n := last + 1; n <= events && r.Context().Err() == nil; n++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: "+tenantEvent(tenant, item, n)+"\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}
	for n := range 3 {
		s := &server{id: fmt.Sprintf("i-lm-%d", n+1), service: "lm", isModel: true, slots: 12, store: b.store, record: b.record, handle: handle}
		s.start()
	}
	if err := b.startInstances(2, 120); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	items := func(tenant string) []jobItem {
		var list []jobItem
		for n := range groups * size {
			item := newItem("/roll/", fmt.Sprintf("g%d", n/size))
			item.ID = fmt.Sprintf("prompt-%04d%d", n/size, n%size)
			if !b.trouble {
				item.ID = tenant + "-" + item.ID
			}
			item.Body = []byte("prompt for " + item.ID + " of " + tenant)
			list = append(list, item)
		}
		return list
	}
	first, second := newID(), newID()
	r := b.call(b.instances[0], http.MethodPost, "/roll/"+first, first, jobBody(0, groups, items(teamName)), nil, 3*time.Second)
	b.add("%s submits job %s, step 0: %s", teamName, first, r)
	time.Sleep(1200 * time.Millisecond)
	r = b.call(b.instances[1], http.MethodDelete, "/v1/lots/"+first, "", nil, nil, 3*time.Second)
	b.add("%s ends it: %s", teamName, r)
	time.Sleep(time.Second)
	auth := map[string]string{"Authorization": "Bearer " + otherKey}
	r = b.call(b.instances[1], http.MethodPost, "/roll/"+second, second, jobBody(1, groups, items(other)), auth, 3*time.Second)
	b.add("%s submits job %s, step 1: %s", other, second, r)
	if r.status != http.StatusAccepted {
		return false, fmt.Errorf("%w: the job was not accepted", errUnable)
	}
	foreign, read := 0, 0
	for n := 0; n < attempts && read < groups*size; n++ {
		p, r := b.readResultsOf(auth, b.instances[n%2], second, read)
		b.add("%s reads its results from %d on: %s, %d of %d", other, read, r, len(p.Results), p.Total)
		read += len(p.Results)
		for _, result := range p.Results {
			if result.State != "succeeded" || result.Output == tenantText(other, result.ID, events) {
				continue
			}
			foreign++
			b.add("BROKEN: the result of item %s of %s is %.80q, an engine ran it for %s: %v", result.ID, other, result.Output, other, ranFor[other+" "+result.ID])
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.add("results read by %s: %d; with a text that isn't its item's output: %d", other, read, foreign)
	return foreign > 0, nil
}

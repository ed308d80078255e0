package main

import (
	"slices"
	"sync"
	"time"
)

const (
	// Each item has a body of 8 KB, so that the job does not fit into the rows of one transaction.
	formerItemBytes = 8 << 10
	formerGroups    = 12
	formerEvents    = 20
	formerSlots     = 4
	outageTime      = 4500 * time.Millisecond
	changeAfter     = time.Second
	configApplyTime = 2 * time.Second
	formerWatchTime = 30 * time.Second
	submitTime      = 12 * time.Second
)

// outage is a part of the store that is down.
type outage struct {
	mu    sync.Mutex
	part  string
	found bool
}

// refuses reports whether the part that is down holds a row of the transaction. It is the part of the first job.
func (o *outage) refuses(t transaction) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	entries := t.entries()
	if !o.found {
		o.found = slices.ContainsFunc(t.Put, func(r row) bool { return r.Table == "job" })
		if o.found {
			o.part = entries[0].Part
		}
	}
	return o.found && entries[0].Part == o.part
}

// formerRuns counts the items that each service began to run.
type formerRuns struct {
	mu sync.Mutex
	// all counts the items, late those that began after a time.
	all, late map[string]int
	lateFrom  time.Time
}

// begin notes that a service begins to run an item.
func (f *formerRuns) begin(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[service]++
	if !f.lateFrom.IsZero() && time.Now().After(f.lateFrom) {
		f.late[service]++
	}
}

// playFormerService moves the route of a batch job to another service while the part of the store with the job's row is down.
func playFormerService(w *world) (bool, error) {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 500, "priority": 1,
			"service": service, "max_attempts": 3, "item_ttl_s": 100.0, "run_target_ms": 40000, "single_version": false, "public": false,
			"sticky": true, "resumable": true,
		}
	}
	services := []map[string]any{engineService("llm-a", formerSlots, firstModel), engineService("llm-b", formerSlots, firstModel)}
	other := route("r-other", "/other/", "llm-a")
	w.configure(operatorConfig(7, []map[string]any{route("r-train", "/train/", "llm-a"), other}, services))
	runs := &formerRuns{all: map[string]int{}, late: map[string]int{}}
	stream := streamEvents(formerEvents)
	for n, service := range []string{"llm-a", "llm-a", "llm-b", "llm-b"} {
		spec := engineSpec{service: service, software: "v1", models: []string{firstModel}, slots: formerSlots, handle: stream, began: func() { runs.begin(service) }}
		if _, err := w.startEngine(firstEngineHost+n, spec); err != nil {
			return false, err
		}
	}
	for _, share := range []float64{smallShare, smallShare, largeShare} {
		if _, err := w.startInstance(share, 354); err != nil {
			return false, err
		}
	}
	if err := w.waitUntilReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	healed := time.Now()
	if w.trouble {
		down := &outage{}
		w.store.setRefuse(down.refuses)
		w.note("a part of the store is down")
		healed = healed.Add(outageTime)
		time.AfterFunc(outageTime, func() {
			w.store.setRefuse(nil)
			w.note("the part %q of the store is back", down.part)
		})
	}
	var changed time.Time
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(changeAfter)
		w.configure(operatorConfig(9, []map[string]any{route("r-train", "/train/", "llm-b"), other}, services))
		changed = time.Now()
	})
	if !w.trouble {
		// The job comes once the change is in force, as the last attempt does in trouble.
		time.Sleep(outageTime)
	}
	body, _ := w.jobBody(0, "m0", "/train/", formerGroups, groupItems, formerItemBytes)
	// The client's zone has the small machines.
	accepted := w.submitTo(w.instances[:2], 0, "/train/", w.newID(), body, submitTime)
	wg.Wait()
	if !accepted || time.Since(changed) < configApplyTime {
		return false, errNotRun
	}
	runs.mu.Lock()
	runs.lateFrom = healed.Add(stableTime)
	runs.mu.Unlock()
	time.Sleep(formerWatchTime)
	runs.mu.Lock()
	defer runs.mu.Unlock()
	w.note("the job was accepted more than %v after the route had moved to llm-b; items begun: %v; those of machines in touch: %v", configApplyTime, runs.all, runs.late)
	if runs.all["llm-a"]+runs.all["llm-b"] == 0 {
		return false, errNotRun
	}
	return runs.late["llm-a"] > 0, nil
}

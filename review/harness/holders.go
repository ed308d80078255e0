package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	holderTrainers  = 30
	holderPause     = 100 * time.Millisecond
	ordersBeforeCut = 2
	// cutAfterOrder is between two orders, which come each 0.5 s while the load grows.
	cutAfterOrder   = 300 * time.Millisecond
	machineCutTime  = 5500 * time.Millisecond
	thawSlack       = 300 * time.Millisecond
	holderWatchTime = 12 * time.Second
)

// playFormerHolder cuts the machine that holds the duties off, while trainers begin their steps one after the other and the holder
// orders engines.
func playFormerHolder(w *world) (bool, error) {
	var routes []map[string]any
	for t := range holderTrainers {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", t), "host": host, "prefix": fmt.Sprintf("/t%d/", t), "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 500,
			"priority": 1, "service": "llm", "max_attempts": 3, "item_ttl_s": 60.0, "run_target_ms": 20000, "single_version": false, "public": false,
			"sticky": true, "resumable": true,
		})
	}
	service := engineService("llm", 4, trainerModels(holderTrainers)...)
	service["scaling"] = map[string]any{"min": 1, "max": 300, "boot_s": 4.0, "spot_price": 0.15, "zone_prices": map[string]float64{"z": 1}}
	w.configure(operatorConfig(7, routes, []map[string]any{service}))
	for n := range 4 {
		spec := engineSpec{service: "llm", software: "v1", models: trainerModels(holderTrainers), slots: 4, handle: streamEvents(40)}
		if _, err := w.startEngine(firstEngineHost+n, spec); err != nil {
			return false, err
		}
	}
	toStore, err := w.startPath("store", w.address(3, 8688), w.store.address)
	if err != nil {
		return false, err
	}
	toCloud, err := w.startPath("API", w.address(4, 8688), w.cloud.address)
	if err != nil {
		return false, err
	}
	holder, err := w.startInstanceAt(largeShare, 354, w.address(3, 8688), w.address(4, 8688))
	if err != nil {
		return false, err
	}
	// The first report of usage shows that the machine holds the duties.
	if !waitFor(15*time.Second, func() bool { return len(w.cloud.received()) > 0 }) {
		return false, fmt.Errorf("%w: no duty is done", errNotRun)
	}
	for range 2 {
		if _, err := w.startInstance(largeShare, 354); err != nil {
			return false, err
		}
	}
	if err := w.waitUntilReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var submissions sync.WaitGroup
	submissions.Go(w.submitSlowly)
	var healedAt time.Time
	if w.trouble {
		if !w.waitForOrders(ordersBeforeCut) {
			return false, fmt.Errorf("%w: no engines are ordered", errNotRun)
		}
		time.Sleep(cutAfterOrder)
		w.note("%s is cut off from the store and the platform's API for %v", holder.name, machineCutTime)
		toStore.cut(machineCutTime)
		toCloud.cut(machineCutTime)
		healedAt = time.Now().Add(machineCutTime)
	}
	submissions.Wait()
	time.Sleep(holderWatchTime)
	return w.hasFormerHolder(holder.name, healedAt)
}

// hasFormerHolder reports whether a call came with a lower token than an earlier one of its subject, not counting those that came
// within thawSlack after the link of their sender was healed.
func (w *world) hasFormerHolder(cutOff string, healedAt time.Time) (bool, error) {
	highest := map[string]int{}
	broken := 0
	for _, c := range w.cloud.received() {
		excused := c.holder == cutOff && !healedAt.IsZero() && c.at.After(healedAt) && c.at.Before(healedAt.Add(thawSlack))
		if c.token < highest[c.subject] && !excused {
			broken++
			w.note("%s: token %d of %s comes after token %d, %.3f s after its link was healed", c.subject, c.token, c.holder, highest[c.subject], c.at.Sub(healedAt).Seconds())
		}
		highest[c.subject] = max(highest[c.subject], c.token)
	}
	w.note("%d calls of a former holder", broken)
	return broken > 0, nil
}

// submitSlowly hands in one step of each trainer, one after the other, at the machines that are not cut off.
func (w *world) submitSlowly() {
	for t := range holderTrainers {
		path := fmt.Sprintf("/t%d/", t)
		body, _ := w.jobBody(0, fmt.Sprint("m", t), path, 3, groupItems, 64)
		w.submitTo(w.instances[1:], t, path, w.newID(), body, 2*time.Second)
		time.Sleep(holderPause)
	}
}

// waitForOrders waits for calls of the holder that order engines.
func (w *world) waitForOrders(n int) bool {
	return waitFor(5*time.Second, func() bool {
		orders := 0
		for _, c := range w.cloud.received() {
			if strings.HasPrefix(c.subject, "/scale") {
				orders++
			}
		}
		return orders >= n
	})
}

package main

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	crashEngines = 5
	// Each machine is stopped once in a round, one after the other, and starts again after restartDelay.
	restartRounds = 2
	betweenStops  = 1300 * time.Millisecond
	graceTime     = 8 * time.Second
	// crashingTries is how often the request comes before the first round and after each one.
	crashingTries = 10
	crashingPause = 700 * time.Millisecond
	backAfter     = 2 * time.Second
	// crashesThatCount is the number of crashes from which on retries count, and allowedRetries how many may then reach engines.
	crashesThatCount = 3
	allowedRetries   = 3
	// Both sizes are far below max_body_bytes.
	smallBodyBytes, largeBodyBytes = 12 << 10, 24 << 10
)

// crashLog holds how often the crashing request has reached engines.
type crashLog struct {
	mu      sync.Mutex
	crashes int
	thirdAt time.Time
	// sender is the machine that has the request now; lateRuns counts the retries that count.
	sender   *instance
	lateRuns int
}

// begin notes that the request has reached an engine and crashes it.
func (c *crashLog) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.thirdAt.IsZero() && now.Sub(c.thirdAt) > stableTime && now.Sub(c.sender.lastStart()) > stableTime {
		c.lateRuns++
	}
	c.crashes++
	if c.crashes == crashesThatCount {
		c.thirdAt = now
	}
}

// send notes which machine gets the request.
func (c *crashLog) send(i *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sender = i
}

// startCrashing starts a deployment whose engines crash when they begin to run a request with a body, and come back after backAfter.
func (w *world) startCrashing(crashing []byte) (*crashLog, error) {
	route := map[string]any{
		"name": "r-app", "host": host, "prefix": "/app/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 150, "priority": 1,
		"service": "app", "max_attempts": 2, "public": false,
	}
	w.configure(operatorConfig(7, []map[string]any{route}, []map[string]any{plainService("app")}))
	crashes := &crashLog{}
	var spec engineSpec
	spec = engineSpec{service: "app", software: "v1", slots: 6, handle: func(e *engine, rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.takePlace(rw, r) {
			return
		}
		defer e.freePlace()
		if !bytes.Equal(body, crashing) {
			_, _ = rw.Write([]byte("done"))
			return
		}
		crashes.begin(time.Now())
		e.crash("it begins to run " + r.Header.Get("X-Request-Id"))
		time.AfterFunc(backAfter, func() { _, _ = w.startEngine(e.host, spec) })
	}}
	for n := range crashEngines {
		if _, err := w.startEngine(firstEngineHost+n, spec); err != nil {
			return nil, err
		}
	}
	if err := w.startInstances(3, 354); err != nil {
		return nil, err
	}
	time.Sleep(stableTime)
	return crashes, nil
}

// result reports whether the request reached engines too often.
func (w *world) result(crashes *crashLog) (bool, error) {
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	w.note("the request has crashed engines %d times; %d of its retries reached engines more than %v after the third, from machines in touch; %d are allowed",
		crashes.crashes, crashes.lateRuns, stableTime, allowedRetries)
	if crashes.crashes < crashesThatCount {
		return false, errNotRun
	}
	return crashes.lateRuns > allowedRetries, nil
}

// playRestarts sends a request that crashes engines, before and after the machines are stopped and started in turn.
func playRestarts(w *world) (bool, error) {
	crashing := []byte("a request that crashes engines")
	crashes, err := w.startCrashing(crashing)
	if err != nil {
		return false, err
	}
	w.sendCrashing(crashes, crashing)
	for range restartRounds {
		if w.trouble {
			if err := w.restartInTurn(); err != nil {
				return false, err
			}
		}
		time.Sleep(stableTime)
		w.sendCrashing(crashes, crashing)
	}
	return w.result(crashes)
}

// playLarge sends a request that crashes engines and has a body of largeBodyBytes; without trouble it has a body of smallBodyBytes.
func playLarge(w *world) (bool, error) {
	crashing := make([]byte, smallBodyBytes)
	if w.trouble {
		crashing = make([]byte, largeBodyBytes)
	}
	crashes, err := w.startCrashing(crashing)
	if err != nil {
		return false, err
	}
	for range restartRounds + 1 {
		w.sendCrashing(crashes, crashing)
	}
	return w.result(crashes)
}

// sendCrashing sends the crashing request again and again, at the machines in turn.
func (w *world) sendCrashing(crashes *crashLog, body []byte) {
	for n := range crashingTries {
		i := w.instances[n%len(w.instances)]
		crashes.send(i)
		a := w.send(i, request{method: http.MethodPost, path: "/app/report", id: w.newID(), body: body, deadline: 2 * time.Second})
		w.note("the request at %s: %d %s", i.name, a.status, bytes.TrimSpace(a.body))
		time.Sleep(crashingPause)
	}
}

// restartInTurn stops the machines one after the other with SIGTERM and starts each of them again.
func (w *world) restartInTurn() error {
	for _, i := range w.instances {
		if !i.stop(graceTime) {
			i.kill("it has not stopped within the grace period")
		}
		time.Sleep(restartDelay)
		if err := i.startProcess(); err != nil {
			return err
		}
		time.Sleep(betweenStops)
	}
	return w.waitUntilReady()
}

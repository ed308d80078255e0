package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// dutyCall is a call of the holder of a duty.
type dutyCall struct {
	subject, holder string
	token           int
	at              time.Time
}

// cloud plays the platform's API for usage reports and target counts.
type cloud struct {
	world   *world
	address string

	mu    sync.Mutex
	calls []dutyCall
}

func startCloud(w *world) (*cloud, error) {
	c := &cloud{world: w, address: w.address(2, 8688)}
	return c, w.serve(c.address, c)
}

// ServeHTTP accepts every call, as a platform that does not check fencing tokens.
func (c *cloud) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := dutyCall{subject: r.URL.Path, holder: r.Header.Get("X-Duty-Holder"), at: time.Now()}
	call.token, _ = strconv.Atoi(r.Header.Get("X-Fence-Token"))
	var order struct{ Service, Zone string }
	if json.Unmarshal(body, &order) == nil && order.Service != "" {
		call.subject += " " + order.Service + " " + order.Zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
	c.world.note("the platform's API gets %s from %s with token %d: %s", r.URL.Path, call.holder, call.token, body)
}

// received returns the calls so far.
func (c *cloud) received() []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]dutyCall(nil), c.calls...)
}

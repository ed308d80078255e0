package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEngines  = 6
	streamSlots    = 12
	streamCount    = streamEngines * streamSlots
	streamEventsN  = 70
	streamDeadline = 14 * time.Second
	// drainAfter is when the release goes on: the new engine has started, and an old one drains.
	drainAfter = 3 * time.Second
	// joinedLimit is the number of streams that may hold events of two software versions.
	joinedLimit = 2
)

// clientStream is a stream as its client has received it.
type clientStream struct {
	first    string
	last     int
	software []string
	complete bool
}

// playStreams crashes one of six engines while a release adds the first engine of the next software version.
func playStreams(w *world) (bool, error) {
	route := map[string]any{
		"name": "r-chat", "host": host, "prefix": "/chat/", "kind": "stream", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1,
		"service": "llm", "max_attempts": 3, "public": false, "sticky": true, "resumable": true,
	}
	w.configure(operatorConfig(7, []map[string]any{route}, []map[string]any{engineService("llm", streamSlots, firstModel)}))
	spec := engineSpec{service: "llm", software: "v1", models: []string{firstModel}, slots: streamSlots, handle: streamEvents(streamEventsN)}
	var old []*engine
	for n := range streamEngines {
		e, err := w.startEngine(firstEngineHost+n, spec)
		if err != nil {
			return false, err
		}
		old = append(old, e)
	}
	if err := w.startInstances(2, 354); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	streams := make([]clientStream, streamCount)
	for n := range streams {
		wg.Go(func() { w.readStream(&streams[n], n) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		old[0].crash("a fault of its own")
		time.Sleep(300 * time.Millisecond)
		spec.software = "v2"
		if _, err := w.startEngine(firstEngineHost+streamEngines, spec); err != nil {
			return false, err
		}
		time.AfterFunc(drainAfter, old[1].drain)
	}
	wg.Wait()
	joined := 0
	for n, s := range streams {
		w.note("stream %d: events of %s, %d of %d, complete %v", n, strings.Join(s.software, " and "), s.last, streamEventsN, s.complete)
		if len(s.software) > 1 {
			joined++
		}
	}
	w.note("%d streams hold events of two software versions; %d are allowed", joined, joinedLimit)
	return joined > joinedLimit, nil
}

// readStream reads a stream, through the instance with number first to begin with. After a broken connection it takes the stream up at the other instance, after the last event.
func (w *world) readStream(s *clientStream, first int) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	end := time.Now().Add(streamDeadline)
	for attempt := 0; ctx.Err() == nil && !s.complete && attempt < 6; attempt++ {
		r := request{method: http.MethodPost, path: "/chat/a", id: w.newID(), header: map[string]string{"X-Model": "m0"}, body: []byte(fmt.Sprint("prompt of client ", first)), deadline: time.Until(end)}
		if s.last > 0 {
			r.header["Last-Event-Id"], r.header["Resumes"] = strconv.Itoa(s.last), s.first
		}
		i := w.instances[(first+attempt)%len(w.instances)]
		w.note("client sends %s to %s, after event %d", r.id, i.name, s.last)
		response, err := w.open(ctx, i, r)
		if err != nil {
			continue
		}
		w.note("client gets %d for %s", response.StatusCode, r.id)
		if response.StatusCode != http.StatusOK {
			response.Body.Close()
			time.Sleep(300 * time.Millisecond)
			continue
		}
		err = readEvents(response.Body, func(e streamEvent) { s.add(r.id, e) })
		response.Body.Close()
		s.complete = err == nil
		w.note("the answer to %s ends at event %d: %v", r.id, s.last, err)
	}
}

// add adds an event that a client attempt brought.
func (s *clientStream) add(attempt string, e streamEvent) {
	if s.last == 0 {
		s.first = attempt
	}
	s.last = e.id
	software := strings.Split(e.data, "/")[1]
	if len(s.software) == 0 || s.software[len(s.software)-1] != software {
		s.software = append(s.software, software)
	}
}

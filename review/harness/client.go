package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host   = "ficu95.example"
	key    = "i9n73hh2b9wu3fexd9dn"
	tenant = "kaje80"
	// firstModel is the model of services with one model.
	firstModel = "m0"
)

// operatorConfig returns a configuration of the operator.
func operatorConfig(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}

// configure writes a configuration to the store.
func (w *world) configure(config map[string]any) {
	w.store.put("op", "config", config)
	w.note("configuration %v is acknowledged", config["version"])
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 150, "protocol": "h1", "tls": false}
}

func engineService(name string, slots int, models ...string) map[string]any {
	var entries []map[string]any
	for _, model := range models {
		entries = append(entries, map[string]any{"name": model})
	}
	s := plainService(name)
	s["engine"] = map[string]any{
		"slots": slots, "kv_capacity": 82909, "kv_token_bytes": 163840, "link_mbps": 5900000.0, "stride": 64, "most": 12, "models": entries,
	}
	return s
}

// request is one client attempt.
type request struct {
	method, path, id string
	header           map[string]string
	body             []byte
	deadline         time.Duration
}

// open sends a client attempt to an instance on a new connection.
func (w *world) open(ctx context.Context, i *instance, r request) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+i.frontAddress()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	q.Host = host
	q.Header.Set("X-Request-Id", r.id)
	q.Header.Set("Authorization", "Bearer "+key)
	if r.deadline > 0 {
		q.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	for name, value := range r.header {
		q.Header.Set(name, value)
	}
	return (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(q)
}

// answer is what a client attempt got; status is 0 if there was no complete answer.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// send sends a client attempt and reads the whole answer.
func (w *world) send(i *instance, r request) answer {
	limit := 5 * time.Second
	if r.deadline > 0 {
		limit = r.deadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	response, err := w.open(ctx, i, r)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	a := answer{status: response.StatusCode, header: response.Header, body: body}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// streamEvent is an event of a stream as a client gets it.
type streamEvent struct {
	id   int
	data string
}

// readEvents passes the events of an answer on as they arrive. It returns nil if the answer ended as complete.
func readEvents(body io.Reader, sink func(streamEvent)) error {
	lines := bufio.NewReader(body)
	var e streamEvent
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "":
			sink(e)
			e = streamEvent{}
		case strings.HasPrefix(line, "id: "):
			e.id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		}
	}
}

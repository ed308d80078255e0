package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	routeHost = "callers.example"
	apiKey    = "key-of-team-one"
	teamName  = "team-one"
)

// newID returns the id of a request.
func newID() string {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// route is a route of the operator's configuration.
type route map[string]any

// writeConfig writes the operator's first configuration.
func (b *bench) writeConfig(routes []route, services []map[string]any) {
	b.store.put("op", "config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": append([]map[string]any{{"name": teamName, "api_keys": []string{apiKey}, "priority": 1}}, b.tenants...),
	})
	b.add("the operator sends the configuration")
}

// addTenant adds a tenant with one key to the configuration that writeConfig will write.
func (b *bench) addTenant(name, key string) {
	b.tenants = append(b.tenants, map[string]any{"name": name, "api_keys": []string{key}, "priority": 1})
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}
}

func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 12, "kv_capacity": 82909, "stride": 16, "models": []map[string]any{{"name": modelName}}},
	}
}

func plainRoute(name, prefix, kind string) route {
	return route{
		"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 2,
		"service": "app", "max_attempts": 2, "public": false,
	}
}

func rolloutRoute(name, prefix, service string) route {
	return route{
		"name": name, "host": routeHost, "prefix": prefix, "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 500, "priority": 1,
		"service": service, "max_attempts": 3, "item_ttl_s": 40.0, "run_target_ms": 7500, "single_version": false, "public": false, "sticky": true,
		"resumable": true,
	}
}

// reply is an answer to a client.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return strconv.Itoa(r.status)
}

// call sends one request on a new connection.
func (b *bench) call(i *instance, method, path, id string, body []byte, header map[string]string, timeout time.Duration) reply {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	return b.send(transport, i, method, path, id, bytes.NewReader(body), header, timeout)
}

// send sends one request over the connections of a transport. The body is read while it is sent.
func (b *bench) send(transport *http.Transport, i *instance, method, path, id string, body io.Reader, header map[string]string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(b.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+path, body)
	if err != nil {
		return reply{err: err}
	}
	request.Host = routeHost
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: data, err: err}
}

// jobItem is an item of a batch job.
type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

func newItem(prefix, group string) jobItem {
	id := newID()
	return jobItem{
		ID: id, Path: prefix + "1/" + id[:4], Body: []byte("prompt of " + id), Tokens: 940, Group: group,
		Headers: map[string]string{"X-Model": modelName, "X-Token-Usage": "540,400", "X-Prompt-Prefix": group + ":300," + id + ":240"},
	}
}

// jobBody is the body that submits a batch job.
func jobBody(step, wanted int, items []jobItem) []byte {
	data, err := json.Marshal(map[string]any{"step": step, "model": modelName, "min_version": 1, "desired_count": wanted, "requests": items})
	if err != nil {
		panic(err)
	}
	return data
}

// page is a page of results of a batch job.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID       string `json:"id"`
		State    string `json:"state"`
		Output   string `json:"output"`
		Versions []int  `json:"versions"`
	} `json:"results"`
}

// registerPlain starts a plain service with one goroutine a connection, and writes its entry until the program ends.
func (b *bench) registerPlain(id string, serve func(net.Conn)) {
	l, started := listen("127.0.0.1"), time.Now()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			b.store.put("servers", id, map[string]any{
				"service": "app", "addr": l.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
				"seq": seq, "born": started.UnixMilli(),
			})
			time.Sleep(beatInterval)
		}
	}()
}

// readResults reads the results of a job from a position.
func (b *bench) readResults(i *instance, job string, after int) (page, reply) {
	return b.readResultsOf(map[string]string{}, i, job, after)
}

// readResultsOf is readResults with further headers, such as the key of another tenant.
func (b *bench) readResultsOf(header map[string]string, i *instance, job string, after int) (page, reply) {
	header = maps.Clone(header)
	header["X-Wait-Ms"] = "1000"
	r := b.call(i, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", job, after), "", nil, header, 4*time.Second)
	var p page
	if r.err == nil && r.status == http.StatusOK {
		r.err = json.Unmarshal(r.body, &p)
	}
	return p, r
}

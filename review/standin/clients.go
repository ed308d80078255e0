package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Routes and services of the cases, with the figures of the sheets.
const (
	batchRoute = `{"name":"steps","host":"entry.example","prefix":"/steps/","kind":"rollout","service":"llm","timeout_ms":10000,` +
		`"target_latency_ms":400,"run_target_ms":7500,"priority":1,"max_attempts":3,"item_ttl_s":40}`
	llmService  = `{"name":"llm","engine":{"slots":4,"stride":56,"models":[{"name":"m0"}]}}`
	streamRoute = `{"name":"drafts","host":"entry.example","prefix":"/drafts/","kind":"stream","resumable":true,"service":"drafts",` +
		`"timeout_ms":10000,"target_latency_ms":400,"priority":1,"max_attempts":3}`
	draftService = `{"name":"drafts"}`
	appRoute     = `{"name":"resa","host":"entry.example","prefix":"/resa/","kind":"safe","service":"app",` +
		`"timeout_ms":2000,"target_latency_ms":150,"priority":2,"max_attempts":3}`
	appService = `{"name":"app"}`
)

// jobBody returns a job with n items, whose ids begin with the job's id.
func jobBody(job string, n int) []byte {
	items := make([]map[string]any, 0, n)
	for i := range n {
		items = append(items, map[string]any{
			"id": fmt.Sprintf("%s-%03d", job, i), "path": "/steps/" + job, "body": bytes.Repeat([]byte("b"), 600), "tokens": 2000, "group": fmt.Sprintf("%s-g%d", job, i/8),
			"headers": map[string]string{"X-Model": "m0", "X-Token-Usage": "540,1120"},
		})
	}
	data, err := json.Marshal(map[string]any{"step": 0, "model": "m0", "min_version": 1, "desired_count": n / 8, "requests": items})
	check(err)
	return data
}

// piece is one event of a stream as the client read it. Its data names the software version that made it.
type piece struct {
	id       int
	software string
}

// readStream sends a request for a stream and returns its events and whether it ended as complete.
func (b *bench) readStream(n *node, path, id string, headers ...string) (pieces []piece, status int, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := b.send(ctx, n, "POST", path, id, []byte("{}"), headers...)
	if err != nil {
		return nil, 0, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, response.StatusCode, false
	}
	lines := bufio.NewScanner(response.Body)
	next := piece{}
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			next.id, _ = strconv.Atoi(value)
		case name == "data":
			next.software, _, _ = strings.Cut(value, "/")
		case lines.Text() == "" && next.id > 0:
			pieces = append(pieces, next)
			next = piece{}
		}
	}
	return pieces, response.StatusCode, lines.Err() == nil
}

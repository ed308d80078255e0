package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// faultyEcho echoes request bodies. Depending on the body, it resets or closes the connection, truncates the
// response or sends a second, stale response. It records the bodies of the requests that it ran.
func faultyEcho(t *testing.T, ran *sync.Map) http.HandlerFunc {
	var mu sync.Mutex
	runs := map[string]int{}
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if _, alreadyRan := ran.LoadOrStore(string(body), true); alreadyRan && r.Method == http.MethodPost {
			t.Error("a request that is not idempotent ran twice")
		}
		mu.Lock()
		runs[string(body)]++
		run := runs[string(body)]
		mu.Unlock()
		// The fault is derived from the body and the number of its run, so that it is the same in each test run.
		switch xxhash.Sum64String(fmt.Sprint(run, string(body))) % 12 {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			w.Header().Set("Connection", "close")
		case 2:
			c, _, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", len(body), body)
			go func() { _, _ = io.Copy(io.Discard, c); c.Close() }()
			return
		case 3:
			_ = http.NewResponseController(w).Flush()
		case 4:
			_, _ = w.Write(body)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body)
	}
}

// Guards against responses to other requests, repeated runs of non-idempotent requests and a false outcome
// "not run" when many requests share connections that fail in various ways.
func TestCrossedResponses(t *testing.T) {
	var ran, results sync.Map
	url := serve(t, faultyEcho(t, &ran))
	nonIdempotent := newFakeDeps(url).serveEntry(t, Call{})
	idempotent := newFakeDeps(url, url, url, url).serveEntry(t, Call{Idempotent: true})
	var callers sync.WaitGroup
	for caller := range 16 {
		callers.Go(func() {
			for i := range 100 {
				body := fmt.Sprint(caller, " ", i, strings.Repeat("x", (caller*7919+i*104729)%20000))
				results.Store(sendAndCheck(t, http.MethodPost, nonIdempotent, body, &ran), true)
				results.Store(sendAndCheck(t, http.MethodPut, idempotent, "put "+body, &ran), true)
			}
		})
	}
	callers.Wait()
	for _, want := range []string{"POST ran", "POST unknown", "PUT ran", "POST broken"} {
		if _, ok := results.Load(want); !ok {
			t.Errorf("no request ended as %s", want)
		}
	}
}

// sendAndCheck sends one request, checks its response and returns the method and outcome.
func sendAndCheck(t *testing.T, method, url, body string, ran *sync.Map) string {
	request, _ := http.NewRequest(method, url+"/x", strings.NewReader(body))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return method + " broken"
	}
	if response.StatusCode == http.StatusOK && string(got) != body {
		t.Errorf("response %.20q to request %.20q", got, body)
	}
	result := response.Header.Get(OutcomeHeader)
	if _, started := ran.Load(body); started && result == "not_run" {
		t.Errorf("request %.20q ran, but its outcome is not_run", body)
	}
	return method + " " + result
}

package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/egretspar/egretspar/internal/outcome"
)

// respondRaw sends bytes that net/http would not send, and closes the connection.
func respondRaw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, response)
		c.Close()
	}
}

// handleInTurn serves each request with the next handler, and all further requests with the last one.
func handleInTurn(requests *atomic.Int32, handlers ...http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handlers[min(int(requests.Add(1))-1, len(handlers)-1)](w, r)
	}
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

type plainCase struct {
	name       string
	method     string
	idempotent bool
	// unreachableFirst adds a first target that refuses connections.
	unreachableFirst bool
	handlers         []http.HandlerFunc
	status           int
	outcome          outcome.Outcome
	reason           outcome.Reason
	runs             int32
	// uploadSize is the size of a streamed body, which cannot be sent again; 0 means a small body.
	uploadSize int64
	// wantTruncated expects that the caller sees a truncated response.
	wantTruncated bool
}

// Guards against a wrong outcome, a second run of a non-idempotent request and a truncated response that looks
// complete.
func TestPlainFaults(t *testing.T) {
	big := strings.Repeat("x", 1<<20)
	lost, truncated, succeed := outcome.ResponseLost, outcome.ResponseTruncated, respondWith("ok")
	short := respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
	cases := []plainCase{
		{name: "refused then ok", method: "POST", unreachableFirst: true, handlers: []http.HandlerFunc{succeed}, status: 200, outcome: outcome.Ran, runs: 1},
		{name: "all refused", method: "POST", unreachableFirst: true, status: 502, outcome: outcome.NotRun, reason: outcome.TargetUnreachable},
		{name: "reset before headers, post", method: "POST", handlers: []http.HandlerFunc{respondRaw(""), succeed}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "reset before headers, get", method: "GET", idempotent: true, handlers: []http.HandlerFunc{respondRaw(""), succeed}, status: 200, outcome: outcome.Ran, runs: 2},
		{name: "reset before headers, put", method: "PUT", idempotent: true, handlers: []http.HandlerFunc{respondRaw(""), succeed}, status: 200, outcome: outcome.Ran, runs: 2},
		{name: "idempotent with body read", method: "PUT", uploadSize: 9, idempotent: true, handlers: []http.HandlerFunc{respondRaw(""), succeed}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "short length, post", method: "POST", handlers: []http.HandlerFunc{short, succeed}, status: 502, outcome: outcome.Unknown, reason: truncated, runs: 1},
		{name: "short length, get", method: "GET", idempotent: true, handlers: []http.HandlerFunc{short, succeed}, status: 200, outcome: outcome.Ran, runs: 2},
		{name: "truncated chunked body", method: "GET", idempotent: true, handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")}, status: 200, runs: 1, wantTruncated: true},
		{name: "reset mid-body", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + big)}, status: 200, runs: 1, wantTruncated: true},
		{name: "503 with Retry-After", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 503 No\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n")}, status: 503, outcome: outcome.Ran, runs: 1},
		{name: "503, get", method: "GET", idempotent: true, handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), succeed}, status: 200, outcome: outcome.Ran, runs: 2},
		{name: "503 everywhere", method: "GET", idempotent: true, handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")}, status: 503, outcome: outcome.Ran, runs: 2},
		{name: "response before the end of the body", method: "POST", uploadSize: 64 << 20, handlers: []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(413) }}, status: 413, outcome: outcome.Ran, runs: 1},
		{name: "reset during the upload", method: "POST", uploadSize: 64 << 20, handlers: []http.HandlerFunc{func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "early hints", method: "GET", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")}, status: 200, outcome: outcome.Ran, runs: 1},
		{name: "flood of 1xx", method: "POST", handlers: []http.HandlerFunc{respondRaw(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 50))}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "unsolicited protocol switch", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "invalid status", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n")}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "oversized headers", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nX: " + big + "\r\n\r\n")}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "malformed header", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n")}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "two lengths", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc")}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "forged outcome", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nEgretspar-Outcome: not_run\r\nContent-Length: 0\r\n\r\n")}, status: 200, outcome: outcome.Ran, runs: 1},
		{name: "response to another request", method: "POST", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nEgretspar-Request: other\r\nContent-Length: 0\r\n\r\n")}, status: 502, outcome: outcome.Unknown, reason: lost, runs: 1},
		{name: "redirect", method: "GET", handlers: []http.HandlerFunc{respondRaw("HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n")}, status: 302, outcome: outcome.Ran, runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t) })
	}
}

func (c plainCase) run(t *testing.T) {
	var runs atomic.Int32
	var urls []string
	if c.unreachableFirst {
		urls = append(urls, closedPortURL())
	}
	if c.handlers != nil {
		url := serve(t, handleInTurn(&runs, c.handlers...))
		urls = append(urls, url, url)
	}
	entry := newFakeDeps(urls...).serveEntry(t, Call{Idempotent: c.idempotent})
	var body io.Reader
	if c.method != "GET" {
		body = strings.NewReader("payload")
	}
	if c.uploadSize > 0 {
		body = io.LimitReader(zeros{}, c.uploadSize)
	}
	request, _ := http.NewRequest(c.method, entry+"/", body)
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if (err != nil) != c.wantTruncated {
		t.Errorf("read error %v, want an error: %v", err, c.wantTruncated)
	}
	if bytes.Contains(got, []byte("secret")) {
		t.Error("the response contains the caller's key")
	}
	h := response.Header
	if response.StatusCode != c.status || !c.wantTruncated && h.Get(OutcomeHeader) != string(c.outcome) || h.Get(ReasonHeader) != string(c.reason) || runs.Load() != c.runs {
		t.Errorf("got %d %q %q, %d runs", response.StatusCode, h.Get(OutcomeHeader), h.Get(ReasonHeader), runs.Load())
	}
}

// Guards against credentials that reach a target in a header or trailer, and against lost trailers, path escapes
// and bodies.
func TestPlainKeepsSemantics(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, n, " ", r.RequestURI, r.Header, r.Trailer)
		w.Header().Set("X-Sum", "7")
	})
	entry := newFakeDeps(url+"/base").serveEntry(t, Call{})
	const size = 3 << 20
	request, _ := http.NewRequest("POST", entry+"/a%2Fb//c?x=%20&y", io.LimitReader(zeros{}, size))
	request.Header = http.Header{"Authorization": {"secret"}, "Expect": {"100-continue"}, "Connection": {"X-Mine"}, "X-Mine": {"hop"}, "Egretspar-Attempt": {"0"}}
	request.Trailer = http.Header{"X-Api-Key": {"secret"}, "X-Check": {"sum"}}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	want := fmt.Sprint(size, " /base/a%2Fb//c?x=%20&y", "map[Accept-Encoding:[gzip] Egretspar-Request:[request-1] Expect:[100-continue] User-Agent:[Go-http-client/1.1]]", " map[X-Check:[sum]]")
	if string(text) != want {
		t.Errorf("target saw\n%s want\n%s", text, want)
	}
	if response.StatusCode != 201 || response.Header.Get("X-Hop") != "" || response.Trailer.Get("X-Sum") != "7" || response.Trailer.Get(OutcomeHeader) != "ran" {
		t.Errorf("caller got %d %v %v", response.StatusCode, response.Header, response.Trailer)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against request smuggling (one request of the caller becomes two at the target) and against forwarding
// requests that must be refused.
func TestPlainRawRequests(t *testing.T) {
	var runs atomic.Int32
	entry := newFakeDeps(serve(t, handleInTurn(&runs, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%d %v %q", r.ContentLength, r.TransferEncoding, b)
	}))).serveEntry(t, Call{})
	smuggled := "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []struct{ request, want string }{
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + smuggled, `-1 [chunked] ""`},
		{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity, chunked\r\n\r\n" + smuggled, "501 "},
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 "},
		{"GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", "upgrade_unsupported"},
		{"TRACE / HTTP/1.1\r\nHost: x\r\n\r\n", "request_invalid"},
		{"GET /a/%2e%2e/b HTTP/1.1\r\nHost: x\r\n\r\n", "request_invalid"},
		{"GET / HTTP/1.1\r\nHost: x\r\nX: a\rb\r\n\r\n", "400 "},
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(entry, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, c.request)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(c.request, err)
		}
		var all bytes.Buffer
		_ = response.Write(&all)
		if !strings.Contains(all.String(), c.want) {
			t.Errorf("%q: got %q, want %q", c.request, all.String(), c.want)
		}
		conn.Close()
	}
	if runs.Load() != 1 {
		t.Errorf("target ran %d requests, want 1", runs.Load())
	}
}

// Guards against treating a TLS session ticket on a pooled connection as an unsolicited response.
func TestPlainTLS(t *testing.T) {
	secure := httptest.NewTLSServer(respondWith("ok"))
	defer secure.Close()
	options := newFakeDeps(secure.URL).options()
	options.TLS = secure.Client().Transport.(*http.Transport).TLSClientConfig
	f := New(options)
	entry := serve(t, handler(f, Call{}))
	pool, _ := f.client.pool(secure.URL)
	var connection *conn
	for range 2 {
		response, err := http.Post(entry, "", strings.NewReader("x"))
		if err != nil || response.Header.Get(OutcomeHeader) != "ran" {
			t.Fatal(response, err)
		}
		response.Body.Close()
		// The connection returns to the pool after the response; otherwise this loop does not end.
		for connection = pool.get(); connection == nil; connection = pool.get() {
			runtime.Gosched()
		}
		connection.closeClientConn()
	}
}

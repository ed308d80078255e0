package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/uploadtest"
)

const (
	// earlyUpload is the size in bytes of a body whose target responds when it has read a part of it.
	earlyUpload = 160 << 10
	// longResponse is the size in bytes of a response that is forwarded as it arrives.
	longResponse = 48 << 10
)

// earlyTarget responds to each request when it has read the first part of its body, keeps the connection and reads on.
type earlyTarget struct {
	// response is what it writes.
	response string
	bodies   chan uploadtest.Received
}

// startEarlyTarget starts a target with a raw response and returns its URL too.
func startEarlyTarget(t *testing.T, response string) (*earlyTarget, string) {
	e := &earlyTarget{response: response, bodies: make(chan uploadtest.Received, 1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, "http://" + l.Addr().String()
}

func (e *earlyTarget) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		first := make([]byte, uploadtest.PartSize)
		n, _ := io.ReadFull(r.Body, first)
		_, _ = io.WriteString(c, e.response)
		rest, err := io.ReadAll(r.Body)
		e.bodies <- uploadtest.Received{Data: append(first[:n], rest...), Err: err}
		if err != nil {
			return
		}
	}
}

// earlyCase is a raw response and what its caller gets.
type earlyCase struct {
	raw  string
	want uploadtest.Response
}

func earlyCases() map[string]earlyCase {
	long := strings.Repeat("r", longResponse)
	return map[string]earlyCase{
		"short":         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nshort", uploadtest.Response{Status: 200, Body: "short"}},
		"long":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", longResponse, long), uploadtest.Response{Status: 200, Body: long}},
		"chunked":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nchunked\r\n0\r\n\r\n", uploadtest.Response{Status: 200, Body: "chunked"}},
		"long, chunked": {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", longResponse, long), uploadtest.Response{Status: 200, Body: long}},
		"empty":         {"HTTP/1.1 204 No Content\r\n\r\n", uploadtest.Response{Status: 204}},
		"failure":       {"HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nbad", uploadtest.Response{Status: 400, Body: "bad"}},
		"interim first": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", uploadtest.Response{Status: 200, Body: "late"}},
	}
}

// forEachEarlyUpload calls f for each early response to a body in chunks and with a length, directly and through another instance.
func forEachEarlyUpload(t *testing.T, f func(t *testing.T, target *earlyTarget, entryURL string, want uploadtest.Response, isChunked bool)) {
	for name, c := range earlyCases() {
		for _, isRelayed := range []bool{false, true} {
			for _, isChunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, relayed %t, in chunks %t", name, isRelayed, isChunked), func(t *testing.T) {
					t.Parallel()
					target, url := startEarlyTarget(t, c.raw)
					pair := newRelayPairTo(t, url)
					pair.isCut.Store(isRelayed)
					f(t, target, serve(t, handler(pair.cut, Call{})), c.want, isChunked)
				})
			}
		}
	}
}

// Guards against other bytes in the place of a body whose target responds before it has read it: the HTTP server reads a part of the
// body itself before it sends a response, unless it is told not to.
func TestEarlyResponseLeavesBodyUnchanged(t *testing.T) {
	forEachEarlyUpload(t, func(t *testing.T, target *earlyTarget, entryURL string, want uploadtest.Response, isChunked bool) {
		for round := range 5 {
			request := uploadtest.Request{Path: "/x", Body: uploadtest.NewBody(earlyUpload), IsChunked: isChunked}
			caller := uploadtest.Dial(t, entryURL)
			go func() { _ = caller.Send(request) }()
			if got, err := caller.ReadResponse(); err != nil || got != want {
				t.Errorf("round %d: the caller got %d, %d bytes, %v", round, got.Status, len(got.Body), err)
			}
			received := <-target.bodies
			if err := received.Check(request.Body); err != nil {
				t.Errorf("round %d: %v", round, err)
			}
		}
	})
}

// Guards against the rest of a body that the HTTP server takes for a request: its target responded early and closed the connection, so
// nothing read that rest.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	for _, isChunked := range []bool{false, true} {
		var runs atomic.Int64
		url := serve(t, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			_, _ = io.ReadFull(r.Body, make([]byte, uploadtest.PartSize))
			c, _, _ := w.(http.Hijacker).Hijack()
			defer c.Close()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nearly")
		})
		caller := uploadtest.Dial(t, newFakeDeps(url).serveEntry(t, Call{}))
		// The rest of the body looks like a request.
		rest := []byte("POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		request := uploadtest.Request{Path: "/x", Body: make([]byte, earlyUpload), IsChunked: isChunked}
		part := request.Body[:uploadtest.PartSize]
		_ = caller.SendHead(request)
		_ = caller.SendPart(request, part)
		if got, err := caller.ReadResponse(); err != nil || got.Body != "early" {
			t.Errorf("in chunks %t: the caller got %+v, %v", isChunked, got, err)
		}
		for range 3 {
			_ = caller.SendPart(request, part)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * abortReadGrace)
		_, _ = caller.Write(rest)
		if got, err := caller.ReadResponse(); err == nil {
			t.Errorf("in chunks %t: the caller got a second response, %+v", isChunked, got)
		}
		if runs.Load() != 1 {
			t.Errorf("in chunks %t: the target ran %d requests", isChunked, runs.Load())
		}
	}
}

// Guards against an upload that is broken off when its target has responded, although the target keeps the connection and reads on, and
// against a caller's connection that is closed although its body was read.
func TestUploadOutlastsResponse(t *testing.T) {
	forEachEarlyUpload(t, func(t *testing.T, target *earlyTarget, entryURL string, want uploadtest.Response, isChunked bool) {
		caller := uploadtest.Dial(t, entryURL)
		// The second request uses the caller's connection again.
		for _, size := range []int{earlyUpload, 1} {
			request := uploadtest.Request{Path: "/x", Body: uploadtest.NewBody(size), IsChunked: isChunked, Pause: 10 * time.Millisecond}
			sent := make(chan error, 1)
			go func() { sent <- caller.Send(request) }()
			if got, err := caller.ReadResponse(); err != nil || got != want {
				t.Fatalf("size %d: the caller got %d, %d bytes, %v", size, got.Status, len(got.Body), err)
			}
			received := <-target.bodies
			if err := received.CheckWhole(request.Body); err != nil {
				t.Fatalf("size %d: %v", size, err)
			}
			if err := <-sent; err != nil {
				t.Fatalf("size %d: the caller sent its body, %v", size, err)
			}
		}
	})
}

// Guards against an upload after the response that goes on for ever, because its caller or its target stops, and against a caller that
// does not see the end of the response before it sends more.
func TestStalledUploadAfterResponse(t *testing.T) {
	const bodyBytes = 1 << 20
	cases := earlyCases()
	for name, c := range map[string]struct {
		response earlyCase
		// reads is set for a target that reads on, sends for a caller that sends on.
		reads, sends bool
		limit        time.Duration
	}{
		"caller waits for the end":   {cases["chunked"], true, false, 3 * abortReadGrace},
		"caller stops":               {cases["short"], true, false, uploadStallTimeout + 3*abortReadGrace},
		"target stops":               {cases["short"], false, true, uploadStallTimeout + 3*abortReadGrace},
		"target stops, no length":    {cases["chunked"], false, true, uploadStallTimeout + 3*abortReadGrace},
		"caller and target go on":    {cases["short"], true, true, time.Second},
		"both go on, without length": {cases["chunked"], true, true, time.Second},
	} {
		runOnNetwork(t, name, []string{"http://raw"}, func(s *testNetwork) {
			conns := make(chan net.Conn)
			s.hosts["raw:80"] = conns
			received := make(chan uploadtest.Received, 1)
			ends := make(chan UploadEnd, 1)
			s.forward.Plain.options.ObserveLateUpload = func(end UploadEnd) { ends <- end }
			go func() {
				conn := <-conns
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.ReadFull(r.Body, make([]byte, uploadtest.PartSize))
				_, _ = io.WriteString(conn, c.response.raw)
				if !c.reads {
					time.Sleep(time.Minute)
				}
				_, err = io.Copy(io.Discard, r.Body)
				received <- uploadtest.Received{Err: err}
			}()
			s.serve("entry", handler(s.forward, Call{}))
			conn, err := s.dial(s.Context(), "tcp", "entry:80")
			if err != nil {
				s.Fatal(err)
			}
			defer conn.Close()
			caller := uploadtest.NewCaller(conn)
			request := uploadtest.Request{Path: "/x", Body: make([]byte, bodyBytes)}
			begin := time.Now()
			go func() {
				_ = caller.SendHead(request)
				_ = caller.SendPart(request, request.Body[:2*uploadtest.PartSize])
				if c.sends {
					// The transport gives up a connection whose upload goes on for longer than 50 ms.
					time.Sleep(200 * time.Millisecond)
					_ = caller.SendPart(request, request.Body[2*uploadtest.PartSize:])
				}
			}()
			if got, err := caller.ReadResponse(); err != nil || got != c.response.want {
				s.Errorf("the caller got %+v, %v", got, err)
			}
			got := <-received
			isWhole := c.reads && c.sends
			if took := time.Since(begin); isWhole != (got.Err == nil) || c.reads && took > c.limit {
				s.Errorf("after %v the body ended with %v", took, got.Err)
			}
			if !isWhole {
				_, err := caller.Read(make([]byte, 1))
				if took := time.Since(begin); err == nil || c.reads && took > c.limit {
					s.Errorf("after %v the caller's connection ended with %v", took, err)
				}
			}
			if end := <-ends; isWhole != (end == UploadWhole) {
				s.Errorf("the upload counts as %s", end)
			}
			// The connections are closed.
			time.Sleep(time.Minute)
		})
	}
}

// Guards against an upload that is broken off because the call has ended, and with it its context, before the transport closes the
// connection.
func TestUploadOutlastsItsCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	sent, err := newUploadWithoutTrailers(strings.NewReader("body"), func(time.Time) error { return nil }).begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	for _, isWhole := range []bool{false, true} {
		c := &conn{responseRead: isWhole, head: headCheck{part: bodyPart}}
		if got := c.mayOutlastLocked(sent); got != isWhole {
			t.Errorf("whole response %t: the upload may go on: %t", isWhole, got)
		}
	}
}

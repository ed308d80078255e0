package connlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// fakeConn is a connection from an address.
type fakeConn struct {
	net.Conn
	address string
	closed  bool
	// accepts is the number of bytes that one write takes.
	accepts int
}

func (f *fakeConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(f.address), Port: 1}
}

func (f *fakeConn) Close() error {
	f.closed = true
	return nil
}

func (f *fakeConn) Read(p []byte) (int, error) { return len(p), nil }

func (f *fakeConn) Write(p []byte) (int, error) {
	if len(p) > f.accepts {
		return f.accepts, io.ErrShortWrite
	}
	return len(p), nil
}

func noHeadLimit() int64 { return 0 }

// Guards against unfinished heads that fill the memory, and against bytes of heads that count on after the request began or
// the connection was closed.
func TestUnfinishedHeadsAreBounded(t *testing.T) {
	l := New(func() int { return 10 }, func() int64 { return 1000 })
	read := func(c *conn, n int) { _, _ = c.Read(make([]byte, n)) }
	var conns []*conn
	for range 3 {
		conns = append(conns, l.admit(&fakeConn{address: "10.0.0.1"}, time.Now()))
	}
	read(conns[0], 300)
	read(conns[1], 600)
	conns[1].requests.Add(1)
	conns[1].resetHead()
	read(conns[1], 900)
	read(conns[2], 700)
	if l.Open() != 3 {
		t.Fatal("a connection was closed within the limit")
	}
	read(conns[0], 100)
	if !conns[2].closed.Load() || conns[0].closed.Load() || l.headBytes.Load() != 400 {
		t.Errorf("closed: %v, %v, %v; %d bytes", conns[0].closed.Load(), conns[1].closed.Load(), conns[2].closed.Load(), l.headBytes.Load())
	}
	_ = conns[0].Close()
	if n := l.headBytes.Load(); n != 0 {
		t.Errorf("%d bytes count for no connection", n)
	}
}

// Guards against a crowd of one address that keeps others out, and against closing a connection that serves a request or
// one that has just been opened.
func TestFullLimiterClosesIdleConnections(t *testing.T) {
	l := New(func() int { return 4 }, noHeadLimit)
	start := time.Now()
	var conns []*fakeConn
	admit := func(address string, after time.Duration) *conn {
		f := &fakeConn{address: address}
		conns = append(conns, f)
		return l.admit(f, start.Add(after))
	}
	light := admit("10.0.0.2", 0)
	busy := admit("10.0.0.1", 1)
	busy.requests.Add(1)
	admit("10.0.0.1", 2)
	admit("10.0.0.1", 3)
	if admit("10.0.0.1", 4) == nil || !conns[2].closed {
		t.Fatal("the longest idle connection of the heaviest address stays open")
	}
	if conns[0].closed || conns[1].closed || conns[3].closed {
		t.Error("another connection was closed")
	}
	for c := range l.open {
		c.requests.Store(1)
	}
	if admit("10.0.0.3", 5) != nil {
		t.Error("a connection was admitted beyond the limit")
	}
	light.readingBody.Store(true)
	light.bodySince.Store(start.UnixNano())
	if admit("10.0.0.3", stallTime) == nil || !conns[0].closed {
		t.Error("a connection with a stalled body stays open")
	}
	if got := l.Counts(); got.Evicted != 2 || got.Refused != 1 || l.Open() != 4 {
		t.Errorf("counts %+v, %d open", got, l.Open())
	}
}

// Guards against connections that send a body or read a response so slowly that they hold memory without end, and against
// closing those that only wait for a target.
func TestSlowConnectionsAreFound(t *testing.T) {
	l := New(func() int { return 0 }, noHeadLimit)
	ticksUntilSlow := func(prepare func(*conn), eachTick func(*conn)) int {
		c := l.admit(&fakeConn{address: "10.0.0.1", accepts: minTickBytes}, time.Now())
		defer c.Close()
		prepare(c)
		for n := range 10 * maxSlowTicks {
			if len(l.slowConnections()) > 0 {
				return n
			}
			eachTick(c)
		}
		return -1
	}
	nothing := func(*conn) {}
	cases := []struct {
		name              string
		prepare, eachTick func(*conn)
		want              int
	}{
		{"stalled body", func(c *conn) { c.readingBody.Store(true) }, nothing, maxSlowTicks},
		{"unread response", func(c *conn) { c.writing.Store(true) }, nothing, maxSlowTicks},
		{"waits for a target", nothing, nothing, -1},
		{"steady body", func(c *conn) { c.readingBody.Store(true) }, func(c *conn) {
			body := &watchedBody{ReadCloser: io.NopCloser(strings.NewReader(strings.Repeat("b", minTickBytes))), conn: c}
			_, _ = io.Copy(io.Discard, body)
			c.readingBody.Store(true)
		}, -1},
		{"steady response", nothing, func(c *conn) {
			_, _ = c.Write(make([]byte, minTickBytes))
			c.writing.Store(true)
		}, -1},
	}
	for _, tc := range cases {
		if got := ticksUntilSlow(tc.prepare, tc.eachTick); got != tc.want {
			t.Errorf("%s: slow after %d ticks, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against a wrapped listener that breaks keep-alive or never counts a closed connection.
func TestServerWithLimiter(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(func() int { return 10 }, noHeadLimit)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })}
	l.Apply(server)
	go func() { _ = server.Serve(l.Listener(inner)) }()
	for range 3 {
		response, err := http.Post("http://"+inner.Addr().String(), "text/plain", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if string(body) != "body" || l.Open() != 1 {
			t.Errorf("body %q, %d connections", body, l.Open())
		}
	}
	server.Close()
	for l.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a client that sends many requests ahead, reads no response and makes the server work on all of them.
func TestUnreadResponsesHoldBackRequests(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const responseBytes, requests = 4 << 10, 2000
	var served atomic.Int64
	finished := make(chan struct{})
	l := New(func() int { return 10 }, noHeadLimit)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if served.Add(1) == requests {
			close(finished)
		}
		_, _ = w.Write(make([]byte, responseBytes))
	})}
	l.Apply(server)
	go func() { _ = server.Serve(l.Listener(inner)) }()
	defer server.Close()
	client, err := (&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, responseBytes)
		})
	}}).Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	go func() { _, _ = io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests)) }()
	for before := int64(-1); served.Load() == 0 || served.Load() != before; time.Sleep(100 * time.Millisecond) {
		before = served.Load()
	}
	// The client's and the server's buffers hold the responses that were sent.
	if n := served.Load(); n > (maxUnsentBytes+64<<10)/responseBytes {
		t.Errorf("%d requests were served while no response was read", n)
	}
	go func() { _, _ = io.Copy(io.Discard, client) }()
	<-finished
}

package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// Guards against a generation that waits forever for an engine that stopped sending, and against an attempt that
// is cancelled as stalled because the consumer is slow.
func TestStalledEngine(t *testing.T) {
	runOnNetwork(t, "", []string{"http://stalled", "http://good"}, func(s *testNetwork) {
		s.serve("stalled", s.stallAfter(chunkEvent("e", 0, 1)))
		s.serve("good", (&fakeEngine{version: 2}).ServeHTTP)
		begin := time.Now()
		var text string
		refusal := s.forward.Generate(s.Context(), engine.Generation{MaxTokens: 3}, func(c engine.Chunk) error {
			text += c.Text
			time.Sleep(time.Minute)
			return nil
		})
		stalled := (<-s.cancelledAt).Sub(begin)
		if refusal != nil || text != "t0 t1 t2 " || stalled != time.Minute+DefaultLimits().StallTimeout || s.deps.results[0] != target.Broken {
			s.Errorf("refusal %v, text %q, cancelled after %v, results %v", refusal, text, stalled, s.deps.results)
		}
	})
}

// Guards against a generation that ends because no slot is free at the moment its engine crashes, and against one
// that waits forever.
func TestResumeWaitsForSlot(t *testing.T) {
	for name, busy := range map[string]int{"free later": 20, "never free": 1 << 30} {
		runOnNetwork(t, name, []string{"http://bad", "http://good"}, func(s *testNetwork) {
			s.serve("bad", (&fakeEngine{fault: faultAt(1, func(http.ResponseWriter) {})}).ServeHTTP)
			s.serve("good", (&fakeEngine{}).ServeHTTP)
			s.deps.busyPicks = busy
			begin, tokens := time.Now(), 0
			refusal := s.forward.Generate(s.Context(), engine.Generation{MaxTokens: 3}, func(engine.Chunk) error {
				tokens++
				return nil
			})
			if busy == 20 && (refusal != nil || tokens != 3) {
				s.Errorf("refusal %v, %d tokens", refusal, tokens)
			}
			if busy > 20 && (refusal == nil || refusal.Outcome != outcome.Unknown || time.Since(begin) != DefaultLimits().ResumeTimeout) {
				s.Errorf("refusal %v after %v", refusal, time.Since(begin))
			}
		})
	}
}

// Guards against engines and services that keep working for callers that disconnected, do not read, or use a
// withdrawn key.
func TestEngineWorkStopsWithCaller(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/x"} {
		for name, c := range map[string]struct {
			act    func(response *http.Response, withdraw func())
			after  time.Duration
			reason outcome.Reason
		}{
			"disconnects":   {func(r *http.Response, _ func()) { r.Body.Close() }, 0, outcome.CallerDisconnected},
			"does not read": {func(*http.Response, func()) {}, DefaultLimits().WriteTimeout, outcome.CallerDisconnected},
			"key withdrawn": {func(r *http.Response, withdraw func()) {
				go func() { _, _ = io.Copy(io.Discard, r.Body) }()
				synctest.Wait()
				withdraw()
			}, 0, outcome.KeyWithdrawn},
		} {
			runOnNetwork(t, name+path, []string{"http://engine"}, func(s *testNetwork) {
				s.serve("engine", s.stallAfter(strings.Repeat(chunkEvent("e", 0, 1), 200)))
				reports := make(chan Report, 1)
				serve := handler(s.forward, Call{Report: func(r Report) { reports <- r }})
				var withdraw context.CancelCauseFunc
				s.serve("entry", func(w http.ResponseWriter, r *http.Request) {
					var ctx context.Context
					ctx, withdraw = context.WithCancelCause(r.Context())
					serve(w, r.WithContext(ctx))
				})
				response := s.post(path, `{"model":"model","stream":true}`)
				begin := time.Now()
				c.act(response, func() { withdraw(outcome.Refuse(outcome.KeyWithdrawn)) })
				took := (<-s.cancelledAt).Sub(begin)
				if report := <-reports; took != c.after || report.Reason != c.reason || report.Outcome != outcome.Unknown {
					s.Errorf("engine work ended after %v, report %+v", took, report)
				}
				response.Body.Close()
			})
		}
	}
}

// Guards against a wrong outcome when the deadline passes.
func TestDeadlineOutcome(t *testing.T) {
	for host, want := range map[string]outcome.Outcome{"http://silent": outcome.Unknown, "http://nowhere": outcome.NotRun} {
		runOnNetwork(t, host, []string{host}, func(s *testNetwork) {
			s.serve("silent", s.stallAfter(""))
			s.serve("entry", handler(s.forward, Call{Deadline: time.Now().Add(time.Second / 2)}))
			response := s.post("/x", "body")
			h := response.Header
			if h.Get(OutcomeHeader) != string(want) || h.Get(ReasonHeader) != string(outcome.DeadlinePassed) {
				s.Errorf("%v", h)
			}
			response.Body.Close()
		})
	}
}

// Guards against a request that waits for the rest of its body although the connection to its target is closed.
func TestStalledUpload(t *testing.T) {
	runOnNetwork(t, "", []string{"http://raw"}, func(s *testNetwork) {
		conns := make(chan net.Conn)
		s.hosts["raw:80"] = conns
		go func() { respondInTurn(<-conns, new(int), "") }()
		s.serve("entry", handler(s.forward, Call{}))
		body, bodyWriter := io.Pipe()
		request, _ := http.NewRequest("POST", "http://entry/x", body)
		response, err := s.client.RoundTrip(request)
		if err != nil || response.Header.Get(ReasonHeader) != string(outcome.ResponseLost) || response.Header.Get(OutcomeHeader) != string(outcome.Unknown) {
			s.Fatal(response, err)
		}
		response.Body.Close()
		bodyWriter.Close()
	})
}

// Guards against a response to the wrong request on a reused connection, against a second run of a request
// that net/http would retry, and against a check of the head that ends with the first response.
func TestReusedConnection(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		// second is the response to the second request on a connection; if it is empty, the connection is closed.
		first, second string
		idempotent    bool
		outcome       outcome.Outcome
		runs          int
	}{
		"kept":                 {response, response, false, outcome.Ran, 2},
		"extra response":       {response + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", "", false, outcome.Ran, 2},
		"closed after reading": {response, "", false, outcome.Unknown, 2},
		"closed, idempotent":   {response, "", true, outcome.Ran, 3},
		"invalid field name":   {response, "HTTP/1.1 200 OK\r\nX-Note : n\r\nContent-Length: 2\r\n\r\nok", false, outcome.Unknown, 2},
	} {
		runOnNetwork(t, name, []string{"http://raw"}, func(s *testNetwork) {
			runs := 0
			conns := make(chan net.Conn)
			s.hosts["raw:80"] = conns
			go func() {
				for connection := range conns {
					go respondInTurn(connection, &runs, c.first, c.second)
				}
			}()
			s.serve("entry", handler(s.forward, Call{Idempotent: c.idempotent}))
			s.post("/x", "").Body.Close()
			synctest.Wait()
			last := s.post("/x", "")
			body, _ := io.ReadAll(last.Body)
			if last.Header.Get(OutcomeHeader) != string(c.outcome) || runs != c.runs || c.outcome == outcome.Ran && string(body) != "ok" {
				s.Errorf("%v %q after %d runs", last.Header, body, runs)
			}
			close(conns)
		})
	}
}

func respondInTurn(c net.Conn, requests *int, responses ...string) {
	defer c.Close()
	buffer := make([]byte, 4096)
	for _, response := range responses {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		*requests++
		if response == "" {
			return
		}
		_, _ = io.WriteString(c, response)
	}
	_, _ = c.Read(buffer)
}

// Guards against the outcome "not run" for a partly written request, and against a write after that outcome.
func TestAbandonUnsent(t *testing.T) {
	client, server := net.Pipe()
	newConn := func() *conn { return &conn{Conn: client, pool: &targetPool{}} }
	unwritten := newConn()
	abandoned := unwritten.abandonUnsent()
	if _, err := unwritten.Write([]byte("x")); !abandoned || !errors.Is(err, errAbandoned) {
		t.Errorf("abandoned %v, then written with error %v", abandoned, err)
	}
	go func() {
		_, _ = server.Read(make([]byte, 1))
		server.Close()
	}()
	partlyWritten := newConn()
	if n, err := partlyWritten.Write([]byte("xy")); n != 1 || err == nil || partlyWritten.abandonUnsent() {
		t.Errorf("wrote %d, %v; a partly written request counts as unsent", n, err)
	}
	writeFailed := newConn()
	if _, err := writeFailed.Write([]byte("x")); err == nil || !writeFailed.abandonUnsent() {
		t.Error("a failed write of 0 bytes counts as sent")
	}
}

// Guards against reusing a connection after the keep-alive timeout that its target announced, and against opening
// a new connection before that timeout.
func TestKeepAliveOfTargetIsHonoured(t *testing.T) {
	for _, c := range []struct {
		announced string
		pause     time.Duration
		conns     int
	}{
		{"timeout=5", 4 * time.Second, 1},
		{"timeout=5, max=100", 4800 * time.Millisecond, 2},
		{"", 4800 * time.Millisecond, 1},
		{"timeout=60", 14 * time.Second, 1},
		{"timeout=60", 16 * time.Second, 2},
	} {
		connection := &conn{isIdle: true, idleSince: time.Now().Add(-c.pause)}
		connection.readKeepAlive(http.Header{"Keep-Alive": {c.announced}})
		conns := 2
		if connection.acquire(15 * time.Second) {
			conns = 1
		}
		if conns != c.conns {
			t.Errorf("%q after %v: %d connections, want %d", c.announced, c.pause, conns, c.conns)
		}
	}
}

// Guards against an idempotent request that fails because one target stalls or fails while another is healthy, and
// against retrying an at-most-once request in that case.
func TestSilentOrFailingTargetIsReplaced(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	succeed := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "well") }
	cases := []struct {
		name          string
		idempotent    bool
		first, second http.HandlerFunc
		status        int
		after         time.Duration
	}{
		{"idempotent, silent", true, nil, succeed, 200, 200 * time.Millisecond},
		{"idempotent, all silent", true, nil, nil, 504, time.Second},
		{"idempotent, fails", true, fail, succeed, 200, 0},
		{"idempotent, all fail", true, fail, fail, 500, 0},
		{"at most once, silent", false, nil, succeed, 504, time.Second},
		{"at most once, fails", false, fail, succeed, 500, 0},
	}
	for _, c := range cases {
		runOnNetwork(t, c.name, []string{"http://first", "http://second"}, func(s *testNetwork) {
			s.cancelledAt = make(chan time.Time, 2)
			s.forward.Plain.options.Dialect.RetryServerErrors = true
			for host, h := range map[string]http.HandlerFunc{"first": c.first, "second": c.second} {
				if h == nil {
					h = s.stallAfter("")
				}
				s.serve(host, h)
			}
			s.serve("entry", func(w http.ResponseWriter, r *http.Request) {
				handler(s.forward, Call{
					Idempotent: c.idempotent, Attempts: 2, AttemptTimeout: 200 * time.Millisecond, Deadline: time.Now().Add(time.Second),
				})(w, r)
			})
			begin := time.Now()
			response := s.post("/x", "body")
			_, _ = io.Copy(io.Discard, response.Body)
			if took := time.Since(begin); response.StatusCode != c.status || took != c.after {
				s.Errorf("status %d after %v, want %d after %v", response.StatusCode, took, c.status, c.after)
			}
		})
	}
}

// Guards against an order that reaches its target long after it was given up, when the network delivers what was still under way.
func TestAbandonedRequestIsReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(http.Handler) *httptest.Server
	}{{"plain", httptest.NewServer}, {"TLS", httptest.NewTLSServer}} {
		t.Run(c.name, func(t *testing.T) {
			reset := make(chan error, 1)
			server := c.start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				hijacked, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					reset <- err
					return
				}
				defer hijacked.Close()
				for err == nil {
					_, err = hijacked.Read(make([]byte, 1))
				}
				reset <- err
			}))
			defer server.Close()
			f := New(Options{Limits: DefaultLimits(), TLS: server.Client().Transport.(*http.Transport).TLSClientConfig})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.Send(request, server.URL); err == nil {
				t.Fatal("response from a target that sends none")
			}
			if err := <-reset; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the target sees %v, want a reset", err)
			}
		})
	}
}

// Guards against a connection that is reset although its response was read whole: targets log that as an error.
func TestIdleConnectionIsClosedInOrder(t *testing.T) {
	end := make(chan error, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			end <- err
			return
		}
		defer c.Close()
		buffer := make([]byte, 64<<10)
		_, err = c.Read(buffer)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		for err == nil {
			_, err = c.Read(buffer)
		}
		end <- err
	}()
	f := New(Options{Limits: DefaultLimits()})
	url := "http://" + l.Addr().String()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := f.Send(request, url)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	for closed := false; !closed; {
		f.client.closeIdle(0)
		select {
		case err = <-end:
			closed = true
		case <-time.After(time.Millisecond):
		}
	}
	if !errors.Is(err, io.EOF) {
		t.Errorf("the target sees %v, want an end in order", err)
	}
}

// dialedSocket returns the socket of a connection to a target, as the dialer opens it.
func dialedSocket(t *testing.T) syscall.RawConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c, err := targetDialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	socket, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return socket
}

// Guards against idle connections that are used long after the network has dropped them without a reset: by default they are
// probed first after 15 s and given up after 150 s.
func TestConnectionsThatHangAreClosed(t *testing.T) {
	raw := dialedSocket(t)
	var err error
	option := func(name int) time.Duration {
		value := 0
		if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		return time.Duration(value)
	}
	idle, interval, count := option(unix.TCP_KEEPIDLE)*time.Second, option(unix.TCP_KEEPINTVL)*time.Second, option(unix.TCP_KEEPCNT)
	unacked := option(unix.TCP_USER_TIMEOUT) * time.Millisecond
	// Callers of a cut instance have to be served from 3 s after the cut began.
	if closedAfter := idle + interval*count; closedAfter > 3*time.Second || unacked == 0 || unacked > 3*time.Second {
		t.Errorf("an idle connection is closed after %v, one with unacknowledged bytes after %v", closedAfter, unacked)
	}
	if unacked <= idle+interval*(count-2) {
		t.Errorf("probes are given up after %v, before the last one but one", unacked)
	}
}

// Guards against an order that reaches its target after the instance that sent it was killed, when a network partition has healed:
// only a connection that is reset with its process drops what is under way.
func TestConnectionIsResetWithItsProcess(t *testing.T) {
	err := dialedSocket(t).Control(func(fd uintptr) {
		linger, err := unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		if err != nil || linger.Onoff == 0 || linger.Linger != 0 {
			t.Errorf("linger is %+v (%v), want a reset at the end", linger, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

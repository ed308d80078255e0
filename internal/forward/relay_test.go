package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/reach"
)

// relayPair is a forwarder whose connections to targets fail while isCut is set, and the requests of another one that takes them.
type relayPair struct {
	cut    *Forwarder
	target *httptest.Server
	isCut  atomic.Bool
	// refusesLate is set while the other instance refuses requests after it has read a part of the body.
	refusesLate atomic.Bool
	// hangs is set while the other instance has no power.
	hangs atomic.Bool
	// passed counts requests that reached the other instance.
	passed atomic.Int64
	// peerURL is the URL of the other instance.
	peerURL string
}

// idleToPeer returns the number of idle connections to the other instance.
func (p *relayPair) idleToPeer() int {
	pool, err := p.cut.client.pool(p.peerURL)
	if err != nil {
		return 0
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.conns)
}

func newRelayPair(t *testing.T, handler http.HandlerFunc) *relayPair {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	p := newRelayPairTo(t, server.URL)
	p.target = server
	return p
}

// newRelayPairTo returns a pair for a target that runs already.
func newRelayPairTo(t *testing.T, targetURL string) *relayPair {
	p := &relayPair{}
	other := New(Options{Limits: DefaultLimits(), Reach: reach.NewTable("b")})
	pass := other.RelayHandler(func(url string) bool { return url == targetURL })
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.passed.Add(1)
		if p.refusesLate.Load() {
			_, _ = r.Body.Read(make([]byte, 1))
			other.client.refuseRelay(w, relayBusy)
			return
		}
		pass.ServeHTTP(w, r)
	}))
	t.Cleanup(relay.Close)
	p.peerURL = relay.URL
	table := reach.NewTable("a")
	table.SetPeer(reach.Peer{Name: "other", URL: relay.URL, Zone: "b"})
	options := newFakeDeps(targetURL).options()
	options.Reach = table
	options.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.isCut.Load() && address == strings.TrimPrefix(targetURL, "http://") {
			return nil, syscall.ECONNREFUSED
		}
		if p.hangs.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &hangingConn{c, p}, nil
	}
	p.cut = New(options)
	t.Cleanup(func() { other.client.closeIdle(0); p.cut.client.closeIdle(0) })
	return p
}

func (p *relayPair) request(ctx context.Context, method string, body []byte) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, p.target.URL+"/path/x?q=1", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "service.example"
	r.Header.Set(defaultRequestIDHeader, "id-1")
	r.Header.Set("User-Agent", "")
	return r
}

// Guards against a request or a response that another instance changes on its way.
func TestRelayedRequestIsUnchanged(t *testing.T) {
	var got []string
	p := newRelayPair(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = append(got, fmt.Sprint(r.Method, r.Host, r.URL, r.ContentLength, string(body), r.Header))
		w.Header().Set("Stamp", "s")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "answer")
	})
	p.isCut.Store(true)
	// Two forwarders share no open connection, over which the second request could go directly.
	direct := New(Options{Limits: DefaultLimits(), Reach: reach.NewTable("a")})
	t.Cleanup(func() { direct.client.closeIdle(0) })
	for isCut, sender := range map[bool]*Forwarder{false: direct, true: p.cut} {
		response, err := sender.Send(p.request(t.Context(), "PUT", []byte("body")), p.target.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != "answer" || response.StatusCode != http.StatusTeapot || response.Header.Get("Stamp") != "s" {
			t.Errorf("cut %v: %v %v %q", isCut, err, response, body)
		}
	}
	if p.passed.Load() != 1 || len(got) != 2 || got[0] != got[1] {
		t.Errorf("%d requests through the other instance; the target got\n%s", p.passed.Load(), strings.Join(got, "\n"))
	}
}

// Guards against events that arrive late through another instance, and against a target that works on after the caller has left.
func TestRelayedStreamEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{})
	p := newRelayPair(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	})
	p.isCut.Store(true)
	response, err := p.cut.Send(p.request(t.Context(), "GET", nil), p.target.URL)
	if err != nil {
		t.Fatal(err)
	}
	line := make([]byte, 9)
	if _, err := io.ReadFull(response.Body, line); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("the target works on")
	}
}

// Guards against a request that counts as not run although it may have, or as run although it was never sent, and against one
// that passes through two instances.
func TestRelayedFailures(t *testing.T) {
	for _, tc := range []struct {
		name   string
		target http.HandlerFunc
		before func(*relayPair)
		unsent bool
	}{
		{"the target breaks off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, func(*relayPair) {}, false},
		{"the target is gone", nil, func(p *relayPair) { p.target.Close() }, true},
	} {
		p := newRelayPair(t, tc.target)
		p.isCut.Store(true)
		tc.before(p)
		_, err := p.cut.Send(p.request(t.Context(), "POST", []byte("x")), p.target.URL)
		if unsent, _ := NothingSent(err); err == nil || unsent != tc.unsent || p.passed.Load() != 1 {
			t.Errorf("%s: %v, unsent %v, %d requests through the other instance", tc.name, err, unsent, p.passed.Load())
		}
	}
	for isTarget, want := range map[bool]relayError{true: relayUnreachable, false: relayUnknown} {
		p := newRelayPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
		p.isCut.Store(true)
		// The instance that is cut knows another one, to which it must not pass the request on.
		r, w := httptest.NewRequest("GET", "/", nil), httptest.NewRecorder()
		r.Header.Set(relayTargetHeader, p.target.URL)
		p.cut.RelayHandler(func(string) bool { return isTarget }).ServeHTTP(w, r)
		if got := w.Header().Get(relayErrorHeader); got != string(want) || p.passed.Load() != 0 {
			t.Errorf("target %v: %q, %d requests passed on again", isTarget, got, p.passed.Load())
		}
	}
}

// Guards against the rest of a streamed body that is sent to the target as the whole, after another instance had refused the
// request with a part of the body read.
func TestPartOfABodyIsNotSent(t *testing.T) {
	const size = 64 << 10
	p := newRelayPair(t, func(_ http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); r.Method == http.MethodPut && len(body) != size {
			t.Errorf("the target got %d bytes of %d", len(body), size)
		}
	})
	p.isCut.Store(true)
	if _, err := p.cut.Send(p.request(t.Context(), "GET", nil), p.target.URL); err != nil {
		t.Fatal(err)
	}
	p.isCut.Store(false)
	p.refusesLate.Store(true)
	for range 20 {
		caller := httptest.NewRequest(http.MethodPut, "/path/x", io.LimitReader(zeros{}, size))
		caller.ContentLength = -1
		request := p.request(t.Context(), http.MethodPut, nil)
		request.GetBody, request.ContentLength = nil, -1
		request.Body = newUpload(caller, func(http.Header) {}, func(time.Time) error { return nil })
		if response, err := p.cut.Send(request, p.target.URL); err == nil {
			_ = response.Body.Close()
		}
	}
}

// hangingConn loses what is written once its pair hangs.
type hangingConn struct {
	net.Conn
	pair *relayPair
}

func (c *hangingConn) Write(p []byte) (int, error) {
	if c.pair.hangs.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against requests that are sent over open connections to another instance that lost power, one after the other.
func TestInstanceThatHangsIsLeftOut(t *testing.T) {
	release := make(chan struct{})
	p := newRelayPair(t, func(http.ResponseWriter, *http.Request) { <-release })
	p.isCut.Store(true)
	var responses conc.WaitGroup
	for range 3 {
		responses.Go(func() {
			response, err := p.cut.Send(p.request(t.Context(), "GET", nil), p.target.URL)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
		})
	}
	for p.passed.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	responses.Wait()
	// A connection returns to the pool a moment after its response.
	for p.idleToPeer() < 3 {
		time.Sleep(time.Millisecond)
	}
	p.hangs.Store(true)
	for n, wantUnsent := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*reach.SilentAfter)
		_, err := p.cut.Send(p.request(ctx, "GET", nil), p.target.URL)
		cancel()
		if unsent, _ := NothingSent(err); err == nil || unsent != wantUnsent {
			t.Errorf("request %d: %v, unsent %v", n, err, unsent)
		}
	}
}

// Guards against calls that must come from this instance and go through another one.
func TestDirectOnly(t *testing.T) {
	p := newRelayPair(t, func(http.ResponseWriter, *http.Request) {})
	p.isCut.Store(true)
	_, err := p.cut.Send(p.request(DirectOnly(t.Context()), "POST", nil), p.target.URL)
	if unsent, _ := NothingSent(err); err == nil || !unsent || p.passed.Load() != 0 {
		t.Errorf("%v, %d requests passed on", err, p.passed.Load())
	}
}

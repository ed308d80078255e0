package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// callURL is the environment variable that makes the test process call a URL and do nothing else.
const callURL = "EGRETSPAR_TEST_CALL_URL"

func TestMain(m *testing.M) {
	if url := os.Getenv(callURL); url != "" {
		_, err := New(Options{URL: url, Timeout: time.Minute}).Do(context.Background(), testCall)
		panic(err)
	}
	os.Exit(m.Run())
}

var testCall = Request{Operation: "order", Method: http.MethodPost, Path: "/scale", Body: []byte("{}"), NoRetry: true}

// silentPlatform accepts one connection and never responds. received is closed once a call has come, and end gets the error that
// ends the connection.
type silentPlatform struct {
	url      string
	received chan struct{}
	end      chan error
}

func newSilentPlatform(t *testing.T) *silentPlatform {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &silentPlatform{url: "http://" + l.Addr().String(), received: make(chan struct{}), end: make(chan error, 1)}
	go p.serve(l)
	return p
}

func (p *silentPlatform) serve(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		p.end <- err
		return
	}
	defer c.Close()
	buffer := make([]byte, 64<<10)
	if _, err = c.Read(buffer); err == nil {
		close(p.received)
	}
	for err == nil {
		_, err = c.Read(buffer)
	}
	p.end <- err
}

// expectReset fails the test unless the connection was reset. TCP repeats the unacknowledged bytes of any other connection until they
// arrive.
func (p *silentPlatform) expectReset(t *testing.T) {
	t.Helper()
	if err := <-p.end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// Guards against an order that arrives seconds after the call timed out, when a network partition has healed and another instance
// holds the lease.
func TestGivenUpCallDoesNotArriveLater(t *testing.T) {
	p := newSilentPlatform(t)
	caller := New(Options{URL: p.url, Timeout: 50 * time.Millisecond})
	if _, err := caller.Do(t.Context(), testCall); err == nil {
		t.Fatal("a call without a response succeeded")
	}
	p.expectReset(t)
}

// Guards against an order that arrives after the lease holder was killed during a network partition.
func TestCallOfKilledProcessDoesNotArriveLater(t *testing.T) {
	p := newSilentPlatform(t)
	process := exec.CommandContext(t.Context(), os.Args[0])
	process.Env = append(os.Environ(), callURL+"="+p.url)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	<-p.received
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = process.Wait()
	p.expectReset(t)
}

// respondRaw starts a platform that responds to each call with bytes that net/http would not send, and returns its URL.
func respondRaw(t *testing.T, response string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, response)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a write that has taken effect and counts as refused, because the platform responded with a status that is none. The
// callers of a job are told then that it does not run.
func TestInvalidStatusIsNoRefusal(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		url := respondRaw(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n")
		for _, readOnly := range []bool{false, true} {
			want := map[bool]error{false: api.ErrEffectUnknown, true: api.ErrUnavailable}[readOnly]
			call := testCall
			call.ReadOnly = readOnly
			if _, err := New(Options{URL: url}).Do(t.Context(), call); !errors.Is(err, want) || errors.Is(err, ErrRefused) {
				t.Errorf("status %s, read only %v: %v, want %v", status, readOnly, err, want)
			}
		}
	}
}

// Guards against a write that counts as done, and against an object with bytes of its chunks, after a response with an invalid field name.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for _, field := range []string{"X-Note : n", "Content-Length : 2", "Transfer-Encoding : chunked", "X-\x01Note: n"} {
		url := respondRaw(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		if body, err := New(Options{URL: url}).Do(t.Context(), testCall); !errors.Is(err, api.ErrEffectUnknown) {
			t.Errorf("%q: body %q, %v", field, body, err)
		}
	}
}

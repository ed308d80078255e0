package rpc

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// resetRounds is the number of calls of a test. In a part of them a write, not a read, gets the error of the reset.
const resetRounds = 200

// Guards against a write that counts as done, or a part of a response that counts as the whole, because the platform responded without
// a length before it had read the call, and reset the connection. A write that gets the error of the reset leaves an end of
// the stream for the next read.
func TestResetDuringCallIsNotWhole(t *testing.T) {
	for round := range resetRounds {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(time.Duration(round%4) * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}))
		caller := New(Options{URL: server.URL, Timeout: time.Minute})
		call := testCall
		call.Body = make([]byte, 8<<20)
		if body, err := caller.Do(t.Context(), call); err == nil {
			t.Errorf("round %d: a call that was not read succeeded, with the response %q", round, body)
		}
		caller.Close()
		server.Close()
	}
}

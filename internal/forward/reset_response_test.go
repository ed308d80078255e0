package forward

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// longUpload is the size in bytes of a body that is still being written when its target ends the connection.
	longUpload = 64 << 20
	// resetRounds is the number of uploads of a test. In a part of them a write, not a read, gets the error of the reset.
	resetRounds = 100

	unframedPart = "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\npart"
)

// resetAfter sends raw and resets the connection after a pause, while the request is still being written.
func resetAfter(raw string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, raw)
		time.Sleep(pause)
		if secure, ok := c.(*tls.Conn); ok {
			c = secure.NetConn()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// resetPause varies how far the upload gets until its target resets the connection.
func resetPause(round int) time.Duration { return time.Duration(round%4) * time.Millisecond }

// rawUpload sends a long upload and returns the response and its body. It reads them on the connection itself, also after its own
// writing has failed: the client of net/http breaks off then, and hides a response that is framed as whole.
func rawUpload(t *testing.T, url string) (*http.Response, string, error) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: entry\r\nContent-Length: "+strconv.Itoa(longUpload)+"\r\n\r\n")
		if err == nil {
			_, _ = io.CopyN(c, zeros{}, longUpload)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against a part of a response that a caller takes for the whole: its target responded to a long upload at once, without a
// length, and reset the connection while the upload was being written.
func TestResetDuringUploadIsNotWhole(t *testing.T) {
	for _, start := range []func(*httptest.Server){(*httptest.Server).Start, (*httptest.Server).StartTLS} {
		for round := range resetRounds {
			server := httptest.NewUnstartedServer(resetAfter(unframedPart, resetPause(round)))
			start(server)
			options := newFakeDeps(server.URL).options()
			options.TLS = server.Client().Transport.(*http.Transport).TLSClientConfig
			response, body, err := rawUpload(t, serve(t, handler(New(options), Call{})))
			if err == nil && response.StatusCode != http.StatusBadGateway {
				t.Errorf("round %d with %s: the caller got status %d and %q as a whole", round, server.URL, response.StatusCode, body)
			}
			server.Close()
		}
	}
}

// Guards against such a part that passes through another instance, which ends it as a whole.
func TestResetDuringRelayedUploadIsNotWhole(t *testing.T) {
	for round := range resetRounds {
		p := newRelayPair(t, resetAfter(unframedPart, resetPause(round)))
		p.isCut.Store(true)
		response, err := p.cut.Send(p.request(t.Context(), "POST", make([]byte, longUpload)), p.target.URL)
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("round %d: another instance passed on %q as a whole", round, body)
		}
		response.Body.Close()
	}
}

// Guards against a whole response that counts as broken, because its target ended it in order before the upload was written.
func TestOrderlyEndDuringUploadIsWhole(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nStamp: s\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	response, body, err := rawUpload(t, newFakeDeps(url).serveEntry(t, Call{}))
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge || body != "whole" {
		t.Errorf("the caller got %v, %q, %v", response, body, err)
	}
}

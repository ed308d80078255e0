package forward

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/egretspar/egretspar/internal/outcome"
)

// faultyResponse is what a faulty target sends before it closes the connection.
type faultyResponse struct{ name, raw string }

// expectNoResponse checks that neither a caller nor another instance gets a response from a target that sends none.
func (f faultyResponse) expectNoResponse(t *testing.T) {
	t.Helper()
	var runs atomic.Int32
	url := serve(t, handleInTurn(&runs, respondRaw(f.raw)))
	response, err := http.Post(newFakeDeps(url, url).serveEntry(t, Call{})+"/", "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	h := response.Header
	if response.StatusCode != http.StatusBadGateway || h.Get(OutcomeHeader) != string(outcome.Unknown) || h.Get(ReasonHeader) != string(outcome.ResponseLost) || runs.Load() != 1 {
		t.Errorf("%s: the caller got status %d, %q, %q after %d runs", f.name, response.StatusCode, h.Get(OutcomeHeader), h.Get(ReasonHeader), runs.Load())
	}
	p := newRelayPair(t, respondRaw(f.raw))
	p.isCut.Store(true)
	if relayed, err := p.cut.Send(p.request(t.Context(), "POST", nil), p.target.URL); err == nil {
		relayed.Body.Close()
		t.Errorf("%s: another instance got status %d", f.name, relayed.StatusCode)
	}
	if p.passed.Load() != 1 {
		t.Errorf("%s: %d requests through the other instance, want 1", f.name, p.passed.Load())
	}
}

// Guards against a status that is none, such as 000 of a target in trouble, which a caller gets as a response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-20", "0", "20", "2000", "2e2", "abc", ""} {
		for _, body := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "\r\nok"} {
			raw := fmt.Sprintf("HTTP/1.1 %s Trouble\r\nStamp: s\r\n%s", status, body)
			faultyResponse{fmt.Sprintf("status %q with %q", status, body), raw}.expectNoResponse(t)
		}
	}
}

// invalidFields are lines of a head whose field names hold a blank or a control byte.
func invalidFields() []string {
	fields := []string{
		"X Note: n", "X-Note : n", "X-Note\t: n", " X-Note: n", "\tX-Note: n", " : n", ": n",
		"Content-Length : 2", "Content Length: 2", " Content-Length: 2", "Transfer-Encoding : chunked", "\tTransfer-Encoding: chunked",
	}
	for b := range byte(' ') {
		if b != '\n' {
			fields = append(fields, fmt.Sprintf("X-%cNote: n", b), fmt.Sprintf("%cX-Note: n", b), fmt.Sprintf("X-Note%c: n", b))
		}
	}
	return append(fields, "X-\x7fNote: n")
}

// Guards against a response with an invalid field name, which a caller gets with that line, or with another body than its target sent,
// since the line says where the body ends.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for _, field := range invalidFields() {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\nStamp: s\r\n%s\r\n\r\nok",
			"HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\nStamp: s\n%s\nTransfer-Encoding: chunked\n\n2\r\nok\r\n0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\n\r\nok",
		} {
			raw := fmt.Sprintf(head, field)
			faultyResponse{fmt.Sprintf("response %q", raw), raw}.expectNoResponse(t)
		}
	}
}

// Guards against a response that counts as faulty because of a rare but valid head.
func TestValidHeadIsResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-!#$%&'*+.^_`|~9: n\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Note:\r\nX-Note: a b\tc: d\r\nX-Note:  \r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 O K: \x01\nContent-Length: 2\n\n",
		"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	} {
		url := serve(t, respondRaw(head+"a "))
		response, err := http.Get(newFakeDeps(url).serveEntry(t, Call{}) + "/")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(body) != "a " {
			t.Errorf("head %q: status %d, body %q, %v", head, response.StatusCode, body, err)
		}
	}
}

// Guards against a response that a caller takes for whole, with an empty or a short body, though its target stopped within its head.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n",
		"HTTP/1.0 200 OK\nStamp: s\n\n",
		"HTTP/1.1 204 No Content\r\nStamp: s\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
	} {
		for n := range len(head) - 1 {
			faultyResponse{fmt.Sprintf("head %q", head[:n]), head[:n]}.expectNoResponse(t)
		}
	}
}

// Guards against a body in chunks that a caller takes for whole though its target stopped within the last chunk or the trailers.
func TestTruncatedChunksAreNotWhole(t *testing.T) {
	const head, end = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "0\r\nX-Sum: 1\r\n\r\n"
	for n := range len(end) - 1 {
		raw := head + end[:n]
		url := serve(t, respondRaw(raw))
		response, err := http.Get(newFakeDeps(url).serveEntry(t, Call{}) + "/")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			t.Errorf("a caller got %q as a whole after %q", body, end[:n])
		}
		p := newRelayPair(t, respondRaw(raw))
		p.isCut.Store(true)
		relayed, err := p.cut.Send(p.request(t.Context(), "GET", nil), p.target.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err = io.ReadAll(relayed.Body)
		relayed.Body.Close()
		if err == nil {
			t.Errorf("another instance got %q as a whole after %q", body, end[:n])
		}
	}
}

// Package uploadtest sends long bodies in parts and reads responses meanwhile, for tests of requests whose target responds early.
package uploadtest

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// PartSize is the size in bytes of the parts that a body is sent in.
const PartSize = 8 << 10

// shortPause is the time between two parts of a body unless the request says otherwise.
const shortPause = time.Millisecond

// NewBody returns a body of which no two parts are the same.
func NewBody(size int) []byte {
	var body bytes.Buffer
	for n := 0; body.Len() < size; n++ {
		fmt.Fprintf(&body, "line %08d\n", n)
	}
	return body.Bytes()[:size]
}

// Request is a request with a body.
type Request struct {
	Path string
	// Header holds further lines of the header, each with its end.
	Header string
	Body   []byte
	// IsChunked is set for a body without a stated length.
	IsChunked bool
	// Pause is the time between two parts of the body; 0 means a short one.
	Pause time.Duration
}

// Response is a response that was read to its end.
type Response struct {
	Status int
	Body   string
}

// Caller is a connection of a caller. It reads responses on the connection itself, also after its own writing has failed: the client of
// net/http breaks off then, and hides a response that is framed as whole.
type Caller struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to the server at a URL until the test ends.
func Dial(t testing.TB, url string) *Caller {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return NewCaller(c)
}

// NewCaller returns a caller on an open connection.
func NewCaller(c net.Conn) *Caller { return &Caller{c, bufio.NewReader(c)} }

// Send sends a request, its body in parts with pauses.
func (c *Caller) Send(r Request) error {
	if err := c.SendHead(r); err != nil {
		return err
	}
	for body := r.Body; len(body) > 0; {
		part := body[:min(len(body), PartSize)]
		body = body[len(part):]
		if err := c.SendPart(r, part); err != nil {
			return err
		}
		time.Sleep(cmp.Or(r.Pause, shortPause))
	}
	return c.SendEnd(r)
}

// SendHead sends a request without its body.
func (c *Caller) SendHead(r Request) error {
	framing := fmt.Sprintf("Content-Length: %d", len(r.Body))
	if r.IsChunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s%s\r\n\r\n", r.Path, r.Header, framing)
	return err
}

// SendPart sends a part of the body.
func (c *Caller) SendPart(r Request, part []byte) error {
	if !r.IsChunked {
		_, err := c.Write(part)
		return err
	}
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
	return err
}

// SendEnd sends the end of the body.
func (c *Caller) SendEnd(r Request) error {
	if !r.IsChunked {
		return nil
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// ReadResponse reads a response and those that are interim before it.
func (c *Caller) ReadResponse() (Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return Response{}, err
		}
		body, err := io.ReadAll(response.Body)
		if err = errors.Join(err, response.Body.Close()); err != nil || response.StatusCode >= http.StatusOK {
			return Response{response.StatusCode, string(body)}, err
		}
	}
}

// Received is a body as a target got it. The error is nil if the body ended in order.
type Received struct {
	Data []byte
	Err  error
}

// Check returns an error if the target got other bytes than those sent, or a part of them as the whole.
func (r Received) Check(sent []byte) error {
	if bytes.HasPrefix(sent, r.Data) && (r.Err != nil || len(r.Data) == len(sent)) {
		return nil
	}
	same := 0
	for same < min(len(sent), len(r.Data)) && sent[same] == r.Data[same] {
		same++
	}
	return fmt.Errorf("the target got %d bytes of %d, other ones from byte %d on, and the error %s", len(r.Data), len(sent), same, fmt.Sprint(r.Err))
}

// CheckWhole returns an error if the target did not get the whole body, or other bytes.
func (r Received) CheckWhole(sent []byte) error {
	if err := r.Check(sent); err != nil || r.Err == nil {
		return err
	}
	return fmt.Errorf("the body broke off after %d bytes of %d: %w", len(r.Data), len(sent), r.Err)
}

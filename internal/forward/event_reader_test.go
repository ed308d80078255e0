package forward

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// readAll returns the events of a stream and the error that ended it.
func readAll(r io.Reader) ([]string, error) {
	events := newEventReader(r, 5000, 6000)
	var all []string
	for {
		data, err := events.next()
		if err != nil {
			return all, err
		}
		all = append(all, string(data))
	}
}

// Guards against events that differ by how the network splits the stream, against events over the size limit and
// against returning an unfinished event.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"data: a\n\ndata: b\r\n\r\n", "\xef\xbb\xbfdata:a\n\n", ": comment\ndata: a\ndata: b\n\n",
		"event: x\nid: 1\nretry: 2\n\n", "data\n\ndata:\n\n", "data: [DONE]\n\n", "data: a\n", "data: a\r\r\n\n",
		"dat: a\n\ndatax: b\n\n", "data: " + strings.Repeat("x", 3000) + "\n\n", "data: " + strings.Repeat("x", 7000) + "\n\n", strings.Repeat("data: 0123456789abcdef\n", 400) + "\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, err := readAll(bytes.NewReader(stream))
		bytewise, splitErr := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		if strings.Join(whole, "\x00") != strings.Join(bytewise, "\x00") || !errors.Is(splitErr, err) {
			t.Errorf("got %q, %v from the whole stream and %q, %v byte by byte", whole, err, bytewise, splitErr)
		}
		ends := bytes.Count(stream, []byte("\n\n")) + bytes.Count(stream, []byte("\n\r\n"))
		if len(whole) > ends {
			t.Errorf("%d events in a stream with %d event ends", len(whole), ends)
		}
		for _, event := range whole {
			if len(event) > 6000 {
				t.Errorf("event of %d bytes", len(event))
			}
		}
	})
}

// Guards against misread fields and line ends, unfinished events, and lines and events over the size limit.
func TestEvents(t *testing.T) {
	for stream, want := range map[string]string{
		"data: a\n\ndata: b\r\n\r\n":                           "a|b EOF",
		"\xef\xbb\xbfdata:a\n\n":                               "a EOF",
		": comment\n\ndata: a\ndata: b\nid: 1\n\n":             "a\nb EOF",
		"event: x\n\ndatax: y\n\ndata\n\n":                     " EOF",
		"data: a\n":                                            " EOF",
		"data: a\n\ndata: " + strings.Repeat("x", 5000) + "\n": "a " + errLineTooLong.Error(),
		"data: " + strings.Repeat("x", 4000) + "\n\n":          strings.Repeat("x", 4000) + " EOF",
		strings.Repeat("data: 0123456789abcdef\n", 400) + "\n": " " + errEventTooLarge.Error(),
	} {
		all, err := readAll(strings.NewReader(stream))
		if got := strings.Join(all, "|") + " " + err.Error(); got != want {
			t.Errorf("%q: got %q, want %q", stream, got, want)
		}
	}
}

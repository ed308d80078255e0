package forward

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

var (
	errLineTooLong   = errors.New("line of the event stream exceeds the size limit")
	errEventTooLarge = errors.New("event of the event stream exceeds the size limit")
	errTruncated     = errors.New("event stream ended without the done event")
)

var (
	dataField     = []byte("data")
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// eventReader reads the data of server-sent events. Lines end in LF or CRLF. Comments are skipped, and fields other
// than data are only reported to onField.
type eventReader struct {
	lines    *bufio.Reader
	maxLine  int
	maxEvent int
	// longLine collects a line that exceeds the buffer of lines.
	longLine      []byte
	data          []byte
	firstLineRead bool
	// midEvent reports whether a part of an unfinished event was read.
	midEvent bool
	// onField is called for each field other than data; it may be nil.
	onField func(name, value []byte)
}

// EventReader reads server-sent events and reports fields other than data.
type EventReader struct{ *eventReader }

// NewEventReader returns a reader that accepts lines and events up to the given limits. Next calls onField for each
// field other than data.
func NewEventReader(r io.Reader, limits Limits, onField func(name, value []byte)) EventReader {
	reader := newEventReader(r, limits.MaxLineBytes, limits.MaxEventBytes)
	reader.onField = onField
	return EventReader{reader}
}

// Next returns the data of the next event, which is valid until the following call. At the end of the body it
// returns io.EOF, or io.ErrUnexpectedEOF if the body ended within an event.
func (r EventReader) Next() ([]byte, error) {
	data, err := r.next()
	if errors.Is(err, io.EOF) && r.midEvent {
		return nil, io.ErrUnexpectedEOF
	}
	return data, err
}

// lineBufferSize is the buffer size in bytes for a line of usual length. Thousands of streams are open at once, so
// it is much smaller than the longest allowed line.
const lineBufferSize = 2 << 10

// newEventReader returns a reader that accepts lines and events up to the given sizes.
func newEventReader(r io.Reader, maxLine, maxEvent int) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, lineBufferSize), maxLine: maxLine, maxEvent: maxEvent}
}

// next returns the data of the next event, which is valid until the following call. If the body ends before the
// empty line that ends an event, the event is dropped, as the protocol requires, and next returns io.EOF.
func (r *eventReader) next() ([]byte, error) {
	r.data = r.data[:0]
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		r.midEvent = len(line) > 0
		if len(line) == 0 {
			if hasData {
				return r.data, nil
			}
			continue
		}
		value, ok := dataValue(line)
		if !ok {
			r.reportField(line)
			continue
		}
		if len(r.data)+len(value)+1 > r.maxEvent {
			return nil, errEventTooLarge
		}
		if hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		hasData = true
	}
}

func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.readRawLine()
	if err != nil {
		return nil, err
	}
	if !r.firstLineRead {
		r.firstLineRead = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

// readRawLine returns the next line with its LF.
func (r *eventReader) readRawLine() ([]byte, error) {
	r.longLine = r.longLine[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(r.longLine)+len(part) > r.maxLine {
			return nil, errLineTooLong
		}
		if err == nil && len(r.longLine) == 0 {
			return part, nil
		}
		r.longLine = append(r.longLine, part...)
		if err == nil {
			return r.longLine, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			r.midEvent = r.midEvent || len(r.longLine) > 0
			return nil, err
		}
	}
}

// reportField passes a field other than data to onField. Lines that begin with a colon are comments.
func (r *eventReader) reportField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if r.onField != nil && len(name) > 0 {
		r.onField(name, bytes.TrimPrefix(value, []byte{' '}))
	}
}

// dataValue returns the value of a data field, or false for any other line.
func dataValue(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, dataField) {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte{' '}), true
}

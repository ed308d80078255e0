package forward

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var errInvalidFieldName = errors.New("target sent an invalid field name")

// headCheck checks the field names in the heads of one response while they are read. net/http accepts names that hold blanks, and lines
// that begin with one as continuations of the line before (obs-fold; RFC 9112, section 5.2). If such a line says where the body ends, the
// caller would get another body than the target sent. The zero value expects the first head.
type headCheck struct {
	part headPart
	// length is how much of the status code or of the current field name was read, in bytes.
	length int
	// status is the status code of the current head.
	status int
	// endsLine reports whether a CR was read, after which the line must end.
	endsLine bool
}

// headPart is the part of a head that the next byte belongs to.
type headPart int

const (
	versionPart headPart = iota
	codePart
	reasonPart
	namePart
	valuePart
	// bodyPart means that the final head was read.
	bodyPart
)

// tokenSymbols are the bytes of field names that are neither letters nor digits (RFC 9110, section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

func isTokenByte(b byte) bool {
	isLetter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
	return isLetter || '0' <= b && b <= '9' || strings.IndexByte(tokenSymbols, b) >= 0
}

// check returns an error if data, which follows what was checked before, holds an invalid field name.
func (h *headCheck) check(data []byte) error {
	for _, b := range data {
		if h.part == bodyPart {
			return nil
		}
		if err := h.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (h *headCheck) next(b byte) error {
	switch {
	case h.part == namePart:
		return h.nextOfName(b)
	case b == '\n':
		h.startLine()
	case h.part == versionPart && b == ' ':
		h.part = codePart
	case h.part == codePart:
		h.nextOfCode(b)
	}
	return nil
}

// startLine begins a line of a field, or the empty line that ends the head.
func (h *headCheck) startLine() {
	h.part, h.length, h.endsLine = namePart, 0, false
}

// nextOfCode reads a byte of the status code. net/http rejects a code that is no number of three digits.
func (h *headCheck) nextOfCode(b byte) {
	switch {
	case '0' <= b && b <= '9':
		h.status = 10*h.status + int(b-'0')
		h.length++
	case b != ' ' || h.length > 0:
		h.part = reasonPart
	}
}

func (h *headCheck) nextOfName(b byte) error {
	isEmpty := h.length == 0
	h.length++
	switch {
	case b == '\n' && (isEmpty || h.endsLine):
		h.endHead()
	case b == '\r' && isEmpty:
		h.endsLine = true
	case h.endsLine:
		return errInvalidFieldName
	case b == ':' && !isEmpty:
		h.part = valuePart
	case !isTokenByte(b):
		return errInvalidFieldName
	}
	return nil
}

// endHead begins the body, or the next head after an interim one.
func (h *headCheck) endHead() {
	isInterim := h.status >= http.StatusContinue && h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
	*h = headCheck{}
	if !isInterim {
		h.part = bodyPart
	}
}

// Package strictclient makes HTTP clients reject broken responses that net/http takes for whole ones.
package strictclient

import (
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var errInvalidFieldName = errors.New("response has an invalid field name")

// transport rejects responses whose field names hold blanks, which net/http accepts. Such a field may say where the body ends. net/http
// itself rejects other invalid names.
type transport struct{ *http.Transport }

// Transport returns a strict transport that uses base, and opens the connections of base with Dial. base must not have been used yet.
func Transport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = Dial(dial)
	return transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			_ = response.Body.Close()
			return nil, errInvalidFieldName
		}
	}
	return response, nil
}

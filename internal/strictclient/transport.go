// Package strictclient makes HTTP clients reject broken responses that net/http takes for whole ones.
package strictclient

import (
	"net"
	"net/http"
)

// Transport makes a transport strict. It changes base, which must not have been used yet.
func Transport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = Dial(dial)
	return base
}

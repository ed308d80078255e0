package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1) and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedPrefix is the name prefix of headers that only egretspar sets.
const reservedPrefix = "Egretspar-"

// removeHopByHop removes hop-by-hop headers, including those named by Connection.
func removeHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// removeReserved removes headers that only egretspar may set.
func removeReserved(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(header, name)
		}
	}
}

// wantsUpgrade reports whether the caller asks for a protocol upgrade of the connection.
func wantsUpgrade(header http.Header) bool {
	if len(header["Upgrade"]) > 0 {
		return true
	}
	return hasToken(header["Connection"], "upgrade")
}

func hasToken(values []string, token string) bool {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}

// targetHeader returns the caller's header as it is sent to a target: without hop-by-hop headers, reserved headers
// and credentials, and with the request ID.
func targetHeader(call Call, r *http.Request, idHeader string, stripCredentials func(http.Header)) http.Header {
	source := call.Header
	if source == nil {
		source = r.Header
	}
	trailers := hasToken(source["Te"], "trailers")
	header := source.Clone()
	removeHopByHop(header)
	removeReserved(header)
	stripCredentials(header)
	for name, values := range call.SystemHeader {
		header.Del(name)
		for _, value := range values {
			header.Add(name, value)
		}
	}
	header.Set(idHeader, call.RequestID)
	if trailers {
		header.Set("Te", "trailers")
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default.
		header.Set("User-Agent", "")
	}
	return header
}

// copyResponseHeader adds a target's header to the caller's, without hop-by-hop and reserved headers.
func copyResponseHeader(to, from http.Header) {
	removeHopByHop(from)
	removeReserved(from)
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}

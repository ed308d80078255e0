package strictclient

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a response with an invalid field name, whose body is another than the server sent, since the line says where it ends.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for head, isValid := range map[string]bool{
		"X-Note: a b\r\nContent-Length: 2":          true,
		"X Note: n\r\nContent-Length: 2":            false,
		"X-Note : n\r\nContent-Length: 2":           false,
		"X-\x01Note: n\r\nContent-Length: 2":        false,
		"Content-Length : 2":                        false,
		"X-Note: n\r\nTransfer-Encoding : chunked":  false,
		"Content-Length : 0\r\nContent-Length: 2":   false,
		"X-Note\x00: n\r\nTransfer-Encoding: chunk": false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			defer c.Close()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\nok")
		}))
		client := &http.Client{Transport: Transport(&http.Transport{})}
		response, err := client.Get(server.URL)
		if (err == nil) != isValid {
			t.Errorf("%q: %v", head, err)
		}
		if err == nil {
			response.Body.Close()
		}
		client.CloseIdleConnections()
		server.Close()
	}
}

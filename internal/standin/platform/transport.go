package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// Transport returns a transport that calls the platform in process, without a socket. It works inside
// a testing/synctest bubble. A call that its caller cancels still takes effect after its delay.
func (p *Platform) Transport() http.RoundTripper { return inProcessTransport{handler: p} }

type inProcessTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (t inProcessTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	detached, err := detachRequest(r)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	responses := make(chan *http.Response, 1)
	go t.serve(detached, responses)
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case response := <-responses:
		if response == nil {
			return nil, errors.WithStack(io.ErrUnexpectedEOF)
		}
		return response, nil
	}
}

// detachRequest copies the request without its cancellation, so that the handler can run after the caller has
// cancelled the call.
func detachRequest(r *http.Request) (*http.Request, error) {
	detached := r.Clone(context.WithoutCancel(r.Context()))
	detached.Body = http.NoBody
	if r.Body == nil {
		return detached, nil
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	detached.Body = io.NopCloser(bytes.NewReader(body))
	return detached, nil
}

// serve runs the handler and sends its response. It sends nil for a lost response.
func (t inProcessTransport) serve(r *http.Request, responses chan<- *http.Response) {
	recorder := httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != http.ErrAbortHandler { //nolint:errorlint // Compared directly, as in net/http.
				panic(recovered)
			}
			responses <- nil
		}
	}()
	t.handler.ServeHTTP(recorder, r)
	responses <- recorder.Result()
}

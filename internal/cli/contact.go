package cli

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// noContactError is the cause with which a run is cancelled when no instance has responded for the time limit. Without
// it, the client would retry forever.
type noContactError struct {
	limit       time.Duration
	lastFailure string // error or HTTP status of the latest failed call
}

// Error implements error.
func (e *noContactError) Error() string {
	return fmt.Sprintf("no instance responded for %s; last failure: %s", e.limit, e.lastFailure)
}

// contactWatchdog is a transport that cancels the run when no call has succeeded for the time limit. A status of 500 or
// more does not count as a success, because a balancer without instances responds with one.
type contactWatchdog struct {
	limit time.Duration
	timer *time.Timer

	mu          sync.Mutex
	lastFailure string // error or HTTP status of the latest failed call
}

func newContactWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *contactWatchdog {
	w := &contactWatchdog{limit: limit, lastFailure: "no call has finished"}
	w.timer = time.AfterFunc(limit, func() { cancel(w.timeoutError()) })
	return w
}

// RoundTrip implements http.RoundTripper.
func (w *contactWatchdog) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	switch {
	case err != nil:
		w.recordFailure(err.Error())
	case response.StatusCode >= http.StatusInternalServerError:
		w.recordFailure(response.Status)
	default:
		w.timer.Reset(w.limit)
	}
	return response, err
}

func (w *contactWatchdog) recordFailure(failure string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFailure = failure
}

func (w *contactWatchdog) timeoutError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &noContactError{w.limit, w.lastFailure}
}

func (w *contactWatchdog) stop() { w.timer.Stop() }

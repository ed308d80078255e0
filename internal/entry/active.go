package entry

import (
	"context"
	"sync"

	"github.com/egretspar/egretspar/internal/key"
	"github.com/egretspar/egretspar/internal/outcome"
)

// activeRequests tracks running requests, so that the withdrawal of a key cancels the requests made with it and a
// graceful shutdown can wait for all requests.
type activeRequests struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
	// empty is closed when the last request ends. It is nil while nobody waits for that.
	empty chan struct{}
}

type activeRequest struct {
	caller key.Identity
	cancel context.CancelCauseFunc
}

func newActiveRequests() *activeRequests {
	return &activeRequests{requests: map[*activeRequest]struct{}{}}
}

// register adds a request and returns its context, which is cancelled with a *outcome.Refusal as cause when the key is
// withdrawn. unregister must be called when the request ends.
func (a *activeRequests) register(ctx context.Context, caller key.Identity) (requestCtx context.Context, unregister func()) {
	requestCtx, cancel := context.WithCancelCause(ctx)
	request := &activeRequest{caller, cancel}
	a.mu.Lock()
	a.requests[request] = struct{}{}
	a.mu.Unlock()
	return requestCtx, func() {
		cancel(nil)
		a.remove(request)
	}
}

func (a *activeRequests) remove(request *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, request)
	if len(a.requests) == 0 && a.empty != nil {
		close(a.empty)
		a.empty = nil
	}
}

// cancelUnless cancels the requests made with a key for which keep returns false, and returns their number. Requests
// without a key continue.
func (a *activeRequests) cancelUnless(keep func(key.Identity) bool, reason outcome.Reason) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	cancelled := 0
	for request := range a.requests {
		if request.caller.KeyID != "" && !keep(request.caller) {
			request.cancel(outcome.Refuse(reason))
			cancelled++
		}
	}
	return cancelled
}

func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// waitEmpty waits until no request is running or ctx ends.
func (a *activeRequests) waitEmpty(ctx context.Context) error {
	a.mu.Lock()
	if len(a.requests) == 0 {
		a.mu.Unlock()
		return nil
	}
	if a.empty == nil {
		a.empty = make(chan struct{})
	}
	empty := a.empty
	a.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

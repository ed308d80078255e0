package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	messages "github.com/egretspar/egretspar/internal/engine"
)

// weightState holds the version in use, the loaded version that can be swapped in (0 means none) and the newest
// term of a weight order. loadFailuresLeft and swapFailuresLeft are the numbers of further loads and swaps
// that fail.
type weightState struct {
	version          int
	loadedVersion    int
	newestTerm       int
	loadFailuresLeft int
	swapFailuresLeft int
}

// FailWeights makes the next loads and swaps fail, in the given numbers.
func (e *Engine) FailWeights(loads, swaps int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.loadFailuresLeft = loads
	e.weights.swapFailuresLeft = swaps
}

// changeWeights serves POST /weights. It responds when the phase has ended.
func (e *Engine) changeWeights(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body ended early", http.StatusBadRequest)
		return
	}
	e.recorder.RecordRequest(r, body)
	var order messages.WeightOrder
	if err := json.Unmarshal(body, &order); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	if !e.acceptTerm(order.Term) {
		http.Error(w, "the term is old", http.StatusPreconditionFailed)
		return
	}
	code := e.runPhase(r, order)
	if code != http.StatusOK {
		http.Error(w, "weight change failed", code)
		return
	}
	e.mu.Lock()
	load := e.currentLoad()
	e.mu.Unlock()
	writeJSON(w, load)
}

// acceptTerm records the term of a weight order. It returns false if fencing refuses a stale term.
func (e *Engine) acceptTerm(term int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term < e.weights.newestTerm {
		e.stats.StaleOrders++
		return !e.options.Fencing
	}
	e.weights.newestTerm = term
	return true
}

func (e *Engine) runPhase(r *http.Request, order messages.WeightOrder) int {
	switch order.Phase {
	case messages.PhaseLoad:
		return e.loadWeights(r, order.Version)
	case messages.PhaseSwap:
		return e.swapWeights(r, order.Version)
	default:
		return http.StatusBadRequest
	}
}

func (e *Engine) loadWeights(r *http.Request, version int) int {
	e.mu.Lock()
	alreadyLoaded := version == e.weights.loadedVersion || version == e.weights.version
	crash := e.crashSignal
	e.mu.Unlock()
	if alreadyLoaded {
		return http.StatusOK
	}
	e.waitPhase(r, e.options.LoadTime, crash)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.weights.loadFailuresLeft > 0 {
		e.weights.loadFailuresLeft--
		e.stats.FailedChanges++
		return http.StatusInternalServerError
	}
	e.weights.loadedVersion = version
	e.stats.Loads++
	return http.StatusOK
}

// swapWeights changes the version in use. The swap pauses generation and clears the prefix cache, which is not
// valid for the new weights. It returns status 409 for a version that is not loaded.
func (e *Engine) swapWeights(r *http.Request, version int) int {
	crash, code := e.beginSwap(version)
	if crash == nil {
		return code
	}
	e.waitPhase(r, e.options.SwapTime, crash)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.weights.swapFailuresLeft > 0 {
		e.weights.swapFailuresLeft--
		e.stats.FailedChanges++
		return http.StatusInternalServerError
	}
	e.weights.version = version
	e.weights.loadedVersion = 0
	e.stats.Swaps++
	e.cache.clear(time.Now())
	return http.StatusOK
}

// beginSwap schedules the pause of a swap and returns the crash signal. It returns a nil channel and a status if
// there is no swap to wait for.
func (e *Engine) beginSwap(version int) (<-chan struct{}, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version == e.weights.version {
		return nil, http.StatusOK
	}
	if version != e.weights.loadedVersion {
		return nil, http.StatusConflict
	}
	e.pendingSwapPause += e.options.SwapTime
	e.stats.SwapPause += e.options.SwapTime
	return e.crashSignal, http.StatusOK
}

// waitPhase waits for the duration of a phase. It aborts the request if the engine crashes or is closed, or if
// the client disconnects.
func (e *Engine) waitPhase(r *http.Request, d time.Duration, crash <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return
	case <-crash:
	case <-r.Context().Done():
	case <-e.done.Done():
	}
	panic(http.ErrAbortHandler)
}

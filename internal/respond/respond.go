// Package respond writes refusals as HTTP responses. Every component that responds to callers uses it, so that all
// refusals have the same headers and body.
package respond

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
)

// Headers of every response to a caller.
const (
	OutcomeHeader = "Egretspar-Outcome"
	ReasonHeader  = "Egretspar-Reason"
)

const errorType = "egretspar_error"

// Body returns the body of a refusal. It includes the error object that OpenAI clients expect.
func Body(requestID string, refusal *outcome.Refusal) api.Refusal {
	body := api.Refusal{
		Outcome: api.Outcome(refusal.Outcome), Reason: string(refusal.Reason), Message: refusal.Message,
		Error: &api.RefusalError{
			Message: refusal.Message, Type: errorType, Code: string(refusal.Reason), Outcome: string(refusal.Outcome),
		},
	}
	if requestID != "" {
		body.ID = &requestID
	}
	return body
}

// Encode returns the body of a refusal as JSON.
func Encode(requestID string, refusal *outcome.Refusal) []byte {
	data, err := json.Marshal(Body(requestID, refusal))
	if err != nil {
		panic(err)
	}
	return data
}

// Refuse responds to a request with a refusal. The response contains nothing from the request except its id.
func Refuse(w http.ResponseWriter, requestID string, refusal *outcome.Refusal) {
	header := w.Header()
	header.Set(OutcomeHeader, string(refusal.Outcome))
	header.Set(ReasonHeader, string(refusal.Reason))
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	body := Encode(requestID, refusal)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status())
	// A write fails only if the caller has disconnected; there is nobody left to report it to.
	_, _ = w.Write(body)
}

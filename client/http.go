package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
)

// RefusedError is a refusal from an entry instance.
type RefusedError struct {
	Status  int
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with %s (status %d): %s", e.Reason, e.Status, e.Message)
}

// isFinal reports whether every instance would refuse a retry for the same reason. Statuses 408 and 429 and most 404s
// are temporary; only a service that does not exist is a final 404.
func (e *RefusedError) isFinal() bool {
	switch e.Status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusNotFound:
		return e.Reason == outcome.ServiceUnknown
	}
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
}

func (c *Client) open(ctx context.Context, base string, spec api.StepSpec) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return c.call(ctx, http.MethodPost, base+"/v1/steps", spec, nil)
}

func (c *Client) poll(ctx context.Context, base, id string, req api.PollRequest, timeout time.Duration) (*api.PollAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response api.PollAnswer
	err := c.call(ctx, http.MethodPost, base+"/v1/steps/"+url.PathEscape(id)+"/poll", req, &response)
	return &response, err
}

// deleteStep frees the memory that the service holds for a finished step. Errors are ignored, because the step then
// expires at its deadline.
func (c *Client) deleteStep(ctx context.Context, base, id string) {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	_ = c.call(ctx, http.MethodDelete, base+"/v1/steps/"+url.PathEscape(id), nil, nil)
}

// CancelStep cancels a step whose samples are no longer needed.
func (c *Client) CancelStep(ctx context.Context, id string) error {
	var err error
	for _, base := range c.BaseURLs {
		err = c.call(ctx, http.MethodDelete, base+"/v1/steps/"+url.PathEscape(id), nil, nil)
		if err == nil {
			return nil
		}
	}
	return err
}

func (c *Client) call(ctx context.Context, method, address string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return errors.Wrap(err, "call entry instance")
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return refusalError(resp, decoder)
	}
	if result == nil {
		return nil
	}
	// Decoding fails if the body is truncated. The caller then handles the response as lost.
	return errors.Wrap(decoder.Decode(result), "decode response")
}

func refusalError(resp *http.Response, decoder *json.Decoder) error {
	var body api.Refusal
	if err := decoder.Decode(&body); err != nil {
		// A body that is not a refusal comes from an intermediary, such as a load balancer.
		return errors.Errorf("status %d without a refusal in the body", resp.StatusCode)
	}
	return &RefusedError{
		Status:  resp.StatusCode,
		Outcome: outcome.Outcome(body.Outcome),
		Reason:  outcome.Reason(body.Reason),
		Message: body.Message,
	}
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

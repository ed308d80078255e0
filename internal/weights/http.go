package weights

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/target"
)

// HTTPEngines calls engines over HTTP.
type HTTPEngines struct {
	Client *http.Client
}

// Load implements Engines with GET /load.
func (h HTTPEngines) Load(ctx context.Context, t target.Target) (engine.Load, error) {
	var load engine.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+"/load", http.NoBody)
	if err != nil {
		return load, errors.Wrap(err, "build load report request")
	}
	resp, err := h.Client.Do(req)
	if err != nil {
		return load, errors.Wrap(err, "request load report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return load, errors.Errorf("request load report: status %d", resp.StatusCode)
	}
	return load, errors.Wrap(json.NewDecoder(resp.Body).Decode(&load), "decode load report")
}

// Order implements Engines with POST /weights. It returns api.ErrFenced for status 412, with which an engine refuses
// a stale fencing token, and ErrRateLimited for 429, which reports the weight store's rate limit. Status 409 is an
// ordinary failure: the version to swap in is not loaded, for example because the engine has restarted.
func (h HTTPEngines) Order(ctx context.Context, t target.Target, o engine.WeightOrder) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode weight order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+"/weights", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build weight order request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send weight order")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return api.ErrFenced
	case resp.StatusCode == http.StatusTooManyRequests:
		return ErrRateLimited
	case resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices:
		return errors.Errorf("send weight order: status %d", resp.StatusCode)
	}
	return nil
}

// Package client lets a trainer run training steps. docs/trainer.md describes the protocol for trainers that use plain
// HTTP instead.
package client

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/step"
)

const (
	// defaultWait is how long the service may hold a poll open until a sample is available.
	defaultWait = 2 * time.Second
	// responseMargin is added to the wait of a poll to get its timeout. It covers an owner that does not respond to
	// the forwarding instance within 1 s.
	responseMargin = 2 * time.Second
	// openTimeout limits the call that opens a step. deleteTimeout limits the call that deletes a complete step; the
	// trainer waits for it.
	openTimeout   = 5 * time.Second
	deleteTimeout = time.Second
	// backoffBase and backoffLimit are the shortest and the longest pause between calls. The client pauses only after
	// every base URL has failed once.
	backoffBase  = 50 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// Client calls the entry instances of one region. Its fields must not be changed after the first call.
type Client struct {
	// BaseURLs are the URLs of the load balancer or of several instances. The client switches to the next one after a
	// failure.
	BaseURLs []string
	// Key is the key of the team; it is sent as the bearer token.
	Key string
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// Wait is the longest wait of one poll; 0 means 2 s.
	Wait time.Duration
	// MaxSamples limits the number of samples in one poll response; 0 means the server's default.
	MaxSamples int
}

// Cursor is the trainer's progress in a step. A trainer that saves it with its checkpoint can resume the step after a
// restart.
type Cursor struct {
	// Have is the bitmap of the samples that onSample has accepted.
	Have string `json:"have"`
	// DroppedStale is the number of samples that the service dropped because they exceeded the staleness bound.
	DroppedStale int `json:"dropped_stale"`
}

// RunStep opens a step and calls onSample exactly once for each of its samples. It returns when all samples were
// accepted, ctx is done, onSample returns an error or the service refuses the step with a reason that a retry does
// not change. version must return the trainer's current weight version.
func (c *Client) RunStep(ctx context.Context, spec api.StepSpec, version func() int, onSample func(api.Sample) error) error {
	return c.ResumeStep(ctx, spec, &Cursor{}, version, onSample)
}

// ResumeStep is like RunStep but continues from a saved cursor. It updates the cursor: a sample is in the cursor once
// onSample has accepted it.
func (c *Client) ResumeStep(ctx context.Context, spec api.StepSpec, cursor *Cursor, version func() int, onSample func(api.Sample) error) error {
	if len(c.BaseURLs) == 0 {
		return errors.New("client has no base URL")
	}
	have, err := step.DecodeBitmap(cursor.Have, step.Slots(spec))
	if err != nil {
		return err
	}
	r := &stepRun{
		client:   c,
		spec:     spec,
		cursor:   cursor,
		have:     have,
		version:  version,
		onSample: onSample,
		// Starting at the current time makes poll numbers higher than those of earlier runs of this trainer, so
		// that a late response to an earlier run is not accepted in this run.
		pollNumber: int(time.Now().UnixMilli()),
	}
	return r.loop(ctx)
}

// stepRun is the state of one RunStep or ResumeStep call.
type stepRun struct {
	client              *Client
	spec                api.StepSpec
	cursor              *Cursor
	have                step.Bitmap
	version             func() int
	onSample            func(api.Sample) error
	pollNumber          int
	urlIndex            int
	consecutiveFailures int
	isOpen              bool
}

func (r *stepRun) loop(ctx context.Context) error {
	for {
		done, err := r.openAndPoll(ctx)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "step "+r.spec.ID)
		case done:
			r.client.deleteStep(ctx, r.baseURL(), r.spec.ID)
			return nil
		case err == nil:
			r.consecutiveFailures = 0
			continue
		}
		if err := r.handleFailure(ctx, err); err != nil {
			return err
		}
	}
}

// openAndPoll opens the step if necessary and sends one poll. done means that the trainer holds all samples.
func (r *stepRun) openAndPoll(ctx context.Context) (done bool, err error) {
	if !r.isOpen {
		if err := r.client.open(ctx, r.baseURL(), r.spec); err != nil {
			return false, err
		}
		r.isOpen = true
	}
	r.pollNumber++
	wait := r.client.pollWait()
	response, err := r.client.poll(ctx, r.baseURL(), r.spec.ID, api.PollRequest{
		Poll:           r.pollNumber,
		Have:           r.have.Encode(),
		TrainerVersion: r.version(),
		WaitMs:         int(wait / time.Millisecond),
		MaxSamples:     r.client.MaxSamples,
	}, wait+responseMargin)
	if err != nil {
		return false, err
	}
	if response.Poll != r.pollNumber || response.Step != r.spec.ID {
		return false, errWrongPoll
	}
	return response.Done, r.acceptSamples(response)
}

// errWrongPoll reports a response to another poll. Its samples are discarded. They are still missing from the next
// bitmap, so the service sends them again.
var errWrongPoll = errors.New("response belongs to another poll")

// callbackError is an error returned by onSample. It ends the run of the step without a retry.
type callbackError struct{ cause error }

// Error implements error.
func (e *callbackError) Error() string { return "sample callback: " + e.cause.Error() }

// Unwrap returns the error of the callback.
func (e *callbackError) Unwrap() error { return e.cause }

// acceptSamples passes the new samples of a response to onSample and records them in the cursor.
func (r *stepRun) acceptSamples(response *api.PollAnswer) error {
	if response.DroppedStale != nil {
		r.cursor.DroppedStale = *response.DroppedStale
	}
	for _, sample := range response.Samples {
		slot, ok := r.slotOf(sample)
		if !ok || r.have.Has(slot) || r.isStale(sample) {
			continue
		}
		if err := r.onSample(sample); err != nil {
			return &callbackError{cause: err}
		}
		r.have.Add(slot)
		r.cursor.Have = r.have.Encode()
	}
	return nil
}

// slotOf returns the slot of a sample and whether the sample is valid.
func (r *stepRun) slotOf(sample api.Sample) (int, bool) {
	inRange := sample.Group >= 0 && sample.Group < len(r.spec.Groups) &&
		sample.Index >= 0 && sample.Index < r.spec.SamplesPerGroup
	return sample.Group*r.spec.SamplesPerGroup + sample.Index, inRange && len(sample.Spans) > 0
}

// isStale reports whether a sample exceeds the staleness bound. The client checks the bound again, because the trainer
// may have advanced while the response was in transit. The service replaces the sample after the next poll, which
// contains the new version.
func (r *stepRun) isStale(sample api.Sample) bool {
	trainerVersion := r.version()
	for _, span := range sample.Spans {
		if trainerVersion-span.Version > r.spec.StalenessVersions {
			return true
		}
	}
	return false
}

// handleFailure prepares the next attempt after a failed call: it reopens the step or switches to the next base URL,
// and backs off. It returns an error if the step cannot continue.
func (r *stepRun) handleFailure(ctx context.Context, err error) error {
	var callback *callbackError
	if errors.As(err, &callback) {
		return err
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		switch {
		case refused.Reason == outcome.StepUnknown || refused.Reason == outcome.StepExpired:
			r.isOpen = false
			return r.backOff(ctx)
		case refused.isFinal():
			return err
		}
	}
	r.urlIndex++
	return r.backOff(ctx)
}

// backOff waits before the next attempt, but only if every base URL has failed once since the last success.
func (r *stepRun) backOff(ctx context.Context) error {
	r.consecutiveFailures++
	failedRounds := (r.consecutiveFailures - 1) / len(r.client.BaseURLs)
	if failedRounds == 0 {
		return nil
	}
	timer := time.NewTimer(min(backoffLimit, backoffBase<<min(failedRounds-1, 10)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "step "+r.spec.ID)
	case <-timer.C:
		return nil
	}
}

func (r *stepRun) baseURL() string { return r.client.BaseURLs[r.urlIndex%len(r.client.BaseURLs)] }

func (c *Client) pollWait() time.Duration {
	if c.Wait > 0 {
		return c.Wait
	}
	return defaultWait
}

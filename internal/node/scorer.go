package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/forward"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	scoreTimeout  = 30 * time.Second
	scoreCost     = 16
	maxScoreBytes = 64 << 10
)

// scorer requests the score of a sample from a plain service. It makes one attempt; its caller retries.
type scorer struct {
	admission interface {
		Acquire(ctx context.Context, req admission.Request) (*admission.Ticket, *outcome.Refusal)
	}
	picker forward.Picker
	// checkAccess returns nil if the team may use the service.
	checkAccess func(team, service string) *outcome.Refusal
	// observeLimit records the limit that a target names.
	observeLimit func(url string, header http.Header, sentAt time.Time)
	http         *http.Client
}

// Score implements rollout.Scorer.
func (s *scorer) Score(ctx context.Context, team, service, prompt, text string) (float64, *outcome.Refusal) {
	if refusal := s.checkAccess(team, service); refusal != nil {
		return 0, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	ticket, refusal := s.admission.Acquire(ctx, admission.Request{
		Team: team, Service: service, Class: config.ServiceClassTraining, Cost: scoreCost, Deadline: time.Now().Add(scoreTimeout),
	})
	if refusal != nil {
		return 0, refusal
	}
	defer ticket.Done(scoreCost)
	start := time.Now()
	reserved, refusal := s.picker.Pick(target.Request{Service: service, Team: team, Cost: scoreCost, Probe: true}, start)
	if refusal != nil {
		return 0, refusal
	}
	score, result := s.requestScore(ctx, reserved.Target().URL, engine.ScoreRequest{Prompt: prompt, Text: text})
	reserved.Done(result, time.Since(start))
	switch result {
	case target.OK:
		return score, nil
	case target.Unreachable:
		return 0, outcome.Refuse(outcome.TargetUnreachable)
	case target.Refused:
		return 0, outcome.Refuse(outcome.TargetRefused)
	}
	return 0, outcome.Refuse(outcome.ResponseLost)
}

func (s *scorer) requestScore(ctx context.Context, url string, body engine.ScoreRequest) (float64, target.Result) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, target.Cancelled
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/score", bytes.NewReader(encoded))
	if err != nil {
		return 0, target.Cancelled
	}
	request.Header.Set("Content-Type", "application/json")
	sentAt := time.Now()
	response, err := s.http.Do(request)
	switch {
	case ctx.Err() != nil:
		return 0, target.Cancelled
	case err != nil:
		return 0, target.Unreachable
	}
	defer response.Body.Close()
	s.observeLimit(url, response.Header, sentAt)
	if response.StatusCode != http.StatusOK {
		return 0, target.Refused
	}
	// The field is a pointer, so that a response without a score does not count as a score of 0.
	var decoded struct {
		Score *float64 `json:"score"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxScoreBytes)).Decode(&decoded); err != nil || decoded.Score == nil {
		return 0, target.Broken
	}
	return *decoded.Score, target.OK
}

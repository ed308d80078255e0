package rollout

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/respond"
)

const (
	// maxSpecBytes and maxPollBytes limit request bodies. A poll of the largest step has a bitmap
	// of 128 KiB.
	maxSpecBytes = 64 << 20
	maxPollBytes = 1 << 20
)

// HandleOpen serves POST /v1/steps for an authenticated team.
func (s *Service) HandleOpen(w http.ResponseWriter, r *http.Request, _ httprouter.Params, team string) {
	var spec api.StepSpec
	if refusal := readBody(w, r, maxSpecBytes, &spec); refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	if refusal := s.Open(r.Context(), team, spec); refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	writeResponse(w, struct {
		Step string `json:"step"`
	}{spec.ID})
}

// HandlePoll serves POST /v1/steps/:id/poll for an authenticated team.
func (s *Service) HandlePoll(w http.ResponseWriter, r *http.Request, params httprouter.Params, team string) {
	var req api.PollRequest
	if refusal := readBody(w, r, maxPollBytes, &req); refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	answer, refusal := s.Poll(r.Context(), team, params.ByName("id"), req)
	if refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	writeResponse(w, answer)
}

// HandleCancel serves DELETE /v1/steps/:id for an authenticated team.
func (s *Service) HandleCancel(w http.ResponseWriter, r *http.Request, params httprouter.Params, team string) {
	if refusal := s.Cancel(r.Context(), team, params.ByName("id")); refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	writeResponse(w, struct{}{})
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, into any) *outcome.Refusal {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.Refuse(outcome.RequestTooLarge)
	}
	refusal := outcome.Refuse(outcome.RequestInvalid)
	refusal.Message = "the body does not match the schema: " + err.Error()
	return refusal
}

func writeResponse(w http.ResponseWriter, response any) {
	body, err := json.Marshal(response)
	if err != nil {
		panic(errors.Wrap(err, "encode response"))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(respond.OutcomeHeader, string(outcome.Ran))
	_, _ = w.Write(body)
}

func (s *Service) writeRefusal(w http.ResponseWriter, refusal *outcome.Refusal) {
	if s.options.Counter != nil {
		s.options.Counter.CountRefusal(refusal.Reason)
	}
	respond.Refuse(w, "", refusal)
}

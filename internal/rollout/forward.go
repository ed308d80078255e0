package rollout

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/respond"
)

const (
	// ownerTimeout limits how long an owner may take to respond before another instance serves its step.
	ownerTimeout = time.Second
	// maxForwardWait limits the wait that one forwarded poll requests. The rest of ownerTimeout is left for
	// the response.
	maxForwardWait = 500 * time.Millisecond
	// maxOwnerCandidates limits the instances that are considered for a step, starting with its owner.
	maxOwnerCandidates = 3
	// suspicionTimeout is how long an instance that did not respond is skipped, so that not every poll
	// waits for it until the membership view is updated.
	suspicionTimeout = 2 * time.Second
)

// ownerCandidates returns the instances that may serve a key, in order of preference.
func (s *Service) ownerCandidates(key stepKey) []string {
	if successors, ok := s.options.Peers.(Successors); ok {
		candidates := successors.Successors(key.ownerKey())
		return candidates[:min(len(candidates), maxOwnerCandidates)]
	}
	owner, local := s.options.Peers.Owner(key.ownerKey())
	if local {
		return nil
	}
	return []string{owner}
}

func (s *Service) isSuspected(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.suspectedUntil[instance])
}

func (s *Service) hasStep(key stepKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.steps[key]
	return ok
}

// callOwner calls the owner of a step, and its successors when the owner cannot serve it. It returns false
// when this instance is to serve the step. A poll also tries the successors when the owner does not know
// the step: while membership views differ, the step may be open on one of them.
func (s *Service) callOwner(ctx context.Context, key stepKey, method peer.Method, body any) (peer.Reply, bool) {
	data, err := json.Marshal(body)
	if err != nil {
		return peer.Reply{}, false
	}
	call := peer.Call{Method: method, Team: &key.team, Step: &key.id, Body: string(data)}
	var unknownStepReply *peer.Reply
	for _, instance := range s.ownerCandidates(key) {
		if instance == s.options.Instance {
			if method != peer.MethodPoll || s.hasStep(key) {
				return peer.Reply{}, false
			}
			continue
		}
		reply, ok := s.callUnlessSuspected(ctx, instance, call)
		switch {
		case ctx.Err() != nil:
			return peer.Reply{}, false
		case ok && method == peer.MethodPoll && hasReason(reply, outcome.StepUnknown):
			unknownStepReply = &reply
		case ok:
			return reply, true
		}
	}
	if unknownStepReply == nil || s.hasStep(key) {
		return peer.Reply{}, false
	}
	return *unknownStepReply, true
}

// callUnlessSuspected calls an instance unless a recent call to it failed. It returns false if the instance
// was skipped, did not respond, is draining or has a stale configuration.
func (s *Service) callUnlessSuspected(ctx context.Context, instance string, call peer.Call) (peer.Reply, bool) {
	if s.isSuspected(instance) {
		return peer.Reply{}, false
	}
	reply, err := s.callWithTimeout(ctx, instance, call)
	if err == nil && !hasReason(reply, outcome.Draining) && !hasReason(reply, outcome.ConfigStale) {
		return reply, true
	}
	if ctx.Err() == nil {
		s.markSuspected(instance)
		s.countRetry(outcome.RetryPeerUnreachable)
	}
	return peer.Reply{}, false
}

func (s *Service) callWithTimeout(ctx context.Context, owner string, call peer.Call) (peer.Reply, error) {
	limited, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return s.options.Peers.Call(limited, owner, call)
}

func hasReason(reply peer.Reply, reason outcome.Reason) bool {
	return reply.Reason != nil && outcome.Reason(*reply.Reason) == reason
}

func (s *Service) markSuspected(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectedUntil[instance] = time.Now().Add(suspicionTimeout)
}

func (s *Service) forwardOpen(ctx context.Context, key stepKey, spec api.StepSpec) (*outcome.Refusal, bool) {
	reply, ok := s.callOwner(ctx, key, peer.MethodOpen, spec)
	if !ok {
		return nil, false
	}
	return refusalFromReply(reply), true
}

func (s *Service) forwardCancel(ctx context.Context, key stepKey) (*outcome.Refusal, bool) {
	reply, ok := s.callOwner(ctx, key, peer.MethodCancel, struct{}{})
	if !ok {
		return nil, false
	}
	return refusalFromReply(reply), true
}

// forwardPoll polls the owner in short calls. This distinguishes an owner that waits for a sample from one
// that does not respond.
func (s *Service) forwardPoll(ctx context.Context, key stepKey, req api.PollRequest, deadline time.Time) (*api.PollAnswer, *outcome.Refusal, bool) {
	for {
		shortReq := req
		shortReq.WaitMs = int(max(1, min(maxForwardWait, time.Until(deadline)).Milliseconds()))
		reply, ok := s.callOwner(ctx, key, peer.MethodPoll, shortReq)
		if !ok {
			return nil, nil, false
		}
		if refusal := refusalFromReply(reply); refusal != nil {
			return nil, refusal, true
		}
		var answer api.PollAnswer
		err := json.Unmarshal([]byte(reply.Body), &answer)
		if err != nil || answer.Step != key.id || answer.Poll != req.Poll {
			return nil, nil, false
		}
		if answer.Done || len(answer.Samples) > 0 || !time.Now().Before(deadline) {
			return &answer, nil, true
		}
	}
}

func refusalFromReply(reply peer.Reply) *outcome.Refusal {
	if reply.Status < http.StatusBadRequest {
		return nil
	}
	var body api.Refusal
	_ = json.Unmarshal([]byte(reply.Body), &body)
	refusal := outcome.Refuse(outcome.Reason(body.Reason))
	if refusal.Status() == 0 {
		refusal = outcome.Refuse(outcome.RequestInvalid)
	}
	refusal.Outcome = outcome.Outcome(body.Outcome)
	refusal.Message = body.Message
	return refusal
}

// HandleCall serves a call from another instance. It never forwards the call, so that instances with
// different membership views cannot forward a poll in a loop.
func (s *Service) HandleCall(ctx context.Context, call peer.Call) peer.Reply {
	if call.Team == nil || call.Step == nil {
		return refusalReply(call, outcome.Refuse(outcome.RequestInvalid))
	}
	key := stepKey{team: *call.Team, id: *call.Step}
	switch call.Method {
	case peer.MethodOpen:
		return s.handleOpen(ctx, key, call)
	case peer.MethodPoll:
		return s.handlePoll(ctx, key, call)
	case peer.MethodCancel:
		s.cancelLocal(key)
		return peer.Reply{ID: call.ID, Status: http.StatusOK, Body: "{}"}
	}
	return refusalReply(call, outcome.Refuse(outcome.RequestInvalid))
}

func (s *Service) handleOpen(ctx context.Context, key stepKey, call peer.Call) peer.Reply {
	var spec api.StepSpec
	if json.Unmarshal([]byte(call.Body), &spec) != nil || spec.ID != key.id {
		return refusalReply(call, outcome.Refuse(outcome.RequestInvalid))
	}
	if refusal := s.checkOpen(ctx, key, spec); refusal != nil {
		return refusalReply(call, refusal)
	}
	if refusal := s.openLocal(key, spec); refusal != nil {
		return refusalReply(call, refusal)
	}
	return peer.Reply{ID: call.ID, Status: http.StatusOK, Body: "{}"}
}

func (s *Service) handlePoll(ctx context.Context, key stepKey, call peer.Call) peer.Reply {
	var req api.PollRequest
	if json.Unmarshal([]byte(call.Body), &req) != nil {
		return refusalReply(call, outcome.Refuse(outcome.RequestInvalid))
	}
	answer, refusal := s.pollLocal(ctx, key, req, time.Now().Add(pollWait(req)))
	if refusal != nil {
		return refusalReply(call, refusal)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return refusalReply(call, outcome.Refuse(outcome.ResponseLost))
	}
	return peer.Reply{ID: call.ID, Status: http.StatusOK, Body: string(body)}
}

func refusalReply(call peer.Call, refusal *outcome.Refusal) peer.Reply {
	reason := string(refusal.Reason)
	return peer.Reply{ID: call.ID, Status: refusal.Status(), Reason: &reason, Body: string(respond.Encode("", refusal))}
}

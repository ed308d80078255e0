package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/forward"
	"github.com/egretspar/egretspar/internal/key"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/target"
	"github.com/egretspar/egretspar/internal/telemetry"
)

const (
	// maxCompletionBytes limits the body of a completion request.
	maxCompletionBytes = 4 << 20
	// maxFingerprintBytes is the size of the largest plain request body that is read for the fingerprint before the
	// request is forwarded.
	maxFingerprintBytes = 64 << 10
	// plainCost is the cost of every plain request in token units. Plain requests differ little, and their size is
	// not known before they run.
	plainCost        = 16
	defaultMaxTokens = 256
)

// request is a caller's request that has been authenticated and will be forwarded to a target.
type request struct {
	state        *configState
	caller       key.Identity
	service      config.Service
	arrived      time.Time
	cost         int64
	promptTokens int
	call         forward.Call
}

// registerRequest registers a request, so that the withdrawal of its key cancels it. It refuses a request whose key was
// withdrawn after the request was authenticated. No request is missed: ApplyConfig stores the new configuration before
// it cancels running requests, so a request either is registered by then or finds its key withdrawn here.
func (s *Server) registerRequest(r *http.Request, caller key.Identity) (context.Context, func(), *outcome.Refusal) {
	ctx, unregister := s.active.register(r.Context(), caller)
	if caller.KeyID != "" && !s.state.Load().keyring.IsInForce(caller) {
		unregister()
		return nil, nil, outcome.Refuse(outcome.KeyInvalid)
	}
	return ctx, unregister, nil
}

// newRequest authenticates the caller and checks that it may use the service and that the service has the given type.
func (s *Server) newRequest(r *http.Request, name string, serviceType config.Type) (*request, *outcome.Refusal) {
	st, caller, refusal := s.authenticate(r)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := st.keyring.CheckAccess(caller.Team, name); refusal != nil {
		return nil, refusal
	}
	service, ok := st.services[name]
	if !ok || service.Type != serviceType {
		return nil, outcome.Refuse(outcome.ServiceUnknown)
	}
	now := time.Now()
	return &request{state: st, caller: caller, service: service, arrived: now, call: forward.Call{
		Team: caller.Team, Service: service,
		Deadline: now.Add(time.Duration(service.TimeoutMs) * time.Millisecond),
	}}, nil
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, refusal := readBody(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	var message engine.CompletionRequest
	if err := json.Unmarshal(body, &message); err != nil {
		s.refuse(w, outcome.Refuse(outcome.RequestInvalid))
		return
	}
	req, refusal := s.newRequest(r, message.Model, config.TypeEngine)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	req.promptTokens = 1 + len(message.Prompt)/engine.BytesPerToken
	req.cost = engine.Cost(req.promptTokens, maxTokens(message))
	req.call.Idempotent = true
	req.call.Route = target.Request{
		Team: req.caller.Team, Prefix: engine.PrefixHashes(message.Prompt), Cost: req.cost, Probe: true, Resend: claim.ParseAttempt(r.Header) > 0,
		Fingerprint: retry.Fingerprint(req.caller.Team, req.service.Name, []byte(message.Prompt)),
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.serve(w, r, req, s.opts.Forwarder.ServeCompletion)
}

func maxTokens(message engine.CompletionRequest) int {
	if message.MaxTokens == nil {
		return defaultMaxTokens
	}
	return *message.MaxTokens
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCompletionBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, outcome.Refuse(outcome.RequestTooLarge)
	case err != nil:
		return nil, outcome.Refuse(outcome.RequestInvalid)
	}
	return body, nil
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	name := params.ByName("service")
	req, refusal := s.newRequest(r, name, config.TypePlain)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	req.cost = plainCost
	req.call.Idempotent = req.service.Idempotent || isIdempotentMethod(r.Method)
	req.call.Path = r.URL.EscapedPath()[len("/svc/")+len(name):]
	r.URL.RawQuery = req.state.keyring.StripQuery(r.URL.RawQuery)
	req.call.Route = target.Request{
		Team: req.caller.Team, Cost: req.cost, Probe: req.call.Idempotent, Resend: claim.ParseAttempt(r.Header) > 0,
		Fingerprint: plainFingerprint(r, req),
	}
	s.serve(w, r, req, s.opts.Forwarder.ServePlain)
}

// plainFingerprint identifies a plain request by its method, path, query and body. It is 0 if the body is longer than
// maxFingerprintBytes or of unknown length, or if the caller sends an Expect header and so waits before it sends the
// body.
func plainFingerprint(r *http.Request, req *request) uint64 {
	if r.ContentLength < 0 || r.ContentLength > maxFingerprintBytes || r.Header.Get("Expect") != "" {
		return 0
	}
	var identity bytes.Buffer
	for _, part := range []string{r.Method, req.call.Path, r.URL.RawQuery} {
		identity.WriteString(part)
		identity.WriteByte(0)
	}
	if r.ContentLength > 0 {
		body, err := io.ReadAll(r.Body)
		r.Body = bufferedBody{io.MultiReader(bytes.NewReader(body), errorReader{err}), r.Body}
		identity.Write(body)
	}
	return retry.Fingerprint(req.caller.Team, req.service.Name, identity.Bytes())
}

// bufferedBody reads a request body that was already read into memory. Close closes the original body.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// errorReader returns the error that ended the reading of a body, or io.EOF if the body was read to its end.
type errorReader struct{ err error }

// Read implements io.Reader.
func (f errorReader) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

// isIdempotentMethod reports whether RFC 9110, section 9.2.2, defines the method as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// serve waits for the admission of a request, records it if it may run only once, and runs it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req *request, run func(http.ResponseWriter, *http.Request, forward.Call)) {
	ctx, unregister, refusal := s.registerRequest(r, req.caller)
	if refusal != nil {
		s.refuseRequest(w, req, refusal)
		return
	}
	defer unregister()
	ctx, cancel := context.WithDeadline(ctx, req.call.Deadline)
	defer cancel()
	ticket, refused := s.opts.Admission.Acquire(ctx, admission.Request{
		Team: req.caller.Team, Service: req.service.Name, Class: req.service.Class, Cost: req.cost, Deadline: req.call.Deadline,
	})
	s.opts.Metrics.ObserveQueueWait(req.service.Name, time.Since(req.arrived).Seconds())
	if refused != nil {
		s.refuseRequest(w, req, refused)
		return
	}
	actual := int64(0)
	defer func() { ticket.Done(actual) }()
	if !s.recordClaim(ctx, w, r, req) {
		return
	}
	req.call.RequestID = requestID(r)
	req.call.Report = func(report forward.Report) {
		actual = s.meterRequest(req, report)
	}
	run(w, r.WithContext(ctx), req.call)
}

// recordClaim records a non-idempotent request that has an idempotency key. It returns false if it has written the
// response itself: a refusal, or the recorded response of an earlier attempt.
func (s *Server) recordClaim(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) bool {
	id := r.Header.Get(claim.KeyHeader)
	if req.call.Idempotent || id == "" {
		return true
	}
	decision, refusal := s.opts.Claims.Begin(ctx, req.caller.Team, id, claim.ParseAttempt(r.Header), time.Now())
	if refusal != nil {
		s.refuseRequest(w, req, refusal)
		return false
	}
	if decision.Response != nil {
		forward.WriteRecordedResponse(w, decision.Response)
		return false
	}
	req.call.Claim = decision.Claim
	return true
}

// requestID returns the request id for the response: the one that the caller sent, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return id
	}
	if id := r.Header.Get(claim.KeyHeader); id != "" {
		return id
	}
	return uuid.NewString()
}

// refuseRequest writes a refusal and counts the request as finished.
func (s *Server) refuseRequest(w http.ResponseWriter, req *request, refusal *outcome.Refusal) {
	s.refuse(w, refusal)
	s.opts.Metrics.CountRequest(telemetry.RequestLabels{Service: req.service.Name, Team: req.caller.Team, Outcome: refusal.Outcome})
}

// meterRequest counts a finished request, records its usage and returns its actual cost.
func (s *Server) meterRequest(req *request, report forward.Report) int64 {
	s.opts.Metrics.CountRequest(telemetry.RequestLabels{Service: req.service.Name, Team: req.caller.Team, Outcome: report.Outcome})
	if report.Outcome == outcome.NotRun {
		return 0
	}
	s.opts.Usage.Record(req.caller.Team, req.service.Name, req.promptTokens, report.Tokens, report.Duration)
	if req.service.Type == config.TypePlain {
		return plainCost
	}
	return engine.Cost(req.promptTokens, report.Tokens)
}

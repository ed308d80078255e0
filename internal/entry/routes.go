package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/egretspar/egretspar/internal/key"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/respond"
)

func (s *Server) routes() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.POST("/v1/completions", s.serveCompletion)
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/svc/:service/*path", s.servePlain)
	}
	router.POST("/v1/steps", s.stepHandler(s.opts.Steps.HandleOpen))
	router.POST("/v1/steps/:id/poll", s.stepHandler(s.opts.Steps.HandlePoll))
	router.DELETE("/v1/steps/:id", s.stepHandler(s.opts.Steps.HandleCancel))
	router.GET("/healthz", s.healthz)
	router.GET("/readyz", s.readyz)
	s.registerAdminRoutes(router)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.refuse(w, outcome.Refuse(outcome.ServiceUnknown))
	})
	return router
}

// authenticate authenticates the caller. Before that, it refuses requests while the instance drains or its
// configuration is stale, and requests for a protocol upgrade. It returns the configuration to use for the whole
// request.
func (s *Server) authenticate(r *http.Request) (*configState, key.Identity, *outcome.Refusal) {
	if s.refusingRequests.Load() {
		return nil, key.Identity{}, outcome.Refuse(outcome.Draining)
	}
	if !s.opts.Config.Serving(time.Now()) {
		return nil, key.Identity{}, outcome.Refuse(outcome.ConfigStale)
	}
	if r.Header.Get("Upgrade") != "" {
		return nil, key.Identity{}, outcome.Refuse(outcome.UpgradeUnsupported)
	}
	st := s.state.Load()
	authorization := r.Header.Get("Authorization")
	if authorization == "" {
		return st, key.Identity{}, nil
	}
	caller, refusal := st.keyring.Authenticate(authorization)
	return st, caller, refusal
}

// stepHandler wraps a handler of the trainers' step calls. It requires a key, passes the team of the key to the handler
// and cancels the call when the key is withdrawn.
func (s *Server) stepHandler(handle func(http.ResponseWriter, *http.Request, httprouter.Params, string)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		_, caller, refusal := s.authenticate(r)
		if refusal == nil && caller.Team == "" {
			refusal = outcome.Refuse(outcome.KeyMissing)
		}
		if refusal != nil {
			s.refuse(w, refusal)
			return
		}
		ctx, unregister, refusal := s.registerRequest(r, caller)
		if refusal != nil {
			s.refuse(w, refusal)
			return
		}
		defer unregister()
		handle(w, r.WithContext(ctx), params, caller.Team)
	}
}

// refuse writes a refusal and counts it.
func (s *Server) refuse(w http.ResponseWriter, refusal *outcome.Refusal) {
	s.opts.Metrics.CountRefusal(refusal.Reason)
	respond.Refuse(w, "", refusal)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected; there is nobody left to report it to.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusOK)
}

// readyz responds with 200 only while the instance accepts requests.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	switch {
	case s.draining.Load():
		s.notReady(w, outcome.Draining)
	case !s.opts.Config.Serving(time.Now()):
		s.notReady(w, outcome.ConfigStale)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// notReady responds to a failed readiness probe. It does not count a refusal, because a probe is not a caller's
// request.
func (s *Server) notReady(w http.ResponseWriter, reason outcome.Reason) {
	respond.Refuse(w, "", outcome.Refuse(reason))
}

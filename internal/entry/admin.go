package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/confsync"
	"github.com/egretspar/egretspar/internal/outcome"
)

const (
	// maxConfigBytes limits the size of a configuration. One with 4,000 targets takes about 600 KB.
	maxConfigBytes = 8 << 20
	// historyLimit is the number of revisions that the history lists.
	historyLimit = 100

	headerRevision = "Egretspar-Revision"
	headerAuthor   = "Egretspar-Author"
)

func (s *Server) registerAdminRoutes(router *httprouter.Router) {
	router.GET("/admin/v1/config", s.requireOperator(s.getConfig))
	router.POST("/admin/v1/config", s.requireOperator(s.applyConfig))
	router.GET("/admin/v1/config/history", s.requireOperator(s.getHistory))
	router.GET("/admin/v1/status", s.requireOperator(s.getStatus))
	router.POST("/admin/v1/drain", s.requireOperator(s.requestDrain))
	metrics := s.opts.Metrics.Handler()
	router.GET("/metrics", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) { metrics.ServeHTTP(w, r) })
	router.GET("/admin/debug/pprof/*name", s.requireOperator(func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		name := strings.TrimPrefix(params.ByName("name"), "/")
		if name == "profile" {
			pprof.Profile(w, r)
			return
		}
		pprof.Handler(name).ServeHTTP(w, r)
	}))
}

// requireOperator refuses requests without the operator token. The tokens are hashed before the comparison, so that
// its duration does not depend on their length.
func (s *Server) requireOperator(handle httprouter.Handle) httprouter.Handle {
	want := sha256.Sum256([]byte("Bearer " + s.opts.AdminToken))
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			s.refuse(w, outcome.Refuse(outcome.AdminForbidden))
			return
		}
		handle(w, r, params)
	}
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	body, revision := s.opts.Config.Body()
	w.Header().Set(headerRevision, strconv.Itoa(revision))
	w.Header().Set("Content-Type", "application/toml")
	// A write fails only if the operator has disconnected; there is nobody left to report it to.
	_, _ = w.Write(body)
}

func (s *Server) applyConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	expected, err := strconv.Atoi(r.URL.Query().Get("revision"))
	if err != nil || expected < 0 {
		s.refuse(w, refusalWith(outcome.RequestInvalid, "the parameter revision must name the revision that the change is based on"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		s.refuse(w, outcome.Refuse(outcome.RequestTooLarge))
		return
	}
	author := r.Header.Get(headerAuthor)
	result, refusal := s.opts.Config.Apply(r.Context(), expected, body, author)
	if refusal != nil {
		s.opts.Log.Info().Str("author", author).Str("reason", string(refusal.Reason)).Msg("configuration refused")
		s.refuse(w, refusal)
		return
	}
	s.opts.Log.Info().Str("author", author).Int("revision", result.Revision).Str("state", string(result.State)).Msg("configuration applied")
	status := http.StatusOK
	if result.State != confsync.InForce {
		status = http.StatusAccepted
	}
	writeJSON(w, status, api.ApplyResult{Revision: result.Revision, State: api.State(result.State), Unconfirmed: result.Unconfirmed})
}

func refusalWith(reason outcome.Reason, message string) *outcome.Refusal {
	refusal := outcome.Refuse(reason)
	refusal.Message = message
	return refusal
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	records, refusal := s.opts.Config.History(r.Context(), historyLimit)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	history := api.History{Entries: []api.HistoryEntry{}}
	for _, record := range records {
		object := record.Object
		history.Entries = append(history.Entries, api.HistoryEntry{
			Revision: record.Revision, Author: record.Author, Applied: record.At, Object: &object,
		})
	}
	writeJSON(w, http.StatusOK, history)
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, s.opts.Status())
}

func (s *Server) requestDrain(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.opts.Log.Info().Msg("drain requested by operator")
	s.opts.RequestDrain()
	w.WriteHeader(http.StatusAccepted)
}

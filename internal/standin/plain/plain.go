// Package plain emulates a plain HTTP service that runs next to the engines. It counts the runs of each
// request id, so that tests and experiments can detect a request that ran twice.
package plain

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/egretspar/egretspar/internal/standin"
)

// maxBodyBytes limits the body of one request.
const maxBodyBytes = 16 << 20

// Options configure a Service. With the zero value the service responds immediately and never fails.
type Options struct {
	// ID is the name of the service in its responses.
	ID string
	// Seed makes latencies and failures reproducible.
	Seed uint64
	// Secrets are strings that must not reach the service, such as clients' keys. The recorder counts the
	// requests that contain one.
	Secrets []string
	Behavior
}

// Behavior is the part of the options that can be changed while the service runs. Each rate is a fraction of
// the requests.
type Behavior struct {
	// Latency is the time of a run; a random time of up to Jitter is added.
	Latency time.Duration `json:"latency"`
	Jitter  time.Duration `json:"jitter"`
	// RefuseRate is the fraction of requests that get status 503 without running.
	RefuseRate float64 `json:"refuse_rate"`
	// FailRate is the fraction of requests that run and then get status 500.
	FailRate float64 `json:"fail_rate"`
	// ResponseLossRate is the fraction of requests that run and whose connection is then closed without a response.
	ResponseLossRate float64 `json:"lose_rate"`
	// Limit is the number of requests a second that responses name, as text; "" means none. It is not enforced.
	Limit string `json:"limit"`
	// TruncateRate is the fraction of requests that run and whose connection is closed in the middle of the response.
	TruncateRate float64 `json:"truncate_rate"`
}

// Response is the body of every response. It repeats the request, so that a client can check that the response
// belongs to its request.
type Response struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  string `json:"digest"`
	Run     int    `json:"run"`
	Echo    string `json:"echo"`
}

// Service is one emulated plain service.
type Service struct {
	id       string
	recorder *standin.Recorder

	mu          sync.Mutex
	random      *rand.Rand
	behavior    Behavior
	running     int
	peakRunning int
}

// New returns a service that is ready to serve requests.
func New(o Options) *Service {
	return &Service{
		id: o.ID, recorder: standin.NewRecorder(o.Secrets),
		random: rand.New(rand.NewPCG(o.Seed, 2)), behavior: o.Behavior,
	}
}

// Set changes the behavior for requests that arrive from now on.
func (s *Service) Set(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Close does nothing, because the service holds no resources of its own.
func (s *Service) Close() error { return nil }

// Observed holds the recorded requests and counts, for the checks of tests and experiments.
type Observed struct {
	standin.RequestLog
	// Peak is the largest number of requests that ran concurrently.
	Peak int `json:"peak"`
}

// Observed returns the recorded requests and counts.
func (s *Service) Observed() Observed {
	s.mu.Lock()
	peakRunning := s.peakRunning
	s.mu.Unlock()
	return Observed{RequestLog: s.recorder.Snapshot(), Peak: peakRunning}
}

// ServeHTTP implements http.Handler. It runs the request, or returns the counts for the path /observed.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/observed" {
		_ = json.NewEncoder(w).Encode(s.Observed())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body ended early", http.StatusBadRequest)
		return
	}
	id := s.recorder.RecordRequest(r, body)
	outcome := s.drawOutcome()
	if outcome.limit != "" {
		w.Header().Set("Egretspar-Limit", outcome.limit)
	}
	if outcome.refused {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	run := s.recorder.CountRun(id)
	s.beginRun()
	sleep(r, outcome.latency)
	s.endRun()
	response := Response{
		Service: s.id, ID: id, Method: r.Method, Path: r.URL.RequestURI(), Digest: standin.Digest(body),
		Run: run, Echo: string(body),
	}
	writeResponse(w, outcome, response)
}

func writeResponse(w http.ResponseWriter, outcome runOutcome, response Response) {
	if outcome.responseLost {
		panic(http.ErrAbortHandler)
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if outcome.failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if outcome.responseTruncated {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
}

// runOutcome holds the latency and the failures that were drawn for one request.
type runOutcome struct {
	refused, failed, responseLost, responseTruncated bool
	latency                                          time.Duration
	limit                                            string
}

func (s *Service) drawOutcome() runOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.behavior
	outcome := runOutcome{latency: b.Latency, limit: b.Limit}
	if b.Jitter > 0 {
		outcome.latency += time.Duration(s.random.Int64N(int64(b.Jitter)))
	}
	outcome.refused = s.random.Float64() < b.RefuseRate
	outcome.failed = s.random.Float64() < b.FailRate
	outcome.responseLost = s.random.Float64() < b.ResponseLossRate
	outcome.responseTruncated = s.random.Float64() < b.TruncateRate
	return outcome
}

func (s *Service) beginRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peakRunning = max(s.peakRunning, s.running)
}

func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}

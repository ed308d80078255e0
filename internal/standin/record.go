package standin

import (
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxKeptRequests limits the requests that a recorder keeps, at about 1 KB each. Later requests are only counted.
const maxKeptRequests = 20_000

// Request is one request as a target received it.
type Request struct {
	At     time.Time   `json:"at"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	ID     string      `json:"id"`
	Header http.Header `json:"header"`
	// Digest is the hash of the body.
	Digest string `json:"digest"`
	Bytes  int    `json:"bytes"`
	// Runs is the number of times that requests with this id ran, including this one.
	Runs int `json:"runs"`
}

// Recorder keeps the requests that a target received, and counts how often each request id ran.
type Recorder struct {
	secrets []string

	mu       sync.Mutex
	requests []Request
	total    int
	leaked   int
	runsByID map[string]int
}

// NewRecorder returns a recorder. It also counts the requests that contain one of the secrets.
func NewRecorder(secrets []string) *Recorder {
	return &Recorder{secrets: secrets, runsByID: map[string]int{}}
}

// RecordRequest records a request on arrival and returns its id.
func (r *Recorder) RecordRequest(req *http.Request, body []byte) string {
	id := RequestID(req)
	containsSecret := r.containsSecret(req, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if containsSecret {
		r.leaked++
	}
	if len(r.requests) < maxKeptRequests {
		r.requests = append(r.requests, Request{
			At: time.Now(), Method: req.Method, Path: req.URL.Path, ID: id, Header: req.Header.Clone(),
			Digest: Digest(body), Bytes: len(body),
		})
	}
	return id
}

// CountRun counts one more run of the request with this id and returns the new count.
func (r *Recorder) CountRun(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runsByID[id]++
	return r.runsByID[id]
}

func (r *Recorder) containsSecret(req *http.Request, body []byte) bool {
	if len(r.secrets) == 0 {
		return false
	}
	var text strings.Builder
	text.WriteString(req.URL.String())
	_ = req.Header.Write(&text)
	_ = req.Trailer.Write(&text)
	text.Write(body)
	for _, secret := range r.secrets {
		if strings.Contains(text.String(), secret) {
			return true
		}
	}
	return false
}

// RequestLog holds the requests and counts that a Recorder collected, for the checks of tests and experiments.
type RequestLog struct {
	Requests []Request `json:"requests"`
	// Total counts all requests, including those beyond the limit of kept requests.
	Total int `json:"total"`
	// Leaked counts the requests that contained a secret.
	Leaked int `json:"leaked"`
	// Runs counts the runs of each request id. Requests without an id count under the empty id.
	Runs map[string]int `json:"runs"`
}

// RepeatedIDs returns the request ids that ran more than once. It ignores the empty id.
func (s RequestLog) RepeatedIDs() []string {
	var ids []string
	for id, runs := range s.Runs {
		if id != "" && runs > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Snapshot returns a copy of everything recorded so far.
func (r *Recorder) Snapshot() RequestLog {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := RequestLog{Requests: append([]Request{}, r.requests...), Total: r.total, Leaked: r.leaked, Runs: map[string]int{}}
	for id, runs := range r.runsByID {
		seen.Runs[id] = runs
	}
	for i := range seen.Requests {
		seen.Requests[i].Runs = r.runsByID[seen.Requests[i].ID]
	}
	return seen
}

// RequestID returns the id under which a Recorder counts a request's runs, or the empty string if it has none.
func RequestID(r *http.Request) string {
	for _, name := range []string{"Idempotency-Key", "Egretspar-Request", "X-Request-Id"} {
		if id := r.Header.Get(name); id != "" {
			return id
		}
	}
	return ""
}

// Digest returns the hash of a body in hexadecimal.
func Digest(body []byte) string {
	sum := xxhash.New()
	_, _ = sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Package claim keeps the at-most-once record of non-idempotent requests. A request is recorded in the
// platform's table before it is sent, so that every instance recognises further attempts, even after the
// instance that sent the request crashed.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// Table is the part of the platform's table service that claims use.
type Table interface {
	Get(ctx context.Context, key string) (api.Row, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

const (
	// Prefix starts the keys of all claim rows.
	Prefix = "claims/"
	// Lifetime is how long a claim is kept. Callers do not retry a request after that.
	Lifetime = 15 * time.Minute
	// MaxBody is the largest response body that is recorded, in bytes.
	MaxBody = 16 << 10
	// NoAttempt is the attempt number of a request without one.
	NoAttempt = -1
)

// Headers of callers that make non-idempotent requests.
const (
	// KeyHeader identifies the request. All its attempts carry the same value.
	KeyHeader = "Idempotency-Key"
	// AttemptHeader numbers the attempts of one request from 0.
	AttemptHeader = "Egretspar-Attempt"
)

// ParseAttempt returns the attempt number in a request's header. A malformed number counts as a later
// attempt, which never runs without a record.
func ParseAttempt(header http.Header) int {
	text := header.Get(AttemptHeader)
	if text == "" {
		return NoAttempt
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return math.MaxInt
	}
	return number
}

// state is the progress of a claimed request.
type state string

const (
	// stateStarted means that the request may have been sent.
	stateStarted state = "started"
	// stateFinished means that the request ran and its response is known.
	stateFinished state = "finished"
	// stateReleased means that the request certainly did not run and may be sent again.
	stateReleased state = "released"
)

// Response is the recorded response to a request that ran.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Omitted reports that the body was too large to be recorded.
	Omitted bool `json:"omitted,omitempty"`
}

// record is the value of a claim row.
type record struct {
	State state `json:"state"`
	// Owner is unique to one attempt and distinguishes its claim from those of other attempts.
	Owner string `json:"owner"`
	// AtUnixMs is the time of the claim.
	AtUnixMs int64     `json:"at_unix_ms"`
	Response *Response `json:"answer,omitempty"`
}

func (r record) isExpired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.AtUnixMs)) >= Lifetime
}

func (r record) encode() *string {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode claim record"))
	}
	text := string(data)
	return &text
}

func decode(row api.Row) (record, error) {
	var r record
	err := json.Unmarshal([]byte(row.Value), &r)
	return r, errors.Wrap(err, "decode claim row "+row.Key)
}

// rowKey returns the key of a request's row. The caller chooses the request id, so it is hashed
// together with the team.
func rowKey(team, requestID string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + requestID))
	return Prefix + hex.EncodeToString(sum[:])
}

// Decision tells how to handle an attempt.
type Decision struct {
	// Claim is set when the request is to be sent. The caller then calls Finish if the request certainly
	// ran, Release if it certainly did not, and neither if that is unknown.
	Claim *Claim
	// Response is set when the request ran before and its recorded response is to be replayed.
	Response *Response
}

// rowStatus is the meaning of an existing row for a new attempt.
type rowStatus int

const (
	// statusOwn means that this attempt wrote the row.
	statusOwn rowStatus = iota + 1
	// statusReplace means that the row is expired or released and is replaced.
	statusReplace
	// statusDuplicate means that another attempt may be running.
	statusDuplicate
	// statusReplay means that the recorded response is replayed.
	statusReplay
)

func statusOf(r record, owner string, now time.Time) rowStatus {
	switch {
	case r.Owner == owner && r.State == stateStarted:
		return statusOwn
	case r.isExpired(now), r.State == stateReleased:
		return statusReplace
	case r.State == stateFinished && r.Response != nil:
		return statusReplay
	default:
		return statusDuplicate
	}
}

// missingRowRefusal returns the refusal, if any, of an attempt for which the table has no row. After an
// outage, an earlier attempt may have run without a row.
func missingRowRefusal(attempt int, outage, now time.Time) *outcome.Refusal {
	if attempt > 0 && now.Sub(outage) < Lifetime {
		return outcome.Refuse(outcome.ClaimRecordLost)
	}
	return nil
}

// unrecordedRefusal returns the refusal, if any, of an attempt that cannot be recorded. Only a request that
// its caller never sent before may run.
func unrecordedRefusal(attempt int) *outcome.Refusal {
	if attempt == 0 {
		return nil
	}
	return outcome.Refuse(outcome.ClaimUnavailable)
}

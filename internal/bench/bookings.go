package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/plain"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	maxBookingAttempts   = 5
	bookingRetryDelay    = 100 * time.Millisecond
	bookingTimeout       = 5 * time.Second
	instanceKillInterval = time.Second
	bookingLoseRate      = 0.02
	bookingTruncateRate  = 0.02
	bookingFailRate      = 0.02
)

// bookingCounts holds the outcomes that the callers saw. At the end of the experiment they are compared with the
// runs that the targets recorded.
type bookingCounts struct {
	mu             sync.Mutex
	succeeded      int
	unknownOutcome int
	wrongResponses int
	// notRunIDs are the ids of bookings whose last attempt was refused as not run.
	notRunIDs []string
	// failedAttempts counts the attempts that were refused or whose outcome is unknown, by reason.
	failedAttempts map[string]int
}

func (c *bookingCounts) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// runBookings sends non-idempotent requests with an Idempotency-Key and retries them through other instances. The
// service drops and truncates responses, and instances are killed if the experiment enables faults.
func runBookings(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	b, err := startEnvironment(ctx, e, engine.Options{}, log)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	for _, service := range b.Plain[servicePlain] {
		service.Set(plain.Behavior{Latency: 2 * time.Millisecond, Jitter: 5 * time.Millisecond, FailRate: bookingFailRate, ResponseLossRate: bookingLoseRate, TruncateRate: bookingTruncateRate})
	}
	faultsCtx, stopFaults := context.WithCancel(ctx)
	var faults conc.WaitGroup
	faults.Go(func() {
		random := rand.New(rand.NewSource(int64(e.Seed)))
		for e.Faults && wait.Sleep(faultsCtx, instanceKillInterval) {
			b.replaceInstance(random)
		}
	})
	counts := b.sendBookings(ctx, e)
	stopFaults()
	faults.Wait()
	return b.bookingResult(e, counts), nil
}

func (b *environment) sendBookings(ctx context.Context, e Experiment) *bookingCounts {
	counts := &bookingCounts{failedAttempts: map[string]int{}}
	client := newHTTPClient(e.Connections)
	client.Timeout = bookingTimeout
	n := 0
	var mu sync.Mutex
	openLoop(ctx, e.Rate, e.Connections, measurementDuration(e), func(ctx context.Context) bool {
		mu.Lock()
		n++
		id := fmt.Sprintf("booking-%d", n)
		mu.Unlock()
		b.sendBookingWithRetries(ctx, client, id, counts)
		return true
	})
	return counts
}

// sendBookingWithRetries sends one booking until it has run, at most maxBookingAttempts times, as a caller does that
// must not lose it.
func (b *environment) sendBookingWithRetries(ctx context.Context, client *http.Client, id string, counts *bookingCounts) {
	lastOutcome := outcome.Unknown
	for attempt := range maxBookingAttempts {
		var body plain.Response
		var reason string
		lastOutcome, reason = b.sendBooking(ctx, client, id, attempt, &body)
		if lastOutcome == outcome.Ran {
			counts.update(func() {
				counts.succeeded++
				if body.ID != id {
					counts.wrongResponses++
				}
			})
			return
		}
		counts.update(func() { counts.failedAttempts[reason]++ })
		time.Sleep(bookingRetryDelay)
	}
	counts.update(func() {
		if lastOutcome == outcome.NotRun {
			counts.notRunIDs = append(counts.notRunIDs, id)
		} else {
			counts.unknownOutcome++
		}
	})
}

func (b *environment) sendBooking(ctx context.Context, client *http.Client, id string, attempt int, body *plain.Response) (result outcome.Outcome, reason string) {
	url := b.balancer.Pick() + "/svc/" + servicePlain + "/bookings"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("clock="+id))
	if err != nil {
		return outcome.NotRun, err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+b.Keys[teamSmall].Bearer)
	request.Header.Set("Idempotency-Key", id)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Egretspar-Attempt", fmt.Sprint(attempt))
	response, err := client.Do(request)
	if err != nil {
		return outcome.Unknown, "connection"
	}
	defer response.Body.Close()
	reported := outcome.Outcome(response.Header.Get("Egretspar-Outcome"))
	if reported == outcome.Ran && response.StatusCode >= http.StatusInternalServerError {
		// The service ran the request and returned an error of its own.
		body.ID = id
		return outcome.Ran, ""
	}
	reason = response.Header.Get("Egretspar-Reason")
	switch {
	case response.StatusCode != http.StatusOK && reported == outcome.NotRun:
		return outcome.NotRun, reason
	case response.StatusCode != http.StatusOK:
		return outcome.Unknown, reason
	case json.NewDecoder(response.Body).Decode(body) != nil:
		// The response was truncated after its headers were sent, so it cannot carry a reason.
		return outcome.Unknown, "broken_off"
	}
	return outcome.Ran, ""
}

func (b *environment) bookingResult(e Experiment, counts *bookingCounts) *Result {
	runs := map[string]int{}
	leaked := 0
	for _, service := range b.Plain[servicePlain] {
		observed := service.Observed()
		leaked += observed.Leaked
		for id, n := range observed.Runs {
			runs[id] += n
		}
	}
	runTwice, notRunButRan := 0, 0
	for id, n := range runs {
		if id != "" && n > 1 {
			runTwice++
		}
	}
	for _, id := range counts.notRunIDs {
		if runs[id] > 0 {
			notRunButRan++
		}
	}
	r := &Result{Experiment: e}
	r.add("answered", "requests", float64(counts.succeeded))
	r.add("unknown_to_caller", "requests", float64(counts.unknownOutcome))
	r.add("refused_as_not_run", "requests", float64(len(counts.notRunIDs)))
	for reason, n := range counts.failedAttempts {
		r.add("attempts_failed_"+reason, "attempts", float64(n))
	}
	r.addAtMost("run_twice", "requests", float64(runTwice), 0)
	r.addAtMost("not_run_but_ran", "requests", float64(notRunButRan), 0)
	r.addAtMost("answers_of_others", "requests", float64(counts.wrongResponses), 0)
	r.addAtMost("keys_leaked", "requests", float64(leaked), 0)
	return r
}

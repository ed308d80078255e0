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
	bookingAttempts = 5
	bookingPause    = 100 * time.Millisecond
	bookingTimeout  = 5 * time.Second
	killInterval    = time.Second
	loseRate        = 0.02
	truncateRate    = 0.02
	failRate        = 0.02
)

// bookingCounts are counted by the callers; runs at the targets are compared with them at the end.
type bookingCounts struct {
	mu      sync.Mutex
	ok      int
	unknown int
	wrong   int
	notRun  []string
	// reasons counts every refused attempt by reason.
	reasons map[string]int
}

func (c *bookingCounts) count(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// bookings sends non-idempotent calls with an Idempotency-Key and repeats them through other instances,
// while instances are killed and the service loses and cuts answers.
func bookings(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	b, err := start(ctx, e, engine.Options{}, log)
	if err != nil {
		return nil, err
	}
	defer b.close()
	for _, service := range b.Plain[servicePlain] {
		service.Set(plain.Behavior{Latency: 2 * time.Millisecond, Jitter: 5 * time.Millisecond, FailRate: failRate, LoseRate: loseRate, TruncateRate: truncateRate})
	}
	faultsCtx, stop := context.WithCancel(ctx)
	var faults conc.WaitGroup
	faults.Go(func() {
		random := rand.New(rand.NewSource(int64(e.Seed)))
		for e.Faults && wait.Sleep(faultsCtx, killInterval) {
			b.replaceInstance(random)
		}
	})
	counts := b.sendBookings(ctx, e)
	stop()
	faults.Wait()
	return b.bookingResult(e, counts), nil
}

func (b *bench) sendBookings(ctx context.Context, e Experiment) *bookingCounts {
	counts := &bookingCounts{reasons: map[string]int{}}
	client := newHTTPClient(e.Connections)
	client.Timeout = bookingTimeout
	n := 0
	var mu sync.Mutex
	openLoop(ctx, e.Rate, e.Connections, length(e), func(ctx context.Context) bool {
		mu.Lock()
		n++
		id := fmt.Sprintf("booking-%d", n)
		mu.Unlock()
		b.book(ctx, client, id, counts)
		return true
	})
	return counts
}

// book sends one call until it has an answer, as a caller that must not lose it does.
func (b *bench) book(ctx context.Context, client *http.Client, id string, counts *bookingCounts) {
	last := outcome.Unknown
	for attempt := range bookingAttempts {
		var answer plain.Answer
		var reason string
		last, reason = b.sendBooking(ctx, client, id, attempt, &answer)
		if last == outcome.Ran {
			counts.count(func() {
				counts.ok++
				if answer.ID != id {
					counts.wrong++
				}
			})
			return
		}
		counts.count(func() { counts.reasons[reason]++ })
		time.Sleep(bookingPause)
	}
	counts.count(func() {
		if last == outcome.NotRun {
			counts.notRun = append(counts.notRun, id)
		} else {
			counts.unknown++
		}
	})
}

func (b *bench) sendBooking(ctx context.Context, client *http.Client, id string, attempt int, answer *plain.Answer) (result outcome.Outcome, reason string) {
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
		// The service ran the call and answered with an error of its own.
		answer.ID = id
		return outcome.Ran, ""
	}
	reason = response.Header.Get("Egretspar-Reason")
	switch {
	case response.StatusCode != http.StatusOK && reported == outcome.NotRun:
		return outcome.NotRun, reason
	case response.StatusCode != http.StatusOK:
		return outcome.Unknown, reason
	case json.NewDecoder(response.Body).Decode(answer) != nil:
		// The answer broke off after its header, which is too late for a reason.
		return outcome.Unknown, "broken_off"
	}
	return outcome.Ran, ""
}

func (b *bench) bookingResult(e Experiment, c *bookingCounts) *Result {
	runs := map[string]int{}
	leaked := 0
	for _, service := range b.Plain[servicePlain] {
		seen := service.Observed()
		leaked += seen.Leaked
		for id, n := range seen.Runs {
			runs[id] += n
		}
	}
	doubled, falseNotRun := 0, 0
	for id, n := range runs {
		if id != "" && n > 1 {
			doubled++
		}
	}
	for _, id := range c.notRun {
		if runs[id] > 0 {
			falseNotRun++
		}
	}
	r := &Result{Experiment: e}
	r.add("answered", "requests", float64(c.ok))
	r.add("unknown_to_caller", "requests", float64(c.unknown))
	r.add("refused_as_not_run", "requests", float64(len(c.notRun)))
	for reason, n := range c.reasons {
		r.add("attempts_failed_"+reason, "attempts", float64(n))
	}
	r.atMost("run_twice", "requests", float64(doubled), 0)
	r.atMost("not_run_but_ran", "requests", float64(falseNotRun), 0)
	r.atMost("answers_of_others", "requests", float64(c.wrong), 0)
	r.atMost("keys_leaked", "requests", float64(leaked), 0)
	return r
}

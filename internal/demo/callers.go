package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	standinengine "github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/plain"
	"github.com/egretspar/egretspar/internal/testbed"
)

const (
	// maxCallerAttempts limits how often a caller sends one request.
	maxCallerAttempts  = 6
	callerRetryDelay   = 150 * time.Millisecond
	requestInterval    = 20 * time.Millisecond
	adviceMedianTokens = 32
	adviceLengthSigma  = 0.4
	adviceMaxTokens    = 200
	// digestMedianTokens is so long that digestMaxTokens ends every digest of the callers.
	digestMedianTokens = 20_000
	digestMaxTokens    = 600
)

// requestKind is the type of a request that the callers of team shop send.
type requestKind int

const (
	kindBook   requestKind = iota // POST to the plain service that must not run twice; sent with an Idempotency-Key
	kindLookUp                    // idempotent request to the plain service
	kindAdvise                    // streamed completion
	kindDigest                    // streamed completion that takes more than a second
)

// randomKind draws a kind from a fixed mix of short and long requests.
func randomKind(random *rand.Rand) requestKind {
	mix := []requestKind{kindBook, kindBook, kindBook, kindBook, kindLookUp, kindLookUp, kindLookUp, kindAdvise, kindAdvise, kindDigest}
	return mix[random.Intn(len(mix))]
}

// attemptResult is the result of one attempt as the caller saw it.
type attemptResult struct {
	outcome outcome.Outcome
	reason  string
	// complete is set when the caller got the whole response to its own request.
	complete bool
	// mismatch is set when the response belongs to another request.
	mismatch bool
}

// callers sends the requests of team shop and counts the results that the callers see.
type callers struct {
	balancer   *testbed.Balancer
	key        string
	httpClient *http.Client

	mu             sync.Mutex
	offered        int // requests sent, not counting retries
	succeeded      int
	refused        int
	lost           int // requests whose last attempt had an unknown outcome
	wrongResponses int
	cutByDrain     int      // attempts with an unknown outcome during which their instance started to drain
	notRunIDs      []string // ids of requests whose last attempt was refused as not run
	isDraining     func(instanceURL string) bool
}

func newCallers(b *testbed.Balancer, key string, isDraining func(string) bool) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callers{balancer: b, key: key, httpClient: &http.Client{Transport: transport}, isDraining: isDraining}
}

// run sends requests at a fixed rate that doesn't depend on the responses until ctx is done, and then waits for the
// requests in flight.
func (c *callers) run(ctx context.Context, seed int64) {
	random := rand.New(rand.NewSource(seed))
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	var inFlight conc.WaitGroup
	defer inFlight.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k := randomKind(random)
		seed := random.Int63()
		inFlight.Go(func() { c.sendWithRetries(k, n, seed) })
	}
}

// sendWithRetries sends one request until it gets a complete response, at most maxCallerAttempts times.
func (c *callers) sendWithRetries(k requestKind, n int, seed int64) {
	id := fmt.Sprintf("shop-%d", n)
	c.update(func() { c.offered++ })
	var result attemptResult
	for attempt := range maxCallerAttempts {
		instanceURL := c.balancer.Pick()
		wasDraining := c.isDraining(instanceURL)
		result = c.sendOnce(k, instanceURL, id, seed, attempt)
		if result.complete {
			c.update(func() { c.succeeded++ })
			return
		}
		if result.outcome == outcome.Unknown && !wasDraining && c.isDraining(instanceURL) {
			c.update(func() { c.cutByDrain++ })
		}
		time.Sleep(callerRetryDelay)
	}
	c.update(func() {
		switch {
		case result.mismatch:
			c.wrongResponses++
		case result.outcome == outcome.NotRun:
			c.refused++
			c.notRunIDs = append(c.notRunIDs, id)
		default:
			c.lost++
		}
	})
}

func (c *callers) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *callers) sendOnce(k requestKind, instanceURL, id string, seed int64, attempt int) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := c.newRequest(ctx, k, instanceURL, id, seed)
	if err != nil {
		return attemptResult{outcome: outcome.NotRun}
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Egretspar-Attempt", fmt.Sprint(attempt))
	response, err := c.httpClient.Do(request)
	if err != nil {
		return attemptResult{outcome: outcome.Unknown, reason: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return attemptResult{outcome: outcome.Outcome(response.Header.Get("Egretspar-Outcome")), reason: response.Header.Get("Egretspar-Reason")}
	}
	switch k {
	case kindAdvise:
		return readText(response.Body, expectedText(seed, adviceMedianTokens, adviceLengthSigma, adviceMaxTokens))
	case kindDigest:
		return readText(response.Body, expectedText(seed, digestMedianTokens, 0, digestMaxTokens))
	}
	return readPlain(response.Body, id)
}

func (c *callers) newRequest(ctx context.Context, k requestKind, instanceURL, id string, seed int64) (*http.Request, error) {
	switch k {
	case kindBook:
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, instanceURL+"/svc/"+serviceBooking+"/bookings", strings.NewReader("clock="+id))
		if err == nil {
			request.Header.Set("Idempotency-Key", id)
		}
		return request, err
	case kindLookUp:
		return http.NewRequestWithContext(ctx, http.MethodGet, instanceURL+"/svc/"+serviceBooking+"/bookings/"+id, nil)
	case kindDigest:
		return newCompletionRequest(ctx, instanceURL, serviceDigest, seed, digestMaxTokens)
	default:
		return newCompletionRequest(ctx, instanceURL, serviceAdvice, seed, adviceMaxTokens)
	}
}

func newCompletionRequest(ctx context.Context, instanceURL, service string, seed int64, maxTokens int) (*http.Request, error) {
	requestSeed, stream := int(seed), true
	body, err := json.Marshal(engine.CompletionRequest{Model: service, Prompt: prompt(seed), Seed: &requestSeed, Stream: &stream, MaxTokens: &maxTokens})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, instanceURL+"/v1/completions", bytes.NewReader(body))
}

func prompt(seed int64) string {
	return fmt.Sprintf("%s Question %d.", strings.Repeat("Advice on swing timing and setup of pendulum clocks. ", 12), seed)
}

// expectedText returns the text that the engines generate for a seed and its prompt.
func expectedText(seed int64, median int, sigma float64, maxTokens int) string {
	stream := standinengine.NewStream(seed, prompt(seed))
	return stream.Text(0, min(stream.Length(median, sigma), maxTokens))
}

// readText reads a stream and compares it with the text that is expected for the caller's request.
func readText(body io.Reader, want string) attemptResult {
	got, complete := readStream(body, func(string) {})
	switch {
	case !complete:
		return attemptResult{outcome: outcome.Unknown, reason: "stream ended without the done marker"}
	case got != want:
		return attemptResult{outcome: outcome.Ran, mismatch: true}
	}
	return attemptResult{outcome: outcome.Ran, complete: true}
}

// readStream returns the text of a stream and whether the stream ended with the done marker. It calls onText for each
// piece of text.
func readStream(body io.Reader, onText func(text string)) (string, bool) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engine.DoneMarker {
			return text.String(), true
		}
		var chunk engine.CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text.String(), false
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
			onText(choice.Text)
		}
	}
	return text.String(), false
}

func readPlain(body io.Reader, id string) attemptResult {
	var got plain.Response
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		return attemptResult{outcome: outcome.Unknown, reason: "truncated response"}
	}
	if got.ID != id {
		return attemptResult{outcome: outcome.Ran, mismatch: true}
	}
	return attemptResult{outcome: outcome.Ran, complete: true}
}

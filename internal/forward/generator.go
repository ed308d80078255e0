package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/target"
)

// Generator runs generations on engines and continues them on other engines after failures.
type Generator struct {
	options Options
	client  *client
}

// Priorities of requests in an engine; lower values run first.
const (
	priorityLatency  = 0
	priorityTraining = 1
)

// generation holds the state of one generation across all attempts.
type generation struct {
	engine.Generation
	id       string
	route    target.Request
	priority int
	sampling sampling
	emit     func(engine.Chunk) error

	// text holds ResumeText and the new text; ResumeTokens counts the tokens of both, and producedTokens those of
	// the new text.
	text                 []byte
	producedTokens       int
	engineFinishReason   engine.FinishReason
	finishReasonReceived bool
	// mayHaveRun reports whether an engine may have run a part of the request.
	mayHaveRun bool
	// attemptsWithoutProgress counts consecutive attempts since the last new token.
	attemptsWithoutProgress int
	// lastRefusal is the refusal of the last failed attempt. It ends the generation if no other engine is left.
	lastRefusal *outcome.Refusal
	failures    failureTracker
	// failedEngines lists the engines that broke or could not be reached. Unlike engines that refused, they stay
	// excluded while the generation waits for a slot.
	failedEngines []string
	report        Report
}

// sampling holds the options for which an engine has defaults.
type sampling struct {
	temperature *float64
	seed        *int
}

// Generate streams one generation to emit. A nil result means that every token was passed to emit exactly once
// and in order.
func (g *Generator) Generate(ctx context.Context, gen engine.Generation, emit func(engine.Chunk) error) *outcome.Refusal {
	seed := int(gen.Seed)
	run := &generation{
		Generation: gen,
		id:         uuid.NewString(),
		route:      target.Request{Service: gen.Service, Team: gen.Team, Probe: true, MinVersion: gen.MinVersion, Cost: generationCost(gen), Prefix: gen.Prefix, Fingerprint: gen.Fingerprint, SingleOwner: true},
		priority:   priorityTraining,
		sampling:   sampling{&gen.Temperature, &seed},
		emit:       emit,
	}
	return g.run(ctx, run)
}

const completionsPath = "/v1/completions"

func generationCost(gen engine.Generation) int64 {
	return engine.Cost(len(gen.Prompt)/engine.BytesPerToken, gen.MaxTokens)
}

func (g *Generator) run(ctx context.Context, run *generation) *outcome.Refusal {
	run.route.Exclude = slices.Clone(run.Exclude)
	run.text = []byte(run.ResumeText)
	run.failures = failureTracker{options: &g.options, fingerprint: run.Fingerprint}
	if refusal := run.failures.checkQuarantine(); refusal != nil {
		return g.finalizeRefusal(run, refusal)
	}
	for {
		reserved, refusal := g.reserve(ctx, run)
		if ctx.Err() == nil && refusal != nil {
			refusal = preferLast(run.lastRefusal, refusal)
		}
		if refusal != nil {
			return g.finalizeRefusal(run, refusal)
		}
		chosen := reserved.Target()
		producedBefore := run.producedTokens
		result := g.runAttempt(ctx, run, reserved)
		if run.producedTokens > producedBefore {
			run.attemptsWithoutProgress = 0
			run.failures.brokenTargets = 0
		}
		if result.refusal != nil {
			return g.finalizeRefusal(run, result.refusal)
		}
		if result.targetResult == target.OK || run.isComplete() {
			run.failures.recordCompleted()
			return nil
		}
		if refusal := g.prepareRetry(run, chosen, result); refusal != nil {
			return refusal
		}
	}
}

// resumePollInterval is the interval at which a waiting generation tries to pick an engine. It is not shorter
// because thousands of streams may wait at once.
const resumePollInterval = 50 * time.Millisecond

// reserve picks an engine and reserves a slot. A generation that has new tokens waits for a free slot, because
// ending it would lose the work. While it waits, engines that refused it may be picked again.
func (g *Generator) reserve(ctx context.Context, run *generation) (target.Reservation, *outcome.Refusal) {
	deadline := time.Now().Add(g.options.Limits.ResumeTimeout)
	for {
		now := time.Now()
		reserved, refusal := g.options.Picker.Pick(run.route, now)
		if refusal == nil || run.producedTokens == 0 || !now.Before(deadline) {
			return reserved, refusal
		}
		select {
		case <-ctx.Done():
			return nil, outcome.Refuse(cancelReason(ctx))
		case <-time.After(resumePollInterval):
		}
		run.route.Exclude = append(slices.Clone(run.Exclude), run.failedEngines...)
	}
}

// runAttempt runs one attempt and releases the slot, even if the consumer panics.
func (g *Generator) runAttempt(ctx context.Context, run *generation, reserved target.Reservation) attemptResult {
	result := attemptResult{targetResult: target.Cancelled}
	begin, chosen := time.Now(), reserved.Target()
	defer func() {
		elapsed := time.Since(begin)
		reserved.Done(result.targetResult, elapsed)
		run.recordAttempt(chosen, elapsed)
	}()
	result = classifyError(ctx, g.attempt(ctx, run, chosen))
	if run.producedTokens > 0 && result.refusal != nil && result.refusal.Reason == outcome.RequestInvalid {
		// Another engine has accepted the request and generated a part, so the status only says that this one does not go on.
		result = attemptResult{targetResult: target.Refused, retryReason: outcome.RetryRefused, refusalReason: outcome.ResponseTruncated}
	}
	return result
}

func (run *generation) recordAttempt(chosen target.Target, elapsed time.Duration) {
	run.report.Attempts++
	run.report.Target = chosen.ID
	run.report.Duration += elapsed
	run.report.Tokens = run.producedTokens
}

// isComplete reports whether all tokens arrived although the stream broke. Continuing the generation could only
// add tokens after its end.
func (run *generation) isComplete() bool {
	return run.finishReasonReceived || (run.MaxTokens > 0 && run.ResumeTokens >= run.MaxTokens && run.producedTokens > 0)
}

// prepareRetry prepares another attempt, or returns a refusal if none is allowed.
func (g *Generator) prepareRetry(run *generation, failed target.Target, result attemptResult) *outcome.Refusal {
	run.attemptsWithoutProgress++
	if run.failures.shouldExclude(result) {
		run.route.Exclude = append(run.route.Exclude, failed.ID)
		if result.targetResult != target.Refused {
			run.failedEngines = append(run.failedEngines, failed.ID)
		}
	}
	run.lastRefusal = result.finalRefusal()
	if refusal := run.failures.recordFailure(result, failed); refusal != nil {
		return g.finalizeRefusal(run, refusal)
	}
	if run.attemptsWithoutProgress >= g.options.Limits.MaxAttempts {
		return g.finalizeRefusal(run, run.lastRefusal)
	}
	if !g.options.Budget.AllowRetry(run.Team, failed.ID, time.Now()) {
		return g.finalizeRefusal(run, outcome.Refuse(outcome.RetryBudget))
	}
	retryReason := result.retryReason
	if run.producedTokens > 0 {
		retryReason = outcome.RetryResume
	}
	g.options.Counter.CountRetry(retryReason)
	return nil
}

// finalizeRefusal counts a refusal and sets its outcome, which is not_run only if no engine can have run the
// request.
func (g *Generator) finalizeRefusal(run *generation, refusal *outcome.Refusal) *outcome.Refusal {
	g.options.Counter.CountRefusal(refusal.Reason)
	if run.mayHaveRun {
		return refusal.WithOutcome(outcome.Unknown)
	}
	return refusal.WithOutcome(outcome.NotRun)
}

// attempt streams chunks from one engine until the stream ends or breaks.
func (g *Generator) attempt(ctx context.Context, run *generation, chosen target.Target) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(g.options.Limits.StallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()

	pool, err := g.client.pool(chosen.URL)
	if err != nil {
		return &sendError{stage: stageConnect, cause: err}
	}
	request, err := g.newRequest(ctx, run, pool.baseURL)
	if err != nil {
		return err
	}
	response, sendErr := g.client.send(request, pool)
	if sendErr != nil {
		run.mayHaveRun = run.mayHaveRun || sendErr.mayHaveRun()
		return sendErr
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return g.readStatusError(run, response)
	}
	run.mayHaveRun = true
	err = g.streamChunks(run, response.Body, chosen, stallTimer)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errStalled) {
		return cause
	}
	return err
}

// maxErrorBody is how many bytes of an engine's error response are read so that the connection can be reused.
const maxErrorBody = 4 << 10

func (g *Generator) readStatusError(run *generation, response *http.Response) error {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBody)
	status := newStatusError(response)
	run.mayHaveRun = run.mayHaveRun || status.mayHaveRun()
	return status
}

func (g *Generator) newRequest(ctx context.Context, run *generation, base *url.URL) (*http.Request, error) {
	body, err := json.Marshal(run.completionRequest())
	if err != nil {
		return nil, errors.Wrap(err, "encode completion request")
	}
	request := &http.Request{
		Method: http.MethodPost,
		URL:    withPath(base, completionsPath),
		Header: http.Header{
			"Content-Type":         {"application/json"},
			"Accept":               {"text/event-stream"},
			defaultRequestIDHeader: {run.id},
		},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	return request.WithContext(ctx), nil
}

// completionRequest returns the request that continues the generation after the tokens received so far. max_tokens
// counts the tokens of the whole completion, including those of resume_text.
func (run *generation) completionRequest() *engine.CompletionRequest {
	stream := true
	request := &engine.CompletionRequest{
		Model:       run.Service,
		Prompt:      run.Prompt,
		Stream:      &stream,
		Priority:    &run.priority,
		Temperature: run.sampling.temperature,
		Seed:        run.sampling.seed,
	}
	if run.MaxTokens > 0 {
		request.MaxTokens = &run.MaxTokens
	}
	if run.ResumeTokens > 0 || len(run.text) > 0 {
		text := string(run.text)
		request.ResumeText = &text
		request.ResumeTokens = &run.ResumeTokens
	}
	return request
}

// streamChunks processes the chunks of one response until the done event. Only tokens reset stallTimer: comments and
// empty chunks are no progress.
func (g *Generator) streamChunks(run *generation, body io.Reader, chosen target.Target, stallTimer *time.Timer) error {
	limits := g.options.Limits
	events := newEventReader(body, limits.MaxLineBytes, limits.MaxEventBytes)
	var decoder chunkDecoder
	stallsAt := time.Now().Add(limits.StallTimeout)
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) {
			return errTruncated
		}
		if err != nil {
			return err
		}
		if string(data) == engine.DoneMarker {
			stallTimer.Reset(bodyEndTimeout)
			readBodyEnd(body)
			return nil
		}
		// Time spent in the consumer does not count as a stall of the engine.
		stallTimer.Stop()
		produced := run.producedTokens
		if err := run.acceptChunk(data, &decoder, limits.MaxCompletionBytes, chosen); err != nil {
			return err
		}
		if run.producedTokens > produced {
			stallsAt = time.Now().Add(limits.StallTimeout)
		}
		stallTimer.Reset(time.Until(stallsAt))
	}
}

// bodyEndTimeout is how long the end of the HTTP body may take to arrive after the done event. Servers send it
// immediately. If it is later, the connection is closed, but the response stays valid.
const bodyEndTimeout = 50 * time.Millisecond

// readBodyEnd reads the end of the body so that the connection can be reused. If there is data after the done
// event, the connection is closed.
func readBodyEnd(body io.Reader) {
	var extra [1]byte
	_, _ = io.ReadFull(body, extra[:])
}

// acceptChunk validates one chunk, passes it to emit and adds it to the generation.
func (run *generation) acceptChunk(data []byte, decoder *chunkDecoder, maxText int64, chosen target.Target) error {
	received, err := decoder.decode(data)
	if err != nil {
		return err
	}
	if len(received.Choices) == 0 {
		return nil
	}
	choice := received.Choices[0]
	chunk := engine.Chunk{Text: choice.Text, Tokens: tokenCount(received), Target: chosen.ID}
	if received.WeightVersion != nil {
		chunk.Version = *received.WeightVersion
	}
	if run.MaxTokens > 0 && run.ResumeTokens+chunk.Tokens > run.MaxTokens {
		return errors.Wrap(errProtocol, "engine sent more tokens than requested")
	}
	if int64(len(run.text)+len(chunk.Text)) > maxText {
		return errors.Wrap(errProtocol, "engine sent too much text")
	}
	if chunk.Tokens > 0 || chunk.Text != "" {
		if err := run.emit(chunk); err != nil {
			return &consumerError{err}
		}
	}
	run.text = append(run.text, chunk.Text...)
	run.ResumeTokens += chunk.Tokens
	run.producedTokens += chunk.Tokens
	if choice.FinishReason != nil && *choice.FinishReason != engine.FinishReasonBlank {
		run.engineFinishReason = *choice.FinishReason
		run.finishReasonReceived = true
	}
	return nil
}

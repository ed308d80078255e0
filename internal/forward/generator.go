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

// Generator runs generations on engines and resumes them on other engines after faults.
type Generator struct {
	options Options
	client  *client
}

// Priorities of requests inside an engine; lower values run first.
const (
	priorityLatency  = 0
	priorityTraining = 1
)

// generation is the state of one generation over all its attempts.
type generation struct {
	engine.Generation
	id       string
	route    target.Request
	priority int
	sampling sampling
	emit     func(engine.Chunk) error

	// text holds ResumeText and the new text; ResumeTokens counts the tokens of both.
	text     []byte
	produced int
	finish   engine.FinishReason
	ended    bool
	// started: an engine may have run a part of the request.
	started bool
	// fruitless counts attempts since the last new token.
	fruitless int
	// last is what ends the generation if no other engine is left.
	last     *outcome.Refusal
	breakage breakage
	// lost lists the engines that broke or could not be reached. They are not tried again after a wait.
	lost   []string
	report Report
}

// sampling holds the options that an engine has defaults for.
type sampling struct {
	temperature *float64
	seed        *int
}

// Generate streams one generation. A nil result means that every token was passed to emit exactly
// once and in order.
func (g *Generator) Generate(ctx context.Context, gen engine.Generation, emit func(engine.Chunk) error) *outcome.Refusal {
	seed := int(gen.Seed)
	run := &generation{
		Generation: gen,
		id:         uuid.NewString(),
		route:      target.Request{Service: gen.Service, Team: gen.Team, Probe: true, MinVersion: gen.MinVersion, Cost: cost(gen), Prefix: gen.Prefix, Fingerprint: gen.Fingerprint, Owned: true},
		priority:   priorityTraining,
		sampling:   sampling{&gen.Temperature, &seed},
		emit:       emit,
	}
	return g.run(ctx, run)
}

const completionsPath = "/v1/completions"

func cost(gen engine.Generation) int64 {
	return engine.Cost(len(gen.Prompt)/engine.BytesPerToken, gen.MaxTokens)
}

func (g *Generator) run(ctx context.Context, run *generation) *outcome.Refusal {
	run.route.Exclude = slices.Clone(run.Exclude)
	run.text = []byte(run.ResumeText)
	run.breakage = breakage{options: &g.options, fingerprint: run.Fingerprint}
	if refusal := run.breakage.check(); refusal != nil {
		return g.refuse(run, refusal)
	}
	for {
		reserved, refusal := g.reserve(ctx, run)
		if ctx.Err() == nil && refusal != nil {
			refusal = firstOf(run.last, refusal)
		}
		if refusal != nil {
			return g.refuse(run, refusal)
		}
		chosen := reserved.Target()
		before := run.produced
		end := g.tryOne(ctx, run, reserved)
		if run.produced > before {
			run.fruitless = 0
			run.breakage.breaks = 0
		}
		if end.refusal != nil {
			return g.refuse(run, end.refusal)
		}
		if end.result == target.OK || run.complete() {
			run.breakage.completed()
			return nil
		}
		if refusal := g.mayRepeat(run, chosen, end); refusal != nil {
			return refusal
		}
	}
}

// resumePoll is the pause between looks for a free target. Thousands of streams may wait at once.
const resumePoll = 50 * time.Millisecond

// reserve picks an engine. A generation that has tokens waits for a free one: giving it up would lose the
// work. Engines that turned it away are asked again after a wait.
func (g *Generator) reserve(ctx context.Context, run *generation) (target.Reservation, *outcome.Refusal) {
	limit := time.Now().Add(g.options.Limits.Resume)
	for {
		now := time.Now()
		reserved, refusal := g.options.Picker.Pick(run.route, now)
		if refusal == nil || run.produced == 0 || !now.Before(limit) {
			return reserved, refusal
		}
		select {
		case <-ctx.Done():
			return nil, outcome.Refuse(cancelReason(ctx))
		case <-time.After(resumePoll):
		}
		run.route.Exclude = append(slices.Clone(run.Exclude), run.lost...)
	}
}

// tryOne makes one attempt and returns the slot, also when the consumer panics.
func (g *Generator) tryOne(ctx context.Context, run *generation, reserved target.Reservation) ending {
	end := ending{result: target.Cancelled}
	begin := time.Now()
	defer func() {
		elapsed := time.Since(begin)
		reserved.Done(end.result, elapsed)
		run.record(reserved.Target(), elapsed)
	}()
	end = classify(ctx, g.attempt(ctx, run, reserved.Target()))
	return end
}

func (run *generation) record(chosen target.Target, elapsed time.Duration) {
	run.report.Attempts++
	run.report.Target = chosen.ID
	run.report.Busy += elapsed
	run.report.Tokens = run.produced
}

// complete reports whether all tokens arrived although the stream broke: repeating the request could
// only add tokens after the end.
func (run *generation) complete() bool {
	return run.ended || (run.MaxTokens > 0 && run.ResumeTokens >= run.MaxTokens && run.produced > 0)
}

// mayRepeat returns nil if another attempt may be made, and prepares it.
func (g *Generator) mayRepeat(run *generation, failed target.Target, end ending) *outcome.Refusal {
	run.fruitless++
	if run.breakage.excludes(end) {
		run.route.Exclude = append(run.route.Exclude, failed.ID)
		if end.result != target.Refused {
			run.lost = append(run.lost, failed.ID)
		}
	}
	run.last = end.final()
	if refusal := run.breakage.note(end, failed); refusal != nil {
		return g.refuse(run, refusal)
	}
	if run.fruitless >= g.options.Limits.Attempts {
		return g.refuse(run, run.last)
	}
	if !g.options.Budget.AllowRetry(run.Team, failed.ID, time.Now()) {
		return g.refuse(run, outcome.Refuse(outcome.RetryBudget))
	}
	retry := end.retry
	if run.produced > 0 {
		retry = outcome.RetryResume
	}
	g.options.Counter.Retried(retry)
	return nil
}

// refuse corrects the outcome: it is not_run only if no engine may have run the request.
func (g *Generator) refuse(run *generation, refusal *outcome.Refusal) *outcome.Refusal {
	g.options.Counter.Refused(refusal.Reason)
	if run.started {
		return refusal.With(outcome.Unknown)
	}
	return refusal.With(outcome.NotRun)
}

// attempt streams from one engine until the stream ends or breaks.
func (g *Generator) attempt(ctx context.Context, run *generation, chosen target.Target) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(g.options.Limits.Stall, func() { cancel(errStalled) })
	defer stall.Stop()

	pool, err := g.client.pool(chosen.URL)
	if err != nil {
		return &sendError{fault: faultConnect, cause: err}
	}
	request, err := g.request(ctx, run, pool.base)
	if err != nil {
		return err
	}
	response, failed := g.client.send(request, pool)
	if failed != nil {
		run.started = run.started || failed.started()
		return failed
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return g.refused(run, response)
	}
	run.started = true
	err = g.stream(run, response.Body, chosen, stall)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errStalled) {
		return cause
	}
	return err
}

// maxErrorBody is how much of an engine's error text is read in order to reuse the connection.
const maxErrorBody = 4 << 10

func (g *Generator) refused(run *generation, response *http.Response) error {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBody)
	status := newStatusError(response)
	run.started = run.started || status.started()
	return status
}

func (g *Generator) request(ctx context.Context, run *generation, base *url.URL) (*http.Request, error) {
	body, err := json.Marshal(run.message())
	if err != nil {
		return nil, errors.Wrap(err, "encode completion request")
	}
	request := &http.Request{
		Method: http.MethodPost,
		URL:    withPath(base, completionsPath),
		Header: http.Header{
			"Content-Type": {"application/json"},
			"Accept":       {"text/event-stream"},
			requestHeader:  {run.id},
		},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	return request.WithContext(ctx), nil
}

// message returns the request that continues after the tokens so far. max_tokens counts the tokens of the
// whole answer, those of resume_text included.
func (run *generation) message() *engine.CompletionRequest {
	stream := true
	message := &engine.CompletionRequest{
		Model:       run.Service,
		Prompt:      run.Prompt,
		Stream:      &stream,
		Priority:    &run.priority,
		Temperature: run.sampling.temperature,
		Seed:        run.sampling.seed,
	}
	if run.MaxTokens > 0 {
		message.MaxTokens = &run.MaxTokens
	}
	if run.ResumeTokens > 0 || len(run.text) > 0 {
		text := string(run.text)
		message.ResumeText = &text
		message.ResumeTokens = &run.ResumeTokens
	}
	return message
}

// stream passes the chunks of one answer on until the done event.
func (g *Generator) stream(run *generation, body io.Reader, chosen target.Target, stall *time.Timer) error {
	limits := g.options.Limits
	events := newEventReader(body, limits.Line, limits.Event, func() { stall.Reset(limits.Stall) })
	var stream chunkDecoder
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) {
			return errTruncated
		}
		if err != nil {
			return err
		}
		if string(data) == engine.DoneMarker {
			stall.Reset(drainWait)
			drain(body)
			return nil
		}
		// The time that the consumer takes does not count as a stall of the engine.
		stall.Stop()
		if err := run.accept(data, &stream, limits.Completion, chosen); err != nil {
			return err
		}
		stall.Reset(limits.Stall)
	}
}

// drainWait is how long the end of the HTTP body may follow the done event. Servers send it at once; a
// later end costs the connection, not the answer.
const drainWait = 50 * time.Millisecond

// drain reads the end of the answer so that the connection can be used again. Anything after the done
// event closes the connection.
func drain(body io.Reader) {
	var rest [1]byte
	_, _ = io.ReadFull(body, rest[:])
}

// accept checks one chunk and passes it on.
func (run *generation) accept(data []byte, stream *chunkDecoder, limit int64, chosen target.Target) error {
	message, err := stream.decode(data)
	if err != nil {
		return err
	}
	if len(message.Choices) == 0 {
		return nil
	}
	choice := message.Choices[0]
	chunk := engine.Chunk{Text: choice.Text, Tokens: tokensOf(message), Target: chosen.ID}
	if message.WeightVersion != nil {
		chunk.Version = *message.WeightVersion
	}
	if run.MaxTokens > 0 && run.ResumeTokens+chunk.Tokens > run.MaxTokens {
		return errors.Wrap(errProtocol, "engine sent more tokens than requested")
	}
	if int64(len(run.text)+len(chunk.Text)) > limit {
		return errors.Wrap(errProtocol, "engine sent too much text")
	}
	if chunk.Tokens > 0 || chunk.Text != "" {
		if err := run.emit(chunk); err != nil {
			return &consumerError{err}
		}
	}
	run.text = append(run.text, chunk.Text...)
	run.ResumeTokens += chunk.Tokens
	run.produced += chunk.Tokens
	if choice.FinishReason != nil && *choice.FinishReason != engine.FinishReasonBlank {
		run.finish = *choice.FinishReason
		run.ended = true
	}
	return nil
}

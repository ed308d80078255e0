package forward

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/respond"
)

// Completions serves OpenAI-compatible completions to callers.
type Completions struct {
	options   Options
	generator *Generator
}

// objectName is the value of the object field of OpenAI-compatible completions.
const objectName = "text_completion"

// callerRequest is a caller's completion request. Its own fields are OpenAI options that are not supported and are
// checked.
type callerRequest struct {
	engine.CompletionRequest
	N      *int `json:"n"`
	BestOf *int `json:"best_of"`
	Echo   bool `json:"echo"`
}

// completionResponse is one chunk of a streamed completion, or a whole completion.
type completionResponse struct {
	ID            string             `json:"id"`
	Object        string             `json:"object"`
	Created       int64              `json:"created"`
	Model         string             `json:"model"`
	Choices       []completionChoice `json:"choices"`
	Usage         *completionUsage   `json:"usage,omitempty"`
	Tokens        int                `json:"tokens"`
	WeightVersion int                `json:"weight_version"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ServeCompletion serves one completion request, as a stream or as a single response.
func (c *Completions) ServeCompletion(w http.ResponseWriter, r *http.Request, call Call) {
	ctx, cancel := withDeadline(r.Context(), call.Deadline)
	defer cancel()
	caller := newCallerWriter(w, r, c.options.Limits.WriteTimeout)
	caller.setReadDeadline(call.Deadline)
	request, refusal := c.decode(w, r, call)
	caller.setReadDeadline(time.Time{})
	if refusal != nil {
		c.options.Counter.CountRefusal(refusal.Reason)
		respond.Refuse(w, call.RequestID, refusal)
		call.report(withRefusal(Report{}, refusal))
		return
	}
	run := newGeneration(request, call)
	completion := &completionWriter{
		callerWriter: caller,
		call:         call,
		created:      time.Now().Unix(),
		maxText:      c.options.Limits.MaxCompletionBytes,
	}
	defer caller.clearWriteDeadline()
	if request.Stream != nil && *request.Stream {
		run.emit = completion.writeChunk
		completion.endStream(run, c.generator.run(ctx, run))
		return
	}
	run.emit = completion.collectChunk
	completion.endCollected(run, c.generator.run(ctx, run))
}

// withDeadline returns a context that ends at the deadline of the call, if it has one.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

func (c Call) report(report Report) {
	if c.Report != nil {
		c.Report(report)
	}
}

func withRefusal(report Report, refusal *outcome.Refusal) Report {
	report.Outcome = refusal.Outcome
	report.Reason = refusal.Reason
	report.Status = refusal.Status()
	return report
}

// decode reads and validates the caller's request. Its error messages contain no part of the request.
func (c *Completions) decode(w http.ResponseWriter, r *http.Request, call Call) (*callerRequest, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.options.Limits.MaxCompletionBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.RequestTooLarge)
	}
	if err != nil {
		return nil, outcome.Refuse(outcome.CallerDisconnected).WithOutcome(outcome.NotRun)
	}
	request := new(callerRequest)
	if err := json.Unmarshal(body, request); err != nil {
		return nil, invalidRequest("the body is not a completion request")
	}
	return request, request.validate(call.Service.Name)
}

func invalidRequest(message string) *outcome.Refusal {
	refusal := outcome.Refuse(outcome.RequestInvalid)
	refusal.Message = message
	return refusal
}

func (r *callerRequest) validate(service string) *outcome.Refusal {
	switch {
	case r.Model != service:
		return invalidRequest("model does not name the service")
	case r.N != nil && *r.N != 1, r.BestOf != nil && *r.BestOf != 1, r.Echo:
		return invalidRequest("n, best_of and echo are not supported")
	case r.MaxTokens != nil && (*r.MaxTokens < 1 || *r.MaxTokens > math.MaxInt32):
		return invalidRequest("max_tokens is out of range")
	case r.ResumeTokens != nil && *r.ResumeTokens < 0:
		return invalidRequest("resume_tokens is negative")
	}
	return nil
}

func newGeneration(request *callerRequest, call Call) *generation {
	run := &generation{id: call.RequestID, route: call.Route, priority: priorityTraining}
	if call.Service.Class == config.ServiceClassLatency {
		run.priority = priorityLatency
	}
	run.route.Service = call.Service.Name
	run.Team = call.Team
	run.Service = call.Service.Name
	run.Exclude = call.Route.Exclude
	run.Prompt = request.Prompt
	run.setOptions(request)
	return run
}

// setOptions copies the options that the caller set. The engine's defaults apply to the others.
func (run *generation) setOptions(request *callerRequest) {
	run.sampling = sampling{temperature: request.Temperature, seed: request.Seed}
	if request.MaxTokens != nil {
		run.MaxTokens = *request.MaxTokens
	}
	if request.ResumeText != nil {
		run.ResumeText = *request.ResumeText
	}
	if request.ResumeTokens != nil {
		run.ResumeTokens = *request.ResumeTokens
	}
}

// completionWriter writes the chunks of a generation to the caller, as a stream or as a single response.
type completionWriter struct {
	*callerWriter
	call    Call
	created int64
	maxText int64

	headerSent bool
	text       strings.Builder
	tokens     int
	version    int
	buffer     []byte
}

// writeChunk sends one chunk to a streaming caller.
func (w *completionWriter) writeChunk(chunk engine.Chunk) error {
	w.sendHeader()
	response := w.newResponse(chunk.Text, nil)
	response.Tokens = chunk.Tokens
	response.WeightVersion = chunk.Version
	return w.writeEvent(response)
}

func (w *completionWriter) newResponse(text string, finishReason *string) *completionResponse {
	return &completionResponse{
		ID:      w.call.RequestID,
		Object:  objectName,
		Created: w.created,
		Model:   w.call.Service.Name,
		Choices: []completionChoice{{Text: text, FinishReason: finishReason}},
	}
}

// sendHeader sends the header. The outcome is not known yet; the trailers hold the final one.
func (w *completionWriter) sendHeader() {
	if w.headerSent {
		return
	}
	w.headerSent = true
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(OutcomeHeader, string(outcome.Unknown))
	header.Set("Trailer", OutcomeHeader+", "+ReasonHeader)
	w.WriteHeader(http.StatusOK)
}

func (w *completionWriter) writeEvent(message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return w.writeData(data)
}

func (w *completionWriter) writeData(data []byte) error {
	w.buffer = append(w.buffer[:0], "data: "...)
	w.buffer = append(w.buffer, data...)
	w.buffer = append(w.buffer, "\n\n"...)
	return w.writeAndFlush(w.buffer)
}

// endStream ends a stream with the done event, or with an error event if there is a refusal.
func (w *completionWriter) endStream(run *generation, refusal *outcome.Refusal) {
	if refusal != nil {
		w.endWithRefusal(run, refusal)
		return
	}
	w.sendHeader()
	err := w.writeEvent(w.newResponse("", run.finishReason()))
	if err == nil {
		err = w.writeData([]byte(engine.DoneMarker))
	}
	if err != nil {
		disconnected := outcome.Refuse(outcome.CallerDisconnected)
		setOutcomeTrailers(w.Header(), disconnected.Outcome, disconnected.Reason)
		w.call.report(withRefusal(run.report, disconnected))
		return
	}
	setOutcomeTrailers(w.Header(), outcome.Ran, "")
	run.report.Outcome = outcome.Ran
	run.report.Status = http.StatusOK
	w.call.report(run.report)
}

func (w *completionWriter) endWithRefusal(run *generation, refusal *outcome.Refusal) {
	w.call.report(withRefusal(run.report, refusal))
	if !w.headerSent {
		respond.Refuse(w, w.call.RequestID, refusal)
		return
	}
	if refusal.Reason != outcome.CallerDisconnected {
		_ = w.writeData(respond.Encode(w.call.RequestID, refusal))
	}
	setOutcomeTrailers(w.Header(), refusal.Outcome, refusal.Reason)
}

// collectChunk adds one chunk to a response that is sent whole.
func (w *completionWriter) collectChunk(chunk engine.Chunk) error {
	if int64(w.text.Len()+len(chunk.Text)) > w.maxText {
		refusal := outcome.Refuse(outcome.ResponseTruncated)
		refusal.Message = "the completion exceeds the size limit"
		return refusal
	}
	w.text.WriteString(chunk.Text)
	w.tokens += chunk.Tokens
	// The oldest weight version determines the staleness; 0 means that a part has no version.
	if w.tokens == chunk.Tokens || chunk.Version < w.version {
		w.version = chunk.Version
	}
	return nil
}

// endCollected sends the collected completion as a single response.
func (w *completionWriter) endCollected(run *generation, refusal *outcome.Refusal) {
	if refusal != nil {
		w.endWithRefusal(run, refusal)
		return
	}
	response := w.newResponse(w.text.String(), run.finishReason())
	response.Tokens = w.tokens
	response.WeightVersion = w.version
	response.Usage = &completionUsage{CompletionTokens: w.tokens}
	body, err := json.Marshal(response)
	if err != nil {
		w.endWithRefusal(run, outcome.Refuse(outcome.ResponseTruncated))
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(OutcomeHeader, string(outcome.Ran))
	w.WriteHeader(http.StatusOK)
	run.report.Outcome = outcome.Ran
	run.report.Status = http.StatusOK
	if err := w.writeAndFlush(body); err != nil {
		run.report = withRefusal(run.report, outcome.Refuse(outcome.CallerDisconnected))
	}
	w.call.report(run.report)
}

// finishReason returns the engine's finish reason. If the end of the stream was lost, it returns length if all
// requested tokens arrived, and stop otherwise.
func (run *generation) finishReason() *string {
	reason := string(run.engineFinishReason)
	if reason == "" {
		reason = string(engine.FinishReasonStop)
		if run.MaxTokens > 0 && run.ResumeTokens >= run.MaxTokens {
			reason = string(engine.FinishReasonLength)
		}
	}
	return &reason
}

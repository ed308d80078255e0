package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	messages "github.com/egretspar/egretspar/internal/engine"
)

// complete serves POST /v1/completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body ended early", http.StatusBadRequest)
		return
	}
	id := e.recorder.RecordRequest(r, body)
	var request messages.CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	if e.options.Model != "" && request.Model != e.options.Model {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s := e.newSequence(ctx, id, request)
	crash, accepted := e.enqueue(s)
	if !accepted {
		http.Error(w, "queue is full", http.StatusTooManyRequests)
		return
	}
	writer := &completionWriter{w: w, id: "cmpl-" + e.options.ID + "-" + strconv.Itoa(s.arrivalNumber), model: request.Model}
	if request.Stream != nil && *request.Stream {
		e.writeStream(ctx, s, crash, writer)
		return
	}
	e.writeSingle(ctx, s, crash, writer)
}

func (e *Engine) newSequence(ctx context.Context, id string, r messages.CompletionRequest) *sequence {
	seed := int64(valueOr(r.Seed, 0))
	if r.Seed == nil {
		seed = e.randomSeed()
	}
	stream := NewStream(seed, r.Prompt)
	length := stream.Length(e.options.LengthMedian, e.options.LengthSigma)
	s := &sequence{
		callerCtx: ctx, id: id, prompt: r.Prompt, stream: stream, priority: valueOr(r.Priority, 0),
		position: valueOr(r.ResumeTokens, 0), finishReason: messages.FinishReasonStop,
		chunks: make(chan tokenChunk, chunkBuffer), disconnectedAt: watchDisconnect(ctx),
	}
	limit := valueOr(r.MaxTokens, defaultMaxTokens)
	s.endPosition = min(length, limit)
	if length > limit {
		s.finishReason = messages.FinishReasonLength
	}
	e.checkResume(s, r)
	s.position = min(s.position, s.endPosition)
	return s
}

// watchDisconnect records when the request's context ends. The returned function returns this time, or the
// current time if it is not recorded yet.
func watchDisconnect(ctx context.Context) func() time.Time {
	var at atomic.Int64
	context.AfterFunc(ctx, func() { at.Store(time.Now().UnixNano()) })
	return func() time.Time {
		if nanos := at.Load(); nanos != 0 {
			return time.Unix(0, nanos)
		}
		return time.Now()
	}
}

// checkResume compares the text that a request resumes with the text that engines generate, and counts a
// mismatch. The text of a request without a seed cannot be compared, because each attempt gets a new random seed;
// only its token positions are checked.
func (e *Engine) checkResume(s *sequence, r messages.CompletionRequest) {
	text := valueOr(r.ResumeText, "")
	if s.position == 0 && text == "" {
		return
	}
	tokens, continuous := CountContiguousTokens(text)
	matches := continuous && tokens == s.position && s.position <= s.endPosition
	if r.Seed != nil {
		matches = matches && text == s.stream.Text(0, s.position)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Resumed++
	if !matches {
		e.stats.ResumeMismatches++
	}
}

func (e *Engine) randomSeed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Int64()
}

// enqueue adds a sequence to the queue and returns the crash signal; accepted is false if the queue is full. On a
// crashed engine the signal is already closed, so that nextChunk aborts the request.
func (e *Engine) enqueue(s *sequence) (crash <-chan struct{}, accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return e.crashSignal, true
	}
	if len(e.waiting) >= e.options.MaxWaiting {
		e.stats.Refused++
		return nil, false
	}
	e.arrivalCount++
	s.arrivalNumber = e.arrivalCount
	e.waiting = append(e.waiting, s)
	e.wakeDecodeLoop()
	return e.crashSignal, true
}

// nextChunk returns the next chunk; more is false at the end of the sequence. A crash closes the connection.
func (e *Engine) nextChunk(ctx context.Context, s *sequence, crash <-chan struct{}) (chunk tokenChunk, more bool) {
	select {
	case chunk, more = <-s.chunks:
		return chunk, more
	case <-crash:
	case <-ctx.Done():
	case <-e.done.Done():
	}
	panic(http.ErrAbortHandler)
}

func (e *Engine) writeStream(ctx context.Context, s *sequence, crash <-chan struct{}, writer *completionWriter) {
	writer.w.Header().Set("Content-Type", "text/event-stream")
	writer.w.WriteHeader(http.StatusOK)
	writer.flush()
	for {
		chunk, more := e.nextChunk(ctx, s, crash)
		if !more {
			break
		}
		writer.writeEvent(writer.newChunk(chunk))
	}
	writer.writeData([]byte(messages.DoneMarker))
}

// writeSingle writes the completion as one JSON response. Its weight version is the oldest that generated a token.
func (e *Engine) writeSingle(ctx context.Context, s *sequence, crash <-chan struct{}, writer *completionWriter) {
	merged, more := e.nextChunk(ctx, s, crash)
	for more {
		var chunk tokenChunk
		chunk, more = e.nextChunk(ctx, s, crash)
		if !more {
			break
		}
		merged.text += chunk.text
		merged.tokens += chunk.tokens
		merged.version = min(merged.version, chunk.version)
		merged.finishReason = chunk.finishReason
	}
	writeJSON(writer.w, writer.newChunk(merged))
}

// completionWriter writes the response of one completion. It aborts the connection when a write fails.
type completionWriter struct {
	w     http.ResponseWriter
	id    string
	model string
}

func (c *completionWriter) newChunk(p tokenChunk) messages.CompletionChunk {
	choice := messages.Choice{Text: p.text}
	if p.finishReason != messages.FinishReasonBlank {
		choice.FinishReason = &p.finishReason
	}
	chunk := messages.CompletionChunk{ID: c.id, Model: &c.model, Choices: []messages.Choice{choice}, Tokens: &p.tokens}
	if p.version != 0 {
		chunk.WeightVersion = &p.version
	}
	return chunk
}

func (c *completionWriter) writeEvent(chunk messages.CompletionChunk) {
	text, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.writeData(text)
}

func (c *completionWriter) writeData(text []byte) {
	line := make([]byte, 0, len(text)+8)
	line = append(line, "data: "...)
	line = append(line, text...)
	line = append(line, "\n\n"...)
	if _, err := c.w.Write(line); err != nil {
		panic(http.ErrAbortHandler)
	}
	c.flush()
}

func (c *completionWriter) flush() {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}

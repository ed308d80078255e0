package engine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	messages "github.com/egretspar/egretspar/internal/engine"
)

// chunkBuffer is the number of chunks that the engine buffers for a slow client. When the buffer is full, the
// client's sequence stalls while the rest of the batch continues.
const chunkBuffer = 64

// tokenChunk holds consecutive tokens of one sequence.
type tokenChunk struct {
	text         string
	tokens       int
	version      int
	finishReason messages.FinishReason
}

// sequence is one request in the queue or the batch.
type sequence struct {
	callerCtx     context.Context
	id            string
	prompt        string
	stream        Stream
	priority      int
	arrivalNumber int
	position      int
	endPosition   int
	finishReason  messages.FinishReason
	chunks        chan tokenChunk
	// disconnectedAt returns the time at which the client's disconnect was detected.
	disconnectedAt func() time.Time
}

// runDecodeLoop runs decoding steps while there are sequences, and waits for new ones otherwise. It returns when
// the engine is closed.
func (e *Engine) runDecodeLoop() {
	for {
		select {
		case <-e.done.Done():
			return
		case <-e.wake:
		}
		for e.decodeStep() {
		}
	}
}

func (e *Engine) wakeDecodeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// decodeStep generates one chunk for each running sequence. It reports whether the loop continues with another
// step; otherwise the loop waits until it is woken.
func (e *Engine) decodeStep() bool {
	duration, crash, busy := e.beginStep()
	if !busy {
		return false
	}
	if !e.waitForStepEnd(duration, crash) {
		return e.done.Err() == nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return false
	}
	e.emitTokens()
	return true
}

// beginStep admits waiting sequences and returns the duration of the step and the crash signal. It returns false
// if there is nothing to run, if the engine has crashed, or if a poison request crashes it now.
func (e *Engine) beginStep() (time.Duration, <-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return 0, nil, false
	}
	e.dropCancelled()
	prefillTime, poisoned := e.admitWaiting()
	if poisoned {
		e.crashLocked()
		return 0, nil, false
	}
	if len(e.running) == 0 {
		e.stepDue = time.Time{}
		return 0, nil, false
	}
	e.stats.PeakRunning = max(e.stats.PeakRunning, len(e.running))
	step := e.options.TokenTime + time.Duration(len(e.running))*e.options.BatchTime
	duration := prefillTime + time.Duration(e.options.ChunkTokens)*step + e.pendingSwapPause
	e.pendingSwapPause = 0
	return duration, e.crashSignal, true
}

// waitForStepEnd waits until the step is due to end. Each step is due a duration after the previous due time, not
// after the previous timer fired, so that late timers do not slow the engine down. If the schedule lags by more
// than a second, it restarts from the current time. It returns false when the engine crashed or was closed.
func (e *Engine) waitForStepEnd(duration time.Duration, crash <-chan struct{}) bool {
	now := time.Now()
	if e.stepDue.IsZero() || now.Sub(e.stepDue) > time.Second {
		e.stepDue = now
	}
	e.stepDue = e.stepDue.Add(duration)
	timer := time.NewTimer(e.stepDue.Sub(now))
	defer timer.Stop()
	select {
	case <-e.done.Done():
		return false
	case <-crash:
		return false
	case <-timer.C:
		return true
	}
}

// dropCancelled removes the sequences whose client has disconnected.
func (e *Engine) dropCancelled() {
	isCancelled := func(s *sequence) bool {
		if s.callerCtx.Err() == nil {
			return false
		}
		e.stats.Cancelled++
		e.stats.LongestCancel = max(e.stats.LongestCancel, time.Since(s.disconnectedAt()))
		return true
	}
	e.running = slices.DeleteFunc(e.running, isCancelled)
	e.waiting = slices.DeleteFunc(e.waiting, isCancelled)
}

// admitWaiting moves waiting sequences into the batch, ordered by priority and arrival, and returns the time of
// their prefill. It stops at a poison request.
func (e *Engine) admitWaiting() (prefillTime time.Duration, poisoned bool) {
	if len(e.waiting) == 0 {
		return 0, false
	}
	slices.SortFunc(e.waiting, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivalNumber, b.arrivalNumber))
	})
	now := time.Now()
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		e.stats.Started++
		e.recorder.CountRun(s.id)
		marker := e.options.PoisonMarker
		if marker != "" && strings.Contains(s.prompt, marker) {
			return 0, true
		}
		prefillTime += time.Duration(e.prefill(now, s)) * e.options.PrefillTime
	}
	return prefillTime, false
}

// prefill adds the prompt to the prefix cache and returns the number of tokens that were not cached. The text
// that a resumed sequence has already generated counts as part of the prompt.
func (e *Engine) prefill(now time.Time, s *sequence) int {
	prompt := s.prompt + s.stream.Text(0, s.position)
	cached := e.cache.lookupAndInsert(now, BlockHashes(prompt)) * BlockBytes / tokenBytes
	tokens := PromptTokens(prompt)
	e.stats.PromptTokens += tokens
	e.stats.CachedTokens += cached
	return tokens - cached
}

// emitTokens sends the tokens of one step to each running sequence and removes the finished ones.
func (e *Engine) emitTokens() {
	version := e.weights.version
	if e.options.HideVersion {
		version = 0
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return e.emitChunk(s, version) })
}

// emitChunk sends the next chunk of a sequence, unless its buffer is full. It returns true when the sequence is
// finished.
func (e *Engine) emitChunk(s *sequence, version int) bool {
	to := min(s.position+e.options.ChunkTokens, s.endPosition)
	chunk := tokenChunk{text: s.stream.Text(s.position, to), tokens: to - s.position, version: version}
	if to == s.endPosition {
		chunk.finishReason = s.finishReason
	}
	select {
	case s.chunks <- chunk:
	default:
		return false
	}
	if e.options.Versions != nil {
		e.options.Versions.record(s.stream, s.position, to, e.weights.version)
	}
	e.stats.Tokens += chunk.tokens
	s.position = to
	if to < s.endPosition {
		return false
	}
	e.stats.Finished++
	close(s.chunks)
	return true
}

package telemetry

import (
	"strings"
	"sync"
	"testing"

	"github.com/egretspar/egretspar/internal/settings"
)

// blockingWriter blocks every write until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a stalled log reader that blocks requests, and against dropping warnings in favour of routine lines.
func TestAsyncNeverBlocksAndKeepsWarnings(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	log, lines := NewAsyncLogger(out, settings.LevelDebug)
	for range 3 * maxQueuedLines {
		log.Debug().Msg("routine")
	}
	for range maxQueuedLines / 4 {
		log.Warn().Msg("dependency lost")
	}
	close(out.unblock)
	lines.Close()
	text := out.text.String()
	if n := strings.Count(text, `event="dependency lost"`); n != maxQueuedLines/4 {
		t.Errorf("%d of %d warnings were written", n, maxQueuedLines/4)
	}
	if !strings.Contains(text, `event="log lines dropped" count=`) {
		t.Error("dropped lines are not reported")
	}
}

// Guards against long fields of callers' requests that fill the memory while nobody reads the log.
func TestAsyncBoundsBytes(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	log, lines := NewAsyncLogger(out, settings.LevelDebug)
	path := strings.Repeat("p", 60<<10)
	for range maxQueuedLines {
		log.Info().Str("path", path).Msg("request refused")
	}
	if n := lines.queuedBytes.Load(); n > maxQueuedBytes {
		t.Errorf("%d bytes wait", n)
	}
	close(out.unblock)
	lines.Close()
	if n := lines.queuedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
}

// BenchmarkAsyncStalled measures the cost of logging a line while nobody reads the log.
func BenchmarkAsyncStalled(b *testing.B) {
	out := &blockingWriter{unblock: make(chan struct{})}
	log, lines := NewAsyncLogger(out, settings.LevelDebug)
	for b.Loop() {
		log.Info().Str("request", "0123456789abcdef").Int("attempts", 1).Msg("request ended")
	}
	close(out.unblock)
	lines.Close()
}

package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/settings"
)

const (
	// maxQueuedLines limits the number of lines that wait to be written.
	maxQueuedLines = 2048
	// debugDropThreshold is the number of waiting lines from which lines at debug level are dropped, so that the queue
	// has room for warnings and changes of state.
	debugDropThreshold = maxQueuedLines / 2
	// maxQueuedBytes limits the size of all waiting lines, because callers choose the length of some fields.
	maxQueuedBytes = 2 << 20
)

// Async writes log lines in a goroutine of its own, so that a log reader that stalls never delays a request. If the
// queue is full, lines are dropped and counted. Lines at debug level, which are routine, are dropped first.
type Async struct {
	out io.Writer
	// formatter writes formatted lines to buffer.
	formatter zerolog.ConsoleWriter
	buffer    bytes.Buffer
	queue     chan []byte
	// queuedBytes is the size of the lines in queue.
	queuedBytes atomic.Int64
	dropped     atomic.Int64
	done        sync.WaitGroup
	closeOnce   sync.Once
	stop        chan struct{}
}

// NewAsyncLogger returns a logger that writes key=value lines to out in the background, and the writer that it uses.
// Closing the writer writes the remaining lines and stops it.
func NewAsyncLogger(out io.Writer, level settings.Level) (zerolog.Logger, *Async) {
	a := NewAsync(out)
	return newLogger(a, level), a
}

// NewAsync returns a writer that writes queued lines to out until Close is called.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{})}
	a.formatter = lineWriter(&a.buffer)
	a.done.Go(a.writeLoop)
	return a
}

// Write queues a line at info level.
func (a *Async) Write(p []byte) (int, error) { return a.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel queues a line, or drops it if the queue is too full for its level. It never blocks.
func (a *Async) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	if level <= zerolog.DebugLevel && len(a.queue) >= debugDropThreshold {
		a.dropped.Add(1)
		return len(p), nil
	}
	size := int64(len(p))
	if a.queuedBytes.Add(size) > maxQueuedBytes {
		a.queuedBytes.Add(-size)
		a.dropped.Add(1)
		return len(p), nil
	}
	select {
	case a.queue <- append([]byte(nil), p...):
	default:
		a.queuedBytes.Add(-size)
		a.dropped.Add(1)
	}
	return len(p), nil
}

// writeLoop writes all waiting lines with one call, because each call costs as much as many lines.
func (a *Async) writeLoop() {
	for {
		select {
		case line := <-a.queue:
			a.formatLine(line)
		case <-a.stop:
			for len(a.queue) > 0 {
				a.flush()
			}
			a.flush()
			return
		}
		a.flush()
	}
}

// writeBatchBytes is the buffer size from which no more lines are added to one write.
const writeBatchBytes = 32 << 10

// formatLine appends a line to buffer. The error is ignored, because all fields that are logged can be formatted.
func (a *Async) formatLine(line []byte) {
	a.queuedBytes.Add(-int64(len(line)))
	_, _ = a.formatter.Write(line)
}

func (a *Async) flush() {
	for more := true; more && a.buffer.Len() < writeBatchBytes; {
		select {
		case line := <-a.queue:
			a.formatLine(line)
		default:
			more = false
		}
	}
	if n := a.dropped.Swap(0); n > 0 {
		fmt.Fprintf(&a.buffer, "level=warn event=\"log lines dropped\" count=%d\n", n)
	}
	if a.buffer.Len() > 0 {
		// A failed write cannot be reported, because the log itself cannot be written.
		_, _ = a.out.Write(a.buffer.Bytes())
	}
	a.buffer.Reset()
}

// Close writes the waiting lines and stops the writer.
func (a *Async) Close() {
	a.closeOnce.Do(func() { close(a.stop) })
	a.done.Wait()
}

package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/step"
)

const (
	// maxSegmentSamples and maxSegmentAge limit the samples that are lost when an instance crashes.
	maxSegmentSamples = 64
	maxSegmentAge     = time.Second
	// maxCatchUpSamples limits the segments that are written after an outage. They are larger, so that the
	// backlog takes few of the store's writes.
	maxCatchUpSamples = 512
	// writerQueueSize limits the finished samples that wait for the writer.
	writerQueueSize = 4096
	// maxBacklogBytes limits the samples kept for writing during a store outage. Above it, each new sample
	// drops the oldest unwritten sample of its step, which is then held only by the step's owner.
	maxBacklogBytes = 16 << 20
	// putTimeout limits one write, and putBackoff is the pause after a failed one.
	putTimeout = 5 * time.Second
	putBackoff = time.Second
	// writerInterval is how often the writer checks for segments that are due.
	writerInterval = 100 * time.Millisecond
)

// segment is the content of one object in the store.
type segment struct {
	Records []step.Record `json:"records"`
}

type segmentItem struct {
	step   *activeStep
	record step.Record
}

// queuedRecord is a sample that is not written yet.
type queuedRecord struct {
	record   step.Record
	queuedAt time.Time
}

// encodedSegment is a segment that is ready to be written. A retry after a lost response has the same key
// and content.
type encodedSegment struct {
	key     string
	data    []byte
	records int
}

// stepBacklog holds the samples of one step that are not written yet.
type stepBacklog struct {
	step    *activeStep
	records []queuedRecord
}

// WriterStats are the running totals of the segment writer.
type WriterStats struct {
	Puts, Samples, Skipped, Lost int
}

// segmentWriter writes finished samples to the store. Only the goroutine of run accesses its state; others
// use the channels.
type segmentWriter struct {
	objects Objects
	log     zerolog.Logger
	// id makes object keys unique to one run of an instance.
	id            string
	queue         chan segmentItem
	flushRequests chan chan error

	backlogs map[*activeStep]*stepBacklog
	// unconfirmed is the segment whose write has not been confirmed yet.
	unconfirmed *encodedSegment
	retryAt     time.Time
	// catchingUp is set after a failed write until all segments that are due have been written.
	catchingUp   bool
	backlogBytes int
	sequence     int
	stats        WriterStats
}

func newSegmentWriter(objects Objects, log zerolog.Logger, id string) *segmentWriter {
	return &segmentWriter{
		objects:       objects,
		log:           log,
		id:            id,
		queue:         make(chan segmentItem, writerQueueSize),
		flushRequests: make(chan chan error),
		backlogs:      map[*activeStep]*stepBacklog{},
	}
}

// enqueue queues a sample for writing. It never blocks a generation: if the queue is full, the sample is
// not written and only the step's owner holds it.
func (w *segmentWriter) enqueue(item segmentItem) {
	select {
	case w.queue <- item:
	default:
		w.log.Warn().Str("step", item.step.key.id).Msg("segment queue is full, sample not written")
	}
}

func (w *segmentWriter) run(ctx context.Context) {
	tick := time.NewTicker(writerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-w.queue:
			w.add(item, time.Now())
			w.logFailure(w.writeDue(ctx, false))
		case <-tick.C:
			w.logFailure(w.writeDue(ctx, false))
		case done := <-w.flushRequests:
			done <- w.flushNow(ctx)
		}
	}
}

func (w *segmentWriter) logFailure(err error) {
	if err == nil {
		return
	}
	w.log.Warn().Int("backlog_bytes", w.backlogBytes).Err(err).Msg("failed to write segment")
}

// flush writes all samples that were queued before the call.
func (w *segmentWriter) flush(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case w.flushRequests <- done:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "flush segments")
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "flush segments")
	}
}

func (w *segmentWriter) flushNow(ctx context.Context) error {
	for {
		select {
		case item := <-w.queue:
			w.add(item, time.Now())
			continue
		default:
		}
		break
	}
	w.retryAt = time.Time{}
	return w.writeDue(ctx, true)
}

func (w *segmentWriter) add(item segmentItem, now time.Time) {
	b, ok := w.backlogs[item.step]
	if !ok {
		b = &stepBacklog{step: item.step}
		w.backlogs[item.step] = b
	}
	b.records = append(b.records, queuedRecord{record: item.record, queuedAt: now})
	w.backlogBytes += len(item.record.Text)
	if w.backlogBytes > maxBacklogBytes {
		w.backlogBytes -= len(b.records[0].record.Text)
		b.records = b.records[1:]
		w.stats.Lost++
	}
}

// writeDue writes the segments that are due, or all of them with force. It stops at the first failure.
func (w *segmentWriter) writeDue(ctx context.Context, force bool) error {
	if time.Now().Before(w.retryAt) {
		return nil
	}
	if err := w.putUnconfirmed(ctx); err != nil {
		return err
	}
	for key, b := range w.backlogs {
		for w.pruneAndCheckDue(b, force) {
			w.encodeNext(b)
			if err := w.putUnconfirmed(ctx); err != nil {
				return err
			}
		}
		if len(b.records) == 0 {
			delete(w.backlogs, key)
		}
	}
	w.catchingUp = false
	return nil
}

// pruneAndCheckDue reports whether a segment of the step should be written. It removes samples that the
// trainer has confirmed in the meantime, since they need no write.
func (w *segmentWriter) pruneAndCheckDue(b *stepBacklog, force bool) bool {
	if !force && !b.isDue() {
		return false
	}
	b.records = slices.DeleteFunc(b.records, func(r queuedRecord) bool {
		confirmed := b.step.isConfirmed(r.record.Slot)
		if confirmed {
			w.backlogBytes -= len(r.record.Text)
			w.stats.Skipped++
		}
		return confirmed
	})
	return len(b.records) > 0 && (force || b.isDue())
}

func (b *stepBacklog) isDue() bool {
	return len(b.records) >= maxSegmentSamples || len(b.records) > 0 && time.Since(b.records[0].queuedAt) >= maxSegmentAge
}

// encodeNext moves samples from the backlog into the next segment to write.
func (w *segmentWriter) encodeNext(b *stepBacklog) {
	limit := maxSegmentSamples
	if w.catchingUp {
		limit = maxCatchUpSamples
	}
	limit = min(limit, len(b.records))
	var s segment
	for _, r := range b.records[:limit] {
		w.backlogBytes -= len(r.record.Text)
		s.Records = append(s.Records, r.record)
	}
	b.records = b.records[limit:]
	data, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "encode segment"))
	}
	w.sequence++
	key := fmt.Sprintf("%s%s-%d", b.step.key.objectPrefix(), w.id, w.sequence)
	w.unconfirmed = &encodedSegment{key: key, data: data, records: len(s.Records)}
}

// putUnconfirmed writes the unconfirmed segment, if any. A conflict means that an earlier write of the same
// key took effect and its response was lost.
func (w *segmentWriter) putUnconfirmed(ctx context.Context) error {
	if w.unconfirmed == nil {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	w.stats.Puts++
	err := w.objects.Put(limited, w.unconfirmed.key, w.unconfirmed.data)
	if err != nil && !errors.Is(err, api.ErrConflict) {
		w.catchingUp = true
		w.retryAt = time.Now().Add(putBackoff)
		return errors.Wrap(err, "write segment")
	}
	w.stats.Samples += w.unconfirmed.records
	w.unconfirmed = nil
	return nil
}

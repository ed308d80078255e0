package batch

import (
	"context"
	"fmt"
	"path"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// saveInterval is the time between two stored segments of a job's text. It limits how much text is generated
	// again after the owner crashes.
	saveInterval = time.Second
	// maxSegmentReads limits the segment objects that are read concurrently.
	maxSegmentReads = 8
)

func segmentPrefix(job string) string { return "part/" + job + "/" }

func segmentObjectName(job string, term, sequence int) string {
	return fmt.Sprintf("%s%04d/%06d", segmentPrefix(job), term, sequence)
}

// saveTextLoop stores the text of unfinished items in segments, so that a new owner can continue after the last
// stored event. The segments are deleted when the job ends.
func (o *ownedJob) saveTextLoop() {
	sequence := 0
	for wait.Sleep(o.ctx, saveInterval) {
		o.mu.Lock()
		segments := o.progress.takeUnsaved()
		o.mu.Unlock()
		if len(segments) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		err := o.service.options.Store.Put(ctx, segmentObjectName(o.job.ID, o.record.Term, sequence), encodeObject(segments))
		cancel()
		sequence++
		if err != nil && o.ctx.Err() == nil {
			o.service.options.Log.Warn().Err(err).Str("job", o.job.ID).Int("items", len(segments)).Msg(event.TextSegmentWriteFailed)
			o.mu.Lock()
			o.progress.markUnsaved(segments)
			o.mu.Unlock()
		}
	}
	o.deleteSegments(sequence)
}

// deleteSegments deletes the first count segment objects of this owner if the job has ended.
func (o *ownedJob) deleteSegments(count int) {
	o.mu.Lock()
	ended := o.record.Ended
	o.mu.Unlock()
	if !ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), 2*commitTimeout)
	defer cancel()
	for n := range count {
		if err := o.service.options.Store.Delete(ctx, segmentObjectName(o.job.ID, o.record.Term, n)); err != nil {
			o.service.options.Log.Debug().Err(err).Str("job", o.job.ID).Msg(event.TextRemovalFailed)
			return
		}
	}
}

// loadSegments reads the segments that former owners of a job stored. It replaces the entries of texts for which the
// joined segments are longer.
func (s *Service) loadSegments(ctx context.Context, job *Job, texts map[string]storedText) {
	names, err := s.options.Store.Names(ctx, segmentPrefix(job.ID))
	if err != nil {
		s.options.Log.Warn().Err(err).Str("job", job.ID).Msg(event.TextListFailed)
		return
	}
	slices.Sort(names)
	loaded := make([]storedSegments, len(names))
	reads := pool.New().WithMaxGoroutines(maxSegmentReads)
	for i, name := range names {
		reads.Go(func() {
			loaded[i].term = path.Dir(name)
			data, err := s.options.Store.Object(ctx, name)
			if err == nil {
				err = decodeObject(data, &loaded[i].segments)
			}
			if err != nil {
				s.options.Log.Warn().Err(err).Str("job", job.ID).Str("object", name).Msg(event.TextSegmentReadFailed)
			}
		})
	}
	reads.Wait()
	for id, t := range joinSegments(loaded) {
		if current := texts[id]; !current.Whole && (t.Whole || t.Text.Last > current.Text.Last) {
			texts[id] = t
		}
	}
}

// storedSegments is one stored object: segments by item ID, and the term of the owner that stored them. segments is nil
// if the object could not be read.
type storedSegments struct {
	term     string
	segments map[string]segment
}

// segmentChain joins the segments of one item and one term to its text.
type segmentChain struct {
	text  Text
	whole bool
	// hasGap is set when a segment is missing. Later segments are ignored until one begins at the start of the text.
	hasGap bool
}

// add appends the next segment. A segment that begins at the start replaces the text.
func (c *segmentChain) add(s segment) {
	switch {
	case s.After == 0:
		*c = segmentChain{text: Text{Output: s.Output, Software: s.Software}}
	case c.hasGap || s.After != c.text.Last || s.Software != c.text.Software:
		c.hasGap = true
		return
	default:
		c.text.Output = append(c.text.Output, s.Output...)
	}
	c.text.Last, c.text.Versions, c.whole = s.Last, s.Versions, s.Whole
}

// joinSegments returns the longest text of each item. It joins only segments of the same term, in the order in which
// they were stored: owners of different terms, and earlier jobs, may have restarted the item, and a text must not
// combine parts of different generations.
func joinSegments(loaded []storedSegments) map[string]storedText {
	longest := map[string]storedText{}
	chains := map[string]*segmentChain{}
	term := ""
	for _, object := range loaded {
		if object.term != term {
			term = object.term
			clear(chains)
		}
		for id, s := range object.segments {
			c := chains[id]
			if c == nil {
				c = &segmentChain{}
				chains[id] = c
			}
			c.add(s)
			if current := longest[id]; !current.Whole && (c.whole || c.text.Last > current.Text.Last) {
				longest[id] = storedText{Text: c.text, Whole: c.whole}
			}
		}
	}
	return longest
}

package step

import (
	"time"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
)

const (
	// DefaultMaxSamples is the schema's default for the maximum number of samples in one response.
	DefaultMaxSamples = 256
	// maxResponseBytes limits the text of one response, because a peer link may carry it in a single frame.
	maxResponseBytes = 4 << 20
)

// Poll applies the trainer's bitmap and weight version and returns the samples that are ready, together with the
// attempts that are no longer needed and must be cancelled. The samples stay ready until a later bitmap confirms
// them.
func (s *Step) Poll(req api.PollRequest, now time.Time) (*api.PollAnswer, []AttemptID, *outcome.Refusal) {
	have, err := DecodeBitmap(req.Have, len(s.slots))
	if err != nil {
		return nil, nil, outcome.Refuse(outcome.RequestInvalid)
	}
	s.lastPoll = now
	s.trainerVersion = req.TrainerVersion
	cancel := s.applyHave(have)
	cancel = append(cancel, s.dropStale(now)...)
	return s.buildResponse(req), cancel, nil
}

func (s *Step) buildResponse(req api.PollRequest) *api.PollAnswer {
	limit := req.MaxSamples
	if limit <= 0 {
		limit = DefaultMaxSamples
	}
	dropped := s.counts.DroppedStale
	response := &api.PollAnswer{
		Step: s.spec.ID, Poll: req.Poll, Samples: []api.Sample{}, Done: s.openSlots == 0, DroppedStale: &dropped,
	}
	size := 0
	for i := range s.slots {
		sl := &s.slots[i]
		if sl.confirmed || sl.ready == nil {
			continue
		}
		size += len(sl.ready.Text)
		if len(response.Samples) == limit || len(response.Samples) > 0 && size > maxResponseBytes {
			break
		}
		response.Samples = append(response.Samples, s.toAPISample(sl.ready))
	}
	return response
}

func (s *Step) toAPISample(r *Record) api.Sample {
	sample := api.Sample{
		Group: r.Slot / s.spec.SamplesPerGroup,
		Index: r.Slot % s.spec.SamplesPerGroup,
		Text:  r.Text,
		Spans: r.Spans,
		Score: r.Score,
	}
	if r.Target != "" {
		target := r.Target
		sample.Target = &target
	}
	return sample
}

// applyHave confirms the slots in the bitmap and reopens the others. A trainer that resumed from a checkpoint
// sends an earlier bitmap, so a confirmed slot can become open again.
func (s *Step) applyHave(have Bitmap) []AttemptID {
	var cancel []AttemptID
	for i := range s.slots {
		sl := &s.slots[i]
		switch {
		case have.Has(i) && !sl.confirmed:
			sl.confirmed = true
			s.openSlots--
			cancel = append(cancel, s.cancelAttempts(i)...)
			s.retainSample(sl)
		case !have.Has(i) && sl.confirmed:
			s.reopen(sl)
		}
	}
	return cancel
}

// retainSample keeps the sample of a confirmed slot within maxRetainedBytes and discards its partial sequence.
func (s *Step) retainSample(sl *slot) {
	sl.partial = nil
	if sl.ready == nil {
		return
	}
	if s.retainedBytes+len(sl.ready.Text) > maxRetainedBytes {
		sl.ready = nil
		return
	}
	s.retainedBytes += len(sl.ready.Text)
}

// reopen makes a confirmed slot open again. If it has no sample, dropStale queues it.
func (s *Step) reopen(sl *slot) {
	sl.confirmed = false
	s.openSlots++
	if sl.ready != nil {
		s.retainedBytes -= len(sl.ready.Text)
	}
}

// dropStale removes every sample and every partial or running sequence that now exceeds the staleness bound, and
// queues its slot again.
func (s *Step) dropStale(now time.Time) []AttemptID {
	var cancel []AttemptID
	for i := range s.slots {
		sl := &s.slots[i]
		if sl.confirmed {
			continue
		}
		s.dropStalePartial(sl, now)
		if sl.ready != nil && s.isStale(sl.ready, now) {
			s.counts.DroppedStale++
			s.counts.Replaced++
			s.recountAsWasted(sl.ready)
			sl.ready = nil
		}
		cancel = append(cancel, s.dropStaleAttempts(sl, now)...)
		if sl.needsAttempt() {
			s.enqueueRetry(i)
		}
	}
	return cancel
}

func (s *Step) dropStalePartial(sl *slot, now time.Time) {
	if sl.partial == nil || !s.isStale(sl.partial, now) {
		return
	}
	s.recountAsWasted(sl.partial)
	sl.partial = nil
}

// recountAsWasted moves the tokens of r from the kept to the wasted ones in the counts.
func (s *Step) recountAsWasted(r *Record) {
	s.counts.TokensKept -= r.Tokens()
	s.counts.TokensWasted += r.Tokens()
}

func (s *Step) dropStaleAttempts(sl *slot, now time.Time) []AttemptID {
	var cancel []AttemptID
	for _, id := range append([]AttemptID(nil), sl.attempts...) {
		a := s.attempts[id]
		if len(a.rec.Spans) == 0 || !s.isStale(&a.rec, now) {
			continue
		}
		s.counts.Replaced++
		s.dropAttempt(a)
		cancel = append(cancel, id)
	}
	return cancel
}

// isStale reports whether the oldest token of the record exceeds the staleness bound in weight versions or in
// time.
func (s *Step) isStale(r *Record, now time.Time) bool {
	if s.trainerVersion-r.oldestVersion() > s.spec.StalenessVersions {
		return true
	}
	if s.spec.StalenessMs == nil || *s.spec.StalenessMs == 0 {
		return false
	}
	return now.Sub(r.FirstTokenAt) > time.Duration(*s.spec.StalenessMs)*time.Millisecond
}

// Confirmed reports whether the trainer has the sample of slot i.
func (s *Step) Confirmed(i int) bool { return s.slots[i].confirmed }

// Partials returns the partial sequences of open slots, so that a new owner can continue them.
func (s *Step) Partials() []Record {
	var out []Record
	for i := range s.slots {
		sl := &s.slots[i]
		if !sl.confirmed && sl.ready == nil && sl.partial != nil {
			r := cloneRecord(sl.partial)
			r.Slot = i
			out = append(out, r)
		}
	}
	return out
}

package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

// textLoadTimeout limits the time for loading stored texts before a job's items start.
const textLoadTimeout = 500 * time.Millisecond

// ownedJob is a job that this instance runs.
type ownedJob struct {
	service *Service
	job     *Job
	ctx     context.Context
	cancel  context.CancelFunc
	// appendSignal wakes appendLoop.
	appendSignal chan struct{}

	mu       sync.Mutex
	record   jobRecord
	revision int
	progress *progress
	stopped  bool
	// textLoaded is set after the attempt to load stored texts; no item starts before it.
	textLoaded bool
	// heldBack is the number of items that wait because the route has its share of the slots.
	heldBack atomic.Int64
}

// startJob starts to run a job whose row this instance wrote with a revision, unless the job has ended, got another owner or
// was removed since. listed holds the results that are in the list already.
func (s *Service) startJob(job *Job, r jobRecord, revision int, listed []Result) {
	ctx, cancel := context.WithCancel(s.taskCtx)
	o := &ownedJob{
		service: s, job: job, ctx: ctx, cancel: cancel, appendSignal: make(chan struct{}, 1),
		record: r, revision: revision, progress: newProgress(job),
	}
	o.progress.applyListed(listed)
	if !s.register(o) {
		cancel()
		return
	}
	s.options.Log.Info().Str("job", job.ID).Str("model", job.Model).Int("step", job.Step).Int("term", r.Term).
		Int("items", len(job.Items)).Int("listed", len(listed)).Int("min_version", job.MinVersion).Msg(event.JobStarted)
	s.tasks.Go(o.loadTexts)
	s.tasks.Go(o.appendLoop)
	s.tasks.Go(o.expireItems)
	s.tasks.Go(o.saveTextLoop)
	s.Wake()
}

// register adds a job to those that this instance runs if its newest row allows it. From then on applyRow and dropRow stop it.
func (s *Service) register(o *ownedJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned[o.job.ID] != nil {
		return false
	}
	row, ok := s.rows[o.job.ID]
	if !ok || row.Ended || row.Owner != s.options.Instance {
		s.options.Log.Info().Str("job", o.job.ID).Int("revision", o.revision).Int("newest", row.revision).Bool("ended", row.Ended).
			Str("owner", row.Owner).Msg(event.JobNotStarted)
		return false
	}
	o.revision = max(o.revision, row.revision)
	s.owned[o.job.ID] = o
	return true
}

// loadTexts loads the stored texts that items can continue: those of the job's former owner and those of earlier jobs
// of the same route.
func (o *ownedJob) loadTexts() {
	ctx, cancel := context.WithTimeout(o.ctx, textLoadTimeout)
	defer cancel()
	texts := map[string]storedText{}
	for _, object := range o.service.textCandidates(o.job, o.record.Term) {
		data, err := o.service.options.Store.Object(ctx, object)
		if errors.Is(err, api.ErrNotFound) {
			continue
		}
		var found map[string]storedText
		if err == nil {
			err = decodeObject(data, &found)
		}
		if err != nil {
			o.service.options.Log.Warn().Err(err).Str("job", o.job.ID).Str("object", object).Msg(event.TextReadFailed)
			continue
		}
		mergeTexts(o.job, texts, found)
	}
	if o.record.Term > 1 {
		o.service.loadSegments(ctx, o.job, texts)
	}
	o.mu.Lock()
	o.textLoaded = true
	o.progress.applyTexts(texts, time.Now())
	used := 0
	for _, s := range o.progress.items {
		if s.text.Last > 0 {
			used++
		}
	}
	o.mu.Unlock()
	if len(texts) > 0 {
		o.service.options.Log.Info().Str("job", o.job.ID).Int("stored", len(texts)).Int("used", used).Msg(event.TextRead)
	}
	o.signalAppend()
	o.service.Wake()
	o.service.wakeRewards()
}

// mergeTexts adds the texts of found to texts. Of two texts of one item it keeps the one that saves the job more: a usable
// one, then a whole one, then the longer one.
func mergeTexts(job *Job, texts, found map[string]storedText) {
	for id, t := range found {
		if current, ok := texts[id]; !ok || isBetterText(job, t, current) {
			texts[id] = t
		}
	}
}

func isBetterText(job *Job, a, b storedText) bool {
	if usable := a.Text.isUsableFor(job); usable != b.Text.isUsableFor(job) {
		return usable
	}
	if a.Whole != b.Whole {
		return a.Whole
	}
	return a.Text.Last > b.Text.Last
}

// textCandidates returns the names of the objects that may contain text for a job: those of the ended
// jobs of the two previous steps of its route and model, and that of the job's previous term.
func (s *Service) textCandidates(job *Job, term int) []string {
	var objects []string
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if id != job.ID && row.Route == job.Route && row.Model == job.Model && row.Ended && row.Step < job.Step && row.Step >= job.Step-2 {
			objects = append(objects, textObjectName(id, row.Term))
		}
	}
	if term > 1 {
		objects = append(objects, textObjectName(job.ID, term-1))
	}
	return objects
}

// signalAppend wakes appendLoop.
func (o *ownedJob) signalAppend() {
	signal(o.appendSignal)
}

func (o *ownedJob) setRevision(revision int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision = max(o.revision, revision)
}

// stop cancels the runs of a job that has ended or has another owner. If it has ended, the texts of its incomplete
// groups are stored for later jobs.
func (o *ownedJob) stop(r jobRecord) {
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return
	}
	o.stopped = true
	o.record.Ended = r.Ended
	texts := o.progress.textsOfOpenGroups()
	listed, open, unscored := o.progress.listedCount, o.progress.openCount, len(o.progress.awaitingReward)
	o.mu.Unlock()
	o.cancel()
	s := o.service
	s.mu.Lock()
	delete(s.owned, o.job.ID)
	s.mu.Unlock()
	s.options.Log.Info().Str("job", o.job.ID).Int("step", o.job.Step).Bool("ended", r.Ended).Str("owner", r.Owner).
		Int("listed", listed).Int("open", open).Int("unscored", unscored).Int("kept", len(texts)).Msg(event.JobStopped)
	if !r.Ended || len(texts) == 0 {
		return
	}
	s.tasks.Go(func() {
		s.storeTexts(context.WithoutCancel(s.taskCtx), textObjectName(o.job.ID, o.record.Term), o.job.ID, texts)
	})
}

// storeTexts stores texts for a later job or the next owner.
func (s *Service) storeTexts(ctx context.Context, object, job string, texts map[string]storedText) {
	ctx, cancel := context.WithTimeout(ctx, 2*commitTimeout)
	defer cancel()
	if err := s.options.Store.Put(ctx, object, encodeObject(texts)); err != nil && !errors.Is(err, api.ErrConflict) {
		s.options.Log.Warn().Err(err).Str("job", job).Int("texts", len(texts)).Msg(event.TextWriteFailed)
	}
}

// expireItems waits until the job expires and then lists its open items as failed. It adds clockMargin, because the
// submission time may come from an instance whose clock is behind, and items must not expire early.
func (o *ownedJob) expireItems() {
	if !wait.Sleep(o.ctx, time.Until(o.job.Submitted.Add(o.job.Life+clockMargin))) {
		return
	}
	o.mu.Lock()
	open := o.progress.openCount
	o.progress.failOpenItems()
	o.mu.Unlock()
	if open > 0 {
		o.service.options.Log.Warn().Str("job", o.job.ID).Int("items", open).Msg(event.ItemsExpired)
	}
	o.signalAppend()
}

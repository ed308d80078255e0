package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/step"
)

const (
	// segmentLoadTimeout limits the time to load all earlier segments of a step. maxParallelReads limits
	// the concurrent reads, since all instances share the store's read rate.
	segmentLoadTimeout = 10 * time.Second
	maxParallelReads   = 4
)

// loadSegments reads the samples that earlier owners of the step wrote. If the store is unavailable, the
// step continues without them.
func (s *Service) loadSegments(ctx context.Context, a *activeStep) {
	ctx, cancel := context.WithTimeout(ctx, segmentLoadTimeout)
	defer cancel()
	defer s.wakeDispatcher()
	defer a.markSegmentsLoaded()
	keys, err := s.options.Objects.List(ctx, a.key.objectPrefix())
	if err != nil {
		s.options.Log.Warn().Str("step", a.key.id).Err(err).Msg("failed to list segments")
		return
	}
	readers := pool.New().WithMaxGoroutines(maxParallelReads)
	for _, key := range keys {
		if key == a.key.specObjectKey() {
			continue
		}
		readers.Go(func() { s.loadSegment(ctx, a, key) })
	}
	readers.Wait()
}

// writeSpec stores the specification of a leaving team's step as evidence that the step was opened before
// the team left. A failed write does not end the step: the trainer sends the specification again.
func (s *Service) writeSpec(ctx context.Context, a *activeStep) {
	data, err := json.Marshal(a.spec())
	if err != nil {
		panic(errors.Wrap(err, "encode specification"))
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	err = s.options.Objects.Put(ctx, a.key.specObjectKey(), data)
	if err != nil && !errors.Is(err, api.ErrConflict) {
		s.options.Log.Warn().Str("step", a.key.id).Err(err).Msg("failed to write step specification")
	}
}

// wasOpenedBefore reports whether an instance has already opened this step of a leaving team. The store then
// holds the specification or samples of the step. If the store is unavailable, the step counts as opened:
// refusing the rest of a running step does more harm than running one more step.
func (s *Service) wasOpenedBefore(ctx context.Context, key stepKey) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	keys, err := s.options.Objects.List(ctx, key.objectPrefix())
	return err != nil || len(keys) > 0
}

func (s *Service) loadSegment(ctx context.Context, a *activeStep, key string) {
	records, err := readSegment(ctx, s.options.Objects, key)
	if err != nil {
		s.options.Log.Warn().Str("step", a.key.id).Str("object", key).Err(err).Msg("failed to load segment")
		return
	}
	a.addRecords(records)
}

func readSegment(ctx context.Context, objects Objects, key string) ([]step.Record, error) {
	data, err := objects.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var content segment
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, err
	}
	return content.Records, nil
}

package confsync

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// History returns the records of the newest revisions, newest first, up to limit.
func (s *Sync) History(ctx context.Context, limit int) ([]Record, *outcome.Refusal) {
	_, newest := s.Current()
	var records []Record
	for revision := newest; revision > 0 && len(records) < limit; revision-- {
		record, err := s.opts.Store.readHistory(ctx, revision)
		switch {
		case errors.Is(err, api.ErrNotFound):
			return records, nil
		case err != nil:
			return nil, outcome.Refuse(outcome.StoreUnavailable)
		}
		records = append(records, record)
	}
	return records, nil
}

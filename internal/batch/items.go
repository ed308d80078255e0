package batch

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	// maxItemRowBytes limits the value of one row of a job's encoded items. The table accepts rows of up to 64 KiB.
	maxItemRowBytes = 60 << 10
	// maxInlineItemsBytes is the size up to which items are stored as rows, in the same transaction as the job's row.
	// This saves a call to the object store for each job. Larger jobs are stored as objects.
	maxInlineItemsBytes = 600 << 10
)

func itemKey(job string, n int) string { return fmt.Sprintf("%s/%s/%03d", itemTable, job, n) }

// storeItems stores the items of a large job as an object. For a smaller job it stores nothing and returns the writes
// to be committed together with the job's row.
func (s *Service) storeItems(ctx context.Context, job *Job) ([]api.Write, error) {
	data := encodeObject(job)
	if len(data) <= maxInlineItemsBytes {
		return itemRows(job.ID, data), nil
	}
	err := s.options.Store.Put(ctx, itemsObjectName(job.ID), data)
	if errors.Is(err, api.ErrConflict) {
		// An earlier attempt of the caller stored the object.
		err = nil
	}
	return nil, err
}

// itemRows splits a job's encoded items into rows.
func itemRows(job string, data []byte) []api.Write {
	var rows []api.Write
	for n := 0; len(data) > 0; n++ {
		size := min(maxItemRowBytes, len(data))
		value := string(data[:size])
		data = data[size:]
		rows = append(rows, api.Write{Key: itemKey(job, n), Expected: api.AnyRevision, Value: &value})
	}
	return rows
}

// readItems reads a job with its items, from rows or, if there are none, from its object.
func (s *Service) readItems(ctx context.Context, id string) (*Job, error) {
	rows, _, err := s.options.Store.Range(ctx, itemTable+"/"+id+"/", itemKey(id, 0), maxPageRows)
	if err != nil {
		return nil, err
	}
	var data []byte
	for _, row := range rows {
		data = append(data, row.Value...)
	}
	if len(rows) == 0 {
		if data, err = s.options.Store.Object(ctx, itemsObjectName(id)); err != nil {
			return nil, err
		}
	}
	job := &Job{}
	if err := decodeObject(data, job); err != nil {
		return nil, err
	}
	if s.options.Loaded != nil {
		s.options.Loaded(job, len(data))
	}
	return job, nil
}

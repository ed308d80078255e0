package batch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// pollInterval is the time between two reads of the store while a caller waits for a result.
	pollInterval = 60 * time.Millisecond
	// maxPageRows and maxPageBytes limit the results of one page.
	maxPageRows  = 500
	maxPageBytes = 900 << 10
	// maxCachedJobs limits the jobs of other owners whose items are cached.
	maxCachedJobs = 4
)

// Page is a range of a job's list of results.
type Page struct {
	// Total is the number of items of the job.
	Total   int
	Results []Result
}

// Read returns the results from position after on. If there are none yet, it waits for up to longPoll.
func (s *Service) Read(ctx context.Context, id, team string, after int, longPoll time.Duration) (Page, error) {
	row, err := s.rowForTeam(ctx, id, team)
	if err != nil {
		return Page{}, err
	}
	deadline := time.Now().Add(longPoll)
	for {
		results, err := s.readResults(ctx, id, after)
		if err != nil {
			return Page{}, err
		}
		remaining := time.Until(deadline)
		if len(results) > 0 || after >= row.Total || remaining <= 0 || !wait.Sleep(ctx, min(remaining, pollInterval)) {
			return Page{Total: row.Total, Results: results}, nil
		}
	}
}

// readResults reads one page of results from position after on. It ends at the first gap in the list.
func (s *Service) readResults(ctx context.Context, id string, after int) ([]Result, error) {
	if s.pageReads != nil {
		select {
		case s.pageReads <- struct{}{}:
			defer func() { <-s.pageReads }()
		case <-ctx.Done():
			return nil, errors.Wrap(api.ErrUnavailable, "wait for other reads of results")
		}
	}
	rows, _, err := s.options.Store.Range(ctx, resultPrefix(id), resultKey(id, after), maxPageRows)
	if err != nil {
		return nil, err
	}
	var results []Result
	size := 0
	for _, row := range rows {
		if row.Key != resultKey(id, after+len(results)) {
			break
		}
		size += len(row.Value)
		if size > maxPageBytes && len(results) > 0 {
			break
		}
		var r Result
		if err := json.Unmarshal([]byte(row.Value), &r); err != nil {
			return nil, errors.Wrap(err, "decode result")
		}
		results = append(results, r)
	}
	return results, nil
}

// rowForTeam returns the row of a job after checking that the job belongs to the team.
func (s *Service) rowForTeam(ctx context.Context, id, team string) (jobRow, error) {
	row, err := s.row(ctx, id)
	switch {
	case errors.Is(err, api.ErrNotFound):
		return jobRow{}, ErrUnknownJob
	case err != nil:
		return jobRow{}, err
	case row.Team != team:
		return jobRow{}, ErrOtherTeam
	}
	return row, nil
}

// ItemBody returns the body of an item, or ErrUnknownJob if the job does not exist or has no such item.
func (s *Service) ItemBody(ctx context.Context, id, team, item string) ([]byte, error) {
	if _, err := s.rowForTeam(ctx, id, team); err != nil {
		return nil, err
	}
	// One caller reads at a time: jobs may be large, and those who wait often want the same one.
	select {
	case s.itemRead <- struct{}{}:
		defer func() { <-s.itemRead }()
	case <-ctx.Done():
		return nil, errors.Wrap(api.ErrUnavailable, "wait for another read of items")
	}
	job, err := s.jobWithItems(ctx, id)
	if err != nil {
		return nil, err
	}
	for i := range job.Items {
		if job.Items[i].ID == item {
			return job.Items[i].Body, nil
		}
	}
	return nil, ErrUnknownJob
}

// jobWithItems returns a job with its items, from memory if possible.
func (s *Service) jobWithItems(ctx context.Context, id string) (*Job, error) {
	s.mu.Lock()
	owned := s.owned[id]
	s.mu.Unlock()
	if owned != nil {
		return owned.job, nil
	}
	if job := s.cache.get(id); job != nil {
		return job, nil
	}
	job, err := s.readItems(ctx, id)
	if err != nil {
		return nil, err
	}
	s.cache.put(job)
	return job, nil
}

// jobCache holds the jobs that were read from the store most recently.
type jobCache struct {
	mu   sync.Mutex
	jobs []*Job
}

func newJobCache() *jobCache { return &jobCache{} }

func (c *jobCache) get(id string) *Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		if job.ID == id {
			return job
		}
	}
	return nil
}

func (c *jobCache) put(job *Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, job)
	if len(c.jobs) > maxCachedJobs {
		c.jobs = c.jobs[1:]
	}
}

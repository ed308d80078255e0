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
	// pollInterval is the time between reads of the store while a reader waits for a result.
	pollInterval = 60 * time.Millisecond
	// pageRows and pageBytes bound the results of one answer.
	pageRows  = 500
	pageBytes = 900 << 10
	// cachedJobs bounds the jobs whose items are kept for reading.
	cachedJobs = 4
)

// Page is a part of a job's list of results.
type Page struct {
	// Total is the number of items of the job.
	Total   int
	Results []Result
}

// Read returns results from position after on. It waits up to the given time for the first one.
func (s *Service) Read(ctx context.Context, id, team string, after int, longPoll time.Duration) (Page, error) {
	k, err := s.recordOf(ctx, id, team)
	if err != nil {
		return Page{}, err
	}
	deadline := time.Now().Add(longPoll)
	for {
		results, err := s.results(ctx, id, after)
		if err != nil {
			return Page{}, err
		}
		left := time.Until(deadline)
		if len(results) > 0 || after >= k.Total || left <= 0 || !wait.Sleep(ctx, min(left, pollInterval)) {
			return Page{Total: k.Total, Results: results}, nil
		}
	}
}

func (s *Service) results(ctx context.Context, id string, after int) ([]Result, error) {
	rows, _, err := s.options.Store.Range(ctx, resultPrefix(id), resultKey(id, after), pageRows)
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
		if size > pageBytes && len(results) > 0 {
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

// recordOf returns the row of a team's job.
func (s *Service) recordOf(ctx context.Context, id, team string) (knownJob, error) {
	k, err := s.record(ctx, id)
	switch {
	case errors.Is(err, api.ErrNotFound):
		return knownJob{}, ErrUnknownJob
	case err != nil:
		return knownJob{}, err
	case k.Team != team:
		return knownJob{}, ErrOtherTeam
	}
	return k, nil
}

// ItemBody returns the body of an item.
func (s *Service) ItemBody(ctx context.Context, id, team, item string) ([]byte, error) {
	if _, err := s.recordOf(ctx, id, team); err != nil {
		return nil, err
	}
	job, err := s.items(ctx, id)
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

// items returns a job with its items.
func (s *Service) items(ctx context.Context, id string) (*Job, error) {
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

// jobCache keeps the jobs that were read last.
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
	if len(c.jobs) > cachedJobs {
		c.jobs = c.jobs[1:]
	}
}

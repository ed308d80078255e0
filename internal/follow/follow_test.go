package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// fakeSource is a table in memory. It can lose the history of its feed or be unavailable.
type fakeSource struct {
	mu          sync.Mutex
	rows        map[string]api.Row
	log         []api.Change
	revision    int
	historyLost bool
	isDown      bool
}

func (s *fakeSource) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	row := api.Row{Key: key, Value: value, Revision: s.revision}
	s.rows[key] = row
	s.log = append(s.log, api.Change{Row: row})
}

func (s *fakeSource) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.rows, key)
	s.log = append(s.log, api.Change{Row: api.Row{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *fakeSource) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeSource) Snapshot(context.Context, string) ([]api.Row, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return nil, 0, api.ErrUnavailable
	}
	var rows []api.Row
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	return rows, s.revision, nil
}

func (s *fakeSource) Changes(ctx context.Context, _ string, after int, longPoll time.Duration) (api.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(min(longPoll, 50*time.Millisecond)):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isDown:
		return api.Changes{}, api.ErrUnavailable
	case s.historyLost:
		s.historyLost = false
		return api.Changes{}, api.ErrHistoryLost
	}
	changes := api.Changes{Revision: s.revision}
	for _, c := range s.log {
		if c.Revision > after {
			changes.Rows = append(changes.Rows, c)
		}
	}
	return changes, nil
}

// Guards against a copy that misses changes or keeps deleted rows: during normal operation, after the history of the
// feed was lost and after an outage.
func TestCopyMatchesTable(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(*fakeSource)
		recover func(*fakeSource)
	}{
		{"feed", func(*fakeSource) {}, func(*fakeSource) {}},
		{"history lost", func(s *fakeSource) { s.historyLost, s.log = true, nil }, func(*fakeSource) {}},
		{"outage", func(s *fakeSource) { s.isDown = true }, func(s *fakeSource) { s.isDown = false }},
		{"outage and history lost", func(s *fakeSource) { s.isDown, s.historyLost, s.log = true, true, nil }, func(s *fakeSource) { s.isDown = false }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &fakeSource{rows: map[string]api.Row{}}
				source.put("t/a", "1")
				source.put("t/b", "1")
				copied := map[string]string{}
				f := New(Options{Table: "t", Source: source, Log: zerolog.Nop(), Apply: func(changes []api.Change) {
					for _, change := range changes {
						if change.Deleted {
							delete(copied, change.Key)
							continue
						}
						copied[change.Key] = change.Value
					}
				}})
				ctx, cancel := context.WithCancel(context.Background())
				var wg conc.WaitGroup
				wg.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				source.put("t/a", "2")
				source.remove("t/b")
				source.put("t/c", "1")
				source.update(func() { c.fault(source) })
				time.Sleep(2 * time.Second)
				source.update(func() { c.recover(source) })
				time.Sleep(2 * time.Second)
				cancel()
				wg.Wait()
				if len(copied) != 2 || copied["t/a"] != "2" || copied["t/c"] != "1" {
					t.Errorf("copy is %v, want t/a = 2 and t/c = 1", copied)
				}
			})
		})
	}
}

// Guards against a follower that counts as healthy while its calls fail.
func TestHealthyForResetsOnFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{rows: map[string]api.Row{}}
		f := New(Options{Table: "t", Source: source, Log: zerolog.Nop(), Apply: func([]api.Change) {}})
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = f.Run(ctx) })
		time.Sleep(5 * time.Second)
		if h := f.HealthyFor(time.Now()); h < 4*time.Second {
			t.Errorf("healthy for %v after 5 s", h)
		}
		source.update(func() { source.isDown = true })
		time.Sleep(time.Second)
		if h := f.HealthyFor(time.Now()); h != 0 {
			t.Errorf("healthy for %v during an outage", h)
		}
		source.update(func() { source.isDown = false })
		time.Sleep(time.Second)
		if h := f.HealthyFor(time.Now()); h <= 0 || h > time.Second {
			t.Errorf("healthy for %v less than 1 s after the end of the outage", h)
		}
		cancel()
		wg.Wait()
	})
}

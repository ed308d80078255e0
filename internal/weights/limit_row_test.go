package weights

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// memoryTable keeps rows in memory. While it is down, all calls fail.
type memoryTable struct {
	mu   sync.Mutex
	rows map[string]string
	down bool
}

func (m *memoryTable) Get(_ context.Context, key string) (api.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return api.Row{}, api.ErrUnavailable
	}
	value, ok := m.rows[key]
	if !ok {
		return api.Row{}, api.ErrNotFound
	}
	return api.Row{Key: key, Value: value, Revision: 1}, nil
}

func (m *memoryTable) Commit(_ context.Context, txn api.Txn) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, api.ErrUnavailable
	}
	m.rows[txn.Writes[0].Key] = *txn.Writes[0].Value
	return 1, nil
}

func (m *memoryTable) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// heldLease is always held.
type heldLease struct{}

func (heldLease) Held(time.Time) (int64, bool) { return 1, true }

func (heldLease) Guard(ctx context.Context, act func(context.Context, int64) error) error {
	return act(ctx, 1)
}

// instantEngines load every version in simulatedLoadTime.
type instantEngines struct {
	mu       sync.Mutex
	versions map[string]int
	loading  int
	// maxLoading is the largest number of concurrent loads.
	maxLoading int
}

func (e *instantEngines) Status(_ context.Context, t live.Target) (EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStatus{Versions: map[string]int{"m": e.versions[t.ID]}}, nil
}

func (e *instantEngines) Switch(_ context.Context, o RollingOrder, _ int, _ int64) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading++
	e.maxLoading = max(e.maxLoading, e.loading)
	time.AfterFunc(simulatedLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading--
		e.versions[o.Target.ID] = o.Version
	})
	return true, nil
}

func newLimitWorker(table Table, engines RollingEngines) *RollingWorker {
	view := live.NewView()
	config := live.NewConfig(1, live.Limits{})
	config.Services["s"] = live.Service{Name: "s", Models: []string{"m"}}
	view.SetConfig(config)
	for _, t := range testEngines(60, map[string]int{"m": 1}) {
		t.Service = "s"
		view.SetTarget(t)
	}
	view.SetWeightVersion("m", 3)
	return NewRollingWorker(RollingOptions{View: view, Engines: engines, Lease: heldLease{}, Table: table, Log: zerolog.Nop(), Now: time.Now})
}

// Guards against a successor that learns anew how many engines may load at once, also when the table does not respond
// at the moment of the takeover, and against a row that cannot be decoded.
func TestSuccessorKnowsLoadLimit(t *testing.T) {
	cases := []struct {
		name string
		row  string
		// outage is how long the table does not respond after the takeover.
		outage     time.Duration
		minLoading int
		maxLoading int
	}{
		{"known", `{"s":{"limit":20,"ceiling":21,"shortest_load_ms":900}}`, 0, 18, 22},
		{"known after an outage", `{"s":{"limit":20,"ceiling":21,"shortest_load_ms":900}}`, time.Second, 2, 22},
		{"another service", `{"x":{"limit":20,"ceiling":21,"shortest_load_ms":900}}`, 0, 2, 4},
		{"no row", "", 0, 2, 4},
		{"not valid", `{"s":`, 0, 2, 4},
		{"not plausible", `{"s":{"limit":-5,"ceiling":-1,"shortest_load_ms":-900}}`, 0, 2, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &memoryTable{rows: map[string]string{}, down: tc.outage > 0}
				if tc.row != "" {
					table.rows[limitRowKey] = tc.row
				}
				engines := &instantEngines{versions: map[string]int{}}
				w := newLimitWorker(table, engines)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = w.Run(ctx)
				}()
				time.Sleep(tc.outage)
				table.set(func() { table.down = false })
				time.Sleep(simulatedLoadTime)
				engines.mu.Lock()
				loading := engines.maxLoading
				engines.mu.Unlock()
				if loading < tc.minLoading || loading > tc.maxLoading {
					t.Errorf("%d concurrent loads, want %d to %d", loading, tc.minLoading, tc.maxLoading)
				}
				time.Sleep(20 * time.Second)
				cancel()
				<-done
				var stored map[string]LoadLimit
				if err := json.Unmarshal([]byte(table.rows[limitRowKey]), &stored); err != nil || stored["s"].Limit < 10 || stored["s"].ShortestLoadMs <= 0 {
					t.Errorf("stored %q, error %v; want the learned limit", table.rows[limitRowKey], err)
				}
			})
		})
	}
}

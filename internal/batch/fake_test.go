package batch

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/live"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/ownership"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/startlimit"
)

const (
	testModel   = "model"
	testService = "engines"
	// maxRowBytes, maxCallBytes and maxEntries are the limits of the platform's table.
	maxRowBytes  = 64 << 10
	maxCallBytes = 1 << 20
	maxEntries   = 100
)

// fakeStore is an in-memory table and object store that can simulate faults. Its change feed is served from a log.
type fakeStore struct {
	mu       sync.Mutex
	revision int
	rows     map[string]api.Row
	log      []api.Change
	objects  map[string][]byte
	changed  chan struct{}
	// down makes all calls fail without effect; hangs blocks them until their contexts end.
	down, hangs bool
	// loseResponses is the number of next commits whose responses are lost; commitDelay delays the effect of these
	// commits.
	loseResponses int
	commitDelay   time.Duration
	// commitLatency is how long commits take before their effect.
	commitLatency time.Duration
	// tooLargeCalls counts commits that exceeded a limit.
	tooLargeCalls int
	// hungJobWrites counts commits that would have changed a job's row while the store hung.
	hungJobWrites int
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]api.Row{}, objects: map[string][]byte{}, changed: make(chan struct{})}
}

// withLock runs change with the lock held.
func (f *fakeStore) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// simulateCall waits for the latency of a call and returns the error that the current fault causes.
func (f *fakeStore) simulateCall(ctx context.Context) error {
	time.Sleep(4 * time.Millisecond)
	f.mu.Lock()
	down, hangs := f.down, f.hangs
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return api.ErrEffectUnknown
	}
	if down || ctx.Err() != nil {
		return api.ErrUnavailable
	}
	return nil
}

func (f *fakeStore) Commit(ctx context.Context, txn api.Txn) (int, error) {
	f.withLock(func() {
		if f.hangs && strings.HasPrefix(txn.Writes[0].Key, jobTable+"/") && txn.Writes[0].Value != nil {
			f.hungJobWrites++
		}
	})
	f.mu.Lock()
	latency := f.commitLatency
	f.mu.Unlock()
	time.Sleep(latency)
	if err := f.simulateCall(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	size, entries := 0, 0
	for _, w := range txn.Writes {
		if w.Expected != api.AnyRevision {
			entries++
		}
		if w.Value != nil {
			entries++
			size += len(*w.Value)*4/3 + len(w.Key)
			if len(*w.Value) > maxRowBytes {
				f.tooLargeCalls++
				return 0, api.ErrUnavailable
			}
		}
	}
	if size > maxCallBytes || entries > maxEntries {
		f.tooLargeCalls++
		return 0, api.ErrUnavailable
	}
	if f.loseResponses > 0 {
		f.loseResponses--
		if f.commitDelay > 0 {
			time.AfterFunc(f.commitDelay, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				_, _ = f.apply(txn)
			})
			return 0, api.ErrEffectUnknown
		}
		_, _ = f.apply(txn)
		return 0, api.ErrEffectUnknown
	}
	return f.apply(txn)
}

// apply applies a transaction. The caller holds the lock.
func (f *fakeStore) apply(txn api.Txn) (int, error) {
	for _, w := range txn.Writes {
		if w.Expected != api.AnyRevision && f.rows[w.Key].Revision != w.Expected {
			return 0, api.ErrConflict
		}
	}
	f.revision++
	for _, w := range txn.Writes {
		if w.CheckOnly != nil && *w.CheckOnly {
			continue
		}
		row := api.Row{Key: w.Key, Revision: f.revision}
		if w.Delete != nil && *w.Delete {
			delete(f.rows, w.Key)
			f.log = append(f.log, api.Change{Row: row, Deleted: true})
			continue
		}
		row.Value = *w.Value
		f.rows[w.Key] = row
		f.log = append(f.log, api.Change{Row: row})
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.revision, nil
}

func (f *fakeStore) Get(ctx context.Context, key string) (api.Row, error) {
	if err := f.simulateCall(ctx); err != nil {
		return api.Row{}, api.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return api.Row{}, api.ErrNotFound
	}
	return row, nil
}

// sortedRows returns rows in the order of their keys. The caller holds the lock.
func (f *fakeStore) sortedRows(prefix, from string) []api.Row {
	var rows []api.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key >= from {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b api.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (f *fakeStore) Range(ctx context.Context, prefix, from string, limit int) ([]api.Row, bool, error) {
	if err := f.simulateCall(ctx); err != nil {
		return nil, false, api.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := f.sortedRows(prefix, from)
	return rows[:min(limit, len(rows))], len(rows) > limit, nil
}

func (f *fakeStore) Snapshot(ctx context.Context, prefix string) ([]api.Row, int, error) {
	if err := f.simulateCall(ctx); err != nil {
		return nil, 0, api.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sortedRows(prefix, ""), f.revision, nil
}

func (f *fakeStore) Changes(ctx context.Context, table string, after int, wait time.Duration) (api.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if err := f.simulateCall(ctx); err != nil {
		return api.Changes{}, api.ErrUnavailable
	}
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		changes := api.Changes{Revision: f.revision}
		for _, c := range f.log {
			if c.Revision > after && strings.HasPrefix(c.Key, table+"/") {
				changes.Rows = append(changes.Rows, c)
			}
		}
		changed, failing := f.changed, f.down || f.hangs
		f.mu.Unlock()
		if len(changes.Rows) > 0 && !failing {
			return changes, nil
		}
		select {
		case <-changed:
		case <-timeout:
			if failing {
				return api.Changes{}, api.ErrUnavailable
			}
			return changes, nil
		case <-ctx.Done():
			return api.Changes{}, api.ErrUnavailable
		}
	}
}

func (f *fakeStore) Put(ctx context.Context, object string, data []byte) error {
	if err := f.simulateCall(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.objects[object]; ok {
		return api.ErrConflict
	}
	f.objects[object] = slices.Clone(data)
	return nil
}

func (f *fakeStore) Object(ctx context.Context, object string) ([]byte, error) {
	if err := f.simulateCall(ctx); err != nil {
		return nil, api.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.objects[object]
	if !ok {
		return nil, api.ErrNotFound
	}
	return data, nil
}

func (f *fakeStore) Delete(ctx context.Context, object string) error {
	if err := f.simulateCall(ctx); err != nil {
		return err
	}
	f.withLock(func() { delete(f.objects, object) })
	return nil
}

func (f *fakeStore) Names(ctx context.Context, prefix string) ([]string, error) {
	if err := f.simulateCall(ctx); err != nil {
		return nil, api.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range maps.Keys(f.objects) {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names, nil
}

// storeLink is one instance's connection to the store, which can be blocked.
type storeLink struct {
	*fakeStore
	mu      sync.Mutex
	blocked bool
	// readLatency and responseLatency are how much longer reads of lists and objects take, and responses to commits.
	readLatency, responseLatency time.Duration
}

func (c *storeLink) setBlocked(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked
}

func (c *storeLink) isBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocked
}

func (c *storeLink) Commit(ctx context.Context, txn api.Txn) (int, error) {
	if c.isBlocked() {
		<-ctx.Done()
		return 0, api.ErrEffectUnknown
	}
	defer time.Sleep(c.responseLatency)
	return c.fakeStore.Commit(ctx, txn)
}

func (c *storeLink) Range(ctx context.Context, prefix, from string, limit int) ([]api.Row, bool, error) {
	time.Sleep(c.readLatency)
	return c.fakeStore.Range(ctx, prefix, from, limit)
}

func (c *storeLink) Changes(ctx context.Context, table string, after int, wait time.Duration) (api.Changes, error) {
	if c.isBlocked() {
		time.Sleep(wait)
		return api.Changes{}, api.ErrUnavailable
	}
	return c.fakeStore.Changes(ctx, table, after, wait)
}

// fakeRunner generates the events of items at an interval that is set for each engine.
type fakeRunner struct {
	mu sync.Mutex
	// eventIntervals is the time between two events, by engine; the default is 40 ms.
	eventIntervals map[string]time.Duration
	// endlessEngines send events without end.
	endlessEngines map[string]bool
	// down holds the engines whose runs break off.
	down map[string]bool
	// lengths is the number of events, by item; the default is 10.
	lengths map[string]int
	// endings holds the endings of the next runs, by item; later runs complete.
	endings map[string][]Ending
	// eventCounts counts the events generated for each item; runLog lists all runs.
	eventCounts map[string]int
	runLog      []Run
	// startTimes holds when runs started, by engine.
	startTimes map[string][]time.Time
	// eventSize is the minimum size of an event's data, in bytes.
	eventSize int
	version   int
}

func newFakeRunner() *fakeRunner {
	return &fakeRunner{
		eventIntervals: map[string]time.Duration{}, endlessEngines: map[string]bool{}, lengths: map[string]int{}, endings: map[string][]Ending{}, eventCounts: map[string]int{}, startTimes: map[string][]time.Time{}, version: 1,
	}
}

func eventData(item string, n, size int) []byte {
	data := fmt.Sprintf("%s-%d", item, n)
	return []byte(data + strings.Repeat(".", max(0, size-len(data))))
}

func (f *fakeRunner) start(run Run) (interval time.Duration, length, size, version int, ending Ending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runLog = append(f.runLog, run)
	f.startTimes[run.Target.ID] = append(f.startTimes[run.Target.ID], time.Now())
	interval, length = f.eventIntervals[run.Target.ID], f.lengths[run.Item.ID]
	if interval == 0 {
		interval = 40 * time.Millisecond
	}
	if length == 0 {
		length = 10
	}
	if f.endlessEngines[run.Target.ID] {
		length = math.MaxInt
	}
	if queue := f.endings[run.Item.ID]; len(queue) > 0 {
		ending, f.endings[run.Item.ID] = queue[0], queue[1:]
	}
	return interval, length, f.eventSize, f.version, ending
}

func (f *fakeRunner) Run(ctx context.Context, run Run, sink func(Event) error) Ending {
	interval, length, size, version, ending := f.start(run)
	if ending != Complete && ending != Broken {
		return ending
	}
	for n := run.LastEvent + 1; n <= length; n++ {
		select {
		case <-ctx.Done():
			return Broken
		case <-time.After(interval):
		}
		if ending == Broken && n > length/2 || f.isDown(run.Target.ID) {
			return Broken
		}
		f.mu.Lock()
		f.eventCounts[run.Item.ID]++
		f.mu.Unlock()
		if err := sink(Event{ID: n, Data: eventData(run.Item.ID, n, size), Version: version}); err != nil {
			return Broken
		}
	}
	return Complete
}

// setDown makes the runs on these engines, and on no others, break off.
func (f *fakeRunner) setDown(engines ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = map[string]bool{}
	for _, id := range engines {
		f.down[id] = true
	}
}

func (f *fakeRunner) isDown(engine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[engine]
}

func (f *fakeRunner) eventCount(item string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eventCounts[item]
}

func (f *fakeRunner) runs(item string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Run
	for _, r := range f.runLog {
		if r.Item.ID == item {
			all = append(all, r)
		}
	}
	return all
}

type noCounter struct{}

func (noCounter) CountRefusal(outcome.Reason)    {}
func (noCounter) CountRetry(outcome.RetryReason) {}
func (noCounter) CountRewardAttempt(string)      {}
func (noCounter) ObserveReward(float64)          {}

// testInstance is one instance in a test; kill simulates its crash.
type testInstance struct {
	*Service
	link *storeLink
	kill context.CancelFunc
}

// cluster is a store with instances and four engines, for use in a synctest bubble.
type cluster struct {
	// capacities is nil while all instances are alike.
	capacities ownership.Capacities
	t          *testing.T
	store      *fakeStore
	runner     *fakeRunner
	// scorer serves the reward calls of all instances.
	scorer *fakeScorer
	view   *live.View
	wg     conc.WaitGroup
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, store: newFakeStore(), runner: newFakeRunner(), scorer: newFakeScorer(), view: live.NewView()}
	for i := range 4 {
		c.view.SetTarget(live.Target{
			ID: fmt.Sprint("e", i), Service: testService, Slots: 8, Versions: map[string]int{testModel: 1},
		})
	}
	return c
}

// start starts an instance. Its name has the form machine/process, for example "a/1".
func (c *cluster) start(name string) *testInstance {
	ctx, cancel := context.WithCancel(context.Background())
	n := &testInstance{link: &storeLink{fakeStore: c.store}, kill: cancel}
	machine, _, _ := strings.Cut(name, "/")
	n.Service = New(Options{
		Instance: name, Machine: machine, Store: n.link, Runner: c.runner, View: c.view, Capacities: c.capacities,
		AssignModels: func(targets []live.Target, _ []string) map[string]string {
			all := map[string]string{}
			for _, t := range targets {
				all[t.ID] = testModel
			}
			return all
		},
		Rewards: c.scorer, RewardMetrics: noCounter{}, Counter: noCounter{}, Log: zerolog.Nop(), Now: time.Now,
		ColdBound: startlimit.Bound{Overshoot: 1.5, Slack: 5},
	})
	c.wg.Go(func() { _ = n.Run(ctx) })
	return n
}

func (c *cluster) stop(instances ...*testInstance) {
	for _, n := range instances {
		n.kill()
	}
	c.wg.Wait()
}

func newJob(id string, items int) *Job {
	job := &Job{
		ID: id, Team: "team", Route: "route", Service: testService, Model: testModel, MaxAttempts: 3, Submitted: time.Now(),
		Life: 40 * time.Second, MinVersion: 1, EventTokens: 1,
	}
	for i := range items {
		job.Items = append(job.Items, Item{ID: fmt.Sprintf("%s-%03d", id, i), Group: fmt.Sprint("g", i/4), Path: "/", Body: []byte{byte(i)}, Estimate: 10})
	}
	return job
}

// readAll reads all results of a job with long polls, as a caller does.
func (c *cluster) readAll(n *testInstance, job *Job) []Result {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var all []Result
	for len(all) < len(job.Items) && ctx.Err() == nil {
		page, err := n.Read(ctx, job.ID, job.Team, len(all), time.Second)
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		if page.Total != len(job.Items) {
			c.t.Fatalf("total %d, want %d", page.Total, len(job.Items))
		}
		all = append(all, page.Results...)
	}
	return all
}

// checkResults checks that the results contain every item exactly once, with its whole text.
func (c *cluster) checkResults(job *Job, results []Result) {
	c.t.Helper()
	if len(results) != len(job.Items) {
		c.t.Fatalf("%d results, want %d", len(results), len(job.Items))
	}
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			c.t.Errorf("%s is listed twice", r.ID)
		}
		seen[r.ID] = true
		if r.Failed {
			c.t.Errorf("%s failed", r.ID)
			continue
		}
		length := c.runner.lengths[r.ID]
		if length == 0 {
			length = 10
		}
		var want []string
		for i := 1; i <= length; i++ {
			want = append(want, string(eventData(r.ID, i, c.runner.eventSize)))
		}
		if r.Output != strings.Join(want, "\n") {
			c.t.Errorf("%s: output of %d bytes is not the whole text", r.ID, len(r.Output))
		}
	}
}

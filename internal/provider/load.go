package provider

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/strictclient"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	// maxPollsPerSecond limits the polls of one entry instance, whatever the number of engines. With many engines the
	// reports get older, and routing relies on the instance's own requests in flight, which come first anyway.
	maxPollsPerSecond = 50
	// pollInterval is the time between two polls of one engine while maxPollsPerSecond is not reached.
	pollInterval = time.Second
	pollTimeout  = time.Second
	// maxReportBytes limits a response; a page of 4,096 cache events fits.
	maxReportBytes = 1 << 20
)

// LoadSink receives load reports and cache events.
type LoadSink interface {
	ApplyLoadReport(id string, load engine.Load, now time.Time)
	ApplyCacheEvent(id string, event engine.CacheEvent)
}

// engineReport is the state that was last read from an engine.
type engineReport struct {
	load engine.Load
	// sequence is the number of the last cache event. The numbers start again at 1 after a restart of the engine.
	sequence int
}

// LoadWatcher polls engines for load reports and cache events.
type LoadWatcher struct {
	sink LoadSink
	http *http.Client
	log  zerolog.Logger

	mu        sync.Mutex
	targets   []target.Target
	lastIndex int
	reports   map[string]engineReport
}

// NewLoadWatcher returns a watcher that reports to sink.
func NewLoadWatcher(sink LoadSink, log zerolog.Logger) *LoadWatcher {
	return &LoadWatcher{sink: sink, log: log, http: &http.Client{Timeout: pollTimeout, Transport: strictclient.Transport(&http.Transport{})}, reports: map[string]engineReport{}}
}

// SetTargets replaces the targets to poll.
func (w *LoadWatcher) SetTargets(targets []target.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = targets
}

// Load returns the last load report of an engine, and false if there is none.
func (w *LoadWatcher) Load(id string) (engine.Load, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report, ok := w.reports[id]
	return report.load, ok
}

// Run polls the engines in turn until ctx ends.
func (w *LoadWatcher) Run(ctx context.Context) error {
	for {
		pause := pollInterval
		if t, n := w.nextTarget(); n > 0 {
			w.pollEngine(ctx, t)
			pause = max(pollInterval/time.Duration(n), time.Second/maxPollsPerSecond)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// nextTarget returns the next target to poll and the number of targets.
func (w *LoadWatcher) nextTarget() (target.Target, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.targets)
	if n == 0 {
		return target.Target{}, 0
	}
	w.lastIndex = (w.lastIndex + 1) % n
	return w.targets[w.lastIndex], n
}

// pollEngine reads the load report of an engine and then its new cache events. If the report cannot be read, the router
// continues without a new one.
func (w *LoadWatcher) pollEngine(ctx context.Context, t target.Target) {
	var load engine.Load
	if err := w.fetch(ctx, t.URL+"/load", &load); err != nil {
		w.log.Debug().Err(err).Str("target", t.ID).Msg("load report could not be read")
		return
	}
	w.sink.ApplyLoadReport(t.ID, load, time.Now())
	w.mu.Lock()
	sequence := w.reports[t.ID].sequence
	if hasRestarted(w.reports[t.ID].load, load) {
		sequence = 0
	}
	w.mu.Unlock()
	sequence = w.pollCacheEvents(ctx, t, sequence)
	w.mu.Lock()
	w.reports[t.ID] = engineReport{load, sequence}
	w.mu.Unlock()
}

// hasRestarted reports whether the engine restarted between two load reports.
func hasRestarted(previous, current engine.Load) bool {
	return previous.StartNumber != nil && current.StartNumber != nil && *previous.StartNumber != *current.StartNumber
}

// pollCacheEvents passes the events after lastSequence to the sink and returns the new last sequence number.
func (w *LoadWatcher) pollCacheEvents(ctx context.Context, t target.Target, lastSequence int) int {
	var events []engine.CacheEvent
	if err := w.fetch(ctx, fmt.Sprintf("%s/cache_events?after=%d", t.URL, lastSequence), &events); err != nil {
		w.log.Debug().Err(err).Str("target", t.ID).Msg("cache events could not be read")
		return lastSequence
	}
	for _, event := range events {
		w.sink.ApplyCacheEvent(t.ID, event)
		lastSequence = max(lastSequence, event.Sequence)
	}
	return lastSequence
}

func (w *LoadWatcher) fetch(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := w.http.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", response.StatusCode)
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into))
}

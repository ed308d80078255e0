package streams

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/follow"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// rowTable is the table with rows of streams, each written once.
	rowTable = "stream"
	// longPollHold is how long the table service holds a call while there are no changes: mostly there are none.
	longPollHold = 10 * time.Second
	// writeInterval is the time in which streams are collected for one row.
	writeInterval = 200 * time.Millisecond
	writeTimeout  = time.Second
	// maxRowEntries keeps a row within the 64 KB that the table service allows, maxRemovals and maxVersionWrites a call within its
	// rows.
	maxRowEntries    = 256
	maxRemovals      = 32
	maxVersionWrites = 32
	// versionsMark begins the name of a row with the versions of a service. No instance has such a name.
	versionsMark = "@"
	// maxVersionsDelay bounds the random time for which an instance leaves the writing of such a row to the others.
	maxVersionsDelay = 2 * time.Second
	// versionsInterval is the time between two looks at rows that are not up to date.
	versionsInterval = 500 * time.Millisecond
	// rowTTL is the age at which any instance removes a row.
	rowTTL = 3 * entryTTL
)

// Options configure a Worker. Instance changes with every start.
type Options struct {
	Instance string
	Table    *Table
	Store    follow.Store
	Log      zerolog.Logger
}

// Worker shares the streams of a Table with the other instances.
type Worker struct {
	options  Options
	feed     *follow.Follower
	sequence int
	// versionsDueAt holds when this instance writes the rows of services that are not up to date.
	versionsDueAt map[string]time.Time
	// seenRows receives the keys of new rows, which are removed later.
	seenRows chan string
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options Options) *Worker {
	w := &Worker{options: options, versionsDueAt: map[string]time.Time{}, seenRows: make(chan string, 1<<14)}
	w.feed = follow.New(follow.Options{Table: rowTable, Source: options.Store, Apply: w.applyRows, Log: options.Log, LongPoll: longPollHold})
	return w
}

// CatchUp returns nil once the table holds everything that had been written when it was called.
func (w *Worker) CatchUp(ctx context.Context) error { return w.feed.CatchUp(ctx) }

// Run writes and reads rows until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(w.feed.Run)
	p.Go(w.shareLoop)
	return p.Wait()
}

// shareLoop writes the streams that other instances should know, and removes rows that are no longer needed.
func (w *Worker) shareLoop(ctx context.Context) error {
	type row struct {
		key    string
		seenAt time.Time
	}
	var rows []row
	for ctx.Err() == nil {
		idle := entryTTL
		if len(w.options.Table.OutdatedVersions(time.Now())) > 0 {
			idle = versionsInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-w.options.Table.changes:
		case key := <-w.seenRows:
			rows = append(rows, row{key, time.Now()})
			continue
		case <-time.After(idle):
		}
		var removals []string
		for len(rows) > 0 && len(removals) < maxRemovals && time.Since(rows[0].seenAt) > rowTTL {
			removals = append(removals, rows[0].key)
			rows = rows[1:]
		}
		w.write(ctx, removals)
		wait.Sleep(ctx, writeInterval)
	}
	return nil
}

// write writes one row with new streams and removes others.
func (w *Worker) write(ctx context.Context, removals []string) {
	entries := w.options.Table.TakeUnshared(maxRowEntries, time.Now())
	var writes []api.Write
	if len(entries) > 0 {
		w.sequence++
		writes = append(writes, api.Write{
			Key: fmt.Sprintf("%s/%s/%d", rowTable, w.options.Instance, w.sequence), Expected: api.AnyRevision, Value: api.EncodeValue(entries),
		})
	}
	versions := w.dueVersions(time.Now())
	for service, software := range versions {
		writes = append(writes, api.Write{Key: rowTable + "/" + versionsMark + service, Expected: api.AnyRevision, Value: api.EncodeValue(software)})
	}
	for _, key := range removals {
		writes = append(writes, api.Deletion(key, api.AnyRevision))
	}
	if len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := w.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes}); err != nil {
		w.options.Log.Warn().Err(err).Int("streams", len(entries)).Msg(event.StreamsWriteFailed)
		w.options.Table.PutBack(entries)
		return
	}
	for service, software := range versions {
		w.options.Table.LearnVersions(service, software, time.Now())
		delete(w.versionsDueAt, service)
	}
}

// dueVersions returns the versions of the services whose rows this instance writes now.
func (w *Worker) dueVersions(now time.Time) map[string][]string {
	if !w.feed.HasRead() {
		return nil
	}
	outdated := w.options.Table.OutdatedVersions(now)
	maps.DeleteFunc(w.versionsDueAt, func(service string, _ time.Time) bool { return outdated[service] == nil })
	writes := 0
	for service := range outdated {
		dueAt, ok := w.versionsDueAt[service]
		if !ok {
			dueAt = now.Add(rand.N(maxVersionsDelay))
			w.versionsDueAt[service] = dueAt
		}
		if now.Before(dueAt) || writes >= maxVersionWrites {
			delete(outdated, service)
			continue
		}
		writes++
	}
	return outdated
}

// applyRows passes new rows to the table.
func (w *Worker) applyRows(changes []api.Change) {
	now := time.Now()
	for _, c := range changes {
		if c.Deleted {
			continue
		}
		if service, ok := strings.CutPrefix(c.Key, rowTable+"/"+versionsMark); ok {
			w.learnVersions(service, c, now)
			continue
		}
		select {
		case w.seenRows <- c.Key:
		default:
			// Another instance removes the row.
		}
		var entries []Entry
		if err := json.Unmarshal([]byte(c.Value), &entries); err != nil {
			w.options.Log.Warn().Err(err).Str("row", c.Key).Msg(event.StreamsDecodeFailed)
			continue
		}
		w.options.Table.Learn(entries, now)
	}
}

func (w *Worker) learnVersions(service string, c api.Change, now time.Time) {
	var software []string
	if err := json.Unmarshal([]byte(c.Value), &software); err != nil {
		w.options.Log.Warn().Err(err).Str("row", c.Key).Msg(event.StreamsDecodeFailed)
		return
	}
	w.options.Table.LearnVersions(service, software, now)
}

package streams

import (
	"context"
	"encoding/json"
	"fmt"
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
	// maxRowEntries keeps a row within the 64 KB that the table service allows, and maxRemovals a call within its rows.
	maxRowEntries = 256
	maxRemovals   = 32
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
	// seenRows receives the keys of new rows, which are removed later.
	seenRows chan string
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options Options) *Worker {
	w := &Worker{options: options, seenRows: make(chan string, 1<<14)}
	w.feed = follow.New(follow.Options{Table: rowTable, Source: options.Store, Apply: w.applyRows, Log: options.Log, LongPoll: longPollHold})
	return w
}

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
		select {
		case <-ctx.Done():
			return nil
		case <-w.options.Table.changes:
		case key := <-w.seenRows:
			rows = append(rows, row{key, time.Now()})
			continue
		case <-time.After(entryTTL):
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
	}
}

// applyRows passes new rows to the table.
func (w *Worker) applyRows(changes []api.Change) {
	now := time.Now()
	for _, c := range changes {
		if c.Deleted {
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

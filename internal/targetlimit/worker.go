package targetlimit

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/event"
	"github.com/egretspar/egretspar/internal/follow"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// rowTable is the table with one row for each instance that has something to tell.
	rowTable = "limit"
	// longPollHold is how long the table service holds a call while there are no changes: on most days there are none.
	longPollHold = 10 * time.Second
	// refreshInterval is the time between two writes of a report that has not changed, minWriteInterval between any two.
	refreshInterval  = 700 * time.Millisecond
	minWriteInterval = 200 * time.Millisecond
	// minReadInterval limits the calls while many instances repeat their reports.
	minReadInterval = 250 * time.Millisecond
	writeTimeout    = time.Second
)

// errRowsUnread reports that the rows have not been read yet: the row of a former process must not be overwritten before.
var errRowsUnread = errors.New("rows of limits have not been read yet")

// Options configure a Worker.
type Options struct {
	Instance string
	Table    *Table
	Store    follow.Store
	Log      zerolog.Logger
}

// Worker shares the reports of a Table with the other instances.
type Worker struct {
	options Options
	feed    *follow.Follower
	// hasRow is set while this instance may have a row, hasWritten once this process has written one.
	hasRow, hasWritten atomic.Bool
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options Options) *Worker {
	w := &Worker{options: options}
	w.feed = follow.New(follow.Options{
		Table: rowTable, Source: options.Store, Apply: w.applyReports, Log: options.Log, LongPoll: longPollHold, MinInterval: minReadInterval,
	})
	return w
}

// Run writes this instance's report and reads those of the others until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(w.feed.Run)
	p.Go(w.reportLoop)
	return p.Wait()
}

// reportLoop writes the report after each change, and repeats it while there is something to tell.
func (w *Worker) reportLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		report := w.options.Table.Report(time.Now())
		if len(report.Targets) > 0 || w.hasRow.Load() {
			if err := w.writeReport(ctx, report); err != nil && ctx.Err() == nil {
				w.options.Log.Warn().Err(err).Msg(event.LimitReportWriteFailed)
			}
			wait.Sleep(ctx, minWriteInterval)
		}
		repeat := time.NewTimer(refreshInterval - minWriteInterval)
		if !w.hasRow.Load() && len(report.Targets) == 0 {
			repeat.Stop()
		}
		select {
		case <-ctx.Done():
		case <-w.options.Table.Changes():
		case <-repeat.C:
		}
		repeat.Stop()
	}
	return nil
}

// writeReport stores this instance's report, or removes its row if there is nothing to tell.
func (w *Worker) writeReport(ctx context.Context, report Report) error {
	if !w.feed.HasRead() {
		return errRowsUnread
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := rowTable + "/" + w.options.Instance
	writes := []api.Write{{Key: key, Expected: api.AnyRevision, Value: api.EncodeValue(report)}}
	if len(report.Targets) == 0 {
		writes[0] = api.Deletion(key, api.AnyRevision)
	}
	for _, instance := range w.options.Table.ExpiredReporters(time.Now()) {
		writes = append(writes, api.Deletion(rowTable+"/"+instance, api.AnyRevision))
	}
	// A write without a response may have taken effect.
	w.hasRow.Store(true)
	w.hasWritten.Store(true)
	if _, err := w.options.Store.Commit(ctx, api.Txn{Token: uuid.NewString(), Writes: writes}); err != nil {
		return err
	}
	w.hasRow.Store(len(report.Targets) > 0)
	w.options.Table.Confirm(report, time.Now())
	return nil
}

// applyReports passes the changed rows of other instances to the table.
func (w *Worker) applyReports(changes []api.Change) {
	now := time.Now()
	for _, c := range changes {
		instance := strings.TrimPrefix(c.Key, rowTable+"/")
		isOwn := instance == w.options.Instance
		if isOwn && (c.Deleted || w.hasWritten.Load()) {
			// This instance's own row shows that the feed works while no other instance reports.
			continue
		}
		if c.Deleted {
			w.options.Table.RemoveReport(instance)
			continue
		}
		var report Report
		if err := json.Unmarshal([]byte(c.Value), &report); err != nil {
			w.options.Log.Warn().Err(err).Str("row", c.Key).Int("revision", c.Revision).Msg(event.LimitReportDecodeFailed)
			continue
		}
		if isOwn {
			// A former process of this instance left the row. What it saw still holds.
			w.hasRow.Store(true)
			w.options.Table.ApplyFormer(report, now)
			continue
		}
		w.options.Table.ApplyReport(instance, report, now)
	}
	w.options.Table.RecordRead(now)
}

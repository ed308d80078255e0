package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/wait"
)

const (
	// shortestLongPoll makes the table respond at once.
	shortestLongPoll = time.Millisecond
	// catchUpInterval is the shortest time between two reads for callers of CatchUp. However many they are, and at however many
	// instances, the table gets no more calls from each than its feed makes when rows change all the time.
	catchUpInterval = defaultMinInterval
)

// errNoSnapshot reports that the table has not been read yet.
var errNoSnapshot = errors.New("table has not been read yet")

// CatchUp returns nil once every change has been applied that the table had accepted when CatchUp was called. Neither the age of
// the last read nor a call that was under way shows that: this process may have stood still, or responses may be late.
func (f *Follower) CatchUp(ctx context.Context) error {
	result := make(chan error, 1)
	select {
	case f.catchUps <- result:
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// serveCatchUps reads the changes once for all calls of CatchUp that wait, until ctx ends.
func (f *Follower) serveCatchUps(ctx context.Context) {
	var lastRead time.Time
	for {
		var waiting []chan<- error
		select {
		case <-ctx.Done():
			return
		case result := <-f.catchUps:
			waiting = append(waiting, result)
		}
		wait.Sleep(ctx, catchUpInterval-time.Since(lastRead))
		for more := true; more; {
			select {
			case result := <-f.catchUps:
				waiting = append(waiting, result)
			default:
				more = false
			}
		}
		lastRead = time.Now()
		err := f.readChanges(ctx)
		for _, result := range waiting {
			result <- err
		}
	}
}

// readChanges reads and applies the changes that the table has now.
func (f *Follower) readChanges(ctx context.Context) error {
	revision := f.appliedRevision()
	if revision == 0 {
		return errNoSnapshot
	}
	changes, err := f.options.Source.Changes(ctx, f.options.Table, revision, shortestLongPoll)
	if err != nil {
		return err
	}
	f.applyFeed(changes)
	return nil
}

package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// shortestLongPoll makes the table respond at once.
const shortestLongPoll = time.Millisecond

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
	for {
		var waiting []chan<- error
		select {
		case <-ctx.Done():
			return
		case result := <-f.catchUps:
			waiting = append(waiting, result)
		}
		for more := true; more; {
			select {
			case result := <-f.catchUps:
				waiting = append(waiting, result)
			default:
				more = false
			}
		}
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

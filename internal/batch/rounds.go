package batch

import (
	"context"
	"time"
)

// runRounds calls round until ctx ends: at once, at each signal of wake, and after the time that the last round returned.
// After a round that returned 0 it waits for a signal only.
func runRounds(ctx context.Context, wake <-chan struct{}, round func() time.Duration) {
	for {
		var nextRound <-chan time.Time
		if pause := round(); pause > 0 {
			nextRound = time.After(pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-nextRound:
		}
	}
}

// signal wakes the receiver of a channel with a buffer of one. It does nothing if a signal is pending already.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

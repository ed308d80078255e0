package placement

import (
	"maps"
	"time"
)

const (
	// speedTTL is how long a speed is kept that no instance reports any more.
	speedTTL = 10 * time.Minute
	// speedPruneInterval is the time between two removals of such speeds.
	speedPruneInterval = time.Minute
)

// SpeedTable holds the lasting speeds of engines that any instance reported, so that an instance which starts to run jobs
// need not measure them again. It is not safe for concurrent use.
type SpeedTable struct {
	speeds   map[string]reportedSpeed
	prunedAt time.Time
}

type reportedSpeed struct {
	Speed
	reportedAt time.Time
}

// NewSpeedTable returns an empty table.
func NewSpeedTable() *SpeedTable { return &SpeedTable{speeds: map[string]reportedSpeed{}} }

// Learn records a reported speed. It replaces the last report of the engine.
func (t *SpeedTable) Learn(engine string, s Speed, now time.Time) {
	if s.Interval <= 0 || s.Windows <= 0 {
		return
	}
	t.speeds[engine] = reportedSpeed{s, now}
	if now.Sub(t.prunedAt) < speedPruneInterval {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.speeds, func(_ string, r reportedSpeed) bool { return now.Sub(r.reportedAt) > speedTTL })
}

// Of returns the last reported speed of an engine.
func (t *SpeedTable) Of(engine string) (Speed, bool) {
	r, ok := t.speeds[engine]
	return r.Speed, ok
}

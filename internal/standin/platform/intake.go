package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// WindowEvent is one accepted usage window.
type WindowEvent struct {
	At     time.Time  `json:"at"`
	Window api.Window `json:"window"`
	// Reports is the number of times that this window was reported with the same content.
	Reports int `json:"reports"`
}

// intake holds the accepted usage windows by id. It counts reports that conflict with an accepted window, and
// accepted windows that overlap another one.
type intake struct {
	windows     map[string]*WindowEvent
	conflicts   int
	overlapping int
}

func newIntake() intake { return intake{windows: map[string]*WindowEvent{}} }

func (p *Platform) intakeReport(c call) response {
	var window api.Window
	if err := json.Unmarshal(c.body, &window); err != nil || window.ID == "" {
		return statusResponse(http.StatusBadRequest)
	}
	accepted := p.intake.windows[window.ID]
	if accepted == nil {
		p.intake.accept(c.arrivedAt, window)
		return statusResponse(http.StatusNoContent)
	}
	if !equalWindows(accepted.Window, window) {
		p.intake.conflicts++
		return statusResponse(http.StatusConflict)
	}
	accepted.Reports++
	return statusResponse(http.StatusNoContent)
}

// accept records a new window. If two windows with different ids cover the same time, usage is counted twice.
func (i *intake) accept(at time.Time, window api.Window) {
	for _, other := range i.windows {
		overlaps := window.StartUnixMs < other.Window.EndUnixMs && other.Window.StartUnixMs < window.EndUnixMs
		if overlaps {
			i.overlapping++
			break
		}
	}
	i.windows[window.ID] = &WindowEvent{At: at, Window: window, Reports: 1}
}

func equalWindows(a, b api.Window) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(encodedA) == string(encodedB)
}

func (i *intake) events() []WindowEvent {
	events := make([]WindowEvent, 0, len(i.windows))
	for _, event := range i.windows {
		events = append(events, *event)
	}
	slices.SortFunc(events, func(a, b WindowEvent) int { return strings.Compare(a.Window.ID, b.Window.ID) })
	return events
}

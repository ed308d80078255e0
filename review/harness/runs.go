package main

import (
	"sync"
	"time"
)

// itemRuns is what engines have seen of one item.
type itemRuns struct {
	running  int
	endedAt  time.Time
	finished bool
}

// runLog holds which items engines run and have run.
type runLog struct {
	mu    sync.Mutex
	items map[string]*itemRuns
	// begunAt is when a run last began.
	begunAt time.Time
}

func newRunLog() *runLog { return &runLog{items: map[string]*itemRuns{}} }

func (l *runLog) get(id string) *itemRuns {
	r := l.items[id]
	if r == nil {
		r = &itemRuns{}
		l.items[id] = r
	}
	return r
}

// begin notes that an engine begins to run an item.
func (l *runLog) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(id).running++
	l.begunAt = time.Now()
}

// end notes that an engine has ended a run of an item.
func (l *runLog) end(id string, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(id)
	r.running--
	r.endedAt = time.Now()
	r.finished = r.finished || finished
}

// lastBegin returns when a run last began.
func (l *runLog) lastBegin() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begunAt
}

// running returns the number of runs.
func (l *runLog) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, r := range l.items {
		total += r.running
	}
	return total
}

// idle returns how many items no engine has finished, and none has run since a time, and how many have begun at all.
func (l *runLog) idle(items []string, since time.Time) (idle, begun int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range items {
		r := l.items[id]
		if r != nil {
			begun++
		}
		if r == nil || !r.finished && r.running == 0 && r.endedAt.Before(since) {
			idle++
		}
	}
	return idle, begun
}

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// world holds everything that a case starts.
type world struct {
	// trouble is false if the case is played without its disruption.
	trouble bool
	start   time.Time
	dir     string
	subnet  string
	store   *store
	cloud   *cloud
	runs    *runLog

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	closers   []func()
	nextID    int
	// finished is set after the last line of the record.
	finished bool
}

// newWorld starts the platform: the store and the API for reports of usage.
func newWorld(recordPath string, trouble bool) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, start: time.Now(), dir: dir, record: record, runs: newRunLog()}
	if w.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	if w.store, err = startStore(w); err != nil {
		return nil, err
	}
	if w.cloud, err = startCloud(w); err != nil {
		return nil, err
	}
	w.note("trouble: %v", trouble)
	return w, nil
}

// freeSubnet returns the first three numbers of loopback addresses that nothing uses.
func freeSubnet() (string, error) {
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(256))
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", subnet+".1:8688")
		if err == nil {
			_ = l.Close()
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// address returns an address of the case's own loopback network.
func (w *world) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.subnet, host, port) }

// atEnd makes close call f.
func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finished {
		return
	}
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// noteLast writes the last line of the record.
func (w *world) noteLast(format string, args ...any) {
	w.note(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
}

// newID returns an id that no other request has.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), w.nextID)
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, i := range w.instances {
		i.end()
	}
	for _, f := range w.closers {
		f()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// waitFor polls until a condition holds, and reports whether it did in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

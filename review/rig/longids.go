package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["longids"] = playLongIDs }

const (
	// crowdMemoryMB is the memory of the machines in zones a and d of the site.
	crowdMemoryMB = 164
	// maxEnds is the number of ends of a process at which the rule is broken if they are on two machines or more.
	maxEnds = 3
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
)

// residentMB returns the resident memory of a process in MiB, or 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// enforceMemory does what the platform does: it ends a process that exceeds its memory and starts it again. It returns how often, and the
// highest resident memory in MiB.
func (b *bench) enforceMemory(i *instance, stop time.Time) (ends, peak int) {
	for time.Now().Before(stop) {
		used := residentMB(i.command.Process.Pid)
		peak = max(peak, used)
		if used > crowdMemoryMB {
			ends++
			b.add("%s has %d MB and may have %d: the platform ends it, time %d", i.name, used, crowdMemoryMB, ends)
			i.kill()
			time.Sleep(restartDelay)
			i.launch()
			i.awaitReady()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ends, peak
}

// playLongIDs sends short streams from a crowd of clients whose request ids are long, but within max_header_bytes.
func playLongIDs(b *bench) (bool, error) {
	const (
		clients  = 16
		playTime = 80 * time.Second
		idBytes  = 15_000
	)
	b.memoryMB = crowdMemoryMB
	streams := plainRoute("r-chat", "/chat/", "stream")
	streams["resumable"] = true
	b.writeConfig([]route{streams, plainRoute("r-app", "/app/", "safe")}, []map[string]any{plainService("app")})
	handle := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		if strings.HasPrefix(r.URL.Path, "/app/") {
			s.answer(w, r, http.StatusOK, "ok")
			return
		}
		s.stream(w, r, 1, 0)
	}
	for n := range 4 {
		s := &server{id: fmt.Sprintf("i-plain-%d", n+1), service: "app", slots: 6, store: b.store, record: b.record, handle: handle}
		s.start()
	}
	if err := b.startInstances(2, 120); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	var done sync.WaitGroup
	stop := time.Now().Add(playTime)
	ends, peaks := make([]int, len(b.instances)), make([]int, len(b.instances))
	for n, i := range b.instances {
		done.Go(func() { ends[n], peaks[n] = b.enforceMemory(i, stop) })
	}
	var sent, answered atomic.Int64
	for n := range clients {
		done.Go(func() {
			kept := &http.Transport{DisableCompression: true}
			defer kept.CloseIdleConnections()
			for time.Now().Before(stop) {
				id := newID()
				if b.trouble {
					id += strings.Repeat("x", idBytes-len(id))
				}
				sent.Add(1)
				r := b.send(kept, b.instances[n%len(b.instances)], http.MethodPost, "/chat/1", id, strings.NewReader("prompt"), map[string]string{"X-Deadline-Ms": "2000"}, 2*time.Second)
				if r.err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				answered.Add(1)
				time.Sleep(8 * time.Millisecond)
			}
		})
	}
	done.Go(func() {
		for time.Now().Before(stop) {
			b.add("the clients have sent %d streams and got %d answers; resident memory %d and %d MB", sent.Load(), answered.Load(),
				b.memoryOf(0), b.memoryOf(1))
			time.Sleep(2 * time.Second)
		}
	})
	done.Wait()
	machines := 0
	for n, i := range b.instances {
		b.add("%s: ended %d times for its memory, peak %d MB of %d", i.name, ends[n], peaks[n], crowdMemoryMB)
		if ends[n] >= maxEnds {
			machines++
		}
	}
	b.add("machines on which the process ended %d times or more: %d; two are too many", maxEnds, machines)
	return machines >= 2, nil
}

// memoryOf returns the resident memory of an instance in MiB.
func (b *bench) memoryOf(n int) int {
	command := b.instances[n].command
	if command == nil {
		return 0
	}
	return residentMB(command.Process.Pid)
}

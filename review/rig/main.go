// Command rig plays one case of the review against processes of the system on loopback addresses. It holds the stand-ins of the
// platform, the engines and the clients, and starts the system's processes with the command of the deploy file.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it does the
// same without the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// bench holds what a case works with.
type bench struct {
	*record
	ctx       context.Context
	dir       string
	trouble   bool
	store     *store
	storeAddr string
	cloudAddr string
	instances []*instance
	// tenants holds the tenants of the configuration beside the first one.
	tenants []map[string]any
	// memoryMB is the memory of each machine.
	memoryMB int
}

// errUnable reports that a case could not run.
var errUnable = errors.New("the case could not run")

// cases maps the name of each case to what plays it. A case returns whether the rule was broken.
var cases = map[string]func(*bench) (bool, error){}

func main() {
	// The end of the thread that starts a process would end the process.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("RIG_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &bench{record: &record{start: time.Now(), file: file}, ctx: ctx, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), memoryMB: 354}
	b.storeAddr = serveOn(ctx, b.store)
	b.cloudAddr = serveOn(ctx, http.HandlerFunc(cloud))
	defer b.end()
	b.add("case %s, disruption: %v", os.Args[1], b.trouble)
	broken, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.add("UNABLE: %v", err)
		fmt.Println("unable:", err)
		return 2
	case broken:
		b.add("RESULT: the rule was broken")
		fmt.Println("broken")
		return 1
	}
	b.add("RESULT: the rule held")
	fmt.Println("held")
	return 0
}

// startInstances starts processes of the system and waits until they are ready.
func (b *bench) startInstances(count, statusTTL int) error {
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%w: %s is not built", errUnable, program)
	}
	for range count {
		number := len(b.instances) + 1
		ip := fmt.Sprintf("127.0.0.%d", 10+number)
		i := &instance{
			name: fmt.Sprintf("front-%d", number), ip: ip, front: freeAddress(ip), ready: freeAddress(ip), dir: b.dir, settingsTTL: statusTTL,
			memoryMB: b.memoryMB, storeAddr: b.storeAddr, cloudAddr: b.cloudAddr,
		}
		i.writeSettings()
		i.launch()
		b.add("start %s, callers at %s", i.name, i.front)
		b.instances = append(b.instances, i)
	}
	for _, i := range b.instances {
		if !i.awaitReady() {
			return fmt.Errorf("%w: %s did not become ready", errUnable, i.name)
		}
	}
	b.add("all instances are ready")
	return nil
}

// end ends all processes that were started.
func (b *bench) end() {
	for _, i := range b.instances {
		i.kill()
	}
	if os.Getenv("RIG_KEEP") != "" {
		fmt.Println("logs:", filepath.Join(b.dir, "*.log"))
	}
}

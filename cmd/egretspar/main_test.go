//go:build cgo && linux

package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a SIGHUP that ends an instance which has just started: the signal must be ignored before the Go runtime starts,
// and reload the settings later. Whether the first look comes soon enough depends on the scheduler, so a few processes are started.
func TestHangupIsIgnoredFromTheStart(t *testing.T) {
	// A process that is started under nohup passes the ignored signal on, unless it handles the signal itself.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	program := filepath.Join(t.TempDir(), "egretspar")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for range 50 {
		if ignoresHangup(t, program, "fleet") {
			if ignoresHangup(t, program, "demo") {
				t.Error("a command that runs in a terminal ignores SIGHUP")
			}
			return
		}
	}
	t.Error("no process ignored SIGHUP before it handled it")
}

// ignoresHangup starts a command and reports whether it is seen to ignore SIGHUP.
func ignoresHangup(t *testing.T, program, command string) bool {
	c := exec.Command(program, command)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	}()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		ignored, caught, ok := signalMasks(c.Process.Pid)
		switch {
		case !ok:
			return false
		case ignored&(1<<(syscall.SIGHUP-1)) != 0:
			return true
		case caught != 0:
			return false
		}
	}
	return false
}

// signalMasks returns the signals that a process ignores and handles; false if it has ended.
func signalMasks(pid int) (ignored, caught uint64, ok bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, false
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		mask, _ := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		switch name {
		case "SigIgn":
			ignored = mask
		case "SigCgt":
			caught = mask
		}
	}
	return ignored, caught, true
}

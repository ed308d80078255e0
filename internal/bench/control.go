package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/standin/engine"
)

const (
	maxCPUPercent        = 1.0
	maxInstanceMemoryMB  = 32.0
	configurationApplies = 10
	maxApplyMs           = 2000
	megabyte             = 1 << 20
	controlWarmUp        = 3 * time.Second
	applyInterval        = 300 * time.Millisecond
)

// runControl measures instances without callers. The emulated targets and platform run in the same process, so CPU
// time and memory are upper bounds.
func runControl(ctx context.Context, e Experiment, log zerolog.Logger) (*Result, error) {
	memoryBefore := heapAndStackInUse()
	b, err := startEnvironment(ctx, e, engine.Options{}, log)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	time.Sleep(controlWarmUp)
	r := &Result{Experiment: e}
	b.measureWithoutCallers(r, e)
	r.addAtMost("memory_per_instance", "MB", (heapAndStackInUse()-memoryBefore)/megabyte/float64(e.Instances), maxInstanceMemoryMB)
	r.add("goroutines_per_instance", "goroutines", float64(runtime.NumGoroutine())/float64(e.Instances))
	return r, b.measureApply(ctx, r)
}

func (b *environment) measureWithoutCallers(r *Result, e Experiment) {
	callsBefore, cpuBefore, start := b.countPlatformCalls(), cpuTime(), time.Now()
	time.Sleep(measurementDuration(e))
	instanceSeconds := time.Since(start).Seconds() * float64(e.Instances)
	r.addAtMost("processor_time_per_instance", "% of a core", (cpuTime()-cpuBefore).Seconds()/instanceSeconds*100, maxCPUPercent)
	callsAfter := b.countPlatformCalls()
	r.add("platform_reads_per_instance", "1/s", float64(callsAfter.reads-callsBefore.reads)/instanceSeconds)
	r.add("platform_writes_per_instance", "1/s", float64(callsAfter.writes-callsBefore.writes)/instanceSeconds)
}

type platformCallCounts struct{ reads, writes int }

func (b *environment) countPlatformCalls() platformCallCounts {
	var sum platformCallCounts
	for _, c := range b.Platform.Observed().Calls {
		sum.reads += c.Reads
		sum.writes += c.Writes
	}
	return sum
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureApply applies the same configuration repeatedly and measures the time until each revision is in force. A
// comment makes every document different.
func (b *environment) measureApply(ctx context.Context, r *Result) error {
	body, err := b.configuration()
	if err != nil {
		return err
	}
	times := newLatencies()
	for n := range configurationApplies {
		start := time.Now()
		result, err := b.Apply(ctx, b.Instances[n%len(b.Instances)], n+1, append(body, fmt.Sprintf("# %d\n", n)...))
		if err != nil {
			return err
		}
		if result.State != api.StateInForce {
			return errors.Errorf("revision %d is not in force: its state is %s", result.Revision, result.State)
		}
		times.record(time.Since(start), true)
		time.Sleep(applyInterval)
	}
	r.add("in_force_p50", "ms", times.quantile(50)/1000)
	r.addAtMost("in_force_max", "ms", times.quantile(100)/1000, maxApplyMs)
	return nil
}

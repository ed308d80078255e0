package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// Each job has 12 groups of 8 items; its body has about a ninth of the size that the configuration allows.
	trainerCount  = 12
	stepsAhead    = 4
	jobGroups     = 12
	groupItems    = 8
	itemBodyBytes = 28 << 10
	itemEvents    = 30
	// machineCount machines with the memory of the smallest ones of the users' deployments.
	machineCount = 4
	memoryMB     = 164
	restartDelay = 500 * time.Millisecond
	// stableTime is stable_ms, and idleLimit the time for which an item may be at no engine before its step runs out of time.
	stableTime = 3 * time.Second
	idleLimit  = 5 * time.Second
	// beginLimit is the time in which no item may have begun when a step counts as lost, since there are several models.
	beginLimit = 3 * time.Second
	stepTime   = 40 * time.Second
)

// openJob is a batch job that was answered 202, with the ids of its items.
type openJob struct {
	id    string
	items []string
	// deadline is when the trainer gives its step up.
	deadline time.Time
}

// jobBody returns the body of a batch job and the ids of its items.
func (w *world) jobBody(step int, model, path string, groups, size, itemBytes int) (body []byte, ids []string) {
	var items []map[string]any
	for g := range groups {
		for range size {
			prompt := make([]byte, itemBytes)
			for n := range prompt {
				prompt[n] = byte(rand.Uint32())
			}
			ids = append(ids, w.newID())
			items = append(items, map[string]any{
				"id": ids[len(ids)-1], "path": path + "item", "headers": map[string]string{"X-Model": model, "X-Token-Usage": "200,3840"}, "body": prompt,
				"tokens": 4040, "group": fmt.Sprintf("g%s-%d-%d", model, step, g),
			})
		}
	}
	data, err := json.Marshal(map[string]any{"step": step, "model": model, "min_version": 1, "desired_count": groups * 9 / 10, "requests": items})
	if err != nil {
		panic(err)
	}
	return data, ids
}

// submitTo hands a batch job in until it is accepted or the time is up. It tries the instances in turn.
func (w *world) submitTo(instances []*instance, first int, path, id string, body []byte, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for n := first; time.Now().Before(end); n++ {
		i := instances[n%len(instances)]
		a := w.send(i, request{method: http.MethodPost, path: path + id, id: id, body: body, deadline: time.Until(end), header: map[string]string{"Content-Type": "application/json"}})
		w.note("job %s (%d bytes) at %s: %d %s", id, len(body), i.name, a.status, strings.TrimSpace(string(a.body)))
		if a.status == http.StatusAccepted {
			return true
		}
		time.Sleep(max(a.retryAfter, 100*time.Millisecond))
	}
	return false
}

// memoryGuard plays the platform: it kills a process that exceeds the memory of its machine, and starts it again after a short delay.
type memoryGuard struct {
	mu sync.Mutex
	// peak is the most memory, in MB, and ended the number of ends by itself, of the process of each machine.
	peak, ended map[string]int
	lost        map[string]bool
}

// lose makes the guard leave a machine alone.
func (g *memoryGuard) lose(i *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost[i.name] = true
}

// check notes the memory that a machine uses, and returns whether its process has to end and whether the machine is lost.
func (g *memoryGuard) check(i *instance, used int) (exceeded, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost[i.name] {
		return false, true
	}
	g.peak[i.name] = max(g.peak[i.name], used)
	if used > i.memoryMB {
		g.ended[i.name]++
		return true, false
	}
	return false, false
}

// results returns copies of peak and ended.
func (g *memoryGuard) results() (peak, ended map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.peak), maps.Clone(g.ended)
}

// watch guards one machine until done is closed.
func (g *memoryGuard) watch(i *instance, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := i.anonymousMB()
		exceeded, lost := g.check(i, used)
		if lost {
			return
		}
		if !exceeded {
			continue
		}
		i.kill(fmt.Sprintf("it uses %d MB, its machine has %d MB", used, i.memoryMB))
		time.Sleep(restartDelay)
		if err := i.startProcess(); err != nil {
			i.world.note("%v", err)
			return
		}
	}
}

// trainerModels returns the names of the models of n trainers.
func trainerModels(n int) []string {
	var models []string
	for t := range n {
		models = append(models, fmt.Sprint("m", t))
	}
	return models
}

// trainerConfig returns a configuration with a route and a model for each trainer.
func trainerConfig() map[string]any {
	var routes []map[string]any
	for t := range trainerCount {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", t), "host": host, "prefix": fmt.Sprintf("/t%d/", t), "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 500,
			"priority": 1, "service": "llm", "max_attempts": 3, "item_ttl_s": 100.0, "run_target_ms": stepTime.Milliseconds(), "single_version": false,
			"public": false, "sticky": true, "resumable": true,
		})
	}
	return operatorConfig(7, routes, []map[string]any{engineService("llm", 12, trainerModels(trainerCount)...)})
}

// submitSteps hands in the steps of all trainers at all machines in turn.
func (w *world) submitSteps() []openJob {
	var jobs []openJob
	for step := range stepsAhead {
		for t := range trainerCount {
			path := fmt.Sprintf("/t%d/", t)
			body, items := w.jobBody(step, fmt.Sprint("m", t), path, jobGroups, groupItems, itemBodyBytes)
			id := w.newID()
			if w.submitTo(w.instances, len(jobs), path, id, body, time.Second) {
				jobs = append(jobs, openJob{id: id, items: items, deadline: time.Now().Add(stepTime)})
			}
		}
	}
	return jobs
}

// countLostSteps watches the steps until all have run out of time. It returns how many did while an item was at no engine for
// idleLimit although engines were under half full and others of the step had begun.
func (w *world) countLostSteps(jobs []openJob, slots int) int {
	lost := 0
	lastBusy := time.Now()
	for len(jobs) > 0 {
		if 2*w.runs.running() >= slots {
			lastBusy = time.Now()
		}
		if time.Now().Before(jobs[0].deadline) {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		since := jobs[0].deadline.Add(-idleLimit)
		idle, begun := w.runs.idle(jobs[0].items, since)
		isLost := idle > 0 && begun > 0 && lastBusy.Before(since) && w.runs.lastBegin().Before(jobs[0].deadline.Add(-beginLimit))
		w.note("step of job %s runs out of time: %d of %d items unfinished and at no engine for %v, %d have begun, lost: %v", jobs[0].id, idle, len(jobs[0].items), idleLimit, begun, isLost)
		if isLost {
			lost++
		}
		jobs = jobs[1:]
	}
	return lost
}

// playLostMachines removes all machines but one for good, while trainers have batch jobs open at all of them.
func playLostMachines(w *world) (bool, error) {
	const engines, slots = 4, 12
	w.configure(trainerConfig())
	for n := range engines {
		spec := engineSpec{service: "llm", software: "v1", models: trainerModels(trainerCount), slots: slots, handle: streamEvents(itemEvents)}
		if _, err := w.startEngine(firstEngineHost+n, spec); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(machineCount, memoryMB); err != nil {
		return false, err
	}
	guard := &memoryGuard{peak: map[string]int{}, ended: map[string]int{}, lost: map[string]bool{}}
	done := make(chan struct{})
	var guards sync.WaitGroup
	for _, i := range w.instances {
		guards.Go(func() { guard.watch(i, done) })
	}
	jobs := w.submitSteps()
	time.Sleep(2 * time.Second)
	peak, _ := guard.results()
	w.note("%d jobs are accepted; peak memory, MB: %v", len(jobs), peak)
	if w.trouble {
		for _, i := range w.instances[1:] {
			guard.lose(i)
			i.kill("its machine is removed for good")
		}
	}
	time.Sleep(stableTime)
	lost := w.countLostSteps(jobs, engines*slots)
	close(done)
	guards.Wait()
	peak, ended := guard.results()
	w.note("%d steps lost; peak memory, MB: %v; processes ended because of their memory: %v", lost, peak, ended)
	return lost > 0, nil
}

package batch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

// Guards against owners of three jobs that together start more runs on an engine in a second than a cold one takes, although
// no owner knows that the engine has just restarted; runs that the engine refuses count too.
func TestOwnersShareStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		config := live.NewConfig(1, live.Limits{})
		config.Services[testService] = live.Service{Name: testService, Models: []string{testModel}, WarmUp: &live.WarmUp{Duration: 3 * time.Second, Rate: 8.1}}
		var owners []*testInstance
		for i := range 3 {
			config.AddRoute(live.Route{Name: fmt.Sprint("r", i), Kind: live.Batch, Shares: []live.Share{{Service: testService, Weight: 1}}})
			owners = append(owners, c.start(fmt.Sprintf("i%d/1", i)))
		}
		c.view.SetConfig(config)
		defer c.stop(owners...)
		time.Sleep(2 * time.Second)
		var jobs []*Job
		for i := range owners {
			job := newJob(fmt.Sprint("j", i), 64)
			job.Route = fmt.Sprint("r", i)
			for j := range job.Items {
				c.runner.endings[job.Items[j].ID] = []Ending{NotRun, NotRun}
			}
			jobs = append(jobs, job)
		}
		for i, n := range owners {
			accept(t, n, jobs[i])
		}
		for i, n := range owners {
			c.checkResults(jobs[i], c.readAll(n, jobs[i]))
		}
		c.runner.mu.Lock()
		defer c.runner.mu.Unlock()
		for engine, starts := range c.runner.startTimes {
			for i := 17; i < len(starts); i++ {
				if starts[i].Sub(starts[i-17]) < time.Second {
					t.Fatalf("%s: 18 starts within %v, allowed 17 in a second", engine, starts[i].Sub(starts[i-17]))
				}
			}
		}
	})
}

package batch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

// Guards against items that run at the engines of another service, with a model of the same name, because one instance owns jobs
// of both: accepted there, or taken over.
func TestItemsRunOnlyAtServiceOfTheirJob(t *testing.T) {
	for _, takenOver := range []bool{false, true} {
		t.Run(fmt.Sprint("taken over ", takenOver), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				const otherService = "other-engines"
				for i := range 4 {
					c.view.SetTarget(live.Target{ID: fmt.Sprint("o", i), Service: otherService, Slots: 8, Versions: map[string]int{testModel: 1}})
				}
				a, b := c.start("a/1"), c.start("b/1")
				defer c.stop(a, b)
				first, second := newJob("first", 64), newJob("second", 64)
				second.Service, second.Route = otherService, "other-route"
				accept(t, a, first)
				if takenOver {
					accept(t, b, second)
					time.Sleep(100 * time.Millisecond)
					b.kill()
				} else {
					accept(t, a, second)
				}
				for _, job := range []*Job{first, second} {
					c.checkResults(job, c.readAll(a, job))
					for _, item := range job.Items {
						for _, run := range c.runner.runs(item.ID) {
							if run.Target.Service != job.Service {
								t.Fatalf("%s of service %s ran at %s of %s", item.ID, job.Service, run.Target.ID, run.Target.Service)
							}
						}
					}
				}
			})
		})
	}
}

package targetlimit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/rowtest"
)

// Guards against a restarted instance that writes its first report over the row of its former process before it has read that row:
// nobody knows then what the former process sent.
func TestUnreadReportIsNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former, limits, rows := NewTable("x"), NewTable("x"), rowtest.New()
		former.Observe(Observation{Target: "e", Service: "s", Named: true, Rate: 1, SentAt: time.Now()}, time.Now())
		stored := *api.EncodeValue(former.Report(time.Now()))
		rows.Put("limit/x", stored)
		rows.FailReads(true)
		w := NewWorker(Options{Instance: "x", Table: limits, Store: rows, Log: zerolog.Nop()})
		ctx, cancel := context.WithCancel(t.Context())
		var done conc.WaitGroup
		done.Go(func() { _ = w.Run(ctx) })
		defer done.Wait()
		defer cancel()
		limits.Observe(Observation{Target: "f", Service: "s", Named: true, Rate: 1, SentAt: time.Now()}, time.Now())
		time.Sleep(time.Second)
		if rows.Value("limit/x") != stored {
			t.Error("the row of the former process was overwritten")
		}
		rows.FailReads(false)
		time.Sleep(time.Second)
		for _, target := range []string{"e", "f"} {
			limits.mu.Lock()
			_, limited := limits.namedRate(target)
			limits.mu.Unlock()
			if !limited {
				t.Errorf("the limit of %s is not known", target)
			}
		}
		if rows.Value("limit/x") == stored {
			t.Error("no report was written after the row was read")
		}
	})
}

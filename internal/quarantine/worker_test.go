package quarantine

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/rowtest"
)

// startWorker runs a worker of the instance "x" until the returned function is called.
func startWorker(ctx context.Context, table *rowtest.Table, list *List) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	w := NewWorker(Options{Instance: "x", List: list, Store: table, Log: zerolog.Nop()})
	var done conc.WaitGroup
	done.Go(func() { _ = w.Run(ctx) })
	return func() { cancel(); done.Wait() }
}

func storedReport(t *testing.T, table *rowtest.Table, instance string) (report Report) {
	t.Helper()
	if value := table.Value("crash/" + instance); value != "" {
		if err := json.Unmarshal([]byte(value), &report); err != nil {
			t.Fatal(err)
		}
	}
	return report
}

// Guards against a restarted instance that writes its first crash over the row of its former process before it has read that row.
func TestUnreadReportIsNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, list := rowtest.New(), newTestList()
		table.Put("crash/x", *api.EncodeValue(Report{Crashes: crashesOf(7, "a", "b")}))
		table.FailReads(true)
		defer startWorker(t.Context(), table, list)()
		list.RecordCrash(7, "c", time.Now())
		time.Sleep(second)
		if report := storedReport(t, table, "x"); len(report.Crashes) != 2 {
			t.Errorf("%d crashes in the row that was not read, want 2", len(report.Crashes))
		}
		table.FailReads(false)
		time.Sleep(time.Minute)
		if report := storedReport(t, table, "x"); len(report.Crashes) != 3 || !list.IsQuarantined(7, time.Now()) {
			t.Errorf("%d crashes in the row, quarantined %v", len(report.Crashes), list.IsQuarantined(7, time.Now()))
		}
	})
}

// Guards against an instance that deletes the expired row of another one just when that one has reported a new crash.
func TestRenewedReportIsNotDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, list := rowtest.New(), newTestList()
		table.Put("crash/y", *api.EncodeValue(Report{Crashes: crashesOf(7, "a")}))
		defer startWorker(t.Context(), table, list)()
		time.Sleep(crashTTL + second)
		table.FailReads(true)
		table.Put("crash/y", *api.EncodeValue(Report{Crashes: crashesOf(7, "b")}))
		list.RecordCrash(8, "a", time.Now())
		time.Sleep(second)
		table.FailReads(false)
		time.Sleep(time.Minute)
		if report := storedReport(t, table, "y"); len(report.Crashes) != 1 {
			t.Errorf("%d crashes in the row of the other instance, want 1", len(report.Crashes))
		}
		if report := storedReport(t, table, "x"); len(report.Crashes) != 1 {
			t.Errorf("%d crashes in the own row, want 1", len(report.Crashes))
		}
	})
}

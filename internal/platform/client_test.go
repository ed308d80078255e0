package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform"
	"github.com/egretspar/egretspar/internal/platform/api"
	standin "github.com/egretspar/egretspar/internal/standin/platform"
)

type retryCounter map[outcome.RetryReason]int

func (c retryCounter) CountRefusal(outcome.Reason)           {}
func (c retryCounter) CountRetry(reason outcome.RetryReason) { c[reason]++ }

func pointerTo[T any](v T) *T { return &v }

type operation struct {
	service standin.Service
	write   bool
	single  bool
	do      func(context.Context, *platform.Client) error
}

func createRow(key, value string) api.Write {
	return api.Write{Key: key, Value: &value}
}

// operations returns one call of each kind. Each call succeeds on a platform that has only one release, one row and one
// object.
func operations() map[string]operation {
	order := api.Order{ID: "o1", Service: "s", Zone: "z", Class: api.OrderClassOnDemand, Count: 2, Term: 1}
	return map[string]operation{
		"commit": {service: standin.ServiceTable, write: true, do: func(ctx context.Context, c *platform.Client) error {
			_, err := c.Table.Commit(ctx, api.Txn{Writes: []api.Write{createRow("b", "x")}})
			return err
		}},
		"get":       {service: standin.ServiceTable, do: func(ctx context.Context, c *platform.Client) error { _, err := c.Table.Get(ctx, "a"); return err }},
		"list":      {service: standin.ServiceTable, do: func(ctx context.Context, c *platform.Client) error { _, err := c.Table.List(ctx, "a"); return err }},
		"put":       {service: standin.ServiceObjects, write: true, do: func(ctx context.Context, c *platform.Client) error { return c.Objects.Put(ctx, "p", []byte("1")) }},
		"object":    {service: standin.ServiceObjects, do: func(ctx context.Context, c *platform.Client) error { _, err := c.Objects.Get(ctx, "o"); return err }},
		"keys":      {service: standin.ServiceObjects, do: func(ctx context.Context, c *platform.Client) error { _, err := c.Objects.List(ctx, "o"); return err }},
		"delete":    {service: standin.ServiceObjects, write: true, do: func(ctx context.Context, c *platform.Client) error { return c.Objects.Delete(ctx, "o") }},
		"instances": {service: standin.ServiceInstances, do: func(ctx context.Context, c *platform.Client) error { _, err := c.Instances.List(ctx); return err }},
		"register": {service: standin.ServiceInstances, write: true, do: func(ctx context.Context, c *platform.Client) error {
			return c.Instances.Register(ctx, api.Instance{ID: "e1", Role: api.RoleEntry, State: api.StateLive})
		}},
		"leave":   {service: standin.ServiceInstances, write: true, do: func(ctx context.Context, c *platform.Client) error { return c.Instances.Leave(ctx, "e1") }},
		"weights": {service: standin.ServiceWeights, do: func(ctx context.Context, c *platform.Client) error { _, err := c.Weights.Latest(ctx, "s"); return err }},
		"order":   {service: standin.ServiceOrders, write: true, single: true, do: func(ctx context.Context, c *platform.Client) error { return c.Orders.Put(ctx, order) }},
		"orders":  {service: standin.ServiceOrders, do: func(ctx context.Context, c *platform.Client) error { _, err := c.Orders.List(ctx); return err }},
		"report": {service: standin.ServiceIntake, write: true, do: func(ctx context.Context, c *platform.Client) error {
			return c.Intake.Report(ctx, api.Window{ID: "w", StartUnixMs: 0, EndUnixMs: 1, Teams: []api.TeamUsage{}, Term: 1})
		}},
	}
}

// faultResults holds a fault and the errors that it causes for reads, for writes that are retried and for writes that
// are sent once.
type faultResults struct {
	fault               standin.Fault
	read, write, single error
}

func faultCases() map[string]faultResults {
	unavailable, unknown := api.ErrUnavailable, api.ErrEffectUnknown
	return map[string]faultResults{
		"none":              {},
		"down":              {fault: standin.Fault{Down: true}, read: unavailable, write: unavailable, single: unavailable},
		"down once":         {fault: standin.Fault{Down: true, Calls: 1}, single: unavailable},
		"bad gateway":       {fault: standin.Fault{Down: true, Status: http.StatusBadGateway}, read: unavailable, write: unknown, single: unknown},
		"slow":              {fault: standin.Fault{Delay: time.Minute}, read: unavailable, write: unknown, single: unknown},
		"late":              {fault: standin.Fault{Delay: 500 * time.Millisecond}},
		"response lost":     {fault: standin.Fault{LostResponseRate: 1}, read: unavailable, write: unknown, single: unknown},
		"one response lost": {fault: standin.Fault{LostResponseRate: 1, Calls: 1}, single: unknown},
		"duplicated":        {fault: standin.Fault{DuplicateRate: 1}},
		"wrong token":       {fault: standin.Fault{Down: true, Status: http.StatusUnauthorized}, read: unavailable, write: unavailable, single: unavailable},
	}
}

// Guards against a client that reports a lost response as a call without effect, retries a write with another token, or
// retries an order.
func TestFaultTable(t *testing.T) {
	for faultName, fault := range faultCases() {
		for name, op := range operations() {
			t.Run(faultName+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkFault(t, fault, op) })
			})
		}
	}
}

func checkFault(t *testing.T, fault faultResults, op operation) {
	p := standin.New(standin.Options{})
	defer p.Close()
	client := platform.New(platform.Options{URL: "http://platform", Transport: p.Transport(), Counter: retryCounter{}})
	p.Release(api.Release{Service: "s", Version: 1})
	if _, err := client.Table.Commit(t.Context(), api.Txn{Writes: []api.Write{createRow("a", "x")}}); err != nil {
		t.Fatal(err)
	}
	if err := client.Objects.Put(t.Context(), "o", nil); err != nil {
		t.Fatal(err)
	}
	p.Inject(op.service, fault.fault)
	want := fault.read
	if op.write {
		want = fault.write
	}
	if op.single {
		want = fault.single
	}
	if err := op.do(t.Context(), client); !errors.Is(err, want) || want == nil && err != nil {
		t.Errorf("got %v, want %v", err, want)
	}
	if op.single && len(p.Observed().Orders) > 2 {
		t.Errorf("order was retried by the client: %d sends", len(p.Observed().Orders))
	}
}

// Guards against reporting a conflict, a missing row or a stale fencing token as a failure of the platform.
func TestExpectedErrorsAreDistinguished(t *testing.T) {
	p := standin.New(standin.Options{Fencing: true})
	client := platform.New(platform.Options{URL: "http://platform", Transport: p.Transport()})
	ctx := t.Context()
	_, missing := client.Table.Get(ctx, "none")
	_, first := client.Table.Commit(ctx, api.Txn{Writes: []api.Write{createRow("a", "1")}})
	_, conflict := client.Table.Commit(ctx, api.Txn{Writes: []api.Write{createRow("a", "2"), createRow("b", "2")}})
	_, partial := client.Table.Get(ctx, "b")
	order := api.Order{ID: "o2", Term: 2, Holder: pointerTo("new")}
	accepted := client.Orders.Put(ctx, order)
	fenced := client.Orders.Put(ctx, api.Order{ID: "o1", Term: 1, Holder: pointerTo("old")})
	put := client.Objects.Put(ctx, "k", []byte("1"))
	overwrite := client.Objects.Put(ctx, "k", []byte("2"))
	late := client.Orders.Put(ctx, api.Order{ID: "o3", Term: 2, SendBeforeUnixMs: pointerTo(1)})
	for name, c := range map[string]struct{ got, want error }{
		"missing": {missing, api.ErrNotFound}, "first": {first, nil}, "conflict": {conflict, api.ErrConflict},
		"partial": {partial, api.ErrNotFound}, "accepted": {accepted, nil}, "fenced": {fenced, api.ErrFenced},
		"put": {put, nil}, "overwrite": {overwrite, api.ErrConflict}, "late": {late, api.ErrUnavailable},
	} {
		if !errors.Is(c.got, c.want) || c.want == nil && c.got != nil {
			t.Errorf("%s: got %v, want %v", name, c.got, c.want)
		}
	}
	if observed := p.Observed(); observed.StaleOrders != 1 || observed.StaleEffects != 0 || len(observed.Orders) != 2 {
		t.Errorf("orders seen: %+v", observed.Orders)
	}
}

// Guards against retries that multiply the load on a platform that is down.
func TestRetriesAreBudgeted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Options{})
		counter := retryCounter{}
		client := platform.New(platform.Options{URL: "http://platform", Transport: p.Transport(), Counter: counter})
		p.InjectAll(standin.Fault{Down: true})
		const calls = 1000
		for range calls {
			_, _ = client.Table.Get(t.Context(), "a")
		}
		if retried := counter[outcome.RetryStore]; retried > calls/10 {
			t.Errorf("%d retries of %d calls", retried, calls)
		}
		if c := client.Counts()[0]; c.Calls != calls || c.Unavailable != calls {
			t.Errorf("counts: %+v", c)
		}
	})
}

// Guards against an instance that is removed from the list while it is alive, or stays on it after it has stopped.
func TestHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Options{InstanceLag: 2 * time.Second})
		client := platform.New(platform.Options{URL: "http://platform", Transport: p.Transport()})
		listed := func() int {
			all, err := client.Instances.List(context.Background())
			if err != nil {
				t.Error(err)
			}
			return len(all)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		early := make(chan int, 1)
		time.AfterFunc(time.Second, func() { early <- listed() })
		current := func() api.Instance {
			return api.Instance{ID: "e1", Role: api.RoleEntry, State: api.StateLive}
		}
		if err := client.Instances.Heartbeat(ctx, current); err != nil {
			t.Error(err)
		}
		during := listed()
		time.Sleep(10 * time.Second)
		if first, after := <-early, listed(); first != 0 || during != 1 || after != 0 {
			t.Errorf("listed %d early, %d during, %d after", first, during, after)
		}
	})
}

// Guards against reporting a refused connection as a call that may have taken effect, and a broken connection as a call
// without effect. Uses real sockets.
func TestConnectionErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := "http://" + listener.Addr().String()
	listener.Close()
	client := platform.New(platform.Options{URL: closed})
	if err := client.Objects.Put(t.Context(), "k", nil); !errors.Is(err, api.ErrUnavailable) {
		t.Errorf("refused connection: %v", err)
	}
	p := standin.New(standin.Options{Token: "secret"})
	server := httptest.NewServer(p)
	defer server.Close()
	client = platform.New(platform.Options{URL: server.URL, Token: "secret", Timeout: time.Minute})
	defer client.Close()
	p.Inject(standin.ServiceObjects, standin.Fault{LostResponseRate: 1, Calls: 1})
	if err := client.Objects.Put(t.Context(), "k", []byte("1")); err != nil {
		t.Errorf("retried put: %v", err)
	}
	p.Inject(standin.ServiceObjects, standin.Fault{LostResponseRate: 1})
	if err := client.Objects.Put(t.Context(), "l", []byte("1")); !errors.Is(err, api.ErrEffectUnknown) {
		t.Errorf("lost responses: %v", err)
	}
	if _, found := p.Object("l"); !found {
		t.Error("a call whose response was lost had no effect")
	}
}

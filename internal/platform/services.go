package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/platform/rpc"
)

// HeartbeatInterval is the time between two registrations of an entry instance. The platform removes an instance from
// its list after several missed registrations.
const HeartbeatInterval = time.Second

// Instances is the platform's list of instances. The list lags behind the actual state.
type Instances struct{ caller *rpc.Caller }

// List returns entry and target instances, live and leaving.
func (i *Instances) List(ctx context.Context) ([]api.Instance, error) {
	r := rpc.Request{Operation: InstanceList, Method: http.MethodGet, Path: "/v1/instances", ReadOnly: true}
	body, err := i.caller.Do(ctx, r)
	return rpc.Decode[[]api.Instance](r, body, err)
}

// Register adds an entry instance to the list, or renews its registration.
func (i *Instances) Register(ctx context.Context, instance api.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Wrap(rpc.ErrRefused, err.Error())
	}
	_, err = i.caller.Do(ctx, rpc.Request{Operation: InstanceRegister, Method: http.MethodPut, Path: "/v1/instances", Body: body})
	return err
}

// Heartbeat registers the instance every HeartbeatInterval until ctx ends. It calls current before each registration,
// so that a leaving instance is registered as leaving.
func (i *Instances) Heartbeat(ctx context.Context, current func() api.Instance) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		// A failed registration is counted, and the next one replaces it.
		_ = i.Register(ctx, current())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave removes an entry instance from the list.
func (i *Instances) Leave(ctx context.Context, id string) error {
	r := rpc.Request{Operation: InstanceLeave, Method: http.MethodDelete, Path: "/v1/instances", Query: url.Values{"id": {id}}}
	_, err := i.caller.Do(ctx, r)
	if errors.Is(err, api.ErrNotFound) {
		return nil
	}
	return err
}

// Weights is the rate-limited weight store.
type Weights struct{ caller *rpc.Caller }

// Latest returns the newest release for a service's model, or api.ErrNotFound.
func (w *Weights) Latest(ctx context.Context, model string) (api.Release, error) {
	r := rpc.Request{Operation: WeightsLatest, Method: http.MethodGet, Path: "/v1/weights", Query: url.Values{"service": {model}}, ReadOnly: true}
	body, err := w.caller.Do(ctx, r)
	return rpc.Decode[api.Release](r, body, err)
}

// Orders is the platform's interface for target orders.
type Orders struct {
	caller *rpc.Caller
	now    func() time.Time
}

// Put sends an order once. The client does not retry it, because the lease holder must check that its lease is still
// valid before each send. After the order's latest send time, Put sends nothing and returns api.ErrUnavailable.
func (o *Orders) Put(ctx context.Context, order api.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(rpc.ErrRefused, err.Error())
	}
	if order.SendBeforeUnixMs != nil {
		sendDeadline := time.UnixMilli(int64(*order.SendBeforeUnixMs))
		if !o.now().Before(sendDeadline) {
			return errors.Wrap(api.ErrUnavailable, "latest send time of the order has passed")
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, sendDeadline)
		defer cancel()
	}
	_, err = o.caller.Do(ctx, rpc.Request{Operation: OrderPut, Method: http.MethodPost, Path: "/v1/orders", Body: body, NoRetry: true})
	return err
}

// List returns the newest accepted order of each service, zone and class, with its id.
func (o *Orders) List(ctx context.Context) ([]api.Order, error) {
	r := rpc.Request{Operation: OrderList, Method: http.MethodGet, Path: "/v1/orders", ReadOnly: true}
	body, err := o.caller.Do(ctx, r)
	return rpc.Decode[[]api.Order](r, body, err)
}

// Intake accepts usage windows.
type Intake struct{ caller *rpc.Caller }

// Report sends a usage window. Sending the same figures again has no effect; for other figures of the same window it
// returns api.ErrConflict.
func (i *Intake) Report(ctx context.Context, window api.Window) error {
	body, err := json.Marshal(window)
	if err != nil {
		return errors.Wrap(rpc.ErrRefused, err.Error())
	}
	_, err = i.caller.Do(ctx, rpc.Request{Operation: IntakeReport, Method: http.MethodPost, Path: "/v1/usage", Body: body})
	return err
}

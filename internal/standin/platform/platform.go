// Package platform emulates the platform's services: table, object store, weight store, instance list,
// target orders and usage intake. Faults can be injected per service. The platform counts calls and their
// effects, so that tests and experiments can check them.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// maxBodyBytes limits the body of one request.
const maxBodyBytes = 64 << 20

// Options configure a Platform. The zero value has no lag, no limits and no fencing.
type Options struct {
	// Token is the bearer token that callers must send; empty disables the check.
	Token string
	// Seed makes the random choice of the calls that faults affect reproducible.
	Seed uint64
	// InstanceLag is the time by which the instance list that callers read lags behind.
	InstanceLag time.Duration
	// InstanceTTL is the time after which an entry instance that did not renew its registration expires;
	// 0 means 5 s.
	InstanceTTL time.Duration
	// Fencing makes the platform refuse orders with a stale term.
	Fencing bool
	// WritesPerSecond and ReadsPerSecond limit the calls to table and object store together; 0 means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// WeightReadsPerSecond limits the reads of the weight store; 0 means no limit.
	WeightReadsPerSecond int
	// OnOrder is called after each accepted order that changes a count; it may be nil.
	OnOrder func(api.Order)
}

// Platform emulates the platform of one region.
type Platform struct {
	options Options
	router  *httprouter.Router
	done    context.Context
	stop    context.CancelFunc

	mu         sync.Mutex
	random     *rand.Rand
	faults     map[Service]*activeFault
	calls      map[Service]*Calls
	rateLimits rateLimits
	table      table
	objects    map[string][]byte
	releases   map[string]api.Release
	instances  instanceList
	orders     orderState
	intake     intake
}

// New returns an empty platform.
func New(options Options) *Platform {
	if options.InstanceTTL <= 0 {
		options.InstanceTTL = defaultInstanceTTL
	}
	done, stop := context.WithCancel(context.Background())
	p := &Platform{
		options: options, done: done, stop: stop,
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		faults:     map[Service]*activeFault{},
		calls:      map[Service]*Calls{},
		rateLimits: newRateLimits(options),
		table:      newTable(),
		objects:    map[string][]byte{},
		releases:   map[string]api.Release{},
		instances:  newInstanceList(),
		orders:     newOrderState(),
		intake:     newIntake(),
	}
	p.router = p.routes()
	return p
}

// ServeHTTP makes the platform an http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Close ends the delays of calls in progress; these calls still take effect.
func (p *Platform) Close() { p.stop() }

// call is one request to a service.
type call struct {
	query   map[string][]string
	body    []byte
	isWrite bool
	// arrivedAt is the time of arrival, before an injected delay.
	arrivedAt time.Time
	// isStaleOrder marks an order that arrived after a newer lease holder had sent one.
	isStaleOrder bool
}

func (c call) queryParam(name string) string {
	if values := c.query[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// response is a service's response. The body is raw if that is set, otherwise value as JSON.
type response struct {
	status int
	value  any
	raw    []byte
}

func statusResponse(code int) response { return response{status: code} }

func jsonResponse(value any) response { return response{status: http.StatusOK, value: value} }

type callHandler func(c call) response

func (p *Platform) routes() *httprouter.Router {
	r := httprouter.New()
	add := func(method, path string, service Service, isWrite bool, h callHandler) {
		r.Handle(method, path, p.handlerFor(service, isWrite, h))
	}
	add(http.MethodGet, "/v1/table/row", ServiceTable, false, p.tableGet)
	add(http.MethodGet, "/v1/table/rows", ServiceTable, false, p.tableList)
	add(http.MethodPost, "/v1/table/commit", ServiceTable, true, p.tableCommit)
	add(http.MethodPut, "/v1/objects", ServiceObjects, true, p.objectPut)
	add(http.MethodGet, "/v1/objects", ServiceObjects, false, p.objectGet)
	add(http.MethodDelete, "/v1/objects", ServiceObjects, true, p.objectDelete)
	add(http.MethodGet, "/v1/objects/keys", ServiceObjects, false, p.objectList)
	add(http.MethodGet, "/v1/instances", ServiceInstances, false, p.instanceList)
	add(http.MethodPut, "/v1/instances", ServiceInstances, true, p.instanceRegister)
	add(http.MethodDelete, "/v1/instances", ServiceInstances, true, p.instanceLeave)
	add(http.MethodGet, "/v1/weights", ServiceWeights, false, p.weightsLatest)
	add(http.MethodPost, "/v1/weights", ServiceWeights, true, p.weightsRelease)
	add(http.MethodGet, "/v1/orders", ServiceOrders, false, p.orderList)
	add(http.MethodPost, "/v1/orders", ServiceOrders, true, p.orderPut)
	add(http.MethodPost, "/v1/usage", ServiceIntake, true, p.intakeReport)
	r.Handle(http.MethodPost, "/faults/:service", p.faultPost)
	r.Handle(http.MethodGet, "/observed", p.observedGet)
	return r
}

func (p *Platform) handlerFor(service Service, isWrite bool, h callHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if !p.isAuthorized(r) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c := call{query: r.URL.Query(), body: body, isWrite: isWrite, arrivedAt: time.Now()}
		if service == ServiceOrders && isWrite {
			c.isStaleOrder = p.observeOrderHolder(body)
		}
		resp, lost := p.runCall(service, c, h)
		if lost {
			// This panic makes net/http close the connection without a response.
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, resp)
	}
}

func (p *Platform) isAuthorized(r *http.Request) bool {
	return p.options.Token == "" || r.Header.Get("Authorization") == "Bearer "+p.options.Token
}

// runCall applies the rate limits and faults of the service and calls the handler. One mutex guards the state of
// all services, which makes transactions serializable.
func (p *Platform) runCall(service Service, c call, h callHandler) (resp response, lost bool) {
	outcome := p.decideOutcome(service, c.isWrite)
	if outcome.delay > 0 {
		p.sleep(outcome.delay)
	}
	if outcome.refusalStatus != 0 {
		return statusResponse(outcome.refusalStatus), false
	}
	p.mu.Lock()
	resp = h(c)
	if outcome.duplicated {
		resp = h(c)
	}
	p.mu.Unlock()
	p.notifyOrders()
	return resp, outcome.responseLost
}

func (p *Platform) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.done.Done():
	case <-timer.C:
	}
}

// notifyOrders calls OnOrder for the pending notifications. It does so without holding the lock.
func (p *Platform) notifyOrders() {
	if p.options.OnOrder == nil {
		return
	}
	p.mu.Lock()
	orders := p.orders.pendingNotifications
	p.orders.pendingNotifications = nil
	p.mu.Unlock()
	for _, order := range orders {
		p.options.OnOrder(order)
	}
}

func writeResponse(w http.ResponseWriter, resp response) {
	if resp.raw != nil {
		w.WriteHeader(resp.status)
		_, _ = w.Write(resp.raw)
		return
	}
	if resp.value == nil {
		w.WriteHeader(resp.status)
		return
	}
	body, err := json.Marshal(resp.value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.status)
	_, _ = w.Write(body)
}

func (p *Platform) faultPost(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var fault Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Inject(Service(strings.ToLower(params.ByName("service"))), fault)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) observedGet(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeResponse(w, jsonResponse(p.Observed()))
}

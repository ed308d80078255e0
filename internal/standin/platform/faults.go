package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// Service names one of the platform's services.
type Service string

// Names of the platform's services.
const (
	ServiceTable     Service = "table"
	ServiceObjects   Service = "objects"
	ServiceInstances Service = "instances"
	ServiceWeights   Service = "weights"
	ServiceOrders    Service = "orders"
	ServiceIntake    Service = "intake"
)

// Services returns every service.
func Services() []Service {
	return []Service{ServiceTable, ServiceObjects, ServiceInstances, ServiceWeights, ServiceOrders, ServiceIntake}
}

// Fault describes the injected fault of one service. Its fields can be combined; the zero value is no fault.
type Fault struct {
	// Down makes the service refuse calls, which then have no effect.
	Down bool `json:"down"`
	// Status is the HTTP status of refused calls; 0 means 503.
	Status int `json:"status"`
	// Delay is the time before the call takes effect, even if the caller has cancelled it by then.
	Delay time.Duration `json:"delay"`
	// LostResponseRate is the fraction of calls that take effect and whose connection is then closed without a
	// response.
	LostResponseRate float64 `json:"lost_answer"`
	// DuplicateRate is the fraction of calls that are processed twice.
	DuplicateRate float64 `json:"duplicate"`
	// Stale freezes the instance list as it is when the fault is injected.
	Stale bool `json:"stale"`
	// WritesOnly limits the fault to writes.
	WritesOnly bool `json:"writes_only"`
	// Calls is the number of calls that the fault affects; 0 means all calls until the fault is cleared.
	Calls int `json:"calls"`
}

// activeFault is an injected fault with the number of calls that it still affects and, for a stale list, the
// instances at the time of the injection.
type activeFault struct {
	Fault
	remainingCalls  int
	frozenInstances []api.Instance
}

// Inject replaces the fault of a service.
func (p *Platform) Inject(service Service, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := &activeFault{Fault: fault, remainingCalls: fault.Calls}
	if fault.Stale {
		active.frozenInstances = p.visibleInstances()
	}
	p.faults[service] = active
}

// InjectAll replaces the faults of all services.
func (p *Platform) InjectAll(fault Fault) {
	for _, service := range Services() {
		p.Inject(service, fault)
	}
}

// Clear removes the fault of a service.
func (p *Platform) Clear(service Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.faults, service)
}

// ClearAll removes the faults of all services.
func (p *Platform) ClearAll() {
	for _, service := range Services() {
		p.Clear(service)
	}
}

// callOutcome is the effect of rate limits and faults on one call. A refusalStatus of 0 means that the call is
// not refused.
type callOutcome struct {
	refusalStatus int
	delay         time.Duration
	responseLost  bool
	duplicated    bool
}

// decideOutcome counts a call and decides how the rate limits and the service's fault affect it.
func (p *Platform) decideOutcome(service Service, isWrite bool) callOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.callCounts(service)
	counts.countCall(isWrite)
	if !p.rateLimits.allow(service, isWrite) {
		counts.Limited++
		return callOutcome{refusalStatus: http.StatusTooManyRequests}
	}
	fault := p.faults[service]
	if fault == nil || fault.WritesOnly && !isWrite {
		return callOutcome{}
	}
	outcome := callOutcome{delay: fault.Delay}
	if fault.Down {
		outcome.refusalStatus = http.StatusServiceUnavailable
	}
	if fault.Down && fault.Status != 0 {
		outcome.refusalStatus = fault.Status
	}
	outcome.responseLost = p.random.Float64() < fault.LostResponseRate
	outcome.duplicated = p.random.Float64() < fault.DuplicateRate
	p.consumeFault(service, fault)
	counts.countOutcome(outcome)
	return outcome
}

// consumeFault counts an affected call and removes the fault after its last call.
func (p *Platform) consumeFault(service Service, fault *activeFault) {
	if fault.Calls == 0 {
		return
	}
	fault.remainingCalls--
	if fault.remainingCalls == 0 {
		delete(p.faults, service)
	}
}

// rateLimits holds the rate limiters of the platform; a nil limiter means no limit.
type rateLimits struct {
	reads, writes, weights *rate.Limiter
}

func newRateLimits(o Options) rateLimits {
	return rateLimits{
		reads: newLimiter(o.ReadsPerSecond), writes: newLimiter(o.WritesPerSecond), weights: newLimiter(o.WeightReadsPerSecond),
	}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// allow reports whether a call is within its rate limit. Table and object store share their limiters.
func (l rateLimits) allow(service Service, isWrite bool) bool {
	limiter := (*rate.Limiter)(nil)
	switch {
	case service == ServiceWeights && !isWrite:
		limiter = l.weights
	case service != ServiceTable && service != ServiceObjects:
	case isWrite:
		limiter = l.writes
	default:
		limiter = l.reads
	}
	return limiter == nil || limiter.Allow()
}

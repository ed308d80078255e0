package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// Pool identifies the group of targets whose number an order sets.
type Pool struct {
	Service string         `json:"service"`
	Zone    string         `json:"zone"`
	Class   api.OrderClass `json:"class"`
}

// OrderEvent records one order that the service processed.
type OrderEvent struct {
	At    time.Time `json:"at"`
	Order api.Order `json:"order"`
	// Repeated is set when an order with this id was accepted before; the repetition has no effect.
	Repeated bool `json:"repeated"`
	// Stale is set when a holder with a newer term, or another holder of the same term, had sent an order
	// before: two lease holders were active at the same time.
	Stale bool `json:"stale"`
	// Fenced is set when the platform refused the order because its term is stale.
	Fenced bool `json:"fenced"`
}

// orderState holds the accepted orders and the newest lease holder that has sent one.
type orderState struct {
	newestByPool map[Pool]api.Order
	acceptedIDs  map[string]bool
	newestTerm   int
	newestHolder string
	staleCount   int
	events       []OrderEvent
	// pendingNotifications holds the orders that changed a count and were not passed to OnOrder yet.
	pendingNotifications []api.Order
}

func newOrderState() orderState {
	return orderState{newestByPool: map[Pool]api.Order{}, acceptedIDs: map[string]bool{}}
}

func (p *Platform) orderPut(c call) response {
	var order api.Order
	if err := json.Unmarshal(c.body, &order); err != nil || order.ID == "" {
		return statusResponse(http.StatusBadRequest)
	}
	event := OrderEvent{At: c.arrivedAt, Order: order, Repeated: p.orders.acceptedIDs[order.ID], Stale: c.isStaleOrder}
	event.Fenced = order.Term < p.orders.newestTerm && p.options.Fencing
	p.orders.events = append(p.orders.events, event)
	if event.Fenced {
		return statusResponse(http.StatusPreconditionFailed)
	}
	if !event.Repeated {
		p.orders.accept(order)
	}
	return statusResponse(http.StatusNoContent)
}

// observeOrderHolder records the term and the holder of an order on arrival, even if the order is then delayed
// or refused. It reports whether the order is stale: a holder with a newer term, or another holder of the same
// term, has sent an order before.
func (p *Platform) observeOrderHolder(body []byte) (stale bool) {
	var order api.Order
	if err := json.Unmarshal(body, &order); err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	orders := &p.orders
	if order.Term > orders.newestTerm {
		orders.newestTerm = order.Term
		orders.newestHolder = stringValue(order.Holder)
	}
	if order.Term == orders.newestTerm && stringValue(order.Holder) == orders.newestHolder {
		return false
	}
	orders.staleCount++
	return true
}

func (s *orderState) accept(order api.Order) {
	pool := Pool{Service: order.Service, Zone: order.Zone, Class: order.Class}
	if s.newestByPool[pool].Count != order.Count {
		s.pendingNotifications = append(s.pendingNotifications, order)
	}
	s.acceptedIDs[order.ID] = true
	s.newestByPool[pool] = order
}

// orderList returns the newest accepted order of each pool.
func (p *Platform) orderList(call) response {
	orders := make([]api.Order, 0, len(p.orders.newestByPool))
	for _, order := range p.orders.newestByPool {
		orders = append(orders, order)
	}
	slices.SortFunc(orders, func(a, b api.Order) int { return strings.Compare(a.ID, b.ID) })
	return jsonResponse(orders)
}

// OrderedCount returns the ordered number of targets of a pool. Injected faults do not affect it.
func (p *Platform) OrderedCount(pool Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders.newestByPool[pool].Count
}

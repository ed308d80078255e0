package platform

import "maps"

// Calls counts the calls to one service, and those that rate limits and faults affected.
type Calls struct {
	Reads      int `json:"reads"`
	Writes     int `json:"writes"`
	Limited    int `json:"limited"`
	Refused    int `json:"refused"`
	Delayed    int `json:"delayed"`
	Lost       int `json:"lost"`
	Duplicated int `json:"duplicated"`
}

func (c *Calls) countCall(isWrite bool) {
	if isWrite {
		c.Writes++
		return
	}
	c.Reads++
}

func (c *Calls) countOutcome(outcome callOutcome) {
	if outcome.refusalStatus != 0 {
		c.Refused++
	}
	if outcome.delay > 0 {
		c.Delayed++
	}
	if outcome.refusalStatus == 0 && outcome.responseLost {
		c.Lost++
	}
	if outcome.refusalStatus == 0 && outcome.duplicated {
		c.Duplicated++
	}
}

func (p *Platform) callCounts(service Service) *Calls {
	if p.calls[service] == nil {
		p.calls[service] = &Calls{}
	}
	return p.calls[service]
}

// Observed holds the state and the counts of the platform, for the checks of tests and experiments.
type Observed struct {
	Calls map[Service]Calls `json:"calls"`
	Rows  int               `json:"rows"`
	// Objects and ObjectBytes are the number and the total size of the objects in the store.
	Objects     int `json:"objects"`
	ObjectBytes int `json:"object_bytes"`
	// Orders holds every order that the service processed. StaleOrders counts the orders that arrived
	// after a newer lease holder had sent one, whether or not they were refused. StaleEffects counts the stale
	// orders that were accepted with a new id and thus changed the state.
	Orders          []OrderEvent   `json:"orders"`
	OrdersPerHolder map[string]int `json:"orders_per_holder"`
	StaleOrders     int            `json:"stale_orders"`
	StaleEffects    int            `json:"stale_effects"`
	// Windows holds the accepted usage windows.
	Windows []WindowEvent `json:"windows"`
	// ConflictingWindows counts reports that differ from the accepted window with the same id. OverlappingWindows
	// counts windows that overlap another window in time.
	ConflictingWindows int `json:"conflicting_windows"`
	OverlappingWindows int `json:"doubled_windows"`
}

// Observed returns the current state and counts.
func (p *Platform) Observed() Observed {
	p.mu.Lock()
	defer p.mu.Unlock()
	observed := Observed{
		Calls: map[Service]Calls{}, Rows: len(p.table.rows), Objects: len(p.objects),
		Orders: append([]OrderEvent{}, p.orders.events...), OrdersPerHolder: map[string]int{},
		StaleOrders:        p.orders.staleCount,
		Windows:            p.intake.events(),
		ConflictingWindows: p.intake.conflicts, OverlappingWindows: p.intake.overlapping,
	}
	for service, calls := range maps.All(p.calls) {
		observed.Calls[service] = *calls
	}
	for _, data := range p.objects {
		observed.ObjectBytes += len(data)
	}
	for _, event := range observed.Orders {
		observed.OrdersPerHolder[stringValue(event.Order.Holder)]++
		if event.Stale && !event.Fenced && !event.Repeated {
			observed.StaleEffects++
		}
	}
	return observed
}

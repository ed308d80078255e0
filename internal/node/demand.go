package node

import (
	"time"

	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/order"
	"github.com/egretspar/egretspar/internal/peer"
)

// demandExpiry is the age from which the demand that a peer reported no longer counts: the peer is gone and its
// callers send their requests to other instances.
const demandExpiry = 2 * time.Second

// demand returns the number of running and waiting requests of the region for each service.
func (n *Node) demand() []order.Demand {
	slots := map[string]int{}
	addDemand(slots, n.admission.TakeDemandReport())
	for _, state := range n.livePeerStates(time.Now()) {
		addDemand(slots, state.Costs)
	}
	demands := make([]order.Demand, 0, len(slots))
	for service, count := range slots {
		demands = append(demands, order.Demand{Service: service, Slots: float64(count)})
	}
	return demands
}

func addDemand(slots map[string]int, costs []peer.TeamCost) {
	for _, c := range costs {
		slots[c.Service] += optional.Value(c.InFlight) + optional.Value(c.WaitingRequests)
	}
}

// livePeerStates returns the peer states that were received less than demandExpiry ago and deletes the older ones.
func (n *Node) livePeerStates(now time.Time) []peer.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	var states []peer.State
	for id, received := range n.peers {
		if now.Sub(received.at) >= demandExpiry {
			delete(n.peers, id)
			continue
		}
		states = append(states, received.state)
	}
	return states
}

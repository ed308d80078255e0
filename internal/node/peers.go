package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/wait"
)

const (
	peerHeaderTimeout = 5 * time.Second
	// membershipInterval is much shorter than member.ContactTimeout.
	membershipInterval = 200 * time.Millisecond
	// stateInterval is the interval at which instances exchange served cost; fair shares lag by up to this time.
	stateInterval = 500 * time.Millisecond
	// stateDeliveryDelay covers the time until directly linked peers have received a queued state frame.
	stateDeliveryDelay = 50 * time.Millisecond
	claimSweepInterval = time.Minute
	// outageConfirmTimeout limits the calls that ask all instances before a request runs without a record.
	outageConfirmTimeout = 500 * time.Millisecond
)

func (n *Node) servePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.peerHTTP.Close() })
	defer stop()
	err := n.peerHTTP.Serve(n.peerListener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// runMembershipUpdates passes the current membership view to the peer links and the configuration sync.
func (n *Node) runMembershipUpdates(ctx context.Context) error {
	n.updateMembership()
	return wait.Every(ctx, membershipInterval, func(context.Context) { n.updateMembership() })
}

func (n *Node) updateMembership() {
	n.mu.Lock()
	snapshot := n.membership.Snapshot(time.Now())
	n.mu.Unlock()
	n.links.SetMembers(snapshot.Known)
	n.configSync.SetMembers(snapshot, snapshot.Topology())
}

// runStateBroadcast sends this instance's state to its peers every stateInterval, and at once when a request crashed
// a target.
func (n *Node) runStateBroadcast(ctx context.Context) error {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		n.broadcast()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.guard.Changes():
		case <-n.limits.Changes():
		}
	}
}

// sweepClaims removes the expired claims of instances that crashed. Only the holder of the usage lease does this,
// because it lists all claims.
func (n *Node) sweepClaims(ctx context.Context) error {
	return wait.Every(ctx, claimSweepInterval, func(ctx context.Context) {
		now := time.Now()
		if _, held := n.leases.usage.Held(now); !held {
			return
		}
		rows, err := n.platform.Table.List(ctx, claim.Prefix)
		if err != nil {
			return
		}
		if removed := n.claims.Sweep(rows, now); removed > 0 {
			n.log.Info().Int("claims", removed).Msg("expired claims removed")
		}
	})
}

func (n *Node) broadcast() {
	state, guardRevision := n.composeState()
	n.links.Broadcast(state)
	n.limits.Confirm(limitReportOf(state.Limits), time.Now())
	// Broadcast only queues the frame. The peers must have received it before the caller gets a failed response and
	// resends the request to one of them.
	time.AfterFunc(stateDeliveryDelay, func() { n.guard.MarkStateSent(guardRevision) })
}

func (n *Node) peerState() peer.State {
	state, _ := n.composeState()
	return state
}

// composeState returns the state to send to peers and the guard's revision to pass to MarkStateSent once it was sent.
func (n *Node) composeState() (peer.State, uint64) {
	now := time.Now()
	n.mu.Lock()
	n.stateSequence++
	sequence := n.stateSequence
	leaving := n.membership.Snapshot(now).Self.Leaving
	n.mu.Unlock()
	start := int(n.self.Start)
	state := peer.State{Instance: n.self.ID, Start: &start, Sequence: &sequence, Leaving: &leaving, EvidenceAgeMs: -1, Costs: n.admission.TakeDemandReport()}
	revision, age, ok := n.configSync.Evidence(now)
	state.Revision = revision
	if ok {
		state.EvidenceAgeMs = int(age.Milliseconds())
	}
	outageAge := -1
	if age, ok := n.configSync.StoreOutage(now); ok {
		outageAge = int(age.Milliseconds())
		n.claims.NoteOutage(now.Add(-age))
	}
	state.StoreOutageAgeMs = &outageAge
	var guardRevision uint64
	state.Crashes, state.Quarantined, guardRevision = n.guard.State(now)
	state.Limits = n.limitReport(now)
	return state, guardRevision
}

// recordContact updates the membership view and the configuration sync after a contact with a peer.
func (n *Node) recordContact(c peer.Contact) {
	instance := c.Instance
	instance.Leaving = c.State.Leaving != nil && *c.State.Leaving
	n.mu.Lock()
	isCurrent := n.membership.RecordContact(c.ComposedAfter, instance)
	n.mu.Unlock()
	if isCurrent {
		n.configSync.RecordLinkContact(c)
	}
}

// receivedState is the last state of a peer with its arrival time.
type receivedState struct {
	state peer.State
	at    time.Time
}

func (n *Node) mergeState(state peer.State) {
	now := time.Now()
	n.mu.Lock()
	n.peers[state.Instance] = receivedState{state, now}
	n.mu.Unlock()
	n.admission.ApplyPeerState(state, now)
	n.guard.Merge(state, now)
	n.limits.ApplyReport(state.Instance, limitReportOf(state.Limits), now)
	n.limits.RecordRead(now)
	n.mergeOutage(state, now)
}

// mergeOutage passes the store outage that a peer reported to the claims. An age of 0 means that the
// outage is ongoing, and a negative one that the peer has seen no outage since it started.
func (n *Node) mergeOutage(state peer.State, now time.Time) {
	if state.StoreOutageAgeMs == nil || state.Start == nil {
		return
	}
	ended := now.Add(-time.Duration(*state.StoreOutageAgeMs) * time.Millisecond)
	if *state.StoreOutageAgeMs < 0 {
		n.claims.NoOutageSince(time.Unix(0, int64(*state.Start)))
		return
	}
	n.claims.NoteOutage(ended)
	n.claims.NoOutageSince(ended)
}

// confirmOutageWithPeers reports the outage to every known instance and returns true if none of them has worked on the
// request. An instance that does not reply counts as one that has, because it may still reach the store.
func (n *Node) confirmOutageWithPeers(key string, now time.Time) bool {
	n.mu.Lock()
	instances := n.membership.Snapshot(now).Known
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), outageConfirmTimeout)
	defer cancel()
	var unconfirmed atomic.Bool
	var wg conc.WaitGroup
	for _, instance := range instances {
		if instance.ID == n.self.ID {
			continue
		}
		wg.Go(func() {
			reply, err := n.links.Call(ctx, instance.ID, peer.Call{Method: peer.MethodClaim, Body: key})
			if err != nil || reply.Status != http.StatusOK {
				unconfirmed.Store(true)
			}
		})
	}
	wg.Wait()
	return !unconfirmed.Load()
}

func (n *Node) handleCall(ctx context.Context, call peer.Call) peer.Reply {
	if call.Method == peer.MethodConfig {
		reply := n.configSync.ServeConfig()
		reply.ID = call.ID
		return reply
	}
	if call.Method == peer.MethodClaim {
		status := http.StatusOK
		if !n.claims.ConfirmUnclaimed(call.Body, time.Now()) {
			status = http.StatusConflict
		}
		return peer.Reply{ID: call.ID, Status: status}
	}
	return n.rollout.HandleCall(ctx, call)
}

// Call implements rollout.Peers.
func (p stepPeerCaller) Call(ctx context.Context, instance string, call peer.Call) (peer.Reply, error) {
	return p.node.links.Call(ctx, instance, call)
}

// runHeartbeat keeps this instance on the platform's instance list.
func (n *Node) runHeartbeat(ctx context.Context) error {
	return n.platform.Instances.Heartbeat(ctx, func() api.Instance {
		region := n.self.Region
		state := api.StateLive
		if n.server.Draining() {
			state = api.StateLeaving
		}
		return api.Instance{
			ID: n.self.ID, Role: api.RoleEntry, Region: &region, Zone: n.self.Zone, Address: n.self.Address, State: state,
		}
	})
}

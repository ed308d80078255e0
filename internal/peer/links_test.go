package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/member"
)

// fakeNetwork connects instances by in-memory pipes and can partition an instance. Its maps are keyed by address.
type fakeNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*pipeListener
	conns       map[string][]net.Conn
	partitioned map[string]bool
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: p.address} }

func (n *fakeNetwork) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	unreachable := l == nil || n.partitioned[from] || n.partitioned[to]
	n.mu.Unlock()
	if unreachable {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.closed: // the transport continues to dial after its request has ended
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[from] = append(n.conns[from], near)
	n.conns[to] = append(n.conns[to], near)
	return near, nil
}

// setPartitioned disconnects an instance from all others or lets it connect again.
func (n *fakeNetwork) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
	if partitioned {
		for _, c := range n.conns[address] {
			_ = c.Close()
		}
		n.conns[address] = nil
	}
}

type testNode struct {
	*Links
	mu       sync.Mutex
	contacts map[string]Contact
	configs  []Config
}

func (n *testNode) contact(id string) Contact {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contacts[id]
}

// runCluster runs n linked instances in virtual time. Instance i has the secrets secrets(i).
func runCluster(t *testing.T, n int, secrets func(i int) []string, f func(net *fakeNetwork, nodes []*testNode)) {
	synctest.Test(t, func(*testing.T) {
		network := &fakeNetwork{listeners: map[string]*pipeListener{}, conns: map[string][]net.Conn{}, partitioned: map[string]bool{}}
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		var nodes []*testNode
		var members []member.Instance
		var servers []*http.Server
		for i := range n {
			self := member.Instance{ID: fmt.Sprintf("i%02d", i), Address: fmt.Sprintf("i%02d:1", i), Region: "r", Start: 1}
			node, server := startNode(ctx, &wg, network, self, secrets(i))
			nodes = append(nodes, node)
			servers = append(servers, server)
			members = append(members, self)
		}
		synctest.Wait()
		for i, node := range nodes {
			node.SetMembers(members)
			served := i
			cost := TeamCost{Team: "t", Service: "s", Served: &served}
			node.Broadcast(State{Revision: 1, EvidenceAgeMs: 100 * i, Costs: []TeamCost{cost}})
		}
		time.Sleep(5 * time.Second)
		f(network, nodes)
		cancel()
		for _, server := range servers {
			_ = server.Close()
		}
		wg.Wait()
	})
}

func startNode(ctx context.Context, wg *conc.WaitGroup, network *fakeNetwork, self member.Instance, secrets []string) (*testNode, *http.Server) {
	dial := func(ctx context.Context, _, to string) (net.Conn, error) { return network.dial(ctx, self.Address, to) }
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	node := &testNode{contacts: map[string]Contact{}}
	node.Links = NewLinks(Options{Self: self, Secrets: secrets, Client: client, Log: zerolog.Nop()})
	node.OnContact(func(c Contact) {
		node.mu.Lock()
		defer node.mu.Unlock()
		node.contacts[c.Instance.ID] = c
	})
	node.OnConfig(func(_ string, c Config) {
		node.mu.Lock()
		defer node.mu.Unlock()
		node.configs = append(node.configs, c)
	})
	node.HandleCalls(func(_ context.Context, c Call) Reply { return Reply{Status: 200, Body: self.ID + " got " + c.Body} })
	listener := &pipeListener{address: self.Address, conns: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[self.Address] = listener
	server := &http.Server{Handler: node.Handler()}
	wg.Go(func() { _ = server.Serve(listener) })
	wg.Go(func() { _ = node.Run(ctx) })
	return node, server
}

func sameSecret(int) []string { return []string{"s"} }

// Guards against states and costs that do not reach an instance or whose age is wrong, in a full mesh and through
// relays.
func TestStatesReachAllInstances(t *testing.T) {
	for _, n := range []int{2, 9, 27} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runCluster(t, n, sameSecret, func(_ *fakeNetwork, nodes []*testNode) {
				limit := member.ContactTimeout
				if n > member.MaxMeshSize {
					limit = member.RelayedContactTimeout
				}
				for i, a := range nodes {
					for j, b := range nodes {
						if i == j {
							continue
						}
						c := a.contact(b.opts.Self.ID)
						if age := time.Since(c.ComposedAfter); age < 0 || age > limit {
							t.Errorf("last contact of instance %d with %d was %v ago, want at most %v", i, j, age, limit)
						}
						if costs := c.State.Costs; len(costs) != 1 || costs[0].Team != "t" || costs[0].Service != "s" || *costs[0].Served != j {
							t.Errorf("instance %d received costs %+v of instance %d", i, costs, j)
						}
						// Evidence was 100*j ms old when the state was set 5 s ago.
						if age := time.Since(c.EvidenceAt); age < 5*time.Second+time.Duration(100*j)*time.Millisecond {
							t.Errorf("instance %d computes the age of instance %d's evidence as %v, which is too low", i, j, age)
						}
					}
					if want := a.Topology().Links; len(a.LinkedIDs()) < len(want) {
						t.Errorf("instance %d has links to %v, want %v", i, a.LinkedIDs(), want)
					}
				}
				reply, err := nodes[0].Call(context.Background(), nodes[n-1].opts.Self.ID, Call{Method: MethodStatus, Body: "x"})
				if err != nil || !strings.HasSuffix(reply.Body, " got x") {
					t.Errorf("call: %+v, %v", reply, err)
				}
			})
		})
	}
}

// Guards against links between instances without a common secret, and against links that fail during a rotation of
// secrets.
func TestLinksRequireCommonSecret(t *testing.T) {
	secrets := [][]string{{"old"}, {"new", "old"}, {"old", "new"}, {"other"}}
	runCluster(t, len(secrets), func(i int) []string { return secrets[i] }, func(_ *fakeNetwork, nodes []*testNode) {
		for i, want := range []int{1, 1, 2, 0} {
			if got := len(nodes[i].LinkedIDs()); got != want {
				t.Errorf("instance %d with secrets %v has links to %v, want %d", i, secrets[i], nodes[i].LinkedIDs(), want)
			}
		}
	})
}

// Guards against contact that is still reported during a network partition, and against links that are not
// reestablished after it.
func TestPartitionAndReconnect(t *testing.T) {
	runCluster(t, 3, sameSecret, func(network *fakeNetwork, nodes []*testNode) {
		network.setPartitioned("i00:1", true)
		time.Sleep(time.Minute)
		if age := time.Since(nodes[1].contact("i00").ComposedAfter); age < time.Minute {
			t.Errorf("contact %v ago with an instance that was partitioned for a minute", age)
		}
		_, err := nodes[1].Call(shortContext(t), "i00", Call{Method: MethodStatus})
		if !errors.Is(err, ErrNoLink) {
			t.Errorf("call to a partitioned instance: %v, want ErrNoLink", err)
		}
		network.setPartitioned("i00:1", false)
		time.Sleep(maxBackoff + handshakeTimeout + time.Second)
		if age := time.Since(nodes[1].contact("i00").ComposedAfter); age > member.ContactTimeout {
			t.Errorf("no contact for %v after the partition ended", age)
		}
	})
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a configuration that is sent again to peers that already have it.
func TestPushConfigOnce(t *testing.T) {
	runCluster(t, 3, sameSecret, func(_ *fakeNetwork, nodes []*testNode) {
		config := Config{Revision: 2, Body: strings.Repeat("x", 100<<10)}
		first := nodes[0].PushConfig(config)
		again := nodes[0].PushConfig(config)
		synctest.Wait()
		if first != 2 || again != 0 || len(nodes[1].configs) != 1 || nodes[1].configs[0] != config {
			t.Errorf("pushed to %d, then %d peers; a peer received %d configurations", first, again, len(nodes[1].configs))
		}
	})
}

// Guards against a peer that stops reading and thereby delays frames to other peers.
func TestSlowPeerIsDisconnected(t *testing.T) {
	k := newLink(NewLinks(Options{}), nil, member.Instance{ID: "p"}, true)
	for range sendQueueLength {
		if !k.send([]byte{1}) {
			t.Fatal("frame not queued although the send queue is not full")
		}
	}
	if k.send([]byte{1}) {
		t.Error("frame queued although the send queue is full")
	}
	if reason := *k.disconnectReason.Load(); reason != "send queue full" {
		t.Errorf("link ended because of %q", reason)
	}
}

// Guards against states that seem recent although they waited in a buffer while a process was paused. The age must
// count from the echoed time and not from the arrival.
func TestStateAgeOfDelayedFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLinks(Options{Self: member.Instance{ID: "a"}})
		var got []Contact
		l.OnContact(func(c Contact) { got = append(got, c) })
		k := newLink(l, nil, member.Instance{ID: "b"}, true)
		echo := l.clock()
		echoedAt := time.Now()
		time.Sleep(time.Minute)
		start := 1
		relayed := State{Instance: "c", Start: &start, Revision: 2}
		frame := envelope{
			Frame:   Frame{State: &State{Instance: "b", Revision: 2, EvidenceAgeMs: 500}},
			Echo:    echo,
			Relayed: []relayedState{{State: &relayed, Revision: 2, AgeMs: 1000, EvidenceAgeMs: 3000}},
		}
		withoutEcho := frame
		withoutEcho.Echo = 0
		for _, e := range []envelope{withoutEcho, frame} {
			if err := k.receive(t.Context(), e, nil); err != nil {
				t.Fatal(err)
			}
		}
		if len(got) != 2 {
			t.Fatalf("%d contacts, want 2: a frame without an echo must be ignored", len(got))
		}
		for i, want := range []struct{ contact, evidence time.Duration }{{0, 500 * time.Millisecond}, {time.Second, 3 * time.Second}} {
			if c := got[i]; echoedAt.Sub(c.ComposedAfter) != want.contact || echoedAt.Sub(c.EvidenceAt) != want.evidence {
				t.Errorf("contact %v and evidence %v before the echoed time, want %+v", echoedAt.Sub(c.ComposedAfter), echoedAt.Sub(c.EvidenceAt), want)
			}
		}
		frame.Echo = l.clock() + 1
		if err := k.receive(t.Context(), frame, nil); err == nil {
			t.Error("frame with an echo from the future accepted")
		}
	})
}

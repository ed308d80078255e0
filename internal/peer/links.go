package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/member"
)

const (
	// StateInterval is the time between two state frames on a link while nothing changes.
	StateInterval = time.Second
	// heartbeatInterval is the time between two periodic frames on a link, which are state frames and heartbeats in
	// turn. At half the state interval, the bound on the age of a peer's last frame stays below member.ContactTimeout.
	heartbeatInterval = StateInterval / 2
	// receiveTimeout is the time without a received frame after which a link is disconnected, so that it is dialled
	// again.
	receiveTimeout = 5 * time.Second
	writeTimeout   = 2 * time.Second
	// sendQueueLength limits the frames that wait to be sent on one link. A peer that falls further behind is
	// disconnected.
	sendQueueLength = 64
	// maxConcurrentCalls limits the calls that run at once for all peers together.
	maxConcurrentCalls = 256
)

var (
	// ErrNoLink reports that a call was not sent.
	ErrNoLink = errors.New("no link to the instance")
	// ErrLinkLost reports that the link ended after a call was sent; the peer may have run it.
	ErrLinkLost = errors.New("link ended before the reply")
)

// Options configure the links of one instance.
type Options struct {
	Self    member.Instance
	Version string
	// Secrets authenticate links. The first is sent and all are accepted, so that a secret can be rotated without
	// downtime.
	Secrets []string
	// Client dials peers; nil selects a client without a proxy.
	Client *http.Client
	// Scheme is "ws" or "wss".
	Scheme string
	Log    zerolog.Logger
}

// Contact is a peer's state together with a lower bound on the time at which the peer composed it.
type Contact struct {
	// Instance identifies the peer and its process by ID and Start. Address, zone and region are set only if Direct is
	// true.
	Instance member.Instance
	// Direct reports that the state came from the peer itself and not through a relay.
	Direct bool
	// ComposedAfter is a time on this instance's clock before which the peer had not composed the state: the peer was
	// alive, with this revision in force, at that time or later.
	ComposedAfter time.Time
	// EvidenceAt is the time of the peer's last evidence, or an earlier one; zero when it has none.
	EvidenceAt time.Time
	// State is the peer's state; ages in it are as of ComposedAfter.
	State State
}

// Links holds the links of one instance to its peers.
type Links struct {
	opts         Options
	start        time.Time
	callSlots    chan struct{}
	wakeMaintain chan struct{}

	onState    func(State)
	onContact  func(Contact)
	onConfig   func(from string, config Config)
	handleCall func(context.Context, Call) Reply

	mu            sync.Mutex      // guards the fields below; wg.Go is called with it held
	ctx           context.Context // of all goroutines of links; nil unless Run is running
	wg            conc.WaitGroup
	links         map[string]*link // this and the following maps are keyed by instance ID
	dialling      map[string]bool
	members       map[string]member.Instance
	topology      member.Topology
	groupMembers  map[string]bool
	onDemandUntil map[string]time.Time
	lastStates    map[string]receivedState
	ownState      broadcastState
}

// broadcastState is the state that this instance sends to its peers.
type broadcastState struct {
	state State
	isSet bool
	setAt time.Time
}

// NewLinks returns links that are not running yet. OnState, OnContact, OnConfig and HandleCalls must be called before
// Run.
func NewLinks(opts Options) *Links {
	if opts.Scheme == "" {
		opts.Scheme = "ws"
	}
	if opts.Client == nil {
		// The transport does not cancel a dial when its request ends, so the dialer has a timeout of its own.
		dialer := &net.Dialer{Timeout: handshakeTimeout}
		opts.Client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	}
	return &Links{
		opts:          opts,
		start:         time.Now(),
		callSlots:     make(chan struct{}, maxConcurrentCalls),
		wakeMaintain:  make(chan struct{}, 1),
		onState:       func(State) {},
		onContact:     func(Contact) {},
		onConfig:      func(string, Config) {},
		handleCall:    func(context.Context, Call) Reply { return Reply{Status: http.StatusNotImplemented} },
		links:         make(map[string]*link),
		dialling:      make(map[string]bool),
		members:       make(map[string]member.Instance),
		onDemandUntil: make(map[string]time.Time),
		lastStates:    make(map[string]receivedState),
	}
}

// OnState sets the function that receives peers' states, direct and relayed. Ages in a state are upper bounds at the
// time of the call. The function must not block.
func (l *Links) OnState(f func(State)) { l.onState = f }

// OnContact sets the function that receives states together with their time bound. It must not block.
func (l *Links) OnContact(f func(Contact)) { l.onContact = f }

// OnConfig sets the function that receives pushed configurations and the ID of the pushing instance. It must not
// block.
func (l *Links) OnConfig(f func(from string, config Config)) { l.onConfig = f }

// HandleCalls sets the function that serves peers' calls. Its context ends with the link.
func (l *Links) HandleCalls(f func(context.Context, Call) Reply) { l.handleCall = f }

// SetMembers sets the known instances from which the links are computed. The list may include this instance.
func (l *Links) SetMembers(members []member.Instance) {
	snapshot := member.Snapshot{Self: l.opts.Self}
	byID := make(map[string]member.Instance, len(members))
	for _, m := range members {
		if m.ID != l.opts.Self.ID {
			byID[m.ID] = m
			snapshot.Known = append(snapshot.Known, m)
		}
	}
	snapshot.Known = append(snapshot.Known, l.opts.Self)
	topology := snapshot.Topology()
	groupMembers := make(map[string]bool, len(topology.Members))
	for _, id := range topology.Members {
		groupMembers[id] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = byID
	l.topology = topology
	l.groupMembers = groupMembers
	l.wakeMaintenance()
}

// Topology returns the topology computed from the members that were set last.
func (l *Links) Topology() member.Topology {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.topology
}

// Run maintains the links until ctx ends. It then sends each peer a bye frame, disconnects and waits for all
// goroutines.
func (l *Links) Run(ctx context.Context) error {
	linksCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.mu.Lock()
	l.ctx = linksCtx
	l.mu.Unlock()
	l.maintain(ctx)
	l.disconnectAll()
	l.mu.Lock()
	l.ctx = nil
	l.mu.Unlock()
	cancel()
	l.wg.Wait()
	return errors.WithStack(ctx.Err())
}

func (l *Links) disconnectAll() {
	l.mu.Lock()
	open := l.openLinks()
	l.mu.Unlock()
	var wg conc.WaitGroup
	for _, k := range open {
		wg.Go(k.disconnectWithBye)
	}
	wg.Wait()
}

// maintain opens and closes links, and sends the periodic frames, until ctx ends.
func (l *Links) maintain(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		l.updateLinks()
		select {
		case <-ctx.Done():
			return
		case <-l.wakeMaintain:
		case <-ticker.C:
			l.sendPeriodicFrames(tick%2 == 0)
		}
	}
}

// wakeMaintenance makes the maintenance goroutine update the links now.
func (l *Links) wakeMaintenance() {
	select {
	case l.wakeMaintain <- struct{}{}:
	default:
	}
}

// goWithContext runs f on a goroutine that Run waits for. It returns false if Run is not running.
func (l *Links) goWithContext(f func(ctx context.Context)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx := l.ctx
	if ctx == nil {
		return false
	}
	l.wg.Go(func() { f(ctx) })
	return true
}

// openLinks returns all links. The caller holds the mutex.
func (l *Links) openLinks() []*link {
	open := make([]*link, 0, len(l.links))
	for _, k := range l.links {
		open = append(open, k)
	}
	return open
}

// LinkedIDs returns the IDs of the directly linked instances.
func (l *Links) LinkedIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]string, 0, len(l.links))
	for id := range l.links {
		list = append(list, id)
	}
	return list
}

// register makes k the link to its peer and reports whether it did. Of two links between the same two instances, the
// one that the instance with the smaller ID dialled is kept, so that both ends keep the same one.
func (l *Links) register(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return false
	}
	old := l.links[k.peer.ID]
	if old != nil && old.peer.Start == k.peer.Start && old.isDialledBySmallerID() && !k.isDialledBySmallerID() {
		return false
	}
	if old != nil && old.peer.Start > k.peer.Start {
		return false
	}
	l.links[k.peer.ID] = k
	if old != nil {
		old.disconnect("replaced by another link")
	}
	return true
}

func (l *Links) unregister(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer.ID] == k {
		delete(l.links, k.peer.ID)
	}
	l.wakeMaintenance()
}

func closeQuietly(conn *websocket.Conn) { _ = conn.CloseNow() }

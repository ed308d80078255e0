// Package node creates the components of one entry instance, connects them and runs them.
package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/egretspar/egretspar/internal/admission"
	"github.com/egretspar/egretspar/internal/certs"
	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/confsync"
	"github.com/egretspar/egretspar/internal/entry"
	"github.com/egretspar/egretspar/internal/forward"
	"github.com/egretspar/egretspar/internal/key"
	"github.com/egretspar/egretspar/internal/lease"
	"github.com/egretspar/egretspar/internal/member"
	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/order"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/platform"
	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/provider"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/rollout"
	"github.com/egretspar/egretspar/internal/routing"
	"github.com/egretspar/egretspar/internal/settings"
	"github.com/egretspar/egretspar/internal/step"
	"github.com/egretspar/egretspar/internal/strictclient"
	"github.com/egretspar/egretspar/internal/target"
	"github.com/egretspar/egretspar/internal/targetlimit"
	"github.com/egretspar/egretspar/internal/telemetry"
	"github.com/egretspar/egretspar/internal/usage"
	"github.com/egretspar/egretspar/internal/weights"
)

// Node is one entry instance.
type Node struct {
	settings *settings.Settings
	log      zerolog.Logger
	metrics  *telemetry.Metrics
	self     member.Instance
	certs    *certs.Store

	platform      *platform.Client
	links         *peer.Links
	peerHTTP      *http.Server
	peerListener  net.Listener
	configSync    *confsync.Sync
	router        *routing.Router
	guard         *retry.Guard
	limits        *targetlimit.Table
	admission     *admission.Controller
	forwarder     *forward.Forwarder
	claims        *claim.Claims
	rollout       *rollout.Service
	provider      *provider.Provider
	loadWatcher   *provider.LoadWatcher
	orderWorker   *order.Worker
	weightsWorker *weights.Worker
	usageWorker   *usage.Worker
	usageMeter    *usage.Meter
	leases        leases
	server        *entry.Server

	mu            sync.Mutex
	membership    *member.View
	targets       []target.Target
	stateSequence int
	// peers holds the last state received from each peer by instance id, for demand and status.
	peers map[string]receivedState
	doc   *config.Document
	// keyring holds the keys and routes of the configuration in force; forwarding uses it to strip credentials.
	keyring atomic.Pointer[key.Keyring]

	drainOnce      sync.Once
	drainRequested chan struct{}
}

// leases are the leases of the region; at most one instance at a time holds each of them.
type leases struct {
	order   *lease.Lease
	usage   *lease.Lease
	weights *lease.Lease
}

// New creates an instance and opens its listeners. Run starts it.
func New(ctx context.Context, s *settings.Settings, log zerolog.Logger) (*Node, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, metrics: metrics, drainRequested: make(chan struct{}), peers: map[string]receivedState{}, doc: &config.Document{}}
	n.keyring.Store(key.NewKeyring(&config.Document{}))
	var lc net.ListenConfig
	if n.peerListener, err = lc.Listen(ctx, "tcp", s.Instance.PeerListen); err != nil {
		return nil, errors.WithStack(err)
	}
	n.self = member.Instance{
		ID: s.Instance.ID, Address: advertisedAddress(s.Instance.PeerAdvertise, n.peerListener), Zone: s.Instance.Zone, Region: s.Instance.Region,
		Start: time.Now().UnixNano(),
	}
	n.membership = member.NewView(n.self)
	if err := n.loadCerts(); err != nil {
		return nil, err
	}
	n.platform = platform.New(platform.Options{
		URL: s.Platform.URL, Token: optional.Value(s.Platform.Token), Timeout: time.Duration(s.Platform.TimeoutMs) * time.Millisecond, Counter: metrics,
	})
	n.initCoordination()
	n.initRequestPath()
	if err := n.initServers(ctx); err != nil {
		return nil, err
	}
	n.subscribe()
	return n, n.registerGauges()
}

// advertisedAddress returns the address that peers connect to. A configured port of 0 is replaced by the port of the
// listener.
func advertisedAddress(address string, listener net.Listener) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, port, err = net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}

// initCoordination creates the components that work with peers and the platform: peer links, configuration sync,
// leases and usage.
func (n *Node) initCoordination() {
	n.links = peer.NewLinks(n.linkOptions())
	n.configSync = confsync.New(confsync.Options{
		Self:  n.self.ID,
		Store: confsync.Store{Table: n.platform.Table, Objects: n.platform.Objects},
		Peers: confsync.LinkPeers{Links: n.links, State: n.peerState},
		Validate: func(body []byte) (*config.Document, error) {
			return config.Parse("configuration", body)
		},
		Log: n.log,
	})
	newLease := func(name string) *lease.Lease {
		return lease.New(lease.Options{Name: name, Holder: n.self.ID, Run: n.self.Start, Table: n.platform.Table, Log: n.log})
	}
	n.leases = leases{order: newLease("order"), usage: newLease("usage"), weights: newLease("weights")}
	n.usageMeter = usage.NewMeter(n.self.ID)
	n.usageWorker = usage.NewWorker(usage.Options{
		Instance: n.self.ID, Meter: n.usageMeter, Table: n.platform.Table, Objects: n.platform.Objects, Intake: n.platform.Intake,
		Lease: n.leases.usage, Log: n.log,
	})
}

// initRequestPath creates the components that admit, route and forward requests and steps, and those that maintain the
// targets.
func (n *Node) initRequestPath() {
	now := time.Now()
	n.router = routing.NewRouter(n.self.Zone, uint64(n.self.Start), now)
	n.guard = retry.NewGuard(n.self.ID)
	n.admission = admission.NewController(n.self.ID, time.Now)
	budget := retry.NewBudget(retry.RetryPolicy)
	n.limits = targetlimit.NewTable(n.self.ID)
	picker := &limitedPicker{limits: n.limits, next: &guardedPicker{router: n.router, guard: n.guard, budget: budget}}
	n.forwarder = forward.New(forward.Options{
		Picker:            picker,
		Budget:            retryBudget{budget},
		Counter:           n.metrics,
		StripCredentials:  n.stripHeader,
		Limits:            forward.DefaultLimits(),
		ObserveLateUpload: func(end forward.UploadEnd) { n.metrics.CountLateUpload(string(end)) },
		Dialect: forward.Dialect{ObserveResponse: func(request *http.Request, response *http.Response, sentAt time.Time) {
			n.observeLimit(request.URL.Scheme+"://"+request.URL.Host, response.Header, sentAt)
		}},
	})
	n.claims = claim.New(n.platform.Table, n.metrics, now)
	n.claims.SetUnrecordedCheck(n.confirmOutageWithPeers)
	n.rollout = rollout.New(rollout.Options{
		Instance:   n.self.ID,
		Generator:  &admittedGenerator{admission: n.admission, generate: n.forwarder.Generate},
		Scorer:     &scorer{admission: n.admission, picker: picker, checkAccess: n.checkAccess, observeLimit: n.observeLimit, http: &http.Client{Transport: strictclient.Transport(&http.Transport{})}},
		Objects:    n.platform.Objects,
		Peers:      stepPeerCaller{n},
		Usage:      n.usageMeter,
		Counter:    n.metrics,
		Log:        n.log,
		Stragglers: step.DefaultPredictive(),
	})
	n.weightsWorker = weights.NewWorker(weights.Options{
		Store: n.platform.Weights, Engines: weights.HTTPEngines{Client: &http.Client{Transport: strictclient.Transport(&http.Transport{})}},
		Term: func() (int, bool) {
			term, held := n.leases.weights.Held(time.Now())
			return int(term), held
		},
		Counter: n.metrics, Log: n.log,
	})
	n.orderWorker = order.NewWorker(order.Options{
		Instance: n.self.ID, Table: n.platform.Table, Orders: n.platform.Orders, Instances: n.platform.Instances,
		Lease: n.leases.order, Demand: n.demand, Log: n.log,
	})
	n.provider = provider.New(n.platform.Instances, provider.Sink{OnTargets: n.setTargets, OnInstanceList: n.applyInstanceList}, n.log)
	n.loadWatcher = provider.NewLoadWatcher(n.router, n.log)
}

// retryBudget allows retries while they are a small share of first attempts.
type retryBudget struct{ *retry.Budget }

// AllowRetry implements forward.Budget.
func (b retryBudget) AllowRetry(team, targetID string, now time.Time) bool {
	return b.TryTake(team, targetID, now)
}

// initServers creates the HTTP servers for callers and for peers.
func (n *Node) initServers(ctx context.Context) error {
	var err error
	n.server, err = entry.Listen(ctx, entry.Options{
		Listen: n.settings.Instance.Listen, TLS: n.callerTLS(), AdminToken: n.settings.Admin.Token,
		Config: n.configSync, Forwarder: n.forwarder, Admission: n.admission, Claims: n.claims, Steps: n.rollout, Usage: n.usageMeter,
		Status: n.status, RequestDrain: n.RequestDrain, Metrics: n.metrics, Log: n.log,
	})
	if err != nil {
		return err
	}
	n.peerHTTP = &http.Server{Handler: n.links.Handler(), ReadHeaderTimeout: peerHeaderTimeout}
	return nil
}

// subscribe registers the handlers for configuration revisions and for messages from peers. A revision counts as in
// force only after the configuration handler has returned.
func (n *Node) subscribe() {
	n.configSync.Subscribe(func(doc *config.Document, revision int) {
		n.mu.Lock()
		n.doc = doc
		n.mu.Unlock()
		n.keyring.Store(key.NewKeyring(doc))
		n.admission.ApplyConfig(doc)
		n.provider.ApplyConfig(doc)
		n.propagateTargets()
		n.usageWorker.ApplyConfig(doc)
		n.orderWorker.ApplyConfig(doc)
		n.rollout.ApplyConfig(doc)
		n.server.ApplyConfig(doc, revision)
	})
	n.links.OnConfig(func(_ string, c peer.Config) { n.configSync.QueuePushed(c.Revision, []byte(c.Body)) })
	n.links.OnContact(n.recordContact)
	n.links.OnState(n.mergeState)
	n.links.HandleCalls(n.handleCall)
}

func (n *Node) stripHeader(h http.Header) {
	n.keyring.Load().StripHeader(h)
}

// checkAccess returns nil if the team may use the service under the configuration in force.
func (n *Node) checkAccess(team, service string) *outcome.Refusal {
	return n.keyring.Load().CheckAccess(team, service)
}

// Address returns the address that callers and operators connect to.
func (n *Node) Address() string { return n.server.Address() }

// Server returns the HTTP server, for tests and the demo.
func (n *Node) Server() *entry.Server { return n.server }

// RequestDrain starts a graceful shutdown; Run returns when it is complete.
func (n *Node) RequestDrain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// Run runs the instance until ctx ends or a graceful shutdown is complete. When ctx ends, the instance stops
// at once without draining; RequestDrain starts a graceful shutdown.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, run := range []func(context.Context) error{
		n.servePeers, n.links.Run, n.configSync.Run, n.provider.Run, n.loadWatcher.Run, n.forwarder.Run, n.claims.Run, n.rollout.Run, n.weightsWorker.Run, n.orderWorker.Run,
		n.usageWorker.Run, n.leases.order.Run, n.leases.usage.Run, n.leases.weights.Run,
		n.server.Run, n.runMembershipUpdates, n.runStateBroadcast, n.runHeartbeat, n.sweepClaims,
	} {
		p.Go(run)
	}
	p.Go(func(ctx context.Context) error {
		select {
		case <-n.drainRequested:
			n.drain(ctx)
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	n.log.Info().Str("instance", n.self.ID).Str("zone", n.self.Zone).Str("address", n.Address()).Msg("instance started")
	err := p.Wait()
	n.log.Info().Str("instance", n.self.ID).Msg("instance stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shutdownWriteTimeout limits the platform calls of a graceful shutdown (lease releases, and the last usage and claims
// after the last request), so that an outage of the platform does not delay it. A lease that is not released expires.
const shutdownWriteTimeout = 5 * time.Second

// drain performs a graceful shutdown. It announces that this instance leaves, turns readiness off, waits for running
// requests and steps while it releases the leases, and then flushes usage and claims to the platform.
func (n *Node) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Instance.DrainSeconds)*time.Second)
	defer cancel()
	n.log.Info().Msg("drain started")
	n.mu.Lock()
	n.membership.SetLeaving(true)
	n.mu.Unlock()
	n.broadcast()
	p := pool.New().WithErrors()
	p.Go(func() error { return errors.Wrap(n.server.Drain(ctx), "drain running requests") })
	p.Go(func() error { return errors.Wrap(n.rollout.Drain(ctx), "drain steps") })
	p.Go(func() error { return n.releaseLeases(ctx) })
	n.warnOnError(p.Wait(), "drain incomplete")
	n.flushAndDeregister(ctx)
	n.warnOnError(n.server.Shutdown(ctx), "connections interrupted by shutdown")
	n.log.Info().Msg("drain complete")
}

func (n *Node) releaseLeases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownWriteTimeout)
	defer cancel()
	p := pool.New().WithErrors()
	for _, l := range []*lease.Lease{n.leases.order, n.leases.usage, n.leases.weights} {
		p.Go(func() error { return errors.Wrap(l.Release(ctx), "release lease") })
	}
	return p.Wait()
}

// flushAndDeregister writes the last usage and claims and removes this instance from the platform's instance list.
func (n *Node) flushAndDeregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownWriteTimeout)
	defer cancel()
	n.warnOnError(n.usageWorker.Drain(ctx), "usage not written")
	if unwritten := n.claims.Flush(ctx, time.Now()); unwritten > 0 {
		n.log.Warn().Int("claims", unwritten).Msg("claims not written")
	}
	n.warnOnError(n.platform.Instances.Leave(ctx, n.self.ID), "instance not removed from the instance list")
}

// warnOnError logs the message with err if err is not nil.
func (n *Node) warnOnError(err error, message string) {
	if err != nil {
		n.log.Warn().Err(err).Msg(message)
	}
}

func (n *Node) setTargets(targets []target.Target) {
	n.mu.Lock()
	n.targets = targets
	n.mu.Unlock()
	n.router.SetTargets(targets)
	n.propagateTargets()
}

// propagateTargets updates the components that depend on both the targets and the configuration: the load watcher, the
// weights worker and admission.
func (n *Node) propagateTargets() {
	n.mu.Lock()
	doc, targets := n.doc, n.targets
	n.mu.Unlock()
	engines := slices.DeleteFunc(slices.Clone(targets), func(t target.Target) bool {
		service, ok := doc.Service(t.Service)
		return !ok || service.Type != config.TypeEngine
	})
	n.loadWatcher.SetTargets(engines)
	n.weightsWorker.SetTargets(engines)
	slots := map[string]int{}
	for _, t := range targets {
		if !t.Draining {
			slots[t.Service] += t.Slots
		}
	}
	for _, service := range doc.Services {
		n.admission.SetCapacity(service.Name, slots[service.Name])
	}
}

func (n *Node) applyInstanceList(listed []api.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.ApplyList(listed)
}

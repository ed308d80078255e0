package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/client"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/peer"
	platform "github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/step"
	"github.com/egretspar/egretspar/internal/wait"
)

// fakeStore is an in-memory object store that simulates outages and lost responses.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
	// loseResponses makes a write take effect but return an unknown result.
	loseResponses bool
}

// withStore runs a call unless the store is down.
func (m *fakeStore) withStore(call func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.ErrUnavailable
	}
	return call()
}

func (m *fakeStore) Put(_ context.Context, key string, data []byte) error {
	return m.withStore(func() error {
		if _, ok := m.objects[key]; ok {
			return platform.ErrConflict
		}
		m.objects[key] = data
		if m.loseResponses {
			return platform.ErrEffectUnknown
		}
		return nil
	})
}

func (m *fakeStore) Get(_ context.Context, key string) (data []byte, err error) {
	err = m.withStore(func() error {
		var ok bool
		if data, ok = m.objects[key]; !ok {
			return platform.ErrNotFound
		}
		return nil
	})
	return data, err
}

func (m *fakeStore) List(_ context.Context, prefix string) (keys []string, err error) {
	err = m.withStore(func() error {
		for key := range m.objects {
			if strings.HasPrefix(key, prefix) {
				keys = append(keys, key)
			}
		}
		return nil
	})
	return keys, err
}

func (m *fakeStore) setFaults(down, loseResponses bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.loseResponses = down, loseResponses
}

// cluster simulates instances, engines and a trainer's weight version in one process.
type cluster struct {
	mu      sync.Mutex
	rng     *rand.Rand
	names   []string
	nodes   map[string]*node
	store   *fakeStore
	version int
	// generatedTokens and running are counted by team.
	generatedTokens map[string]int
	running         map[string]int
	// faultRate is the probability that a token, a response to the trainer or a scoring call fails.
	faultRate  float64
	tokenDelay time.Duration
	// stallsTarget makes target e stall after two tokens of every fourth sequence.
	stallsTarget bool
	scoreCalls   int
	// seeds holds the seeds of all started sequences; changedSeeds counts continuations with another seed.
	seeds        map[int64]bool
	changedSeeds int
}

type node struct {
	c       *cluster
	name    string
	service *Service
	handler http.Handler
	stop    context.CancelFunc
	done    chan struct{}
	crashed bool
}

func testDoc() *config.Document {
	return &config.Document{
		Teams:    []config.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}},
		Services: []config.Service{{Name: "m", Type: config.TypeEngine, StalenessVersions: new(4)}},
		Routes:   []config.Route{{Service: "m", Teams: []string{"a", "b"}}},
		Targets:  []config.Target{{ID: "e", Service: "m", Slots: 32}},
	}
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 11)), nodes: map[string]*node{}, version: 5, tokenDelay: 20 * time.Millisecond,
		store: &fakeStore{objects: map[string][]byte{}}, generatedTokens: map[string]int{}, running: map[string]int{}, seeds: map[int64]bool{},
	}
	for i := range size {
		name := fmt.Sprintf("n%d", i)
		c.names = append(c.names, name)
		c.startNode(name)
	}
	return c
}

func (c *cluster) startNode(name string) {
	n := &node{c: c, name: name, done: make(chan struct{})}
	n.service = New(Options{
		Instance: name, Generator: c, Objects: c.store, Peers: n, Log: zerolog.Nop(), Stragglers: step.DefaultPredictive(),
	})
	router := httprouter.New()
	withTeam := func(h func(http.ResponseWriter, *http.Request, httprouter.Params, string)) httprouter.Handle {
		return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
			h(w, r, p, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
		}
	}
	router.POST("/v1/steps", withTeam(n.service.HandleOpen))
	router.POST("/v1/steps/:id/poll", withTeam(n.service.HandlePoll))
	router.DELETE("/v1/steps/:id", withTeam(n.service.HandleCancel))
	n.handler = router
	n.service.ApplyConfig(testDoc())
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.done)
		_ = n.service.Run(ctx)
	}()
	withLock(c, func() int { c.nodes[name] = n; return 0 })
	// Steps can be opened only after Run has started. The benchmark has no virtual time, so poll for it.
	for started := false; !started; time.Sleep(time.Millisecond) {
		n.service.mu.Lock()
		started = n.service.runCtx != nil
		n.service.mu.Unlock()
	}
}

// withLock reads or changes the state of a cluster under its mutex.
func withLock[T any](c *cluster, work func() T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return work()
}

// runningGenerations waits until every goroutine is idle and returns the number of a team's running
// generations.
func (c *cluster) runningGenerations(team string) int {
	synctest.Wait()
	return withLock(c, func() int { return c.running[team] })
}

func (c *cluster) node(name string) *node {
	return withLock(c, func() *node { return c.nodes[name] })
}

// crash ends an instance without a drain; it no longer responds.
func (c *cluster) crash(name string) {
	n := c.node(name)
	withLock(c, func() bool { n.crashed = true; return true })
	n.stop()
	<-n.done
}

func (c *cluster) close() {
	for _, name := range c.names {
		c.crash(name)
	}
}

// Owner uses a fixed order and ignores crashes, like a membership view that lags.
func (n *node) Owner(key string) (string, bool) {
	owner := n.c.names[len(key)%len(n.c.names)]
	return owner, owner == n.name
}

// Successors starts with the owner.
func (n *node) Successors(key string) []string {
	at := len(key) % len(n.c.names)
	return append(slices.Clone(n.c.names[at:]), n.c.names[:at]...)
}

func (n *node) Call(ctx context.Context, instance string, call peer.Call) (peer.Reply, error) {
	to := n.c.node(instance)
	if n.c.isCrashed(to) {
		<-ctx.Done()
		return peer.Reply{}, ctx.Err()
	}
	return to.service.HandleCall(ctx, call), nil
}

func (c *cluster) isCrashed(n *node) bool {
	return withLock(c, func() bool { return n.crashed })
}

// RoundTrip serves http://<instance>/ without sockets, so that time stays virtual.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	n := c.node(r.URL.Host)
	if c.isCrashed(n) {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	n.handler.ServeHTTP(w, r)
	if c.isCrashed(n) || c.drawFault() {
		return nil, errors.New("response lost")
	}
	return w.Result(), nil
}

func (c *cluster) drawFault() bool {
	return withLock(c, func() bool { return c.rng.Float64() < c.faultRate })
}

func (c *cluster) trainerClient(team string) *client.Client {
	urls := make([]string, len(c.names))
	for i, name := range c.names {
		urls[i] = "http://" + name
	}
	return &client.Client{BaseURLs: urls, Key: team, HTTP: &http.Client{Transport: c}}
}

func (c *cluster) trainerVersion() int {
	return withLock(c, func() int { return c.version })
}

const tokensPerSample = 6

// versionToken returns the text of every token that the given weight version generates.
func versionToken(version int) string { return string(rune(0x100 + version)) }

// Generate simulates an engine whose tokens encode their weight version. A faulty engine breaks off, omits
// the version of a token or goes back to an older version.
func (c *cluster) Generate(ctx context.Context, g engine.Generation, chunk func(engine.Chunk) error) *outcome.Refusal {
	addRunning := func(n int) { withLock(c, func() int { c.running[g.Team] += n; return 0 }) }
	addRunning(1)
	defer addRunning(-1)
	withLock(c, func() int {
		if g.ResumeTokens > 0 && !c.seeds[g.Seed] {
			c.changedSeeds++
		}
		c.seeds[g.Seed] = true
		return 0
	})
	version := c.trainerVersion()
	stalls := c.stallsTarget && g.Seed%4 == 0 && !slices.Contains(g.Exclude, "e")
	for i := range tokensPerSample - g.ResumeTokens {
		pause := c.tokenDelay
		if stalls && i == 2 {
			pause = time.Hour
		}
		if !wait.Sleep(ctx, pause) {
			return outcome.Refuse(outcome.CallerDisconnected)
		}
		piece := engine.Chunk{Text: versionToken(version), Tokens: 1, Version: version, Target: "e"}
		if c.drawFault() {
			switch version % 3 {
			case 0:
				return outcome.Refuse(outcome.ResponseLost)
			case 1:
				piece.Text, piece.Version = "X", 0
			case 2:
				if i > 0 {
					piece.Text, piece.Version = "X", version-1
				}
			}
		}
		withLock(c, func() int { c.generatedTokens[g.Team]++; return 0 })
		if chunk(piece) != nil {
			return outcome.Refuse(outcome.CallerDisconnected)
		}
	}
	return nil
}

func testSpec(id string, groups, size int) api.StepSpec {
	spec := api.StepSpec{ID: id, Service: "m", SamplesPerGroup: size, MaxTokens: tokensPerSample, StalenessVersions: 2}
	for g := range groups {
		spec.Groups = append(spec.Groups, fmt.Sprintf("prompt %d", g))
	}
	return spec
}

// collector checks every sample that a trainer accepts.
type collector struct {
	t    *testing.T
	c    *cluster
	spec api.StepSpec
	got  map[[2]int]bool
	// version is the trainer's version that the client saw last.
	version int
}

func newCollector(t *testing.T, c *cluster, spec api.StepSpec) *collector {
	// Samples that were too old for the version at the start are too old for all later ones.
	return &collector{t: t, c: c, spec: spec, got: map[[2]int]bool{}, version: c.trainerVersion()}
}

func (k *collector) trainerVersion() int {
	k.version = k.c.trainerVersion()
	return k.version
}

func (k *collector) accept(s api.Sample) error {
	slot := [2]int{s.Group, s.Index}
	if k.got[slot] {
		k.t.Errorf("I3: step %s: slot %v was delivered twice", k.spec.ID, slot)
	}
	k.got[slot] = true
	wantText := ""
	for _, span := range s.Spans {
		wantText += strings.Repeat(versionToken(span.Version), span.Tokens)
		if k.version-span.Version > k.spec.StalenessVersions {
			k.t.Errorf("I2: step %s: sample of version %d delivered at trainer version %d", k.spec.ID, span.Version, k.version)
		}
	}
	if wantText != s.Text || len(s.Text) != 2*tokensPerSample {
		k.t.Errorf("I1: step %s: text %q does not match spans %v", k.spec.ID, s.Text, s.Spans)
	}
	return nil
}

func (k *collector) expectComplete() {
	k.t.Helper()
	if want := step.Slots(k.spec); len(k.got) != want {
		k.t.Errorf("step %s has %d of %d samples", k.spec.ID, len(k.got), want)
	}
}

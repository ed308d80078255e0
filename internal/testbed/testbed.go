// Package testbed runs an emulated platform, emulated targets and real entry instances in one process on loopback
// addresses, for the demo and for experiments.
package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/key"
	"github.com/egretspar/egretspar/internal/node"
	"github.com/egretspar/egretspar/internal/settings"
	"github.com/egretspar/egretspar/internal/standin"
	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/plain"
	"github.com/egretspar/egretspar/internal/standin/platform"
	"github.com/egretspar/egretspar/internal/wait"
	"github.com/egretspar/egretspar/opsconfig"
)

const (
	adminToken      = "testbed-operator-token"
	peerSecret      = "testbed-peer-secret-01"
	loopbackAnyPort = "127.0.0.1:0"
	readyTimeout    = 8 * time.Second
	pollInterval    = 50 * time.Millisecond
	drainSeconds    = 20
)

// EngineSpec describes the emulated engines of one service.
type EngineSpec struct {
	Service string
	Count   int
	Supply  opsconfig.Supply
	Options engine.Options
}

// PlainTargets describes the emulated targets of one plain service.
type PlainTargets struct {
	Service string
	Count   int
	Slots   int
	Options plain.Options
}

// Spec describes the services, entry instances and keys of a testbed.
type Spec struct {
	Seed      int64
	Zones     []string
	Instances int
	Platform  platform.Options
	Engines   []EngineSpec
	Plain     []PlainTargets
	// Keys maps the name of each key to generate to its team.
	Keys map[string]string
	Log  zerolog.Logger
}

// Target is one target as it is declared in the configuration.
type Target struct {
	ID, Service, URL, Zone string
	Slots                  int
	Supply                 opsconfig.Supply
}

// Instance is an entry instance that was started. Stopped is closed when it has stopped.
type Instance struct {
	ID      string
	URL     string
	Node    *node.Node
	Stopped chan struct{}
	cancel  context.CancelFunc
}

// Kill stops the instance without a drain, as a crash would, and waits until it has stopped.
func (i *Instance) Kill() {
	i.cancel()
	<-i.Stopped
}

// Testbed is a running testbed.
type Testbed struct {
	Platform  *platform.Platform
	Engines   map[string][]*engine.Engine
	Plain     map[string][]*plain.Service
	Targets   []Target
	Instances []*Instance
	Keys      map[string]key.Generated

	spec             Spec
	platformURL      string
	closers          []io.Closer
	instanceRuns     conc.WaitGroup
	cancel           context.CancelFunc
	ctx              context.Context
	startedInstances int
}

// Start starts the emulated services and the entry instances of a spec.
func Start(spec Spec) (*Testbed, error) {
	b := &Testbed{Engines: map[string][]*engine.Engine{}, Plain: map[string][]*plain.Service{}, Keys: map[string]key.Generated{}, spec: spec}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	if err := b.generateKeys(); err != nil {
		return nil, err
	}
	if err := b.startStandins(); err != nil {
		b.Close()
		return nil, err
	}
	for range spec.Instances {
		if _, err := b.StartInstance(); err != nil {
			b.Close()
			return nil, err
		}
	}
	return b, nil
}

// generateKeys generates the keys from the seed instead of a secure source, because the keys of a testbed do not
// protect anything.
func (b *Testbed) generateKeys() error {
	random := rand.New(rand.NewSource(b.spec.Seed))
	for name, team := range b.spec.Keys {
		generated, err := key.Generate(random, team)
		if err != nil {
			return err
		}
		b.Keys[name] = generated
	}
	return nil
}

// keySecrets returns the secret parts of the keys, which must not reach a target.
func (b *Testbed) keySecrets() []string {
	var secrets []string
	for _, k := range b.Keys {
		_, secret, _ := strings.Cut(k.Bearer, ".")
		secrets = append(secrets, secret)
	}
	return secrets
}

func (b *Testbed) startStandins() error {
	b.Platform = platform.New(b.spec.Platform)
	server, err := standin.Listen(loopbackAnyPort, b.Platform)
	if err != nil {
		return err
	}
	b.closers = append(b.closers, server)
	b.platformURL = server.URL()
	for _, group := range b.spec.Engines {
		for i := range group.Count {
			if err := b.startEngine(group, i); err != nil {
				return err
			}
		}
	}
	for _, group := range b.spec.Plain {
		for i := range group.Count {
			if err := b.startPlain(group, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// zone returns the availability zone of the i-th target or instance. The zones are assigned round-robin.
func (b *Testbed) zone(i int) string { return b.spec.Zones[i%len(b.spec.Zones)] }

func (b *Testbed) startEngine(group EngineSpec, i int) error {
	options := group.Options
	options.ID = fmt.Sprintf("%s-%d", group.Service, i)
	options.Seed += uint64(i)
	options.Secrets = b.keySecrets()
	e := engine.New(options)
	url, err := e.Listen(loopbackAnyPort)
	if err != nil {
		return err
	}
	b.closers = append(b.closers, e)
	b.Engines[group.Service] = append(b.Engines[group.Service], e)
	b.Targets = append(b.Targets, Target{options.ID, group.Service, url, b.zone(i), options.Slots, group.Supply})
	return nil
}

func (b *Testbed) startPlain(group PlainTargets, i int) error {
	options := group.Options
	options.ID = fmt.Sprintf("%s-%d", group.Service, i)
	options.Seed += uint64(i)
	options.Secrets = b.keySecrets()
	service := plain.New(options)
	server, err := standin.Listen(loopbackAnyPort, service)
	if err != nil {
		return err
	}
	b.closers = append(b.closers, server)
	b.Plain[group.Service] = append(b.Plain[group.Service], service)
	b.Targets = append(b.Targets, Target{options.ID, group.Service, server.URL(), b.zone(i), group.Slots, opsconfig.OnDemand})
	return nil
}

// StartInstance starts an additional entry instance in the next zone.
func (b *Testbed) StartInstance() (*Instance, error) {
	id := fmt.Sprintf("entry-%d", b.startedInstances)
	ctx, cancel := context.WithCancel(b.ctx)
	n, err := node.New(ctx, instanceSettings(id, b.zone(b.startedInstances), b.platformURL), b.spec.Log.With().Str("instance", id).Logger())
	if err != nil {
		cancel()
		return nil, err
	}
	b.startedInstances++
	instance := &Instance{ID: id, URL: "http://" + n.Address(), Node: n, Stopped: make(chan struct{}), cancel: cancel}
	b.Instances = append(b.Instances, instance)
	b.instanceRuns.Go(func() {
		defer close(instance.Stopped)
		defer cancel()
		if err := n.Run(ctx); err != nil {
			b.spec.Log.Error().Err(err).Str("instance", id).Msg("instance failed")
		}
	})
	return instance, nil
}

// Replace kills an instance and starts a new one.
func (b *Testbed) Replace(old *Instance) (*Instance, error) {
	old.Kill()
	b.Instances = slices.DeleteFunc(b.Instances, func(i *Instance) bool { return i == old })
	return b.StartInstance()
}

func instanceSettings(id, zone, platformURL string) *settings.Settings {
	return &settings.Settings{
		Kind: settings.Kind,
		Instance: settings.Instance{
			ID: id, Region: "brittany", Zone: zone, Listen: loopbackAnyPort, PeerListen: loopbackAnyPort, PeerAdvertise: loopbackAnyPort, DrainSeconds: drainSeconds,
		},
		Platform: settings.Platform{URL: platformURL, TimeoutMs: 1000},
		Peers:    settings.Peers{Secrets: []string{peerSecret}},
		Admin:    settings.Admin{Token: adminToken},
		Log:      &settings.Log{Level: settings.LevelInfo},
	}
}

// AddTargets adds all targets of the testbed to a configuration that declares their services.
func (b *Testbed) AddTargets(c *opsconfig.Builder, services map[string]opsconfig.Service) {
	for _, t := range b.Targets {
		options := []opsconfig.TargetOption{opsconfig.Slots(t.Slots)}
		if t.Supply != "" {
			options = append(options, opsconfig.Supplied(t.Supply))
		}
		c.Target(t.ID, services[t.Service], t.URL, t.Zone, options...)
	}
}

// Apply sends a configuration to the admin API of an instance, as an operator does.
func (b *Testbed) Apply(ctx context.Context, instance *Instance, revision int, body []byte) (*api.ApplyResult, error) {
	url := fmt.Sprintf("%s/admin/v1/config?revision=%d", instance.URL, revision)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+adminToken)
	request.Header.Set("Egretspar-Author", "testbed")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("apply configuration: %s: %s", response.Status, data)
	}
	var result api.ApplyResult
	return &result, errors.WithStack(json.Unmarshal(data, &result))
}

// ApplyInitialConfig applies the first configuration, with retries, and waits until the balancer sees every instance as
// ready.
func (b *Testbed) ApplyInitialConfig(ctx context.Context, balancer *Balancer, body []byte) (*api.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	result, err := b.Apply(ctx, b.Instances[0], 0, body)
	for err != nil {
		if !wait.Sleep(ctx, pollInterval) {
			return nil, errors.Wrap(err, "apply the first configuration")
		}
		result, err = b.Apply(ctx, b.Instances[0], 0, body)
	}
	for balancer.ReadyCount() < len(b.Instances) {
		if !wait.Sleep(ctx, pollInterval) {
			return nil, errors.Errorf("%d of %d instances ready after %s", balancer.ReadyCount(), len(b.Instances), readyTimeout)
		}
	}
	return result, nil
}

// Close stops the instances without a drain, and then the emulated services.
func (b *Testbed) Close() {
	b.cancel()
	b.instanceRuns.Wait()
	for _, s := range b.closers {
		_ = s.Close()
	}
	if b.Platform != nil {
		b.Platform.Close()
	}
}

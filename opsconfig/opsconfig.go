// Package opsconfig builds configurations in Go. Operators write their configuration as a program that prints it as
// the TOML that egretspar accepts:
//
//	b := opsconfig.New()
//	shop := b.Team("shop", opsconfig.Weight(2))
//	chat := b.EngineService("chat", opsconfig.Latency)
//	b.Route(chat, shop)
//	b.Main()
//
// The output is sorted by name. It does not depend on the order of calls, and diffs between revisions are readable.
package opsconfig

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/config"
)

// Class is the priority class of a service.
type Class = config.ServiceClass

// Priority classes of services. Requests of class Latency have priority over requests of class Training.
const (
	Latency  = config.ServiceClassLatency
	Training = config.ServiceClassTraining
)

// Supply is the purchase option of a target.
type Supply string

// Purchase options. Reclaimable targets are cheaper than OnDemand targets, but the platform can reclaim them with a
// notice of a few seconds.
const (
	OnDemand    Supply = "on_demand"
	Reclaimable Supply = "reclaimable"
)

// Team is a reference to a team in the configuration.
type Team struct{ name string }

// Service is a reference to a service in the configuration.
type Service struct{ name string }

// Builder collects the items of one configuration.
type Builder struct{ doc config.Document }

// New returns an empty configuration.
func New() *Builder { return &Builder{config.Document{Kind: config.Kind}} }

// TeamOption sets an optional field of a team.
type TeamOption func(*config.Team)

// Weight sets the weight of a team, which gives its share relative to other teams; the default is 1.
func Weight(weight int) TeamOption { return func(t *config.Team) { t.Weight = weight } }

// MaxConcurrency limits the requests of a team that are in progress at the same time, over all entry instances.
func MaxConcurrency(n int) TeamOption { return func(t *config.Team) { t.MaxConcurrency = n } }

// Leaving marks a team that is being removed. It can open no new steps and is billed for its last usage window.
func Leaving() TeamOption { return func(t *config.Team) { t.Leaving = true } }

// Team adds a team.
func (b *Builder) Team(name string, options ...TeamOption) Team {
	t := config.Team{Name: name}
	for _, option := range options {
		option(&t)
	}
	b.doc.Teams = append(b.doc.Teams, t)
	return Team{name}
}

// Key adds a key of a team. `egretspar key create` prints its id and hash; the secret never appears in a
// configuration.
func (b *Builder) Key(team Team, id, hash string) {
	b.doc.Keys = append(b.doc.Keys, config.Key{ID: id, Team: team.name, Hash: hash})
}

// ServiceOption sets an optional field of a service.
type ServiceOption func(*config.Service)

// QueueLimit limits the requests that wait in the queue of one entry instance. n must be at least 1.
func QueueLimit(n int) ServiceOption { return func(s *config.Service) { s.QueueLimit = n } }

// Timeout limits the time from the arrival of a request to the end of its response.
func Timeout(d time.Duration) ServiceOption {
	return func(s *config.Service) { s.TimeoutMs = int(d.Milliseconds()) }
}

// Idempotent declares that every request to the service can safely be retried.
func Idempotent() ServiceOption { return func(s *config.Service) { s.Idempotent = true } }

// StalenessVersions sets the upper limit for the staleness bound of steps, in weight versions.
func StalenessVersions(n int) ServiceOption {
	return func(s *config.Service) { s.StalenessVersions = &n }
}

// EngineService adds a service of model engines.
func (b *Builder) EngineService(name string, class Class, options ...ServiceOption) Service {
	return b.service(config.Service{Name: name, Type: config.TypeEngine, Class: class}, options)
}

// PlainService adds a service of plain HTTP targets.
func (b *Builder) PlainService(name string, class Class, options ...ServiceOption) Service {
	return b.service(config.Service{Name: name, Type: config.TypePlain, Class: class}, options)
}

func (b *Builder) service(s config.Service, options []ServiceOption) Service {
	for _, option := range options {
		option(&s)
	}
	b.doc.Services = append(b.doc.Services, s)
	return Service{s.Name}
}

// Route allows teams to use a service.
func (b *Builder) Route(service Service, teams ...Team) {
	r := config.Route{Service: service.name}
	for _, t := range teams {
		r.Teams = append(r.Teams, t.name)
	}
	slices.Sort(r.Teams)
	b.doc.Routes = append(b.doc.Routes, r)
}

// OpenRoute allows every caller to use a service without a key.
func (b *Builder) OpenRoute(service Service) {
	b.doc.Routes = append(b.doc.Routes, config.Route{Service: service.name, Open: true})
}

// TargetOption sets an optional field of a target.
type TargetOption func(*config.Target)

// Slots sets how many requests a target runs concurrently.
func Slots(n int) TargetOption { return func(t *config.Target) { t.Slots = n } }

// Fencing declares that the target refuses orders with a stale fencing token.
func Fencing() TargetOption { return func(t *config.Target) { t.Fencing = true } }

// Supplied sets the purchase option of a target; the default is OnDemand.
func Supplied(s Supply) TargetOption {
	return func(t *config.Target) { t.Class = config.TargetClass(s) }
}

// Target adds a target with a fixed address.
func (b *Builder) Target(id string, service Service, url, zone string, options ...TargetOption) {
	t := config.Target{ID: id, Service: service.name, URL: url, Zone: zone}
	for _, option := range options {
		option(&t)
	}
	b.doc.Targets = append(b.doc.Targets, t)
}

// Pool describes targets that egretspar may order from the platform.
type Pool struct {
	Service      Service
	Zone         string
	Supply       Supply
	Min, Max     int
	Slots        int
	PricePerHour float64
}

// Pool adds a pool.
func (b *Builder) Pool(p Pool) {
	b.doc.Pools = append(b.doc.Pools, config.Pool{
		Service: p.Service.name, Zone: p.Zone, Class: config.Class(p.Supply),
		Min: p.Min, Max: p.Max, Slots: p.Slots, PricePerHour: p.PricePerHour,
	})
}

// Budget limits the spending per hour from the given time on.
func (b *Builder) Budget(from time.Time, perHour float64) {
	b.doc.Budget = append(b.doc.Budget, config.BudgetStep{From: from.UTC(), PerHour: perHour})
}

// UsageWindows sets the length of usage windows and the grace period after which a window is closed.
func (b *Builder) UsageWindows(window, grace time.Duration) {
	b.doc.Usage = &config.Usage{WindowSeconds: int(window.Seconds()), GraceSeconds: int(grace.Seconds())}
}

// TOML returns the configuration as TOML. If it is invalid, the error names the item at fault.
func (b *Builder) TOML() ([]byte, error) {
	sorted := b.sorted()
	data, err := toml.Marshal(sorted)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := config.Parse("configuration", data); err != nil {
		return nil, err
	}
	return data, nil
}

// Print writes the configuration to w as TOML.
func (b *Builder) Print(w io.Writer) error {
	data, err := b.TOML()
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.WithStack(err)
}

// Main prints the configuration to standard output. If that fails, for example because the configuration is invalid,
// it exits the program with status 2.
func (b *Builder) Main() {
	if err := b.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func (b *Builder) sorted() config.Document {
	d := b.doc
	d.Teams = sortedBy(d.Teams, func(t config.Team) string { return t.Name })
	d.Keys = sortedBy(d.Keys, func(k config.Key) string { return k.ID })
	d.Services = sortedBy(d.Services, func(s config.Service) string { return s.Name })
	d.Routes = sortedBy(d.Routes, func(r config.Route) string { return r.Service })
	d.Targets = sortedBy(d.Targets, func(t config.Target) string { return t.ID })
	d.Pools = sortedBy(d.Pools, func(p config.Pool) string { return p.Service + "/" + p.Zone + "/" + string(p.Class) })
	d.Budget = sortedBy(d.Budget, func(s config.BudgetStep) int64 { return s.From.UnixNano() })
	return d
}

func sortedBy[T any, K cmp.Ordered](items []T, key func(T) K) []T {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}

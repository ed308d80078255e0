// Package live holds an instance's current view of its deployment: the configuration in force, the targets and the
// weight versions that trainers released. Configurations and targets are immutable once they are in a View.
package live

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind determines how the requests of a route may be executed.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce Kind = "at_most_once"
	// Stream requests have a response that is a stream of events.
	Stream Kind = "stream"
	// Batch routes accept jobs of many requests that run asynchronously.
	Batch Kind = "batch"
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares holds the services of the route; requests are distributed by weight.
	Shares []Share
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response has its full value for the caller.
	LatencyObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another target after their last event.
	Resumable bool
	// SingleVersion requires that the whole text of an item is generated with one weight version.
	SingleVersion bool
	// JobObjective is the time from submission within which a batch job should complete.
	JobObjective time.Duration
	// ItemTTL is the time after which an item of a batch job may expire.
	ItemTTL time.Duration
}

// Service is a set of targets.
type Service struct {
	Name string
	// Models holds the names of the models that the service's engines run; it is empty for services without models.
	Models []string
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// EventTokens is the number of tokens in one event of a stream; 0 means unknown.
	EventTokens int
	// Scaling is nil for services with a fixed number of targets.
	Scaling *Scaling
	// WarmUp is nil for services whose targets take their full load from the start.
	WarmUp *WarmUp
}

// WarmUp describes the targets of a service that take few requests for some time after a start.
type WarmUp struct {
	// Duration is how long a target warms up.
	Duration time.Duration
	// Rate is the number of requests a second that a cold target takes from all instances together.
	Rate float64
}

// Scaling limits the number of targets of a service in each zone.
type Scaling struct {
	Min, Max int
	// ZonePrices is the price of a target by zone.
	ZonePrices map[string]float64
}

// Limits bound the size and the time of a caller's request. 0 means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time that a caller may take to send the headers. IdleTimeout is the longest time
	// between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Team is a tenant of the deployment.
type Team struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// keyDigest is the SHA-256 digest of a bearer key.
type keyDigest [sha256.Size]byte

// Config is one version of the configuration.
type Config struct {
	Version  int
	Limits   Limits
	Services map[string]Service

	// routes holds the routes by lower-case host, those with the longest prefix first.
	routes map[string][]Route
	teams  map[keyDigest]Team
	// requiresKeys is set if the configuration has teams, so that requests of routes that are not public need a key.
	requiresKeys bool
}

// NewConfig returns a configuration without services, routes and keys.
func NewConfig(version int, limits Limits) *Config {
	return &Config{
		Version: version, Limits: limits, Services: map[string]Service{}, routes: map[string][]Route{}, teams: map[keyDigest]Team{},
	}
}

// AddRoute adds a route.
func (c *Config) AddRoute(r Route) {
	host := strings.ToLower(r.Host)
	routes := append(slices.Clone(c.routes[host]), r)
	// Match returns the first route that matches, so the longest prefix comes first.
	slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	c.routes[host] = routes
}

// AddKey adds a key of a team. Keys are stored as digests, so that the time of a lookup does not reveal how much of a
// key is correct.
func (c *Config) AddKey(key string, team Team) { c.teams[sha256.Sum256([]byte(key))] = team }

// RequireKeys makes a key mandatory for requests of routes that are not public.
func (c *Config) RequireKeys() { c.requiresKeys = true }

// Match returns the route with the longest matching path prefix for a host. A port in host is ignored.
func (c *Config) Match(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RouteByName returns the route with a name.
func (c *Config) RouteByName(name string) (Route, bool) {
	for _, routes := range c.routes {
		for _, r := range routes {
			if r.Name == name {
				return r, true
			}
		}
	}
	return Route{}, false
}

// BatchRoutes returns the names of all batch routes; the value tells whether the service runs the jobs of the route.
func (c *Config) BatchRoutes(service string) map[string]bool {
	names := map[string]bool{}
	for _, routes := range c.routes {
		for _, r := range routes {
			if r.Kind == Batch {
				names[r.Name] = names[r.Name] || slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
			}
		}
	}
	return names
}

// Authenticate returns the team of a bearer key. The second value is false if the route requires a key and the given
// one is missing or unknown.
func (c *Config) Authenticate(route Route, key string) (Team, bool) {
	if key != "" {
		if team, ok := c.teams[sha256.Sum256([]byte(key))]; ok {
			return team, true
		}
	}
	return Team{}, route.Public || !c.requiresKeys
}

// Service returns one of the route's services. If point is uniformly distributed in [0, 1), each service is selected in
// proportion to its weight.
func (r Route) Service(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

package key

import (
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/outcome"
)

// Identity is an authenticated caller. It includes the hash of the key, so that requests do not continue when the key
// was withdrawn and its id declared again with another secret.
type Identity struct {
	KeyID string
	Team  string
	hash  digest
}

type keyEntry struct {
	team string
	hash digest
}

type routeEntry struct {
	open  bool
	teams map[string]bool
}

// Keyring is the immutable set of keys and routes of one configuration revision. It is safe for concurrent use.
type Keyring struct {
	keys   map[string]keyEntry
	routes map[string]routeEntry
}

// NewKeyring returns the keys and routes of a validated document. Authentication fails for every key with a malformed
// hash, a duplicate id or an unknown team, because it cannot be attributed to exactly one declared team.
func NewKeyring(doc *config.Document) *Keyring {
	r := &Keyring{keys: make(map[string]keyEntry, len(doc.Keys)), routes: make(map[string]routeEntry, len(doc.Services))}
	teams := make(map[string]bool, len(doc.Teams))
	for _, t := range doc.Teams {
		teams[t.Name] = true
	}
	seen := make(map[string]bool, len(doc.Keys))
	for _, k := range doc.Keys {
		hash, ok := parseDigest(k.Hash)
		if ok && teams[k.Team] && !seen[k.ID] {
			r.keys[k.ID] = keyEntry{team: k.Team, hash: hash}
		} else {
			delete(r.keys, k.ID)
		}
		seen[k.ID] = true
	}
	for _, s := range doc.Services {
		r.routes[s.Name] = routeEntry{teams: map[string]bool{}}
	}
	for _, route := range doc.Routes {
		r.addRoute(route)
	}
	return r
}

func (r *Keyring) addRoute(declared config.Route) {
	route, ok := r.routes[declared.Service]
	if !ok {
		return
	}
	route.open = route.open || declared.Open
	for _, team := range declared.Teams {
		route.teams[team] = true
	}
	r.routes[declared.Service] = route
}

// Authenticate returns the caller that the key in the value of an Authorization header identifies.
func (r *Keyring) Authenticate(authorization string) (Identity, *outcome.Refusal) {
	if authorization == "" {
		return Identity{}, outcome.Refuse(outcome.KeyMissing)
	}
	id, secret, ok := parseAuthorization(authorization)
	if !ok {
		return Identity{}, outcome.Refuse(outcome.KeyInvalid)
	}
	// The hash is computed for unknown ids too, so that the response time does not reveal which ids exist.
	entry, known := r.keys[id]
	matches := entry.hash.matches(secret)
	if !known || !matches {
		return Identity{}, outcome.Refuse(outcome.KeyInvalid)
	}
	return Identity{KeyID: id, Team: entry.team, hash: entry.hash}, nil
}

// IsInForce reports whether the key of a caller that was authenticated earlier is still in force for the same team.
// Running requests of callers for which it is false are cancelled with the reason key_withdrawn.
func (r *Keyring) IsInForce(caller Identity) bool {
	entry, ok := r.keys[caller.KeyID]
	return ok && entry.team == caller.Team && entry.hash == caller.hash
}

// Open reports whether the service may be used without a key.
func (r *Keyring) Open(service string) bool {
	return r.routes[service].open
}

// CheckAccess returns nil if team may use service. An empty team stands for a caller without a key, which may only use
// open routes.
func (r *Keyring) CheckAccess(team, service string) *outcome.Refusal {
	route, ok := r.routes[service]
	switch {
	case !ok:
		return outcome.Refuse(outcome.ServiceUnknown)
	case route.open:
		return nil
	case team == "":
		return outcome.Refuse(outcome.KeyMissing)
	case !route.teams[team]:
		return outcome.Refuse(outcome.RouteForbidden)
	}
	return nil
}

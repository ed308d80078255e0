package config

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/tomldoc"
)

// Kind is the value of kind in a configuration file.
const Kind = "configuration"

const (
	defaultWindowSeconds = 3600
	defaultGraceSeconds  = 10
)

var schema = tomldoc.MustSchema(Kind, "config.schema.json")

// Parse decodes and validates a configuration. file is the file name for error messages.
func Parse(file string, data []byte) (*Document, error) {
	var d Document
	if err := schema.Decode(file, data, &d); err != nil {
		return nil, err
	}
	if d.Usage == nil {
		d.Usage = &Usage{WindowSeconds: defaultWindowSeconds, GraceSeconds: defaultGraceSeconds}
	}
	if err := d.Validate(); err != nil {
		return nil, &tomldoc.Error{File: file, Line: errorLine(data, err), Message: err.Error()}
	}
	return &d, nil
}

// errorLine returns the line of the item that err reports, or 1 if err reports no item.
func errorLine(data []byte, err error) int {
	var reference *ReferenceError
	if !errors.As(err, &reference) {
		return 1
	}
	return tomldoc.Line(data, reference.Table, strconv.Itoa(reference.Index))
}

// ReferenceError reports an item that is inconsistent with the rest of the document, for example one that is a
// duplicate or refers to something that does not exist.
type ReferenceError struct {
	// Table and Index locate the item in the document.
	Table   string
	Index   int
	Name    string
	Message string
}

// Error returns the location and name of the item and the message.
func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s[%d] %q: %s", e.Table, e.Index, e.Name, e.Message)
}

// Validate checks what the schema cannot express: references between items, duplicates and contradicting values.
func (d *Document) Validate() error {
	teams, services, err := d.collectNames()
	if err != nil {
		return err
	}
	for _, check := range []func(teams, services map[string]bool) error{d.checkKeys, d.checkRoutes, d.checkTargets, d.checkPools, d.checkBudget} {
		if err := check(teams, services); err != nil {
			return err
		}
	}
	return nil
}

// collectNames returns the sets of team and service names, or an error if a name is a duplicate.
func (d *Document) collectNames() (teams, services map[string]bool, err error) {
	teams, services = map[string]bool{}, map[string]bool{}
	for i, t := range d.Teams {
		if teams[t.Name] {
			return nil, nil, &ReferenceError{"teams", i, t.Name, "stands twice"}
		}
		teams[t.Name] = true
	}
	for i, s := range d.Services {
		if services[s.Name] {
			return nil, nil, &ReferenceError{"services", i, s.Name, "stands twice"}
		}
		services[s.Name] = true
	}
	return teams, services, nil
}

func (d *Document) checkKeys(teams, _ map[string]bool) error {
	seen := map[string]bool{}
	for i, k := range d.Keys {
		if seen[k.ID] {
			return &ReferenceError{"keys", i, k.ID, "stands twice"}
		}
		seen[k.ID] = true
		if !teams[k.Team] {
			return &ReferenceError{"keys", i, k.ID, fmt.Sprintf("names team %q, which does not exist", k.Team)}
		}
	}
	return nil
}

func (d *Document) checkRoutes(teams, services map[string]bool) error {
	seen := map[string]bool{}
	for i, r := range d.Routes {
		if !services[r.Service] {
			return &ReferenceError{"routes", i, r.Service, "names a service that does not exist"}
		}
		if seen[r.Service] {
			return &ReferenceError{"routes", i, r.Service, "stands twice"}
		}
		seen[r.Service] = true
		if r.Open == (len(r.Teams) > 0) {
			return &ReferenceError{"routes", i, r.Service, "needs either teams or open = true"}
		}
		for _, t := range r.Teams {
			if !teams[t] {
				return &ReferenceError{"routes", i, r.Service, fmt.Sprintf("names team %q, which does not exist", t)}
			}
		}
	}
	return nil
}

func (d *Document) checkTargets(_, services map[string]bool) error {
	seen := map[string]bool{}
	for i, t := range d.Targets {
		if seen[t.ID] {
			return &ReferenceError{"targets", i, t.ID, "stands twice"}
		}
		seen[t.ID] = true
		if !services[t.Service] {
			return &ReferenceError{"targets", i, t.ID, fmt.Sprintf("names service %q, which does not exist", t.Service)}
		}
	}
	return nil
}

func (d *Document) checkPools(_, services map[string]bool) error {
	type poolKey struct {
		service, zone string
		class         Class
	}
	seen := map[poolKey]bool{}
	for i, p := range d.Pools {
		if !services[p.Service] {
			return &ReferenceError{"pools", i, p.Service, "names a service that does not exist"}
		}
		if p.Min > p.Max {
			return &ReferenceError{"pools", i, p.Service, fmt.Sprintf("min %d is above max %d", p.Min, p.Max)}
		}
		key := poolKey{p.Service, p.Zone, p.Class}
		if seen[key] {
			return &ReferenceError{"pools", i, p.Service, fmt.Sprintf("stands twice for zone %q and class %q", p.Zone, p.Class)}
		}
		seen[key] = true
	}
	return nil
}

func (d *Document) checkBudget(_, _ map[string]bool) error {
	ordered := sort.SliceIsSorted(d.Budget, func(i, j int) bool { return d.Budget[i].From.Before(d.Budget[j].From) })
	if !ordered {
		return &ReferenceError{"budget", 0, "from", "times must grow"}
	}
	return nil
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// defaultStaleness lets trainers use samples of the weight version before their own.
const defaultStaleness = 1

// StalenessBound returns the upper limit for the staleness bound of a step, in weight versions.
func (s Service) StalenessBound() int {
	if s.StalenessVersions == nil {
		return defaultStaleness
	}
	return *s.StalenessVersions
}

package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/live"
)

// Check returns what is wrong with a configuration, in the order of its entries.
func Check(d Document) []Finding {
	c := checker{document: d}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	c.checkLimits()
	return c.findings
}

type checker struct {
	document Document
	findings []Finding
}

func (c *checker) add(severity Severity, place Place, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Place: place, Text: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) checkRoutes() {
	first := map[routeID]int{}
	names := map[string]int{}
	for i, r := range c.document.Routes {
		place := Place{Section: Routes, Index: i, Name: r.Name}
		c.checkName(place, names)
		c.checkMatch(place, r, first)
		c.checkKind(place, r)
		c.checkShares(place, r)
		c.checkTimes(place, r)
		if r.MaxAttempts < 1 {
			c.add(Warning, place.at(MaxAttempts), "set it to 1 or more", "%d attempts are below 1; a request gets one attempt", r.MaxAttempts)
		}
	}
}

// checkName finds an empty name and one that an earlier entry of the section has. Entries of a section are looked up by name.
func (c *checker) checkName(place Place, names map[string]int) {
	if place.Name == "" {
		c.add(Error, place.at(Name), "name the entry", "the name is empty")
		return
	}
	if earlier, ok := names[place.Name]; ok {
		c.add(Error, place.at(Name), "rename or remove one of the two", "entry %d has the same name, and only one of the two is found by it", earlier)
		return
	}
	names[place.Name] = place.Index
}

// checkMatch finds routes that no request matches, and those whose prefix matches other paths than it seems to.
func (c *checker) checkMatch(place Place, r Route, first map[routeID]int) {
	valid := true
	if r.Host == "" {
		valid = false
		c.add(Error, place.at(Host), "name the host", "the host is empty")
	}
	if problem := prefixProblem(r.Prefix); problem != "" {
		valid = false
		c.add(Error, place.at(Prefix), "begin and end the prefix with a slash", "%s", problem)
	}
	if earlier, ok := first[idOf(r)]; ok {
		c.add(Error, place.at(Prefix), "remove one of the two routes or change its prefix", "route %d has the same host and prefix and gets all requests", earlier)
		return
	}
	first[idOf(r)] = place.Index
	if match, ok := c.document.Config.Match(r.Host, r.Prefix); valid && (!ok || !strings.EqualFold(match.Host, r.Host)) {
		c.add(Warning, place.at(Host), "write the host without a port", "no request matches the host %q", r.Host)
	}
}

// prefixProblem describes what is wrong with a prefix. It returns "" if nothing is.
func prefixProblem(prefix string) string {
	switch {
	case prefix == "":
		return "the prefix is empty and matches all paths"
	case !strings.HasPrefix(prefix, "/"):
		return fmt.Sprintf("no path begins with the prefix %q", prefix)
	case !strings.HasSuffix(prefix, "/"):
		return fmt.Sprintf("the prefix %q matches longer names too, such as %q", prefix, prefix+"x")
	}
	return ""
}

func (c *checker) checkKind(place Place, r Route) {
	if !slices.Contains(c.document.KindNames, r.KindName) {
		c.add(Error, place.at(Kind), "use one of "+strings.Join(c.document.KindNames, ", "), "the kind %q is unknown; requests run at most once", r.KindName)
	}
}

// checkShares finds services of a route that do not exist or get no requests.
func (c *checker) checkShares(place Place, r Route) {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	for _, s := range r.Shares {
		c.checkService(place, s)
		switch {
		case s.Weight < 0:
			c.add(Error, place.at(Split), "use weights of 0 or more", "service %q has the negative weight %d", s.Service, s.Weight)
		case s.Weight == 0 && total != 0:
			c.add(Warning, place.at(Split), "raise the weight or remove the service", "service %q has weight 0 and gets no requests", s.Service)
		}
	}
	if total == 0 {
		c.add(Warning, place.at(Split), "set weights above 0", "the weights sum to 0; service %q gets all requests", r.Service(0))
	}
}

func (c *checker) checkService(place Place, s live.Share) {
	if s.Service == "" {
		c.add(Warning, place.at(ServiceName), "name a service", "the route names no service")
		return
	}
	if _, ok := c.document.Config.Services[s.Service]; !ok {
		c.add(Warning, place.at(ServiceName), "add the service or name another", "the service %q does not exist", s.Service)
	}
}

func (c *checker) checkTimes(place Place, r Route) {
	c.checkDuration(place.at(Timeout), r.Timeout)
	c.checkDuration(place.at(LatencyObjective), r.LatencyObjective)
	c.checkDuration(place.at(JobObjective), r.JobObjective)
	c.checkDuration(place.at(ItemTTL), r.ItemTTL)
	if r.Timeout > 0 && r.Timeout < r.LatencyObjective {
		c.add(Warning, place.at(Timeout), "raise the timeout or lower the objective",
			"the timeout %s is below the latency objective %s", r.Timeout, r.LatencyObjective)
	}
	if r.ItemTTL > 0 && r.ItemTTL < r.JobObjective {
		c.add(Warning, place.at(JobObjective), "raise the lifetime of items or lower the objective",
			"items expire after %s, before the objective %s of their job", r.ItemTTL, r.JobObjective)
	}
}

func (c *checker) checkDuration(place Place, d time.Duration) {
	if d < 0 {
		c.add(Error, place, "use 0 for none, or a positive time", "the time %s is negative and read as none", d)
	}
}

func (c *checker) checkServices() {
	named := map[string]bool{}
	for _, r := range c.document.Routes {
		for _, s := range r.Shares {
			named[s.Service] = true
		}
	}
	names := map[string]int{}
	for i, s := range c.document.Services {
		place := Place{Section: Services, Index: i, Name: s.Name}
		c.checkName(place, names)
		if s.Name != "" && !named[s.Name] {
			c.add(Warning, place, "add a route or remove the service", "no route names the service")
		}
		c.checkTargets(place, s)
	}
}

func (c *checker) checkTargets(place Place, s Service) {
	if s.WarmUpRate < 0 {
		c.add(Error, place.at(WarmUpRate), "use 0 for no warm-up, or a positive rate", "the rate %g is negative and read as no warm-up", s.WarmUpRate)
	}
	if s.WarmUp != nil && s.WarmUp.Duration <= 0 {
		c.add(Warning, place.at(WarmUpDuration), "set the time for which a target is cold after its start", "cold targets have a rate but no time")
	}
	if s.Scaling == nil {
		return
	}
	if s.Scaling.Min < 0 {
		c.add(Error, place.at(ScalingMin), "use 0 or more", "the minimum %d is negative", s.Scaling.Min)
	}
	if s.Scaling.Min > s.Scaling.Max {
		c.add(Warning, place.at(ScalingMin), "lower the minimum or raise the maximum",
			"the minimum %d is above the maximum %d", s.Scaling.Min, s.Scaling.Max)
	}
}

func (c *checker) checkTeams() {
	d := c.document
	isPublic := func(r Route) bool { return r.Public }
	if d.KeysRequired && len(d.Teams) == 0 && !allOf(d.Routes, isPublic) {
		c.add(Warning, Place{Section: Teams, Index: -1}, "add a team with a key, or remove the list", "keys are required, but there are no teams")
	}
	for i, t := range d.Teams {
		place := Place{Section: Teams, Index: i, Name: t.Name}
		if t.Name == "" {
			c.add(Error, place.at(Name), "name the entry", "the name is empty")
		}
		if d.KeysRequired && len(t.Keys) == 0 {
			c.add(Warning, place.at(Keys), "add a key or remove the team", "the team has no keys, but keys are required")
		}
		c.checkKeys(place, t)
	}
}

func allOf[T any](items []T, match func(T) bool) bool {
	return !slices.ContainsFunc(items, func(item T) bool { return !match(item) })
}

func (c *checker) checkKeys(place Place, t Team) {
	for _, key := range t.Keys {
		if key == "" {
			c.add(Error, place.at(Keys), "remove it or write the key", "a key is empty and never accepted")
			continue
		}
		if owner, _ := c.document.Config.Authenticate(live.Route{}, key); owner != t.Team {
			c.add(Error, place.at(Keys), "remove the key from one of the teams, or replace it",
				"key %s is also in a later entry, of team %q, and its requests count as requests of that team", keyHash(key), owner.Name)
		}
	}
}

func (c *checker) checkLimits() {
	l := c.document.Config.Limits
	place := Place{Section: Limits, Index: -1}
	if l.MaxHeaderBytes < 0 {
		c.add(Error, place.at(MaxHeaderBytes), "use 0 for none, or a positive size", "the size %d is negative and read as none", l.MaxHeaderBytes)
	}
	if l.MaxBodyBytes < 0 {
		c.add(Error, place.at(MaxBodyBytes), "use 0 for none, or a positive size", "the size %d is negative and read as none", l.MaxBodyBytes)
	}
	c.checkDuration(place.at(HeaderTimeout), l.HeaderTimeout)
	c.checkDuration(place.at(IdleTimeout), l.IdleTimeout)
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.add(Warning, place.at(IdleTimeout), "raise the idle timeout or lower the header timeout",
			"the idle timeout %s is below the header timeout %s", l.IdleTimeout, l.HeaderTimeout)
	}
}

// at returns the place of a field.
func (p Place) at(f Field) Place {
	p.Field = f
	return p
}

package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/egretspar/egretspar/internal/live"
)

// Compare returns what the newer configuration does differently from the older one. The order of entries, and entries
// that have no effect, make no difference.
func Compare(older, newer Document) []Finding {
	c := comparer{older: older, newer: newer}
	c.compareVersions()
	c.compareRoutes()
	c.compareServices()
	c.compareTeams()
	c.compareLimits()
	return c.findings
}

type comparer struct {
	older, newer Document
	findings     []Finding
}

func (c *comparer) add(place Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: Difference, Place: place, Text: fmt.Sprintf(format, args...)})
}

// property is the value of a field as text.
type property struct {
	field Field
	value string
}

// changes adds a finding for each property that differs. Both lists hold the same fields.
func (c *comparer) changes(place Place, older, newer []property) {
	for i, p := range newer {
		if before := older[i].value; before != p.value {
			c.add(place.at(p.field), "%s changes from %s to %s", p.field, before, p.value)
		}
	}
}

func (c *comparer) compareVersions() {
	before, after := c.older.Config.Version, c.newer.Config.Version
	if after > before {
		return
	}
	c.findings = append(c.findings, Finding{
		Severity: Error, Place: Place{Index: -1, Field: Version}, Remedy: fmt.Sprintf("use %d or higher", before+1),
		Text: fmt.Sprintf("the version %d is not higher than %d, so the instances ignore the configuration", after, before),
	})
}

func (c *comparer) compareRoutes() {
	before, after := routesByID(c.older), routesByID(c.newer)
	for i, r := range c.newer.Routes {
		if after[idOf(r)] != i {
			continue
		}
		place := Place{Section: Routes, Index: i, Name: r.Name}
		old, ok := before[idOf(r)]
		if !ok {
			c.add(place, "route of %q to %s is added", r.Host+r.Prefix, sharesText(r.Shares))
			continue
		}
		c.changes(place, routeProperties(c.older.Routes[old]), routeProperties(r))
	}
	for i, r := range c.older.Routes {
		if _, ok := after[idOf(r)]; !ok && before[idOf(r)] == i {
			c.add(Place{Section: Routes, Index: i, Name: r.Name, Older: true}, "route of %q to %s is removed", r.Host+r.Prefix, sharesText(r.Shares))
		}
	}
}

// routesByID returns the index of the route that gets the requests of each host and prefix, which is the first one.
func routesByID(d Document) map[routeID]int {
	indices := map[routeID]int{}
	for i, r := range d.Routes {
		if _, ok := indices[idOf(r)]; !ok {
			indices[idOf(r)] = i
		}
	}
	return indices
}

func routeProperties(r Route) []property {
	return []property{
		{Name, strconv.Quote(r.Name)},
		{ServiceName, sharesText(r.Shares)},
		{Kind, strings.ReplaceAll(string(r.Kind), "_", " ")},
		{Timeout, max(0, r.Timeout).String()},
		{LatencyObjective, max(0, r.LatencyObjective).String()},
		{JobObjective, max(0, r.JobObjective).String()},
		{ItemTTL, max(0, r.ItemTTL).String()},
		{Priority, strconv.Itoa(r.Priority)},
		{MaxAttempts, strconv.Itoa(max(1, r.MaxAttempts))},
		{SingleVersion, strconv.FormatBool(r.SingleVersion)},
		{Public, strconv.FormatBool(r.Public)},
		{Resumable, strconv.FormatBool(r.Resumable)},
	}
}

// sharesText names the services that get requests, each with its smallest whole weight if there are several.
func sharesText(shares []live.Share) string {
	weights := map[string]int{}
	divisor := 0
	for _, s := range shares {
		if s.Weight > 0 {
			weights[s.Service] += s.Weight
		}
	}
	if len(weights) == 0 {
		return strconv.Quote(live.Route{Shares: shares}.Service(0))
	}
	for _, weight := range weights {
		divisor = greatestCommonDivisor(divisor, weight)
	}
	var parts []string
	for _, service := range slices.Sorted(maps.Keys(weights)) {
		part := strconv.Quote(service)
		if len(weights) > 1 {
			part += fmt.Sprintf(" (weight %d)", weights[service]/divisor)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " and ")
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (c *comparer) compareServices() {
	for i, s := range c.newer.Services {
		place := Place{Section: Services, Index: i, Name: s.Name}
		if old, ok := c.older.Config.Services[s.Name]; ok {
			c.changes(place, serviceProperties(old), serviceProperties(c.newer.Config.Services[s.Name]))
		} else {
			c.add(place, "service is added")
		}
	}
	for i, s := range c.older.Services {
		if _, ok := c.newer.Config.Services[s.Name]; !ok {
			c.add(Place{Section: Services, Index: i, Name: s.Name, Older: true}, "service is removed")
		}
	}
}

func serviceProperties(s live.Service) []property {
	warmUp := live.WarmUp{}
	if s.WarmUp != nil {
		warmUp = *s.WarmUp
	}
	least, most, prices := "none", "none", "none"
	if s.Scaling != nil {
		least, most, prices = strconv.Itoa(s.Scaling.Min), strconv.Itoa(s.Scaling.Max), fmt.Sprint(s.Scaling.ZonePrices)
	}
	return []property{
		{Slots, strconv.Itoa(s.Slots)},
		{EventTokens, strconv.Itoa(s.EventTokens)},
		{Models, fmt.Sprintf("%q", s.Models)},
		{WarmUpDuration, warmUp.Duration.String()},
		{WarmUpRate, strconv.FormatFloat(warmUp.Rate, 'g', -1, 64)},
		{ScalingMin, least},
		{ScalingMax, most},
		{ZonePrices, prices},
	}
}

func (c *comparer) compareLimits() {
	c.changes(Place{Section: Limits, Index: -1}, limitProperties(c.older.Config.Limits), limitProperties(c.newer.Config.Limits))
}

func limitProperties(l live.Limits) []property {
	return []property{
		{MaxHeaderBytes, strconv.Itoa(max(0, l.MaxHeaderBytes))},
		{MaxBodyBytes, strconv.FormatInt(max(0, l.MaxBodyBytes), 10)},
		{HeaderTimeout, max(0, l.HeaderTimeout).String()},
		{IdleTimeout, max(0, l.IdleTimeout).String()},
	}
}

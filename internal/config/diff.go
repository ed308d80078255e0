package config

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is an item that differs between two configurations.
type Change struct {
	Sign string // "+" added, "-" removed, "~" changed
	Item string // kind of item, such as "team"
	Name string
}

// String formats the change as one line.
func (c Change) String() string { return fmt.Sprintf("%s %s %s", c.Sign, c.Item, c.Name) }

// Diff returns the items that differ, grouped by kind of item and sorted by name.
func Diff(older, newer *Document) []Change {
	var changes []Change
	addChanges := func(kind string, a, b map[string]any) {
		changes = append(changes, diffItems(kind, a, b)...)
	}
	addChanges("team", indexByName(older.Teams, func(t Team) string { return t.Name }), indexByName(newer.Teams, func(t Team) string { return t.Name }))
	addChanges("key", indexByName(older.Keys, func(k Key) string { return k.ID }), indexByName(newer.Keys, func(k Key) string { return k.ID }))
	addChanges("service", indexByName(older.Services, func(s Service) string { return s.Name }), indexByName(newer.Services, func(s Service) string { return s.Name }))
	addChanges("route", indexByName(older.Routes, func(r Route) string { return r.Service }), indexByName(newer.Routes, func(r Route) string { return r.Service }))
	addChanges("target", indexByName(older.Targets, func(t Target) string { return t.ID }), indexByName(newer.Targets, func(t Target) string { return t.ID }))
	addChanges("pool", indexByName(older.Pools, poolName), indexByName(newer.Pools, poolName))
	addChanges("budget", indexByName(older.Budget, budgetName), indexByName(newer.Budget, budgetName))
	addChanges("usage", map[string]any{"windows": older.Usage}, map[string]any{"windows": newer.Usage})
	return changes
}

func poolName(p Pool) string         { return fmt.Sprintf("%s/%s/%s", p.Service, p.Zone, p.Class) }
func budgetName(s BudgetStep) string { return s.From.UTC().Format("2006-01-02T15:04:05Z") }

func indexByName[T any](items []T, name func(T) string) map[string]any {
	m := make(map[string]any, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// diffItems compares the items of one kind, which are given by name.
func diffItems(kind string, older, newer map[string]any) []Change {
	var changes []Change
	for name, before := range older {
		after, ok := newer[name]
		switch {
		case !ok:
			changes = append(changes, Change{"-", kind, name})
		case !reflect.DeepEqual(before, after):
			changes = append(changes, Change{"~", kind, name})
		}
	}
	for name := range newer {
		if _, ok := older[name]; !ok {
			changes = append(changes, Change{"+", kind, name})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}

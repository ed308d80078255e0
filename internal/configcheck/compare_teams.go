package configcheck

import "strconv"

func (c *comparer) compareTeams() {
	if before, after := c.older.KeysRequired, c.newer.KeysRequired; before != after {
		text := "keys are no longer required"
		if after {
			text = "keys become required"
		}
		c.add(Place{Section: Teams, Index: -1}, "%s", text)
	}
	before, after := teamsByName(c.older), teamsByName(c.newer)
	for i, t := range c.newer.Teams {
		place := Place{Section: Teams, Index: i, Name: t.Name}
		old, existed := before[t.Name]
		if after[t.Name].index == i {
			c.compareTeam(place, old, existed, t)
		}
		c.compareKeys(place, "added", t, old.keys)
	}
	for i, t := range c.older.Teams {
		place := Place{Section: Teams, Index: i, Name: t.Name, Older: true}
		left, exists := after[t.Name]
		if !exists && before[t.Name].index == i {
			c.add(place, "team is removed")
		}
		c.compareKeys(place, "withdrawn", t, left.keys)
	}
}

func (c *comparer) compareTeam(place Place, old teamEntry, existed bool, t Team) {
	if !existed {
		c.add(place, "team is added")
		return
	}
	before := []property{{Priority, priorityText(c.older.Teams[old.index])}}
	c.changes(place, before, []property{{Priority, priorityText(t)}})
}

// compareKeys adds a finding for each key of a team that is not among other.
func (c *comparer) compareKeys(place Place, change string, t Team, other map[string]bool) {
	for _, key := range t.Keys {
		if !other[key] {
			c.add(place.at(Keys), "key %s is %s", keyHash(key), change)
		}
	}
}

// teamEntry is the first entry of a team, with the keys of all its entries.
type teamEntry struct {
	index int
	keys  map[string]bool
}

func teamsByName(d Document) map[string]teamEntry {
	entries := map[string]teamEntry{}
	for i, t := range d.Teams {
		entry, ok := entries[t.Name]
		if !ok {
			entry = teamEntry{index: i, keys: map[string]bool{}}
			entries[t.Name] = entry
		}
		for _, key := range t.Keys {
			entry.keys[key] = true
		}
	}
	return entries
}

func priorityText(t Team) string {
	if !t.HasPriority {
		return "that of the route"
	}
	return strconv.Itoa(t.Priority)
}

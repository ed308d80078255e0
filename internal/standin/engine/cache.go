package engine

import (
	"container/list"
	"time"

	messages "github.com/egretspar/egretspar/internal/engine"
)

const (
	// BlockBytes is the size of one block of the prefix cache.
	BlockBytes = messages.PrefixBlockBytes
	// tokenBytes is the number of bytes of text that count as one prompt token.
	tokenBytes = 4
	// maxKeptEvents limits the cache events that are kept, and maxEventsPerResponse those of one response.
	maxKeptEvents        = 65_536
	maxEventsPerResponse = 4096
)

// BlockHashes returns the hashes of a prompt's blocks as they appear in cache events.
func BlockHashes(prompt string) []int {
	var hashes []int
	for _, hash := range messages.BlockHashes(prompt) {
		hashes = append(hashes, int(hash))
	}
	return hashes
}

// PromptTokens returns the number of tokens that a prompt counts as.
func PromptTokens(prompt string) int { return (len(prompt) + tokenBytes - 1) / tokenBytes }

type timedEvent struct {
	at    time.Time
	event messages.CacheEvent
}

// cache is a set of prefix blocks that evicts the least recently used one. It records an event for each change.
type cache struct {
	capacity     int
	lru          *list.List
	blocks       map[int]*list.Element
	events       []timedEvent
	lastSequence int
	// dropEvent decides whether an event is lost. A lost event leaves a gap in the sequence numbers.
	dropEvent func() bool
}

func newCache(capacity int, dropEvent func() bool) *cache {
	return &cache{capacity: capacity, lru: list.New(), blocks: map[int]*list.Element{}, dropEvent: dropEvent}
}

// lookupAndInsert returns the number of leading blocks that were cached and inserts the blocks that were not.
func (c *cache) lookupAndInsert(now time.Time, hashes []int) int {
	cached := 0
	inPrefix := true
	for _, hash := range hashes {
		element, found := c.blocks[hash]
		inPrefix = inPrefix && found
		if inPrefix {
			cached++
		}
		if found {
			c.lru.MoveToFront(element)
			continue
		}
		c.insert(now, hash)
	}
	return cached
}

func (c *cache) insert(now time.Time, hash int) {
	if len(c.blocks) >= c.capacity {
		oldest := c.lru.Back()
		evicted := c.lru.Remove(oldest).(int)
		delete(c.blocks, evicted)
		c.recordEvent(now, messages.EventEvicted, evicted)
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.recordEvent(now, messages.EventStored, hash)
}

func (c *cache) clear(now time.Time) {
	c.lru.Init()
	clear(c.blocks)
	c.recordEvent(now, messages.EventCleared, 0)
}

func (c *cache) recordEvent(now time.Time, kind messages.Event, block int) {
	c.lastSequence++
	if c.dropEvent() {
		return
	}
	event := messages.CacheEvent{Sequence: c.lastSequence, Event: kind, Block: block}
	c.events = append(c.events, timedEvent{at: now, event: event})
	if len(c.events) > maxKeptEvents {
		c.events = c.events[len(c.events)-maxKeptEvents:]
	}
}

// eventsAfter returns the events with a sequence number above after that happened no later than before, up to
// maxEventsPerResponse.
func (c *cache) eventsAfter(after int, before time.Time) []messages.CacheEvent {
	events := []messages.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence <= after {
			continue
		}
		if e.at.After(before) || len(events) == maxEventsPerResponse {
			break
		}
		events = append(events, e.event)
	}
	return events
}

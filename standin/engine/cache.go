package engine

import (
	"container/list"

	"github.com/weldfall/weldfall/common/clock"
)

// cache is an LRU cache of prompt prefixes by cache key.
type cache struct {
	capacity, tokens int
	// lru has the least recently used prefix first.
	lru     *list.List
	entries map[string]*list.Element
	events  []eventAt
	seq     int64
	// dropEveryNth omits every n-th event, 0 omits none.
	dropEveryNth int
}

// prefix is a cached chat, with the hash and the token count of each message.
type prefix struct {
	key    string
	hashes []uint64
	tokens []int
	total  int
}

// Event is a change of the cache.
type Event struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
	// AgeMS is the time since the event in milliseconds.
	AgeMS clock.Millis `json:"age_ms"`
}

type eventAt struct {
	Event
	at clock.Millis
}

// maxEvents limits the events that are kept.
const maxEvents = 4096

func newCache(capacity, dropEveryNth int) *cache {
	return &cache{capacity: capacity, dropEveryNth: dropEveryNth, lru: list.New(), entries: map[string]*list.Element{}}
}

// cachedTokens returns the tokens of the longest common prefix.
func (c *cache) cachedTokens(key string, hashes []uint64) int {
	e, ok := c.entries[key]
	if !ok {
		return 0
	}
	c.lru.MoveToBack(e)
	p, n := e.Value.(*prefix), 0
	for i, h := range hashes {
		if i >= len(p.hashes) || p.hashes[i] != h {
			break
		}
		n += p.tokens[i]
	}
	return n
}

func (c *cache) store(p *prefix, now clock.Millis) {
	if old, ok := c.entries[p.key]; ok {
		c.tokens -= old.Value.(*prefix).total
		c.lru.Remove(old)
	}
	c.entries[p.key] = c.lru.PushBack(p)
	c.tokens += p.total
	c.emit("stored", p, now)
	for c.tokens > c.capacity && c.lru.Len() > 0 {
		front := c.lru.Front()
		victim := front.Value.(*prefix)
		c.lru.Remove(front)
		delete(c.entries, victim.key)
		c.tokens -= victim.total
		c.emit("evicted", victim, now)
	}
}

func (c *cache) emit(kind string, p *prefix, now clock.Millis) {
	c.seq++
	if c.dropEveryNth > 0 && c.seq%int64(c.dropEveryNth) == 0 {
		return
	}
	c.events = append(c.events, eventAt{Event{Seq: c.seq, Kind: kind, Key: p.key, Tokens: p.total}, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsSince returns the events after seq that are at least lag old.
func (c *cache) eventsSince(seq int64, now, lag clock.Millis) []Event {
	out := []Event{}
	for _, e := range c.events {
		if e.Seq > seq && e.at <= now-lag {
			e.AgeMS = now - e.at
			out = append(out, e.Event)
		}
	}
	return out
}

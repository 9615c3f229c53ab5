package engine

import (
	"container/list"

	"github.com/weldfall/weldfall/common/clock"
)

// cache holds prompt prefixes by cache key, least recently used first out.
type cache struct {
	capacity, tokens int
	order            *list.List
	entries          map[string]*list.Element
	events           []eventAt
	seq              int64
	gap              int
}

// prefix is a cached chat: the hash and tokens of each message.
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
	// AgeMS is how long ago it happened, in milliseconds.
	AgeMS clock.Millis `json:"age_ms"`
}

type eventAt struct {
	Event
	at clock.Millis
}

// maxEvents bounds the events kept for readers.
const maxEvents = 4096

func newCache(capacity, gap int) *cache {
	return &cache{capacity: capacity, gap: gap, order: list.New(), entries: map[string]*list.Element{}}
}

// hit returns the cached tokens of the longest common prefix.
func (c *cache) hit(key string, hashes []uint64) int {
	e, ok := c.entries[key]
	if !ok {
		return 0
	}
	c.order.MoveToBack(e)
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
		c.order.Remove(old)
	}
	c.entries[p.key] = c.order.PushBack(p)
	c.tokens += p.total
	c.emit("stored", p, now)
	for c.tokens > c.capacity && c.order.Len() > 0 {
		front := c.order.Front()
		victim := front.Value.(*prefix)
		c.order.Remove(front)
		delete(c.entries, victim.key)
		c.tokens -= victim.total
		c.emit("evicted", victim, now)
	}
}

func (c *cache) emit(kind string, p *prefix, now clock.Millis) {
	c.seq++
	if c.gap > 0 && c.seq%int64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, eventAt{Event{Seq: c.seq, Kind: kind, Key: p.key, Tokens: p.total}, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (c *cache) since(seq int64, now, lag clock.Millis) []Event {
	out := []Event{}
	for _, e := range c.events {
		if e.Seq > seq && e.at <= now-lag {
			e.AgeMS = now - e.at
			out = append(out, e.Event)
		}
	}
	return out
}

package route

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
)

// CacheIndex estimates the content of one engine's prefix cache. It holds the engine's
// cached chats up to the size of its cache and evicts the least recently used first. It
// also records where the chats that have this engine as their home ran last. It is not
// safe for concurrent use.
type CacheIndex struct {
	// capacity is the size of the engine's cache in tokens. The tokens of two or more
	// chats never exceed it.
	capacity int
	tokens   int
	chats    *simplelru.LRU[uint64, prefix]
	// placements has the engines of chats that ran elsewhere than at their home.
	placements *simplelru.LRU[uint64, string]
}

// prefix is the cached prefix of a chat.
type prefix struct {
	tokens int
	// endedAt is when the chat's latest turn ended.
	endedAt clock.Millis
}

// maxChats limits the chats of an index, at 100 bytes each. With 84 million chats on
// 10,000 engines, each engine has 8,400.
const maxChats = 65536

// maxPlacements limits the chats whose placement is recorded.
const maxPlacements = 16384

// NewCacheIndex returns an empty index for a cache of capacity tokens.
func NewCacheIndex(capacity int) *CacheIndex {
	c := &CacheIndex{capacity: capacity}
	// NewLRU fails only if the size is not positive.
	c.chats, _ = simplelru.NewLRU(maxChats, func(_ uint64, p prefix) { c.tokens -= p.tokens })
	c.placements, _ = simplelru.NewLRU[uint64, string](maxPlacements, nil)
	return c
}

// SetCapacity sets the size of the engine's cache in tokens.
func (c *CacheIndex) SetCapacity(tokens int) {
	c.capacity = tokens
	c.trim()
}

// RecordTurn records that a turn of chat ended at now and left a prefix of tokens in the
// cache.
func (c *CacheIndex) RecordTurn(chat uint64, tokens int, now clock.Millis) {
	c.chats.Remove(chat)
	c.chats.Add(chat, prefix{tokens, now})
	c.tokens += tokens
	c.placements.Remove(chat)
	c.trim()
}

// trim evicts the least recently used chats until the rest fit the capacity.
func (c *CacheIndex) trim() {
	for c.tokens > c.capacity && c.chats.Len() > 1 {
		c.chats.RemoveOldest()
	}
}

// RecordEvicted records an engine's event that chat was evicted at the given time. Events
// arrive late: one from before the chat's latest turn is ignored.
func (c *CacheIndex) RecordEvicted(chat uint64, at clock.Millis) {
	if p, ok := c.chats.Peek(chat); ok && at >= p.endedAt {
		c.chats.Remove(chat)
	}
}

// RecordStored records an engine's event that it stored tokens of chat at the given time.
// It is ignored if the chat is in the index: turns are recorded as they end, so that entry
// is at least as recent.
func (c *CacheIndex) RecordStored(chat uint64, tokens int, at clock.Millis) {
	if _, indexed := c.chats.Peek(chat); indexed || tokens <= 0 {
		return
	}
	c.chats.Add(chat, prefix{tokens, at})
	c.tokens += tokens
	c.trim()
}

// Clear removes all cached chats, after the engine has lost its cache.
func (c *CacheIndex) Clear() { c.chats.Purge() }

// CachedTokens returns how many tokens of chat are cached, as far as is known.
func (c *CacheIndex) CachedTokens(chat uint64) int {
	p, _ := c.chats.Peek(chat)
	return p.tokens
}

// TotalTokens returns how many tokens are cached in all, as far as is known.
func (c *CacheIndex) TotalTokens() int { return c.tokens }

// Chats returns the cached chats, least recently used first.
func (c *CacheIndex) Chats() []uint64 { return c.chats.Keys() }

// RecordPlacement records that the latest turn of chat ran at engine.
func (c *CacheIndex) RecordPlacement(chat uint64, engine string) { c.placements.Add(chat, engine) }

// Placement returns the engine that ran the latest turn of chat, or "" if it is unknown.
func (c *CacheIndex) Placement(chat uint64) string {
	engine, _ := c.placements.Peek(chat)
	return engine
}

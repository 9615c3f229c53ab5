package route

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
)

// CacheIndex is what a daemon believes of one engine's prefix cache: the chats that
// it holds, least recently used first out, within the engine's memory. It also
// remembers where chats went that it is the home of. It is not safe for
// concurrent use.
type CacheIndex struct {
	// capacity is the engine's cache memory in tokens; the sum of the
	// entries' tokens never exceeds it while there are two or more.
	capacity int
	tokens   int
	chats    *simplelru.LRU[uint64, prefix]
	// placed remembers the engine of chats that ran away from home, at most
	// maxPlaced of them.
	placed *simplelru.LRU[uint64, string]
}

// prefix is what is believed cached of one chat.
type prefix struct {
	tokens int
	// at is when the chat's latest turn ended.
	at clock.Millis
}

// maxChats bounds the chats of one engine's book, 100 bytes each. The share
// of one engine in 84 million chats on 10,000 engines is 8,400.
const maxChats = 65536

// maxPlaced bounds the chats away from home that a daemon remembers.
const maxPlaced = 16384

// NewCacheIndex returns a book for a cache of the given capacity in tokens.
func NewCacheIndex(capacity int) *CacheIndex {
	b := &CacheIndex{capacity: capacity}
	// NewLRU fails only for sizes that are not positive.
	b.chats, _ = simplelru.NewLRU(maxChats, func(_ uint64, p prefix) { b.tokens -= p.tokens })
	b.placed, _ = simplelru.NewLRU[uint64, string](maxPlaced, nil)
	return b
}

// SetCapacity changes the cache memory in tokens, as the engine reports it.
func (b *CacheIndex) SetCapacity(tokens int) {
	b.capacity = tokens
	b.trim()
}

// RecordTurn records that chat has a prefix of the given tokens in the cache at now.
func (b *CacheIndex) RecordTurn(chat uint64, tokens int, now clock.Millis) {
	b.chats.Remove(chat)
	b.chats.Add(chat, prefix{tokens, now})
	b.tokens += tokens
	b.placed.Remove(chat)
	b.trim()
}

func (b *CacheIndex) trim() {
	for b.tokens > b.capacity && b.chats.Len() > 1 {
		b.chats.RemoveOldest()
	}
}

// RecordEvicted takes the engine's word that chat was no longer cached at the time
// at. Events come late: one from before the chat's latest turn is passed over.
func (b *CacheIndex) RecordEvicted(chat uint64, at clock.Millis) {
	if p, ok := b.chats.Peek(chat); ok && at >= p.at {
		b.chats.Remove(chat)
	}
}

// RecordStored takes the engine's word that it kept the given tokens of chat at the time at. What
// is known of the chat already is as late or later: a turn is recorded when it ends.
func (b *CacheIndex) RecordStored(chat uint64, tokens int, at clock.Millis) {
	if _, known := b.chats.Peek(chat); known || tokens <= 0 {
		return
	}
	b.chats.Add(chat, prefix{tokens, at})
	b.tokens += tokens
	b.trim()
}

// Clear drops all chats that the engine is believed to hold: it has lost its memory.
func (b *CacheIndex) Clear() { b.chats.Purge() }

// CachedTokens returns the tokens of chat that the engine is believed to hold.
func (b *CacheIndex) CachedTokens(chat uint64) int {
	p, _ := b.chats.Peek(chat)
	return p.tokens
}

// TotalTokens returns how many tokens the engine is believed to hold in all.
func (b *CacheIndex) TotalTokens() int { return b.tokens }

// Chats lists the cached chats, least recently used first.
func (b *CacheIndex) Chats() []uint64 { return b.chats.Keys() }

// RecordPlacement records that the latest turn of chat ran at engine.
func (b *CacheIndex) RecordPlacement(chat uint64, engine string) { b.placed.Add(chat, engine) }

// Placement returns where the latest turn of chat ran, "" if unknown.
func (b *CacheIndex) Placement(chat uint64) string {
	engine, _ := b.placed.Peek(chat)
	return engine
}

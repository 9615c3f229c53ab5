package engines

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// memoryMost bounds the beginnings of prompts that are remembered, about
	// 200 bytes each.
	memoryMost = 8192
	// holdersMost bounds the engines that are remembered for each.
	holdersMost = 4
	// recentMost bounds the placements that are kept to be told to peers.
	recentMost = 64
)

// Placement says that an engine was sent a prompt with a beginning.
type Placement struct {
	// Key is the hash of the beginning.
	Key uint64
	// Engine is the hash of the engine's id.
	Engine uint32
	Age    clock.Millis
}

// memory is where entries sent the prompts that begin alike, so that an engine
// can be told who keeps what it lacks: what this entry sent, and what peers told
// of theirs. It is a guess: engines give way to newer prompts, and word of peers
// is late and not whole.
type memory struct {
	byKey *simplelru.LRU[uint64, []string]
	// recent is a ring of the latest placements; n counts all that came.
	recent [recentMost]placed
	n      int
}

// placed is a placement and when it was made.
type placed struct {
	Placement
	at clock.Millis
}

func newMemory() *memory {
	// NewLRU fails only for sizes that are not positive.
	byKey, _ := simplelru.NewLRU[uint64, []string](memoryMost, nil)
	return &memory{byKey: byKey}
}

// note records that an engine was sent a prompt with these beginnings.
func (m *memory) note(keys []uint64, e *Engine, at clock.Millis) {
	for _, k := range keys {
		m.place(k, e, at)
	}
}

// place records a holder of a beginning, the latest first.
func (m *memory) place(key uint64, e *Engine, at clock.Millis) {
	holders, _ := m.byKey.Get(key)
	if len(holders) > 0 && holders[0] == e.info.ID {
		return
	}
	news := !slices.Contains(holders, e.info.ID)
	next := make([]string, 0, min(holdersMost, len(holders)+1))
	next = append(next, e.info.ID)
	for _, h := range holders {
		if h != e.info.ID && len(next) < holdersMost {
			next = append(next, h)
		}
	}
	m.byKey.Add(key, next)
	if news {
		m.recent[m.n%recentMost] = placed{Placement{Key: key, Engine: e.hash}, at}
		m.n++
	}
}

// latest returns the n latest placements that were news here.
func (m *memory) latest(n int, now clock.Millis) []Placement {
	n = min(n, m.n, recentMost)
	out := make([]Placement, 0, n)
	for i := range n {
		p := m.recent[(m.n-1-i)%recentMost]
		p.Age = now - p.at
		out = append(out, p.Placement)
	}
	return out
}

// holders returns the engines that were sent a beginning, the latest first.
func (m *memory) holders(key uint64) []string {
	h, _ := m.byKey.Get(key)
	return h
}

func (m *memory) holds(key uint64, engine string) bool {
	return slices.Contains(m.holders(key), engine)
}

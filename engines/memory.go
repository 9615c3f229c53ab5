package engines

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// memoryMost bounds the beginnings of prompts that are remembered, about
	// 200 bytes each.
	memoryMost = 8192
	// holdersMost bounds the engines that are remembered for each.
	holdersMost = 4
)

// memory is where this entry sent the prompts that begin alike, so that an
// engine can be told who keeps what it lacks. It is a guess: engines give
// way to newer prompts, and other entries' requests are not in it.
type memory struct {
	byKey *simplelru.LRU[uint64, []Incarnation]
}

func newMemory() *memory {
	// NewLRU fails only for sizes that are not positive.
	byKey, _ := simplelru.NewLRU[uint64, []Incarnation](memoryMost, nil)
	return &memory{byKey: byKey}
}

// note records that an engine was sent a prompt with these beginnings.
func (m *memory) note(keys []uint64, engine Incarnation) {
	for _, k := range keys {
		holders, _ := m.byKey.Get(k)
		if len(holders) > 0 && holders[0] == engine {
			continue
		}
		next := make([]Incarnation, 0, min(holdersMost, len(holders)+1))
		next = append(next, engine)
		for _, h := range holders {
			if h != engine && len(next) < holdersMost {
				next = append(next, h)
			}
		}
		m.byKey.Add(k, next)
	}
}

// holders returns the engines that were sent a beginning, the latest first.
func (m *memory) holders(key uint64) []Incarnation {
	h, _ := m.byKey.Get(key)
	return h
}

func (m *memory) holds(key uint64, engine Incarnation) bool {
	return slices.Contains(m.holders(key), engine)
}

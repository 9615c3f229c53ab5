package engines

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixes bounds the number of remembered prefixes, about 200 bytes each.
	maxPrefixes = 8192
	// maxHolders bounds the engines remembered for each prefix.
	maxHolders = 4
)

// prefixCache remembers which engines this entry sent prompts with a prefix to, so that
// another engine can fetch the prefix from one of them. It is only an estimate: engines
// evict prefixes for newer prompts, and requests of other entries are not included.
type prefixCache struct {
	byKey *simplelru.LRU[uint64, []Incarnation]
}

func newPrefixCache() *prefixCache {
	// NewLRU fails only if the size is not positive.
	byKey, _ := simplelru.NewLRU[uint64, []Incarnation](maxPrefixes, nil)
	return &prefixCache{byKey: byKey}
}

// record records that an engine was sent a prompt with the given prefixes.
func (m *prefixCache) record(keys []uint64, engine Incarnation) {
	for _, k := range keys {
		holders, _ := m.byKey.Get(k)
		if len(holders) > 0 && holders[0] == engine {
			continue
		}
		next := make([]Incarnation, 0, min(maxHolders, len(holders)+1))
		next = append(next, engine)
		for _, h := range holders {
			if h != engine && len(next) < maxHolders {
				next = append(next, h)
			}
		}
		m.byKey.Add(k, next)
	}
}

// holders returns the engines that were sent a prefix, the latest first.
func (m *prefixCache) holders(key uint64) []Incarnation {
	h, _ := m.byKey.Get(key)
	return h
}

func (m *prefixCache) holds(key uint64, engine Incarnation) bool {
	return slices.Contains(m.holders(key), engine)
}

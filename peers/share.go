package peers

import (
	"maps"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"
)

// Shares divides fleet-wide quotas among the entries without coordination. Entries that
// know the same others compute matching parts, which add up to the whole. The zero value
// is an entry that is alone. Shares is immutable.
type Shares struct {
	self string
	// seeds holds the hash of each other entry's name.
	seeds []uint64
}

// NewShares returns the shares of the entry self among others. Missing entries are made
// up until there are minEntries, this one included.
func NewShares(self string, others []string, minEntries int) Shares {
	s := Shares{self: self}
	for _, id := range others {
		s.seeds = append(s.seeds, xxh3.HashString(id))
	}
	for i := len(others) + 1; i < minEntries; i++ {
		s.seeds = append(s.seeds, xxh3.HashString("unknown "+strconv.Itoa(i)))
	}
	return s
}

// Part returns this entry's part of a whole. The remainder of an even division is handed
// out one by one to the entries that rank first for the key, so that different entries
// get it for different keys.
func (s Shares) Part(whole int, key string) int {
	n := len(s.seeds) + 1
	part, left := whole/n, whole%n
	if s.rank(key) < left {
		part++
	}
	return part
}

// rank returns how many entries rank before this one for a key.
func (s Shares) rank(key string) int {
	own := xxh3.HashStringSeed(key, xxh3.HashString(s.self))
	n := 0
	for _, seed := range s.seeds {
		if xxh3.HashStringSeed(key, seed) < own {
			n++
		}
	}
	return n
}

func (m *Members) others() []string { return slices.Sorted(maps.Keys(m.byAddr)) }

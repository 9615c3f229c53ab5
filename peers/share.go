package peers

import (
	"maps"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"
)

// Shares divides what all entries together may do among them, without talk: all
// that know of the same entries agree on who has what, and the parts sum up to
// the whole. The zero value is one entry alone. It is immutable.
type Shares struct {
	self string
	// seeds has one number for each other entry.
	seeds []uint64
}

// NewShares returns the shares of the entry self among others. If fewer than
// least entries are known, this one included, the rest are taken to be there.
func NewShares(self string, others []string, least int) Shares {
	s := Shares{self: self}
	for _, id := range others {
		s.seeds = append(s.seeds, xxh3.HashString(id))
	}
	for i := len(others) + 1; i < least; i++ {
		s.seeds = append(s.seeds, xxh3.HashString("unknown "+strconv.Itoa(i)))
	}
	return s
}

// Part returns this entry's part of a whole. What is left when all have the same
// goes to one more each of some entries, to others for another key.
func (s Shares) Part(whole int, key string) int {
	n := len(s.seeds) + 1
	part, left := whole/n, whole%n
	if s.before(key) < left {
		part++
	}
	return part
}

// before returns how many entries come before this one in the order for a key.
func (s Shares) before(key string) int {
	own := xxh3.HashStringSeed(key, xxh3.HashString(s.self))
	n := 0
	for _, seed := range s.seeds {
		if xxh3.HashStringSeed(key, seed) < own {
			n++
		}
	}
	return n
}

// others returns the addresses of the other entries, sorted.
func (m *Members) others() []string { return slices.Sorted(maps.Keys(m.seen)) }

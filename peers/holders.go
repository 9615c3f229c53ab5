package peers

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// holders returns the addresses of up to n other members, in an order that all processes
// compute alike from a hash, with those whose last call failed at the end. reachable is
// the number of members whose last call did not fail, known that of all.
func (p *Peers) holders(hash uint64, n int) (addrs []string, reachable, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.holders(hash, n)
}

func (m *Members) holders(hash uint64, n int) (addrs []string, reachable, known int) {
	var failed []string
	for addr, k := range m.byAddr {
		if k.failed() {
			failed = append(failed, addr)
		} else {
			addrs = append(addrs, addr)
		}
	}
	reachable = len(addrs)
	rank := func(a, b string) int {
		return cmp.Compare(xxh3.HashStringSeed(a, hash), xxh3.HashStringSeed(b, hash))
	}
	slices.SortFunc(addrs, rank)
	slices.SortFunc(failed, rank)
	addrs = append(addrs, failed...)
	return addrs[:min(n, len(addrs))], reachable, len(m.byAddr)
}

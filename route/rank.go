// Package route chooses the engine of a request. Its functions are pure: they take the
// time, the loads and the engines as arguments, so that tests and replays can call them.
//
// Every entry ranks the engines of a pool for a chat by weighted rendezvous hashing. All
// entries agree on the ranking without communication, and a change of one engine moves
// only that engine's chats. The choice is bounded by load, as in consistent hashing with
// bounded loads. The engine's daemon makes the final decision.
package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Target is an engine or an instance of a plain service.
type Target struct {
	id   string
	hash uint64
	// slots is the number of requests that run concurrently, at least 1.
	slots int
}

// NewTarget returns a target with the given ID and at least one slot.
func NewTarget(id string, slots int) Target {
	return Target{id: id, hash: xxh3.HashString(id), slots: max(1, slots)}
}

// ID returns the ID of the engine or instance.
func (t Target) ID() string { return t.id }

// Slots returns the number of requests that run concurrently.
func (t Target) Slots() int { return t.slots }

// ChatKey returns the hash of a chat within its workspace. It is never zero.
func ChatKey(workspace, chat string) uint64 {
	return max(1, xxh3.HashString(workspace+"\x00"+chat))
}

// mix is the finalizer of SplitMix64. It distributes keys and targets evenly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform maps key and t to a number in the open interval (0, 1).
func uniform(key uint64, t Target) float64 {
	return (float64(mix(key^t.hash)>>11) + 0.5) / (1 << 53)
}

// score returns the weighted rendezvous score -w/ln(u). The highest ranks first.
func score(u float64, slots int) float64 { return -float64(slots) / math.Log(u) }

// Rank returns the indexes of the n best targets for key, best first.
func Rank(key uint64, targets []Target, n int) []int {
	return RankBy(key, targets, func(t Target) Target { return t }, n)
}

// RankBy returns the indexes of the n best items for key, best first, by the targets that
// belong to them. For small n, it makes one pass and allocates only its result. It avoids
// the logarithm for most targets: it caches the minimum u that beats the worst of the best
// n so far, for the latest number of slots. For large n, it scores and sorts all items.
func RankBy[T any](key uint64, items []T, target func(T) Target, n int) []int {
	n = min(n, len(items))
	if n == 0 {
		return nil
	}
	if n > maxInserted {
		return rankAll(key, items, target)[:n]
	}
	top := make([]ranked, 0, n+1)
	minU, minUSlots := 0.0, 0
	for i, x := range items {
		t := target(x)
		u := uniform(key, t)
		full := len(top) == n
		if full && t.slots != minUSlots {
			minU, minUSlots = math.Exp(-float64(t.slots)/top[n-1].score), t.slots
		}
		if full && u <= minU {
			continue
		}
		top = insert(top, ranked{i, score(u, t.slots)}, n)
		minUSlots = 0
	}
	return indexes(top)
}

// maxInserted is the largest n for which RankBy inserts into an ordered list. The time for
// that grows with n squared, and beyond a few dozen it is cheaper to sort all items.
const maxInserted = 64

// rankAll returns the indexes of all items, best first. Equal items keep their order.
func rankAll[T any](key uint64, items []T, target func(T) Target) []int {
	all := make([]ranked, len(items))
	for i, x := range items {
		t := target(x)
		all[i] = ranked{i, score(uniform(key, t), t.slots)}
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return indexes(all)
}

func indexes(top []ranked) []int {
	out := make([]int, len(top))
	for i, r := range top {
		out[i] = r.index
	}
	return out
}

type ranked struct {
	index int
	score float64
}

// insert adds r to the n best, which are ordered best first. Equal items keep their order.
func insert(top []ranked, r ranked, n int) []ranked {
	i := len(top)
	for i > 0 && top[i-1].score < r.score {
		i--
	}
	top = slices.Insert(top, i, r)
	return top[:min(n, len(top))]
}

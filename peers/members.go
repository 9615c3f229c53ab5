// Package peers lets the entries of a deployment help each other without a
// store of their own. Each asks another a few times a second, and learns who
// else is there, up to when the published settings are known to be true, and
// how loaded engines are. Nothing of what operators publish is taken from a
// peer: only the platform says what is in force. A peer can only tell how
// long it has been so.
package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// memberFor is how long a member is known after its last sign: over ten
	// rounds, so that neither lost calls nor a slow process hide it.
	memberFor clock.Millis = 6000
	// neighbours is how many members a process asks in turn. Three connect a
	// fleet of thousands with a few steps between any two.
	neighbours = 3
	// sampleMembers bounds the members in one message.
	sampleMembers = 4
	// membersMost bounds the members that are remembered. A larger fleet is
	// known in part, which is enough to spread news.
	membersMost = 512
)

// Member is another entry.
type Member struct {
	ID string `json:"i"`
	// Addr is host:port for peers.
	Addr string `json:"a"`
	// Age is how long ago the member gave a sign, in milliseconds.
	Age clock.Millis `json:"g,omitempty"`
}

// Members is what one process knows of the others. It is not safe for
// concurrent use.
type Members struct {
	self Member
	// rank is the place of this process in the order that all agree on.
	rank uint64
	// seen has when each other member last gave a sign, as far as known.
	seen map[string]known
	// next is the neighbour to be asked next.
	next int
}

type known struct {
	addr string
	at   clock.Millis
	// rank is the member's place in the order that all processes agree on.
	rank uint64
	// order is the member's place among the neighbours of this process.
	order uint64
}

// NewMembers returns a list on which only this process is.
func NewMembers(self Member) *Members {
	return &Members{self: self, rank: xxh3.HashString(self.ID), seen: map[string]known{}}
}

// Learn takes a member from a message that is at least as old as it says.
func (m *Members) Learn(o Member, now clock.Millis) {
	if o.ID == "" || o.ID == m.self.ID || o.Addr == "" || o.Age < 0 || o.Age > memberFor {
		return
	}
	at := now - o.Age
	k, ok := m.seen[o.ID]
	if !ok && len(m.seen) >= membersMost {
		return
	}
	if ok && k.at >= at {
		return
	}
	m.seen[o.ID] = known{addr: o.Addr, at: at, rank: xxh3.HashString(o.ID), order: xxh3.HashString(m.self.ID + "\x00" + o.ID)}
}

// Sweep forgets members that gave no sign for long.
func (m *Members) Sweep(now clock.Millis) {
	for id, k := range m.seen {
		if now-k.at > memberFor {
			delete(m.seen, id)
		}
	}
}

// Count returns the number of entries that are known, this one included.
func (m *Members) Count() int { return len(m.seen) + 1 }

// Sample returns this process and some others, for a message.
func (m *Members) Sample(now clock.Millis) []Member {
	out := []Member{m.self}
	for id, k := range m.seen {
		if len(out) >= sampleMembers {
			break
		}
		out = append(out, Member{ID: id, Addr: k.addr, Age: now - k.at})
	}
	return out
}

// First reports whether this process comes before all others that are known
// in the order that all agree on.
func (m *Members) First() bool {
	for _, k := range m.seen {
		if k.rank < m.rank {
			return false
		}
	}
	return true
}

// Next returns the address of the member to ask next, or "" if none is known.
// A process asks few members, in turn, so that few connections are kept. These
// come before it in the common order, so that what the first of all knows
// reaches everybody in about as many steps as the logarithm of their number.
// Now and then it asks any, so that no group stays by itself.
func (m *Members) Next() string {
	if len(m.seen) == 0 {
		return ""
	}
	ids := make([]string, 0, len(m.seen))
	for id := range m.seen {
		ids = append(ids, id)
	}
	m.next++
	if m.next%strangerEvery == 0 {
		return m.seen[ids[rand.IntN(len(ids))]].addr
	}
	if !m.First() {
		ids = slices.DeleteFunc(ids, func(id string) bool { return m.seen[id].rank > m.rank })
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(m.seen[a].order, m.seen[b].order) })
	return m.seen[ids[m.next%min(neighbours, len(ids))]].addr
}

// strangerEvery is how often any member is asked in place of a neighbour.
const strangerEvery = 16

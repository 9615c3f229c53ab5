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
	// Leaving is for how long it had been stopping when it gave that sign, zero
	// if it was not.
	Leaving clock.Millis `json:"l,omitempty"`
	// EndsIn is how long it then expected to go on, if it was stopping.
	EndsIn clock.Millis `json:"e,omitempty"`
}

// Stop is a planned stop of an entry.
type Stop struct {
	// Since is when it was told to stop, zero if it was not.
	Since clock.Millis
	// End is when it expects to have ended.
	End clock.Millis
}

// begun reports whether the entry was told to stop.
func (s Stop) begun() bool { return s.Since != 0 }

// Fleet is what one entry knows of the others.
type Fleet struct {
	// Entries is how many are known, this one included; at least 1.
	Entries int
	// First is true if this one comes first in the order that all agree on.
	First bool
	// Serving is how many others were heard of lately and are not stopping.
	Serving int
	// Earlier and Later are how many others are stopping since before this one
	// is, and since after.
	Earlier, Later int
	// HalfEnd is when so many of those that were stopping expect to have ended,
	// this one included, that they and those that serve are half of all: of four
	// entries of which one serves, when the first of the others ends. It may have
	// passed; it is zero if half of all serve.
	HalfEnd clock.Millis
}

const (
	// standsFor is how long word of another is good for in the question who
	// serves: a few rounds, in which a process may have ended.
	standsFor clock.Millis = 2000
	// togetherFor is the difference in time below which two entries take it that
	// they were stopped together: word of it takes about a round.
	togetherFor clock.Millis = 500
)

// Members is what one process knows of the others. It is not safe for
// concurrent use.
type Members struct {
	self Member
	// rank is the place of this process in the order that all agree on.
	rank uint64
	stop Stop
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
	stop Stop
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
	stop := Stop{}
	if o.Leaving > 0 {
		stop = Stop{Since: at - o.Leaving, End: at + o.EndsIn}
	}
	m.seen[o.ID] = known{addr: o.Addr, at: at, stop: stop, rank: xxh3.HashString(o.ID), order: xxh3.HashString(m.self.ID + "\x00" + o.ID)}
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

// Leave records that this process is stopping, or, with a zero stop, that it
// is not.
func (m *Members) Leave(s Stop) { m.stop = s }

// Fleet returns what is known of the others.
func (m *Members) Fleet(now clock.Millis) Fleet {
	f := Fleet{Entries: m.Count(), First: m.First()}
	var ends []clock.Millis
	if m.stop.begun() {
		ends = append(ends, m.stop.End)
	}
	for _, k := range m.seen {
		if k.stop.begun() {
			ends = append(ends, k.stop.End)
		}
		switch {
		case now-k.at > standsFor:
		case !k.stop.begun():
			f.Serving++
		case m.leavesBefore(k):
			f.Earlier++
		default:
			f.Later++
		}
	}
	slices.Sort(ends)
	if missing := (f.Entries+1)/2 - f.Serving; missing > 0 && len(ends) > 0 {
		f.HalfEnd = ends[min(missing, len(ends))-1]
	}
	return f
}

// leavesBefore reports whether another that is stopping goes before this one.
// Those that were stopped together go in the order that all agree on.
func (m *Members) leavesBefore(k known) bool {
	d := k.stop.Since - m.stop.Since
	if !m.stop.begun() || max(d, -d) < togetherFor {
		return k.rank < m.rank
	}
	return d < 0
}

// Sample returns this process and some others, for a message.
func (m *Members) Sample(now clock.Millis) []Member {
	self := m.self
	if m.stop.begun() {
		self.Leaving, self.EndsIn = max(1, now-m.stop.Since), max(0, m.stop.End-now)
	}
	out := []Member{self}
	for id, k := range m.seen {
		if len(out) >= sampleMembers {
			break
		}
		o := Member{ID: id, Addr: k.addr, Age: now - k.at}
		if k.stop.begun() {
			o.Leaving, o.EndsIn = k.at-k.stop.Since, max(0, k.stop.End-k.at)
		}
		out = append(out, o)
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

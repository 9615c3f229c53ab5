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
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// memberFor is how long a member is known after its last sign at least, so that
	// neither lost calls nor a slow process hide it, and signs of hundreds have the time
	// to come: a process that nobody asks is told of fifty members a second. With 6 s
	// and four members a message it knew 37 of 103 entries and 43 of 1,000.
	memberFor clock.Millis = 30_000
	// signEvery is that time for each member that is known, where that is longer.
	signEvery clock.Millis = 200
	// firstFor is how long the sign of the first of all is good for. It is told in
	// each message.
	firstFor clock.Millis = 6000
	// neighbours is how many members a process asks in turn.
	neighbours = 3
	// fanIn is by how much closer to the first, in the order that all agree on, the
	// neighbours of a process are: word of the first reaches 100 entries in three
	// steps, 3,000 in five. With neighbours anywhere before it there were as many as
	// the natural logarithm.
	fanIn = 5
	// sampleMembers bounds the members in one message that are told in full.
	sampleMembers = 4
	// membersMost bounds the members that are remembered, of some 150 bytes each: the
	// fleet of the plan.
	membersMost = 4096
)

// Member is another entry. It is known by its address.
type Member struct {
	// ID is the name of the entry, for logs; it may be empty.
	ID string `json:"i,omitempty"`
	// Addr is host:port for peers.
	Addr string `json:"a"`
	// Age is how long ago the member gave a sign, in milliseconds.
	Age clock.Millis `json:"g,omitempty"`
	// StoppingFor is for how long it had been stopping when it gave that sign, zero
	// if it was not.
	StoppingFor clock.Millis `json:"l,omitempty"`
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
	// StoppingBefore and StoppingAfter are how many others are stopping since before this one
	// is, and since after.
	StoppingBefore, StoppingAfter int
	// HalfEndedAt is when so many of those that were stopping expect to have ended,
	// this one included, that they and those that serve are half of all: of four
	// entries of which one serves, when the first of the others ends. It may have
	// passed; it is zero if half of all serve.
	HalfEndedAt clock.Millis
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
	// seen has when each other member last gave a sign, as far as known, by address.
	seen map[string]known
	// next is the neighbour to be asked next.
	next int
}

type known struct {
	// addr is that of the member, the zero value if it cannot be packed.
	addr netip.AddrPort
	at   clock.Millis
	// failedAt is when this process last asked the member in vain, 0 if it did not.
	failedAt clock.Millis
	// rank is the member's place in the order that all processes agree on.
	rank uint64
	stop Stop
}

// NewMembers returns a list on which only this process is.
func NewMembers(self Member) *Members {
	return &Members{self: self, rank: xxh3.HashString(self.Addr), seen: map[string]known{}}
}

// keep is how long a member is known after its last sign.
func (m *Members) keep() clock.Millis {
	return max(memberFor, signEvery*clock.Millis(len(m.seen)))
}

// Update takes a member from a message that is at least as old as it says.
func (m *Members) Update(o Member, now clock.Millis) {
	if o.Addr == "" || o.Addr == m.self.Addr || o.Age < 0 || o.Age > m.keep() {
		return
	}
	at := now - o.Age
	k, ok := m.seen[o.Addr]
	if !ok && len(m.seen) >= membersMost {
		return
	}
	if ok && k.at >= at {
		return
	}
	if !ok {
		k = known{addr: packable(o.Addr), rank: xxh3.HashString(o.Addr)}
	}
	k.at, k.stop = at, Stop{}
	if o.StoppingFor > 0 {
		k.stop = Stop{Since: at - o.StoppingFor, End: at + o.EndsIn}
	}
	m.seen[o.Addr] = k
}

// Expire forgets members that gave no sign for long.
func (m *Members) Expire(now clock.Millis) {
	keep := m.keep()
	for addr, k := range m.seen {
		if now-k.at > keep {
			delete(m.seen, addr)
		}
	}
}

// Count returns the number of entries that are known, this one included.
func (m *Members) Count() int { return len(m.seen) + 1 }

// SetStop records that this process is stopping, or, with a zero stop, that it
// is not.
func (m *Members) SetStop(s Stop) { m.stop = s }

// Fleet returns what is known of the others.
func (m *Members) Fleet(now clock.Millis) Fleet {
	f := Fleet{Entries: m.Count(), First: m.RanksFirst(now)}
	var ends []clock.Millis
	// heard is how many there are of which it is known whether they serve.
	heard := 1
	if m.stop.begun() {
		ends = append(ends, m.stop.End)
	}
	for _, k := range m.seen {
		if k.stop.begun() {
			ends = append(ends, k.stop.End)
		}
		if k.stop.begun() || now-k.at <= standsFor {
			heard++
		}
		switch {
		case now-k.at > standsFor:
		case !k.stop.begun():
			f.Serving++
		case m.leavesBefore(k):
			f.StoppingBefore++
		default:
			f.StoppingAfter++
		}
	}
	slices.Sort(ends)
	if missing := (heard+1)/2 - f.Serving; missing > 0 && len(ends) > 0 {
		f.HalfEndedAt = ends[min(missing, len(ends))-1]
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

// Sample returns this process and some others, for a message: those that are
// stopping, and those that Pack leaves out.
func (m *Members) Sample(now clock.Millis) []Member {
	self := m.self
	if m.stop.begun() {
		self.StoppingFor, self.EndsIn = max(1, now-m.stop.Since), max(0, m.stop.End-now)
	}
	out := []Member{self}
	for addr, k := range m.seen {
		if len(out) >= sampleMembers {
			break
		}
		if !k.stop.begun() && k.addr.IsValid() {
			continue
		}
		o := Member{Addr: addr, Age: now - k.at}
		if k.stop.begun() {
			o.StoppingFor, o.EndsIn = k.at-k.stop.Since, max(0, k.stop.End-k.at)
		}
		out = append(out, o)
	}
	return out
}

// RanksFirst reports whether this process comes before all others of which a sign came
// lately, in the order that all agree on.
func (m *Members) RanksFirst(now clock.Millis) bool {
	for _, k := range m.seen {
		if k.rank < m.rank && now-k.at <= firstFor {
			return false
		}
	}
	return true
}

// MarkFailed records that this process asked a member in vain. Until it gives another sign it is
// asked only as one that is lost.
func (m *Members) MarkFailed(addr string, now clock.Millis) {
	if k, ok := m.seen[addr]; ok {
		k.failedAt = now
		m.seen[addr] = k
	}
}

func (k known) failed() bool { return k.failedAt > k.at }

// NextPeer returns the address of the member to ask next, or "" if none is known.
// A process asks few members, in turn, so that few connections are kept. These
// come before it in the common order, a fifth of the way, so that what the first of
// all knows reaches everybody in a few steps. Now and then it asks any, so that no
// group stays by itself.
func (m *Members) NextPeer() string {
	m.next++
	before := m.before()
	if len(before) == 0 || m.next%strangerEvery == 0 {
		return m.stranger()
	}
	aim, _ := slices.BinarySearchFunc(before, m.rank/fanIn, func(a string, rank uint64) int { return cmp.Compare(m.seen[a].rank, rank) })
	from := max(0, min(aim-neighbours/2, len(before)-neighbours))
	return before[from+m.next%min(neighbours, len(before))]
}

// before returns the members that can be asked and come before this process in the
// common order.
func (m *Members) before() []string {
	var out []string
	for addr, k := range m.seen {
		if k.rank < m.rank && !k.failed() {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(m.seen[a].rank, m.seen[b].rank) })
	return out
}

// stranger returns a member by chance, one that can be asked if there is one, or "".
func (m *Members) stranger() string {
	if addr := m.draw(false); addr != "" {
		return addr
	}
	return m.draw(true)
}

// RandomFailed returns a member by chance that was asked in vain, or "".
func (m *Members) RandomFailed() string { return m.draw(true) }

// draw returns a member by chance of those that were asked in vain, or of the others, "" if
// there is none.
func (m *Members) draw(failed bool) string {
	chosen, n := "", 0
	for addr, k := range m.seen {
		if k.failed() != failed {
			continue
		}
		if n++; rand.IntN(n) == 0 {
			chosen = addr
		}
	}
	return chosen
}

// strangerEvery is how often any member is asked in place of a neighbour.
const strangerEvery = 16

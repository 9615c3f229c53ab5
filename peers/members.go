// Package peers exchanges state between the entries of a deployment without a shared
// store. Each entry calls another a few times a second to learn which entries exist,
// until when the published settings are confirmed, and the loads of engines. An entry
// never takes published settings from a peer: only the platform says what is in force,
// and a peer only how recently that was confirmed.
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
	// minMemberTTL is the least time a member is kept after it was last seen, so that
	// lost calls or a slow process do not hide it and reports of hundreds of members have
	// time to arrive: a process that no other calls receives fifty members a second. With
	// 6 s and four members a message, a process knew 37 of 103 entries and 43 of 1,000.
	minMemberTTL clock.Millis = 30_000
	// ttlPerMember extends that time in large fleets, by the number of known members.
	ttlPerMember clock.Millis = 200
	// firstTTL is how long a report of the member that ranks first is valid. Every
	// message carries one.
	firstTTL clock.Millis = 6000
	// neighborCount is how many members a process calls in turn.
	neighborCount = 3
	// rankDivisor divides a process's rank to give the rank of the neighbors that it
	// calls, so that what the first entry knows reaches 100 entries in three steps and
	// 3,000 in five. With neighbors picked anywhere below it, the steps grew with the
	// natural logarithm of the fleet.
	rankDivisor = 5
	// maxSample limits the unpacked members in one message.
	maxSample = 4
	// maxMembers limits the members in memory, of some 150 bytes each. It covers the
	// planned fleet size.
	maxMembers = 4096
)

// Member is another entry, identified by its address.
type Member struct {
	// ID is the name of the entry, for logs. It may be empty.
	ID string `json:"i,omitempty"`
	// Addr is the host:port that peers call.
	Addr string `json:"a"`
	// Age is the time since the member was last seen.
	Age clock.Millis `json:"g,omitempty"`
	// StoppingFor is how long it had been stopping at that time, zero if it was not.
	StoppingFor clock.Millis `json:"l,omitempty"`
	// EndsIn is how long it then expected to keep running, if it was stopping.
	EndsIn clock.Millis `json:"e,omitempty"`
}

// Stop is a planned stop of an entry.
type Stop struct {
	// Since is when the stop was requested, zero if it was not.
	Since clock.Millis
	// End is when the entry expects to exit.
	End clock.Millis
}

func (s Stop) begun() bool { return s.Since != 0 }

// Fleet is a summary of the entries that one entry knows.
type Fleet struct {
	// Entries counts the known entries, this one included; at least 1.
	Entries int
	// First reports whether this entry ranks first.
	First bool
	// Serving counts the other entries that were seen recently and are not stopping.
	Serving int
	// StoppingBefore and StoppingAfter count the others that began to stop before this
	// entry, and after it.
	StoppingBefore, StoppingAfter int
	// HalfEndedAt is when enough of the stopping entries, this one included, expect to
	// have exited that together with those that serve they are half of all. Of four
	// entries of which one serves, that is when the first of the others exits. It may be
	// in the past; it is zero if half of all serve.
	HalfEndedAt clock.Millis
}

const (
	// servingTTL is how long a report of another entry counts when deciding who serves. A
	// process may exit within the few rounds that it covers.
	servingTTL clock.Millis = 2000
	// sameStopWindow is the difference below which two entries are taken to have been
	// stopped together. A report of a stop takes about one round to arrive.
	sameStopWindow clock.Millis = 500
)

// Members is the list of members that one process knows. It is not safe for concurrent
// use.
type Members struct {
	self Member
	// rank is this process's position in an order that all processes agree on, the hash
	// of its address.
	rank uint64
	stop Stop
	// byAddr holds the other members by address.
	byAddr map[string]memberState
	// asks counts the calls of NextPeer.
	asks int
}

// memberState is what is known of another member.
type memberState struct {
	// addr is the member's address, or the zero value if it cannot be packed.
	addr netip.AddrPort
	// seenAt is when the member was last seen, as far as known.
	seenAt clock.Millis
	// failedAt is when a call from this process to the member last failed, 0 if none did.
	failedAt clock.Millis
	// rank is the member's position in the order that all processes agree on.
	rank uint64
	stop Stop
}

// NewMembers returns a list that holds only this process.
func NewMembers(self Member) *Members {
	return &Members{self: self, rank: xxh3.HashString(self.Addr), byAddr: map[string]memberState{}}
}

// ttl returns how long a member is kept after it was last seen.
func (m *Members) ttl() clock.Millis {
	return max(minMemberTTL, ttlPerMember*clock.Millis(len(m.byAddr)))
}

// Update adds a member received in a message at now, or updates it if this report is the
// newer one. It ignores this process, reports that are too old or from the future, and
// new members once the list is full.
func (m *Members) Update(o Member, now clock.Millis) {
	if o.Addr == "" || o.Addr == m.self.Addr || o.Age < 0 || o.Age > m.ttl() {
		return
	}
	at := now - o.Age
	k, ok := m.byAddr[o.Addr]
	if !ok && len(m.byAddr) >= maxMembers {
		return
	}
	if ok && k.seenAt >= at {
		return
	}
	if !ok {
		k = memberState{addr: ipv4Addr(o.Addr), rank: xxh3.HashString(o.Addr)}
	}
	k.seenAt, k.stop = at, Stop{}
	if o.StoppingFor > 0 {
		k.stop = Stop{Since: at - o.StoppingFor, End: at + o.EndsIn}
	}
	m.byAddr[o.Addr] = k
}

// Expire removes members that were not seen for the time to live.
func (m *Members) Expire(now clock.Millis) {
	ttl := m.ttl()
	for addr, k := range m.byAddr {
		if now-k.seenAt > ttl {
			delete(m.byAddr, addr)
		}
	}
}

// Count returns the number of known entries, this one included.
func (m *Members) Count() int { return len(m.byAddr) + 1 }

// SetStop records the planned stop of this process. The zero value means that it is not
// stopping.
func (m *Members) SetStop(s Stop) { m.stop = s }

// Fleet returns a summary of the known entries.
func (m *Members) Fleet(now clock.Millis) Fleet {
	f := Fleet{Entries: m.Count(), First: m.RanksFirst(now)}
	var ends []clock.Millis
	// recent counts the entries that are known either to serve or to be stopping.
	recent := 1
	if m.stop.begun() {
		ends = append(ends, m.stop.End)
	}
	for _, k := range m.byAddr {
		if k.stop.begun() {
			ends = append(ends, k.stop.End)
		}
		if k.stop.begun() || now-k.seenAt <= servingTTL {
			recent++
		}
		switch {
		case now-k.seenAt > servingTTL:
		case !k.stop.begun():
			f.Serving++
		case m.stopsBefore(k):
			f.StoppingBefore++
		default:
			f.StoppingAfter++
		}
	}
	slices.Sort(ends)
	if missing := (recent+1)/2 - f.Serving; missing > 0 && len(ends) > 0 {
		f.HalfEndedAt = ends[min(missing, len(ends))-1]
	}
	return f
}

// stopsBefore reports whether a stopping member goes before this process. Those that were
// stopped together go by rank.
func (m *Members) stopsBefore(k memberState) bool {
	d := k.stop.Since - m.stop.Since
	if !m.stop.begun() || max(d, -d) < sameStopWindow {
		return k.rank < m.rank
	}
	return d < 0
}

// Sample returns this process, first, and some other members for a message: stopping
// members and those that Pack cannot encode.
func (m *Members) Sample(now clock.Millis) []Member {
	self := m.self
	if m.stop.begun() {
		self.StoppingFor, self.EndsIn = max(1, now-m.stop.Since), max(0, m.stop.End-now)
	}
	out := []Member{self}
	for addr, k := range m.byAddr {
		if len(out) >= maxSample {
			break
		}
		if !k.stop.begun() && k.addr.IsValid() {
			continue
		}
		o := Member{Addr: addr, Age: now - k.seenAt}
		if k.stop.begun() {
			o.StoppingFor, o.EndsIn = k.seenAt-k.stop.Since, max(0, k.stop.End-k.seenAt)
		}
		out = append(out, o)
	}
	return out
}

// RanksFirst reports whether this process ranks before all members that were seen
// recently.
func (m *Members) RanksFirst(now clock.Millis) bool {
	for _, k := range m.byAddr {
		if k.rank < m.rank && now-k.seenAt <= firstTTL {
			return false
		}
	}
	return true
}

// MarkFailed records that a call to a member failed. Until the member is seen again, only
// RandomFailed returns it, or NextPeer when all members have failed.
func (m *Members) MarkFailed(addr string, now clock.Millis) {
	if k, ok := m.byAddr[addr]; ok {
		k.failedAt = now
		m.byAddr[addr] = k
	}
}

func (k memberState) failed() bool { return k.failedAt > k.seenAt }

// NextPeer returns the address of the member to call next, or "" if none is known. It
// cycles through a few members, so that a process keeps few connections. These rank at
// about a fifth of this process's rank, so that what the first entry knows reaches all
// others in a few steps. Every randomAskInterval calls it returns a random member
// instead, so that no group becomes isolated.
func (m *Members) NextPeer() string {
	m.asks++
	before := m.lowerRanked()
	if len(before) == 0 || m.asks%randomAskInterval == 0 {
		return m.randomMember()
	}
	aim, _ := slices.BinarySearchFunc(before, m.rank/rankDivisor, func(a string, rank uint64) int { return cmp.Compare(m.byAddr[a].rank, rank) })
	from := max(0, min(aim-neighborCount/2, len(before)-neighborCount))
	return before[from+m.asks%min(neighborCount, len(before))]
}

// lowerRanked returns the members that rank before this process and whose last call did
// not fail, sorted by rank.
func (m *Members) lowerRanked() []string {
	var out []string
	for addr, k := range m.byAddr {
		if k.rank < m.rank && !k.failed() {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(m.byAddr[a].rank, m.byAddr[b].rank) })
	return out
}

// randomMember returns a random member, one whose last call did not fail if there is one,
// or "" if no member is known.
func (m *Members) randomMember() string {
	if addr := m.randomByFailed(false); addr != "" {
		return addr
	}
	return m.randomByFailed(true)
}

// RandomFailed returns a random member whose last call failed, or "" if there is none.
func (m *Members) RandomFailed() string { return m.randomByFailed(true) }

// randomByFailed returns a random member among those whose last call failed, or among the
// others, or "" if there is none.
func (m *Members) randomByFailed(failed bool) string {
	chosen, n := "", 0
	for addr, k := range m.byAddr {
		if k.failed() != failed {
			continue
		}
		if n++; rand.IntN(n) == 0 {
			chosen = addr
		}
	}
	return chosen
}

// randomAskInterval is how many calls of NextPeer return one random member.
const randomAskInterval = 16

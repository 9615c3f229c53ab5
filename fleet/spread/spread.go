// Package spread replicates what the platform publishes, settings and the list of
// instances, to every process. A few processes read the platform; the others exchange
// items with each other. The package does no I/O: callers pass in messages and times, and
// send the messages that it returns.
//
// Each topic is a compacted log: the latest item of each key, ordered by the platform's
// revision. A process that has everything up to a revision requests the rest from a
// random peer (anti-entropy, Demers et al. 1987) and pushes new items to a few peers at
// once. A change reaches all processes within seconds, and the next exchange makes up for
// a lost message. An older item never replaces a newer one.
package spread

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// topicState holds the latest items of one topic.
type topicState struct {
	items map[string]wire.Item
	// order holds the revisions of items with their keys, ascending. Entries of replaced
	// items are skipped, and removed on compaction.
	order []revKey
	// upto is the revision up to which this process has everything. It never decreases.
	upto int64
	// invalid holds the keys whose latest value is not valid.
	invalid map[string]bool
}

type revKey struct {
	rev int64
	key string
}

// Store holds the topics of one process. It is not safe for concurrent use.
type Store struct {
	topics map[wire.Topic]*topicState
	// answeredAt is when the platform last responded to any process, as far as known. It is
	// set only if answered is true.
	answeredAt clock.Millis
	answered   bool
	// chunkBytes limits the items in one response, so that a process without data stays
	// within its share of the control traffic while it catches up.
	chunkBytes int
}

// DefaultChunkBytes is what the budget of 5,000 bytes of control traffic a second leaves
// for catching up, beside the ordinary traffic.
const DefaultChunkBytes = 2000

// itemOverhead is the size in bytes of an item without its key and values, for
// chunkBytes.
const itemOverhead = 64

// NewStore returns an empty store for the topics that the process holds.
func NewStore(topics []wire.Topic, chunkBytes int) *Store {
	s := &Store{topics: map[wire.Topic]*topicState{}, chunkBytes: chunkBytes}
	for _, t := range topics {
		s.topics[t] = &topicState{items: map[string]wire.Item{}, invalid: map[string]bool{}}
	}
	return s
}

// Holds reports whether the process holds the topic.
func (s *Store) Holds(t wire.Topic) bool { return s.topics[t] != nil }

// Revs returns the revision up to which each held topic is complete.
func (s *Store) Revs() map[wire.Topic]int64 {
	out := make(map[wire.Topic]int64, len(s.topics))
	for t, st := range s.topics {
		out[t] = st.upto
	}
	return out
}

// Upto returns the revision up to which the topic is complete.
func (s *Store) Upto(t wire.Topic) int64 {
	if st := s.topics[t]; st != nil {
		return st.upto
	}
	return 0
}

// Get returns the latest item of a key.
func (s *Store) Get(t wire.Topic, key string) (wire.Item, bool) {
	st := s.topics[t]
	if st == nil {
		return wire.Item{}, false
	}
	it, ok := st.items[key]
	return it, ok
}

// Len returns the number of items of a topic, deleted keys included.
func (s *Store) Len(t wire.Topic) int {
	if st := s.topics[t]; st != nil {
		return len(st.items)
	}
	return 0
}

// Add applies items from the platform or a peer and returns those that were new. It
// ignores topics that the process does not hold.
func (s *Store) Add(items []wire.Item) []wire.Item {
	var newItems []wire.Item
	for _, it := range items {
		st := s.topics[it.Topic]
		if st == nil || !st.add(it) {
			continue
		}
		newItems = append(newItems, it)
	}
	return newItems
}

func (st *topicState) add(it wire.Item) bool {
	old, known := st.items[it.Key]
	if known && it.Rev <= old.Rev {
		return st.addLastGood(old, it)
	}
	if known && it.LastGood == "" && !it.Gone {
		// The last valid value is kept until a valid one arrives.
		it.LastGood, it.LastGoodRev = old.LastGood, old.LastGoodRev
	}
	st.items[it.Key] = it
	delete(st.invalid, it.Key)
	at, _ := slices.BinarySearchFunc(st.order, it.Rev, func(a revKey, rev int64) int { return int(a.rev - rev) })
	st.order = slices.Insert(st.order, at, revKey{it.Rev, it.Key})
	if len(st.order) > 2*len(st.items)+64 {
		st.compact()
	}
	if it.Prev != wire.PrevUnknown && it.Prev <= st.upto {
		st.upto = max(st.upto, it.Rev)
	}
	return true
}

// addLastGood updates the last valid value of a known item and reports whether it was
// newer.
func (st *topicState) addLastGood(old, it wire.Item) bool {
	if it.Rev != old.Rev || !st.invalid[it.Key] || it.LastGoodRev <= old.LastGoodRev {
		return false
	}
	old.LastGood, old.LastGoodRev = it.LastGood, it.LastGoodRev
	st.items[it.Key] = old
	return true
}

func (st *topicState) compact() {
	st.order = slices.DeleteFunc(st.order, func(rk revKey) bool { return st.items[rk.key].Rev != rk.rev })
}

// MarkInvalid records that the latest value of a key is not valid, and the last valid one
// if it is known. Peers get both, so that a new process can put the valid one in force.
func (s *Store) MarkInvalid(t wire.Topic, key, good string, goodRev int64) {
	st := s.topics[t]
	if st == nil {
		return
	}
	if it, ok := st.items[key]; ok {
		it.LastGood, it.LastGoodRev = good, goodRev
		st.items[key] = it
		st.invalid[key] = true
	}
}

// MarkComplete records that all items of a topic up to rev have been added.
func (s *Store) MarkComplete(t wire.Topic, rev int64) {
	if st := s.topics[t]; st != nil {
		st.upto = max(st.upto, rev)
	}
}

// RecordPlatformAnswer records that the platform responded to some process age ago.
func (s *Store) RecordPlatformAnswer(age, now clock.Millis) {
	if at := now - age; !s.answered || at > s.answeredAt {
		s.answeredAt, s.answered = at, true
	}
}

// neverAnswered is the age of the platform's latest response if none is known.
const neverAnswered clock.Millis = 1 << 40

// PlatformAge returns the time since the platform last responded to any process.
func (s *Store) PlatformAge(now clock.Millis) clock.Millis {
	if !s.answered {
		return neverAnswered
	}
	return now - s.answeredAt
}

// since returns the items of a topic after rev, ascending, and the revision to which they
// bring the requester. The items stay within the given number of bytes, but there is at
// least one if any is newer than rev.
func (st *topicState) since(rev int64, bytes int) (items []wire.Item, upto int64, used int) {
	at, _ := slices.BinarySearchFunc(st.order, rev+1, func(a revKey, r int64) int { return int(a.rev - r) })
	for _, rk := range st.order[at:] {
		it := st.items[rk.key]
		if it.Rev != rk.rev || rk.rev > st.upto {
			continue
		}
		size := len(it.Key) + len(it.Value) + len(it.LastGood) + itemOverhead
		if used > 0 && used+size > bytes {
			return items, items[len(items)-1].Rev, used
		}
		used += size
		it.Prev = wire.PrevUnknown
		items = append(items, it)
	}
	return items, st.upto, used
}

// maxLastGoodRevs limits the invalid items whose last valid values are compared in one
// exchange.
const maxLastGoodRevs = 8

// NewExchange returns the message that starts an exchange with a random peer.
func (s *Store) NewExchange(self string, now clock.Millis) wire.Exchange {
	return wire.Exchange{From: self, Revs: s.Revs(), PlatformAge: s.PlatformAge(now), LastGoodRevs: s.lastGoodRevs()}
}

// lastGoodRevs returns the last valid revisions of items whose latest value is not valid.
// Processes may have seen different ones and agree on the newest.
func (s *Store) lastGoodRevs() map[string]int64 {
	out := map[string]int64{}
	for _, st := range s.topics {
		for key := range st.invalid {
			if len(out) == maxLastGoodRevs {
				return out
			}
			out[key] = st.items[key].LastGoodRev
		}
	}
	return out
}

// Answer returns the response to an exchange: the items that the peer lacks, in the order of
// Topics and limited to about chunkBytes, and the revisions that this process has.
func (s *Store) Answer(e wire.Exchange, now clock.Millis) wire.Exchanged {
	s.RecordPlatformAnswer(e.PlatformAge, now)
	out := wire.Exchanged{Revs: s.Revs(), PlatformAge: s.PlatformAge(now), Upto: map[wire.Topic]int64{}}
	left := s.chunkBytes
	for _, t := range wire.Topics {
		st := s.topics[t]
		rev, asked := e.Revs[t]
		if st == nil || !asked || rev >= st.upto || left <= 0 {
			continue
		}
		items, upto, used := st.since(rev, left)
		out.Items = append(out.Items, items...)
		out.Upto[t] = upto
		left -= used
	}
	for key, rev := range e.LastGoodRevs {
		if it, ok := s.findInvalid(key); ok && it.LastGoodRev > rev {
			out.Items = append(out.Items, it)
		}
	}
	return out
}

// findInvalid returns the item of a key whose latest value is not valid, or false.
func (s *Store) findInvalid(key string) (wire.Item, bool) {
	for _, st := range s.topics {
		if st.invalid[key] {
			return st.items[key], true
		}
	}
	return wire.Item{}, false
}

// ApplyAnswer applies the response to an exchange and returns the items that were new.
func (s *Store) ApplyAnswer(e wire.Exchanged, now clock.Millis) []wire.Item {
	s.RecordPlatformAnswer(e.PlatformAge, now)
	newItems := s.Add(e.Items)
	for t, rev := range e.Upto {
		s.MarkComplete(t, rev)
	}
	return newItems
}

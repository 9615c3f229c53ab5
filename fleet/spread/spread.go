// Package spread keeps what the platform publishes the same in every process:
// settings and the list of instances. A few processes read the platform; the
// rest hear from each other. It is pure: messages and the time are handed in,
// and messages to send are returned.
//
// Each topic is a compacted log: the latest item of each key, ordered by the
// platform's revision. A process that has everything up to a revision asks a
// random peer for the rest (anti-entropy, Demers et al. 1987) and hands new
// items on at once to a few peers, so that a change reaches all within
// seconds and a lost message is made good by the next exchange. Items never
// give way to older ones.
package spread

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// topicState is the latest items of one topic.
type topicState struct {
	items map[string]wire.Item
	// order has the revisions of items, ascending, with their keys; stale
	// pairs are skipped and removed on compaction.
	order []revKey
	// upto is the revision up to which this process has everything. It never
	// goes down.
	upto int64
	// invalid has the keys whose latest value is not valid.
	invalid map[string]bool
}

type revKey struct {
	rev int64
	key string
}

// Store is what one process holds of all topics. It is not safe for
// concurrent use.
type Store struct {
	topics map[wire.Topic]*topicState
	// heard is when the platform last answered anybody, as far as known.
	heard   clock.Millis
	isHeard bool
	// ChunkBytes bounds the items in one answer, so that a process that has
	// nothing catches up within its share of control traffic.
	chunkBytes int
}

// DefaultChunkBytes is what the control budget of 5,000 bytes a second leaves
// for catching up beside the ordinary traffic.
const DefaultChunkBytes = 2000

// itemOverhead is the envelope of an item in bytes, for the chunk's bound.
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

// Add takes items from the platform or a peer and returns those that were
// news. Topics that the process does not hold are passed over.
func (s *Store) Add(items []wire.Item) []wire.Item {
	var news []wire.Item
	for _, it := range items {
		st := s.topics[it.Topic]
		if st == nil || !st.add(it) {
			continue
		}
		news = append(news, it)
	}
	return news
}

func (st *topicState) add(it wire.Item) bool {
	old, known := st.items[it.Key]
	if known && it.Rev <= old.Rev {
		return st.addGood(old, it)
	}
	if known && it.LastGood == "" && !it.Gone {
		// The last good value goes along until a valid one comes.
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

// addGood takes a newer last good value of an item that is known already.
func (st *topicState) addGood(old, it wire.Item) bool {
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

// MarkInvalid records that the latest value of a key is not valid, and the
// last valid one, if any is known. The item is handed on with it, so that a
// new process can put it in force.
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

// MarkComplete records that everything up to rev of a topic has been added.
func (s *Store) MarkComplete(t wire.Topic, rev int64) {
	if st := s.topics[t]; st != nil {
		st.upto = max(st.upto, rev)
	}
}

// RecordPlatformAnswer records that the platform answered somebody age ago.
func (s *Store) RecordPlatformAnswer(age, now clock.Millis) {
	if at := now - age; !s.isHeard || at > s.heard {
		s.heard, s.isHeard = at, true
	}
}

// neverHeard stands for a platform that nobody has heard from.
const neverHeard clock.Millis = 1 << 40

// PlatformAge returns how long ago the platform last answered anybody.
func (s *Store) PlatformAge(now clock.Millis) clock.Millis {
	if !s.isHeard {
		return neverHeard
	}
	return now - s.heard
}

// since returns the items of a topic after rev, ascending, within a bound of
// bytes but at least one, and the revision that the asker has with them.
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

// maxGoods bounds the invalid items whose last good values are compared in
// one exchange.
const maxGoods = 8

// NewExchange returns the message that starts an exchange with a random peer.
func (s *Store) NewExchange(self string, now clock.Millis) wire.Exchange {
	return wire.Exchange{From: self, Revs: s.Revs(), PlatformAge: s.PlatformAge(now), LastGoodRevs: s.goods()}
}

// goods returns the last good revisions of items whose latest value is not
// valid; processes may have seen different ones and agree on the newest.
func (s *Store) goods() map[string]int64 {
	out := map[string]int64{}
	for _, st := range s.topics {
		for key := range st.invalid {
			if len(out) == maxGoods {
				return out
			}
			out[key] = st.items[key].LastGoodRev
		}
	}
	return out
}

// Answer answers a peer's exchange: with what the peer lacks, in the order of
// Topics, and with what this process has.
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
		if it, ok := s.find(key); ok && it.LastGoodRev > rev {
			out.Items = append(out.Items, it)
		}
	}
	return out
}

// find returns the item of a key that is known to be invalid.
func (s *Store) find(key string) (wire.Item, bool) {
	for _, st := range s.topics {
		if st.invalid[key] {
			return st.items[key], true
		}
	}
	return wire.Item{}, false
}

// ApplyAnswer takes the answer to an exchange and returns the items that were news.
func (s *Store) ApplyAnswer(e wire.Exchanged, now clock.Millis) []wire.Item {
	s.RecordPlatformAnswer(e.PlatformAge, now)
	news := s.Add(e.Items)
	for t, rev := range e.Upto {
		s.MarkComplete(t, rev)
	}
	return news
}

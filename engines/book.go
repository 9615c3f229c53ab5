package engines

import (
	"cmp"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/route"
)

// Registry holds the engines of all services.
type Registry struct {
	byID map[string]*Engine
	// byMark has them by the marks of their lives.
	byMark    map[uint32]*Engine
	byService map[string]*pool
	// byAddr has the engines that are listed with an address, mostly one.
	byAddr map[string][]*Engine
	memory *memory
	// ended are the lives of engines that later ones have followed, the latest of
	// them: word of one that comes late is about nobody.
	ended *simplelru.LRU[Incarnation, struct{}]
	// met has when lives that are no longer listed were first listed, the latest of
	// them.
	met *simplelru.LRU[Incarnation, clock.Millis]
	// crashed are the lives that ended without a word that they leave, the latest of
	// them.
	crashed *simplelru.LRU[Incarnation, struct{}]
	// evacuated are the data halls whose engines take nothing new, with the time
	// since when.
	evacuated map[string]clock.Millis
	recent    recent
	scratch   scratch
}

// pool is the engines of one service.
type pool struct {
	// engines are the listed ones, sorted by id, leaving ones too.
	engines []*Engine
}

// livesMost bounds the lives that are remembered after they ended or left the list,
// of some 150 bytes each: a fleet of 10,000 engines that all start again within
// minutes outruns it, and word of a start is late by seconds.
const livesMost = 4096

// NewRegistry returns a book without engines.
func NewRegistry() *Registry {
	// NewLRU fails only for sizes that are not positive.
	ended, _ := simplelru.NewLRU[Incarnation, struct{}](livesMost, nil)
	met, _ := simplelru.NewLRU[Incarnation, clock.Millis](livesMost, nil)
	crashed, _ := simplelru.NewLRU[Incarnation, struct{}](livesMost, nil)
	return &Registry{byID: map[string]*Engine{}, byMark: map[uint32]*Engine{}, byService: map[string]*pool{}, byAddr: map[string][]*Engine{}, memory: newMemory(), ended: ended, met: met, crashed: crashed}
}

// Change is what a new word about an engine came to.
type Change string

const (
	Same         Change = "same"
	Joined       Change = "joined"
	DrainStarted Change = "leaving"
	Changed      Change = "changed"
	// Missing engines were lost by the list and may come back; Back ones did.
	Missing  Change = "missing"
	Returned Change = "back"
	Removed  Change = "gone"
	// WarmupStarted engines bear few requests for a while.
	WarmupStarted Change = "cold"
	// Restarted engines began a new life under the id that they had.
	Restarted Change = "restarted"
	// Forgotten engines are those of which others told what is not so.
	Forgotten Change = "forgotten"
	// Stale is word of a life that a later one has followed. It changes nothing.
	Stale Change = "late"
	// Invalid engines have an entry that cannot be used; Back ones have a good
	// one again.
	Invalid Change = "unreadable"
)

// Put records an engine as listed. An engine that was leaving stays so for the rest
// of its life; a later one begins with nothing that was believed of it before.
//
// Which of two lives is the later one follows from the order in which the store took
// their words, not from the time of their starts: the clock of a machine may be set
// back. Only a life that was seen to be followed by another is known to have ended.
func (b *Registry) Put(in Info, now clock.Millis) Change {
	in.Slots = max(1, in.Slots)
	coldUntil := now + in.WarmupLeft
	in.WarmupLeft = 0
	e, ok := b.byID[in.ID]
	if ok && in.StartedAt == 0 {
		// An entry that does not tell is about the life that is known.
		in.StartedAt = e.info.StartedAt
	}
	if b.ended.Contains(in.Incarnation()) {
		return Stale
	}
	if ok && in.StartedAt != e.info.StartedAt {
		b.drop(e)
		if e.info.StartedAt != 0 {
			b.ended.Add(e.info.Incarnation(), struct{}{})
		}
		if !e.info.Draining {
			b.crashed.Add(e.info.Incarnation(), struct{}{})
		}
		b.begin(in, coldUntil, now)
		return Restarted
	}
	if !ok {
		b.begin(in, coldUntil, now)
		return Joined
	}
	turnedCold := now >= e.warmup.toldUntil && coldUntil > now
	e.warmup.toldUntil = coldUntil
	in.Draining = in.Draining || e.info.Draining
	was := e.missing || e.invalid
	e.missing, e.invalid = false, false
	if e.info == in && was {
		return Returned
	}
	if e.info == in && turnedCold {
		return WarmupStarted
	}
	if e.info == in {
		return Same
	}
	left := in.Draining && !e.info.Draining
	moved := in.Service != e.info.Service || in.Addr != e.info.Addr
	if moved {
		b.drop(e)
	}
	e.info, e.target = in, route.NewTarget(in.ID, in.Slots)
	if moved {
		b.add(e)
	}
	if left {
		return DrainStarted
	}
	return Changed
}

// begin adds an engine of which nothing is believed yet.
func (b *Registry) begin(in Info, coldUntil, now clock.Millis) {
	b.crashed.Remove(in.Incarnation())
	metAt, ok := b.met.Get(in.Incarnation())
	if !ok {
		metAt = now
	}
	b.add(&Engine{info: in, target: route.NewTarget(in.ID, in.Slots), listedAt: now, firstListedAt: metAt, health: health{at: now}, warmup: warmth{toldUntil: coldUntil}})
}

func (b *Registry) add(e *Engine) {
	b.byID[e.info.ID] = e
	b.byMark[e.info.Incarnation().Hash()] = e
	e.recent = &b.recent
	if e.hasReport {
		b.recent.place(e)
	}
	b.settle(e)
	p := b.byService[e.info.Service]
	if p == nil {
		p = &pool{}
		b.byService[e.info.Service] = p
	}
	at, _ := slices.BinarySearchFunc(p.engines, e, byID)
	p.engines = slices.Insert(p.engines, at, e)
}

func byID(a, b *Engine) int { return cmp.Compare(a.info.ID, b.info.ID) }

func (b *Registry) drop(e *Engine) {
	delete(b.byID, e.info.ID)
	delete(b.byMark, e.info.Incarnation().Hash())
	b.recent.take(e)
	e.recent = nil
	p := b.byService[e.info.Service]
	p.engines = slices.DeleteFunc(p.engines, func(x *Engine) bool { return x == e })
	b.leave(e)
}

// MarkInvalid records that the entry of an engine cannot be used: it takes nothing new, and
// what is believed of it is kept until it has a good entry again or none. It reports
// whether that is news.
func (b *Registry) MarkInvalid(id string) bool {
	e, ok := b.byID[id]
	if !ok || e.invalid {
		return false
	}
	e.invalid = true
	return true
}

// MarkMissing records that the list lacks an engine that may come back: it is chosen
// only while most of its pool cannot be trusted. It reports whether that is
// news.
func (b *Registry) MarkMissing(id string) bool {
	e, ok := b.byID[id]
	if !ok || e.missing {
		return false
	}
	e.missing = true
	return true
}

// Remove records that an engine is no longer listed, and returns it as it
// was, or false.
func (b *Registry) Remove(id string) (Info, bool) {
	e, ok := b.byID[id]
	if !ok {
		return Info{}, false
	}
	b.drop(e)
	b.met.Add(e.info.Incarnation(), e.firstListedAt)
	if !e.info.Draining {
		b.crashed.Add(e.info.Incarnation(), struct{}{})
	}
	if e.info.Draining && e.info.StartedAt != 0 {
		// It has left: who lists it again speaks of the past.
		b.ended.Add(e.info.Incarnation(), struct{}{})
	}
	return e.info, true
}

// Forget drops an engine and all that was believed of its lives, but since when it is known:
// what was said of it was not so.
func (b *Registry) Forget(id string) {
	if e, ok := b.byID[id]; ok {
		b.drop(e)
		b.met.Add(e.info.Incarnation(), e.firstListedAt)
	}
	for _, lives := range []*simplelru.LRU[Incarnation, struct{}]{b.ended, b.crashed} {
		for _, n := range lives.Keys() {
			if n.ID == id {
				lives.Remove(n)
			}
		}
	}
}

// WasListed reports whether a life of an engine was listed and no longer is.
func (b *Registry) WasListed(n Incarnation) bool { return b.Find(n) == nil && b.met.Contains(n) }

// Crashed reports whether a life of an engine ended without a word that it leaves, by what
// the list says.
func (b *Registry) Crashed(n Incarnation) bool { return b.crashed.Contains(n) }

// MarkSynced records that the list is known whole for the first time: the engines
// that are on it were there before, and did not just join.
func (b *Registry) MarkSynced(now clock.Millis) {
	for _, e := range b.byID {
		e.listedAt = now - youth
		e.firstListedAt = e.listedAt
	}
}

// Get returns an engine by id, or nil.
func (b *Registry) Get(id string) *Engine { return b.byID[id] }

// Find returns an engine if it still lives the given life, or nil.
func (b *Registry) Find(n Incarnation) *Engine {
	e := b.byID[n.ID]
	if e == nil || e.info.StartedAt != n.StartedAt {
		return nil
	}
	return e
}

// IDs returns the ids of all engines, sorted.
func (b *Registry) IDs() []string {
	ids := make([]string, 0, len(b.byID))
	for id := range b.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ByHash returns the engine of which a life has a mark, or nil.
func (b *Registry) ByHash(mark uint32) *Engine { return b.byMark[mark] }

package engines

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/route"
)

// Book holds the engines of all services.
type Book struct {
	byID      map[string]*Engine
	byService map[string]*pool
	memory    *memory
	// evacuated are the data halls whose engines take nothing new, with the time
	// since when.
	evacuated map[string]clock.Millis
}

// pool is the engines of one service.
type pool struct {
	// engines are the listed ones, sorted by id, leaving ones too.
	engines []*Engine
}

// NewBook returns a book without engines.
func NewBook() *Book {
	return &Book{byID: map[string]*Engine{}, byService: map[string]*pool{}, memory: newMemory()}
}

// Change is what a new word about an engine came to.
type Change string

const (
	Same    Change = "same"
	Joined  Change = "joined"
	Left    Change = "leaving"
	Changed Change = "changed"
	// Missing engines were lost by the list and may come back; Back ones did.
	Missing Change = "missing"
	Back    Change = "back"
	Gone    Change = "gone"
	// TurnedCold engines bear few requests for a while.
	TurnedCold Change = "cold"
)

// Put records an engine as listed. An engine that was leaving stays so.
func (b *Book) Put(in Info, now clock.Millis) Change {
	in.Slots = max(1, in.Slots)
	coldUntil := now + in.ColdFor
	in.ColdFor = 0
	e, ok := b.byID[in.ID]
	if !ok {
		b.add(&Engine{info: in, target: route.NewTarget(in.ID, in.Slots), seenAt: now, health: health{at: now}, warmth: warmth{toldUntil: coldUntil}})
		return Joined
	}
	turnedCold := now >= e.warmth.toldUntil && coldUntil > now
	e.warmth.toldUntil = coldUntil
	in.Leaving = in.Leaving || e.info.Leaving
	was := e.doubtful
	e.doubtful = false
	if e.info == in && was {
		return Back
	}
	if e.info == in && turnedCold {
		return TurnedCold
	}
	if e.info == in {
		return Same
	}
	left := in.Leaving && !e.info.Leaving
	moved := in.Service != e.info.Service
	if moved {
		b.drop(e)
	}
	e.info, e.target = in, route.NewTarget(in.ID, in.Slots)
	if moved {
		b.add(e)
	}
	if left {
		return Left
	}
	return Changed
}

func (b *Book) add(e *Engine) {
	b.byID[e.info.ID] = e
	p := b.byService[e.info.Service]
	if p == nil {
		p = &pool{}
		b.byService[e.info.Service] = p
	}
	at, _ := slices.BinarySearchFunc(p.engines, e, byID)
	p.engines = slices.Insert(p.engines, at, e)
}

func byID(a, b *Engine) int { return cmp.Compare(a.info.ID, b.info.ID) }

func (b *Book) drop(e *Engine) {
	delete(b.byID, e.info.ID)
	p := b.byService[e.info.Service]
	p.engines = slices.DeleteFunc(p.engines, func(x *Engine) bool { return x == e })
}

// Doubt records that the list lacks an engine that may come back: it is chosen
// only while most of its pool cannot be trusted. It reports whether that is
// news.
func (b *Book) Doubt(id string) bool {
	e, ok := b.byID[id]
	if !ok || e.doubtful {
		return false
	}
	e.doubtful = true
	return true
}

// Remove records that an engine is no longer listed, and returns it as it
// was, or false.
func (b *Book) Remove(id string) (Info, bool) {
	e, ok := b.byID[id]
	if !ok {
		return Info{}, false
	}
	b.drop(e)
	return e.info, true
}

// Settle records that the list is known whole for the first time: the engines
// that are on it were there before, and did not just join.
func (b *Book) Settle(now clock.Millis) {
	for _, e := range b.byID {
		e.seenAt = now - youth
	}
}

// Get returns an engine by id, or nil.
func (b *Book) Get(id string) *Engine { return b.byID[id] }

// IDs returns the ids of all engines, sorted.
func (b *Book) IDs() []string {
	ids := make([]string, 0, len(b.byID))
	for id := range b.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// KnownLoad is what an engine said of its load.
type KnownLoad struct {
	ID       string
	Requests int
	Age      clock.Millis
}

// Loads returns the n freshest loads that are at most limit old.
func (b *Book) Loads(limit clock.Millis, n int, now clock.Millis) []KnownLoad {
	var out []KnownLoad
	for id, e := range b.byID {
		if age := now - e.othersAt; e.told && age <= limit {
			out = append(out, KnownLoad{ID: id, Requests: e.all, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b KnownLoad) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	return out[:min(n, len(out))]
}

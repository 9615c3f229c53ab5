package engines

import (
	"cmp"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/pace"
	"github.com/weldfall/weldfall/engines/statement"
	"github.com/weldfall/weldfall/route"
)

// Registry holds the engines of all services.
type Registry struct {
	byID map[string]*Engine
	// byHash is keyed by the hash of the engine's incarnation.
	byHash    map[uint32]*Engine
	byService map[string]*pool
	// byAddr holds the engines listed with an address, usually one.
	byAddr   map[string][]*Engine
	prefixes *prefixCache
	// ended holds the latest incarnations that were superseded or removed after
	// draining. A late entry for one of them is ignored.
	ended *simplelru.LRU[Incarnation, struct{}]
	// firstListed maps the latest incarnations that are no longer listed to the time
	// of their first listing.
	firstListed *simplelru.LRU[Incarnation, clock.Millis]
	// crashed holds the latest incarnations that ended without leaving.
	crashed *simplelru.LRU[Incarnation, struct{}]
	// evacuated maps each data hall under evacuation, whose engines get no new
	// requests, to the start of the evacuation.
	evacuated map[string]clock.Millis
	// statements holds what engines said of themselves, also of those that are not listed.
	statements *statement.Book[Incarnation]
	reports    reportList
	// loadBound is the operators' bound for the load of an engine as a multiple of the mean, 0
	// if it is not set.
	loadBound float64
	scratch   scratch
}

// pool is the engines of one service.
type pool struct {
	// engines holds all listed engines, draining ones included, sorted by ID.
	engines []*Engine
	// versions counts the engines by software version.
	versions map[string]int
	// pace is what the engines reported of how long work takes.
	pace pace.Pool
}

// maxIncarnations bounds each record of past incarnations, at about 150 bytes an entry.
// A fleet of 10,000 engines that restarts within minutes exceeds it, but entries arrive
// only seconds late.
const maxIncarnations = 4096

// NewRegistry returns a registry without engines.
func NewRegistry() *Registry {
	// NewLRU fails only if the size is not positive.
	ended, _ := simplelru.NewLRU[Incarnation, struct{}](maxIncarnations, nil)
	firstListed, _ := simplelru.NewLRU[Incarnation, clock.Millis](maxIncarnations, nil)
	crashed, _ := simplelru.NewLRU[Incarnation, struct{}](maxIncarnations, nil)
	return &Registry{byID: map[string]*Engine{}, byHash: map[uint32]*Engine{}, byService: map[string]*pool{}, byAddr: map[string][]*Engine{}, prefixes: newPrefixCache(), ended: ended, firstListed: firstListed, crashed: crashed, statements: statement.NewBook[Incarnation]()}
}

// Change is the effect of an update on the registry.
type Change string

const (
	Same         Change = "same"
	Joined       Change = "joined"
	DrainStarted Change = "leaving"
	Changed      Change = "changed"
	// Missing means that the listing lacks the engine, which may come back.
	Missing Change = "missing"
	// Returned means that a missing or unreadable engine has a valid entry again.
	Returned Change = "back"
	Removed  Change = "gone"
	// WarmupStarted means that the engine handles only few requests for a while.
	WarmupStarted Change = "cold"
	// Restarted means that a new incarnation has the ID of an earlier one.
	Restarted Change = "restarted"
	// Forgotten means that the engine was dropped because a peer reported it wrongly.
	Forgotten Change = "forgotten"
	// Stale means that the update was ignored: it is for an incarnation that has ended.
	Stale Change = "late"
	// Unreadable means that the engine's entry cannot be used.
	Unreadable Change = "unreadable"
)

// Put records the listing entry of an engine. Draining lasts for the rest of an
// incarnation; a later incarnation starts with no state of the earlier one.
//
// The order in which the store received the entries decides which incarnation is the
// later one. Start times don't, because the clock of a machine may be set back. An
// incarnation counts as ended only if another was seen to follow it.
func (r *Registry) Put(in Info, now clock.Millis) Change {
	in.Slots = max(1, in.Slots)
	warmupUntil := now + in.WarmupLeft
	in.WarmupLeft = 0
	e, ok := r.byID[in.ID]
	if ok && in.StartedAt == 0 {
		// An entry without a start time is for the known incarnation.
		in.StartedAt = e.info.StartedAt
	}
	if ok && in.Version == "" && in.StartedAt == e.info.StartedAt {
		// The same process has the same version. That of a later one is unknown.
		in.Version = e.info.Version
	}
	if r.ended.Contains(in.Incarnation()) {
		return Stale
	}
	if ok && in.Incarnation() != e.info.Incarnation() {
		r.unregister(e)
		if e.info.StartedAt != 0 {
			r.ended.Add(e.info.Incarnation(), struct{}{})
		}
		r.recordEnd(e)
		r.create(in, warmupUntil, now)
		return Restarted
	}
	if !ok {
		r.create(in, warmupUntil, now)
		return Joined
	}
	warmupStarted := now >= e.warmup.listedUntil && warmupUntil > now
	e.warmup.listedUntil = warmupUntil
	in.Draining = in.Draining || e.info.Draining
	returned := e.missing || e.unreadable
	e.missing, e.unreadable = false, false
	if e.info == in && returned {
		return Returned
	}
	if e.info == in && warmupStarted {
		return WarmupStarted
	}
	if e.info == in {
		return Same
	}
	drainStarted := in.Draining && !e.info.Draining
	moved := in.Service != e.info.Service || in.Addr != e.info.Addr
	if moved {
		r.unregister(e)
	}
	e.info, e.target = in, route.NewTarget(in.ID, in.Slots)
	if moved {
		r.register(e)
	}
	if drainStarted {
		r.keepDraining(e)
		return DrainStarted
	}
	return Changed
}

// create adds an engine without any earlier state.
func (r *Registry) create(in Info, warmupUntil, now clock.Millis) {
	r.crashed.Remove(in.Incarnation())
	firstListedAt, ok := r.firstListed.Get(in.Incarnation())
	if !ok {
		firstListedAt = now
	}
	e := &Engine{info: in, target: route.NewTarget(in.ID, in.Slots), listedAt: now, firstListedAt: firstListedAt, health: health{updatedAt: now}, warmup: warmupState{listedUntil: warmupUntil}, said: r.statements.Of(in.Incarnation())}
	r.register(e)
	if in.Draining {
		r.keepDraining(e)
	}
}

// register adds an engine to all indexes.
func (r *Registry) register(e *Engine) {
	r.byID[e.info.ID] = e
	r.byHash[e.info.Incarnation().Hash()] = e
	e.reports = &r.reports
	if e.hasReport {
		r.reports.insert(e)
	}
	r.indexAddr(e)
	p := r.byService[e.info.Service]
	if p == nil {
		p = &pool{versions: map[string]int{}}
		r.byService[e.info.Service] = p
	}
	i, _ := slices.BinarySearchFunc(p.engines, e, compareID)
	p.engines = slices.Insert(p.engines, i, e)
	p.versions[e.info.Version]++
}

func compareID(a, b *Engine) int { return cmp.Compare(a.info.ID, b.info.ID) }

// unregister removes an engine from all indexes.
func (r *Registry) unregister(e *Engine) {
	delete(r.byID, e.info.ID)
	delete(r.byHash, e.info.Incarnation().Hash())
	r.reports.remove(e)
	e.reports = nil
	p := r.byService[e.info.Service]
	p.engines = slices.DeleteFunc(p.engines, func(x *Engine) bool { return x == e })
	if p.versions[e.info.Version]--; p.versions[e.info.Version] == 0 {
		delete(p.versions, e.info.Version)
	}
	r.unindexAddr(e)
}

// MarkUnreadable records that the entry of an engine cannot be used. The engine gets no
// new requests, and its state is kept until it has a valid entry or none. MarkUnreadable
// reports whether the engine was valid before.
func (r *Registry) MarkUnreadable(id string) bool {
	e, ok := r.byID[id]
	if !ok || e.unreadable {
		return false
	}
	e.unreadable = true
	return true
}

// MarkMissing records that the listing lacks an engine that may come back. The engine
// is chosen only while most of its pool is suspect. MarkMissing reports whether the
// engine was listed before.
func (r *Registry) MarkMissing(id string) bool {
	e, ok := r.byID[id]
	if !ok || e.missing {
		return false
	}
	e.missing = true
	return true
}

// Remove removes an engine that is no longer listed and returns its last entry. It
// returns false if there is no such engine.
func (r *Registry) Remove(id string) (Info, bool) {
	e, ok := r.byID[id]
	if !ok {
		return Info{}, false
	}
	r.unregister(e)
	r.firstListed.Add(e.info.Incarnation(), e.firstListedAt)
	r.recordEnd(e)
	if e.info.Draining && e.info.StartedAt != 0 {
		// A drained incarnation does not come back: later entries for it are stale.
		r.ended.Add(e.info.Incarnation(), struct{}{})
	}
	return e.info, true
}

// recordEnd records that the incarnation of an engine ended.
func (r *Registry) recordEnd(e *Engine) {
	if !e.info.Draining && !e.said.Leaving() {
		r.crashed.Add(e.info.Incarnation(), struct{}{})
	}
}

// Forget drops an engine and the state of all its incarnations, which came from wrong
// reports. Only the time of the first listing and what they said in responses are kept.
func (r *Registry) Forget(id string) {
	if e, ok := r.byID[id]; ok {
		r.unregister(e)
		r.firstListed.Add(e.info.Incarnation(), e.firstListedAt)
	}
	r.statements.ForgetDraining(func(n Incarnation) bool { return n.ID == id })
	for _, past := range []*simplelru.LRU[Incarnation, struct{}]{r.ended, r.crashed} {
		for _, n := range past.Keys() {
			if n.ID == id {
				past.Remove(n)
			}
		}
	}
}

// WasListed reports whether an incarnation was listed and no longer is.
func (r *Registry) WasListed(n Incarnation) bool {
	return r.Find(n) == nil && r.firstListed.Contains(n)
}

// Crashed reports whether, by the listing, an incarnation ended although neither the listing nor
// its responses said that it leaves. A response may arrive after the end of the entry.
func (r *Registry) Crashed(n Incarnation) bool {
	return r.crashed.Contains(n) && !r.statements.Of(n).Leaving()
}

// MarkSynced records that the listing is complete for the first time. The engines on it
// count as long known, not as just joined.
func (r *Registry) MarkSynced(now clock.Millis) {
	for _, e := range r.byID {
		e.listedAt = now - newEnginePeriod
		e.firstListedAt = e.listedAt
	}
}

// Get returns the engine with the given ID, or nil.
func (r *Registry) Get(id string) *Engine { return r.byID[id] }

// Find returns the engine if the given incarnation is the listed one, or nil.
func (r *Registry) Find(n Incarnation) *Engine {
	e := r.byID[n.ID]
	if e == nil || e.info.Incarnation() != n {
		return nil
	}
	return e
}

// IDs returns the IDs of all engines, sorted.
func (r *Registry) IDs() []string {
	ids := make([]string, 0, len(r.byID))
	for id := range r.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// AnotherActiveSince reports whether this entry received anything since the given time from an
// engine other than the given one, which shows that its own network works.
func (r *Registry) AnotherActiveSince(n Incarnation, since clock.Millis) bool {
	for _, e := range r.byID {
		if e.info.Incarnation() != n && e.lastActiveAt >= since {
			return true
		}
	}
	return false
}

// ByHash returns the engine whose incarnation has the given hash, or nil.
func (r *Registry) ByHash(hash uint32) *Engine { return r.byHash[hash] }

package route

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// CacheProbes is how many ranked engines are asked whether they hold a chat.
const CacheProbes = 3

// PlacementChoices is how many ranked engines a new chat is placed among.
const PlacementChoices = 4

// sampleSize is how many further engines a spill compares.
const sampleSize = 4

// Query is a request that needs an engine.
type Query struct {
	// Key is the chat's hash, or a random number for a request without one.
	Key uint64
	// Affine is true when the key is a chat's.
	Affine bool
	// Returning is true when the chat had an earlier turn.
	Returning bool
	// Named is true when the caller named the chat: it may have had an earlier turn
	// that the request does not show.
	Named bool
	// Hint is the engine that last served the chat, "" if unknown.
	Hint string
	// Bound and Floor are the pool's settings.
	Bound float64
	Floor int
	// MaxTries is the most engines to try.
	MaxTries int
}

// Try is one attempt that ended without the request being taken.
type Try struct {
	Engine string
	Mode   wire.Mode
	// Redirect is the engine that the refusing daemon named, "" if none.
	Redirect string
	// NotCached is true when the engine refused only for want of the prefix,
	// whether it named another or not.
	NotCached bool
	// Cached is what the engine said it holds of earlier turns, in tokens.
	Cached int
	// OverBound is true when the engine refused for its load alone.
	OverBound bool
}

// Decision is what to do next with a request: Send or Shed.
type Decision interface{ decision() }

// Send offers the request to an engine.
type Send struct {
	Engine string
	Mode   wire.Mode
}

// Shed gives the request up; it has run nowhere.
type Shed struct {
	// Empty is true when the pool has no engine at all.
	Empty bool
}

func (Send) decision() {}
func (Shed) decision() {}

// Choose returns where a request goes next, after the tries so far. A chat
// that returns is first offered to engines that may hold its prefix, for that
// alone: the one that the hint names, the home, the one that the home names,
// and the others where new chats are placed. Then it is as a new chat, which
// goes to the least loaded of its first ranked engines. A named chat is offered to its home
// in the same way, and any chat to the engine that a hint names: loads alone, which are
// seldom exact, would move it between two turns.
func Choose(q Query, targets []Target, loads *Loads, mean Mean, tries []Try, now clock.Millis) Decision {
	if len(targets) == 0 {
		return Shed{Empty: true}
	}
	if len(tries) >= q.MaxTries {
		return Shed{}
	}
	c := chooser{q: q, targets: targets, loads: loads, mean: mean, tries: tries, now: now}
	c.ranked = Rank(q.Key, targets, PlacementChoices)
	steps := []func() (Send, bool){c.byHint, c.byRedirect, c.byCache, c.byPart, c.byLeast, c.bySample, c.force}
	if len(tries) > 0 && len(tries) == q.MaxTries-1 {
		steps = []func() (Send, bool){c.force, c.byLeast, c.bySample}
	}
	for _, step := range steps {
		if s, ok := step(); ok {
			return s
		}
	}
	return Shed{}
}

type chooser struct {
	q       Query
	targets []Target
	loads   *Loads
	tries   []Try
	now     clock.Millis
	// ranked has the indexes of the key's first ranked targets.
	ranked []int
	mean   Mean
}

func (c *chooser) find(engine string) (Target, bool) {
	i := slices.IndexFunc(c.targets, func(t Target) bool { return t.id == engine })
	if i < 0 {
		return Target{}, false
	}
	return c.targets[i], true
}

// tried reports whether engine was offered the request for its cache alone,
// or in any mode.
func (c *chooser) tried(engine string, cachedOnly bool) bool {
	return slices.ContainsFunc(c.tries, func(t Try) bool {
		return t.Engine == engine && (cachedOnly || t.Mode != wire.ModeCachedOnly || !t.NotCached)
	})
}

// overBound reports whether engine is believed to carry more than it may.
// Without a mean that counts nothing is believed.
func (c *chooser) overBound(t Target) bool {
	requests, fresh := c.loads.Estimate(t.id, c.now)
	if !fresh || !c.mean.Reliable() {
		return false
	}
	return requests+1 > Limit(c.q.Bound, c.mean.PerSlot, c.q.Floor, t.slots, len(c.targets))
}

// forCache offers the request to an engine for its cache alone, even when it
// is believed to be busy: the daemon knows, asking costs a round trip, and
// reading a long prompt again costs a hundred.
func (c *chooser) forCache(engine string) (Send, bool) {
	if _, ok := c.find(engine); !ok || c.tried(engine, true) {
		return Send{}, false
	}
	return Send{engine, wire.ModeCachedOnly}, true
}

func (c *chooser) forced(engine string) bool {
	return slices.ContainsFunc(c.tries, func(t Try) bool { return t.Engine == engine && t.Mode == wire.ModeForce })
}

func (c *chooser) byHint() (Send, bool) {
	if !c.q.Affine {
		return Send{}, false
	}
	return c.forCache(c.q.Hint)
}

// byRedirect follows the word of a home that knows where the chat went.
func (c *chooser) byRedirect() (Send, bool) {
	for _, t := range c.tries {
		if s, ok := c.forCache(t.Redirect); ok {
			return s, true
		}
	}
	return Send{}, false
}

// byCache asks the engines where the chat would have been placed, the home alone if only
// its name speaks for an earlier turn: the home knows where it went, and a first turn waits
// for one refused offer.
func (c *chooser) byCache() (Send, bool) {
	depth := 0
	switch {
	case !c.q.Affine:
	case c.q.Returning:
		depth = CacheProbes
	case c.q.Named:
		depth = 1
	}
	for _, i := range c.ranked[:min(depth, len(c.ranked))] {
		if s, ok := c.forCache(c.targets[i].id); ok {
			return s, true
		}
	}
	return Send{}, false
}

// byPart goes back to the engine that holds the most of earlier turns, when
// the one with the latest turn could not take the request.
func (c *chooser) byPart() (Send, bool) {
	best, most := "", 0
	for _, t := range c.tries {
		if target, ok := c.find(t.Engine); ok && t.Cached > most && !c.tried(t.Engine, false) && !c.overBound(target) {
			best, most = t.Engine, t.Cached
		}
	}
	return Send{best, wire.ModeNormal}, best != ""
}

// byLeast takes the least loaded of the first ranked engines. That evens the
// load out without moving a chat that returns (the power of several choices).
func (c *chooser) byLeast() (Send, bool) {
	if !c.q.Affine {
		return Send{}, false
	}
	return c.least(c.ranked, true)
}

// bySample takes the least loaded of a few engines that depend on the key and
// on the tries so far, so that entries do not all rush to one idle engine.
func (c *chooser) bySample() (Send, bool) {
	n := len(c.targets)
	start := int(mix(c.q.Key+uint64(len(c.tries))+1) % uint64(n))
	sample := make([]int, 0, sampleSize)
	for i := 0; i < n && len(sample) < sampleSize; i++ {
		if at := (start + i) % n; !c.tried(c.targets[at].id, false) {
			sample = append(sample, at)
		}
	}
	return c.least(sample, false)
}

func (c *chooser) least(among []int, withinBound bool) (Send, bool) {
	best, bestLoad := "", 0.0
	for _, i := range among {
		t := c.targets[i]
		if c.tried(t.id, false) || withinBound && c.overBound(t) {
			continue
		}
		requests, _ := c.loads.Estimate(t.id, c.now)
		if load := float64(requests) / float64(t.slots); best == "" || load < bestLoad {
			best, bestLoad = t.id, load
		}
	}
	return Send{best, wire.ModeNormal}, best != ""
}

// force returns the least loaded of the engines that refused for their load,
// whose loads are now exactly known. They are a sample of the pool, so when
// all refused, the mean was wrong rather than every engine too busy.
func (c *chooser) force() (Send, bool) {
	best, bestLoad := "", 0.0
	for _, t := range c.tries {
		target, ok := c.find(t.Engine)
		if !ok || !t.OverBound || c.forced(t.Engine) {
			continue
		}
		requests, _ := c.loads.Estimate(t.Engine, c.now)
		load := float64(requests) / float64(target.slots)
		if best == "" || load < bestLoad {
			best, bestLoad = t.Engine, load
		}
	}
	return Send{best, wire.ModeForce}, best != ""
}

package route

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// CacheProbes is how many of the first ranked engines are asked whether they cache a chat.
const CacheProbes = 3

// PlacementChoices is how many of the first ranked engines a new chat may be placed on.
const PlacementChoices = 4

// sampleSize is how many engines outside the ranking are compared on a spill.
const sampleSize = 4

// Query is a request that needs an engine.
type Query struct {
	// Key is the chat's hash, or a random number if the request has no chat.
	Key uint64
	// Affine is true if Key is the hash of a chat.
	Affine bool
	// Returning is true if the request shows an earlier turn of the chat.
	Returning bool
	// Named is true if the caller named the chat, which may have had an earlier turn that
	// the request doesn't show.
	Named bool
	// Hint is the engine that served the chat last, or "" if it is unknown.
	Hint string
	// Bound and Floor are the pool's settings for Limit.
	Bound float64
	Floor int
	// MaxTries limits the attempts.
	MaxTries int
}

// Try is an attempt in which the request was not admitted.
type Try struct {
	Engine string
	Mode   wire.Mode
	// Redirect is the engine that the daemon named in its refusal, or "".
	Redirect string
	// NotCached is true if the engine refused only because it lacks the prefix, with or
	// without a redirect.
	NotCached bool
	// Cached is the number of tokens of earlier turns that the engine reported as cached.
	Cached int
	// OverBound is true if the engine refused only because of its load.
	OverBound bool
}

// Decision is the next step for a request: Send or Shed.
type Decision interface{ decision() }

// Send offers the request to Engine.
type Send struct {
	Engine string
	Mode   wire.Mode
}

// Shed rejects the request, which has not run on any engine.
type Shed struct {
	// Empty is true if the pool has no engine.
	Empty bool
}

func (Send) decision() {}
func (Shed) decision() {}

// Choose returns where a request goes next, after the given tries.
//
// A returning chat is first offered to the engines that may have its prefix, and only for
// that: the hinted engine, its home, the engine that the home names, and the others on
// which a new chat may be placed. After that it is treated as a new chat, which goes to
// the least loaded of its first ranked engines.
//
// A named chat is offered to its home in the same way, and any chat to a hinted engine. A
// choice by loads alone, which are seldom exact, would move the chat between two turns.
func Choose(q Query, targets []Target, loads *Loads, mean Mean, tries []Try, now clock.Millis) Decision {
	if len(targets) == 0 {
		return Shed{Empty: true}
	}
	if len(tries) >= q.MaxTries {
		return Shed{}
	}
	c := chooser{q: q, targets: targets, loads: loads, mean: mean, tries: tries, now: now}
	c.ranked = Rank(q.Key, targets, PlacementChoices)
	steps := []func() (Send, bool){c.byHint, c.byRedirect, c.byCache, c.byPartialCache, c.byLeastLoaded, c.bySample, c.force}
	if len(tries) > 0 && len(tries) == q.MaxTries-1 {
		steps = []func() (Send, bool){c.force, c.byLeastLoaded, c.bySample}
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
	// ranked has the indexes of the first ranked targets, best first.
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

// tried reports whether the request was offered to engine. An offer that was refused only
// because the prefix is not cached counts only if cachedOnly is true.
func (c *chooser) tried(engine string, cachedOnly bool) bool {
	return slices.ContainsFunc(c.tries, func(t Try) bool {
		return t.Engine == engine && (cachedOnly || t.Mode != wire.ModeCachedOnly || !t.NotCached)
	})
}

// overBound reports whether another request would exceed the load limit of t. It reports
// false if the load of t is stale or the mean is not reliable.
func (c *chooser) overBound(t Target) bool {
	requests, fresh := c.loads.Estimate(t.id, c.now)
	if !fresh || !c.mean.Reliable() {
		return false
	}
	return requests+1 > Limit(c.q.Bound, c.mean.PerSlot, c.q.Floor, t.slots, len(c.targets))
}

// offerCached offers the request to engine only if it has the prefix cached, even if it
// seems busy. Its daemon knows both for certain, and to ask costs one round trip, while the
// prefill of a long prompt takes a hundred times as long.
func (c *chooser) offerCached(engine string) (Send, bool) {
	if _, ok := c.find(engine); !ok || c.tried(engine, true) {
		return Send{}, false
	}
	return Send{engine, wire.ModeCachedOnly}, true
}

func (c *chooser) triedForced(engine string) bool {
	return slices.ContainsFunc(c.tries, func(t Try) bool { return t.Engine == engine && t.Mode == wire.ModeForce })
}

func (c *chooser) byHint() (Send, bool) {
	if !c.q.Affine {
		return Send{}, false
	}
	return c.offerCached(c.q.Hint)
}

// byRedirect offers the request to the engine that the chat's home named.
func (c *chooser) byRedirect() (Send, bool) {
	for _, t := range c.tries {
		if s, ok := c.offerCached(t.Redirect); ok {
			return s, true
		}
	}
	return Send{}, false
}

// byCache offers the request to the engines on which the chat may have been placed. If only
// the chat's name suggests an earlier turn, it offers it to the home alone, which knows
// where the chat ran. A first turn then waits for just one refused offer.
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
		if s, ok := c.offerCached(c.targets[i].id); ok {
			return s, true
		}
	}
	return Send{}, false
}

// byPartialCache offers the request to the engine that caches the most tokens of earlier
// turns, after the engine of the latest turn could not admit it.
func (c *chooser) byPartialCache() (Send, bool) {
	best, maxCached := "", 0
	for _, t := range c.tries {
		if target, ok := c.find(t.Engine); ok && t.Cached > maxCached && !c.tried(t.Engine, false) && !c.overBound(target) {
			best, maxCached = t.Engine, t.Cached
		}
	}
	return Send{best, wire.ModeNormal}, best != ""
}

// byLeastLoaded offers the request to the least loaded of the first ranked engines. This
// balances the load without moving returning chats (the power of several choices).
func (c *chooser) byLeastLoaded() (Send, bool) {
	if !c.q.Affine {
		return Send{}, false
	}
	return c.leastLoaded(c.ranked, true)
}

// bySample offers the request to the least loaded of a few engines. They depend on the key
// and on the number of tries, so that entries don't all choose the same idle engine.
func (c *chooser) bySample() (Send, bool) {
	n := len(c.targets)
	start := int(mix(c.q.Key+uint64(len(c.tries))+1) % uint64(n))
	sample := make([]int, 0, sampleSize)
	for i := 0; i < n && len(sample) < sampleSize; i++ {
		if j := (start + i) % n; !c.tried(c.targets[j].id, false) {
			sample = append(sample, j)
		}
	}
	return c.leastLoaded(sample, false)
}

// leastLoaded offers the request to the least loaded of the targets with the given indexes
// that was not tried. If withinBound is true, it skips targets over their load limit.
func (c *chooser) leastLoaded(indexes []int, withinBound bool) (Send, bool) {
	best, bestLoad := "", 0.0
	for _, i := range indexes {
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

// force forces the request on the least loaded of the engines that refused because of their
// load, which reported their exact loads with that. They are a sample of the pool: if all
// refused, the mean was wrong rather than every engine too busy.
func (c *chooser) force() (Send, bool) {
	best, bestLoad := "", 0.0
	for _, t := range c.tries {
		target, ok := c.find(t.Engine)
		if !ok || !t.OverBound || c.triedForced(t.Engine) {
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

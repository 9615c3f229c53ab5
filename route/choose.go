package route

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/wire"
)

// Depth is how many ranked engines are looked at before a spill goes to the
// least loaded of a sample.
const Depth = 3

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
	// Hint is the engine that last served the chat, "" if unknown.
	Hint string
	// Bound and Floor are the pool's settings.
	Bound float64
	Floor int
	// Max is the most engines to try.
	Max int
}

// Try is one attempt that ended without the request being taken.
type Try struct {
	Engine string
	Mode   wire.Mode
	// Redirect is the engine that the refusing daemon named, "" if none.
	Redirect string
	// NotCached is true when the engine refused only for want of the prefix.
	NotCached bool
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

// Choose returns where a request goes next, after the tries so far.
func Choose(q Query, targets []Target, loads *Loads, tries []Try, now clock.Millis) Decision {
	if len(targets) == 0 {
		return Shed{Empty: true}
	}
	if len(tries) >= q.Max {
		return Shed{}
	}
	c := chooser{q: q, targets: targets, loads: loads, tries: tries, now: now}
	c.mean, c.known = loads.Mean(targets, now)
	if len(tries) > 0 {
		if s, ok := c.afterRedirect(); ok {
			return s
		}
	}
	if len(tries) > 0 && len(tries) == q.Max-1 {
		if s, ok := c.force(); ok {
			return s
		}
	}
	if s, ok := c.byHint(); ok {
		return s
	}
	if s, ok := c.byRank(); ok {
		return s
	}
	if s, ok := c.bySample(); ok {
		return s
	}
	return Shed{}
}

type chooser struct {
	q       Query
	targets []Target
	loads   *Loads
	tries   []Try
	now     clock.Millis
	// mean is per slot; known is the share of engines it is based on.
	mean, known float64
}

func (c *chooser) find(engine string) (Target, bool) {
	i := slices.IndexFunc(c.targets, func(t Target) bool { return t.id == engine })
	if i < 0 {
		return Target{}, false
	}
	return c.targets[i], true
}

// refused reports whether engine turned the request away for good.
func (c *chooser) refused(engine string) bool {
	return slices.ContainsFunc(c.tries, func(t Try) bool {
		return t.Engine == engine && t.Redirect == "" && !t.NotCached
	})
}

func (c *chooser) tried(engine string, mode wire.Mode) bool {
	return slices.ContainsFunc(c.tries, func(t Try) bool { return t.Engine == engine && t.Mode == mode })
}

// overBound reports whether engine is believed to carry more than it may.
// Without reports from half of the pool nothing is believed.
func (c *chooser) overBound(t Target) bool {
	requests, fresh := c.loads.Get(t.id, c.now)
	if !fresh || c.known < 0.5 {
		return false
	}
	return requests+1 > Limit(c.q.Bound, c.mean, c.q.Floor, t.slots, len(c.targets))
}

// afterRedirect follows the word of the latest daemon: to the holder that it
// named, or back to the home when the holder has nothing.
func (c *chooser) afterRedirect() (Send, bool) {
	last := c.tries[len(c.tries)-1]
	if last.Redirect != "" && last.Redirect != last.Engine {
		if _, ok := c.find(last.Redirect); ok && !c.tried(last.Redirect, wire.ModeCachedOnly) && !c.refused(last.Redirect) {
			return Send{last.Redirect, wire.ModeCachedOnly}, true
		}
	}
	for _, t := range c.tries {
		if t.Redirect != "" && !c.tried(t.Engine, wire.ModeFinal) {
			return Send{t.Engine, wire.ModeFinal}, true
		}
	}
	return Send{}, false
}

// force returns the least loaded of the engines that refused for their load,
// whose loads are now exactly known. They are a sample of the pool, so when
// all refused, the mean was wrong rather than every engine too busy.
func (c *chooser) force() (Send, bool) {
	best, bestLoad := "", 0.0
	for _, t := range c.tries {
		target, ok := c.find(t.Engine)
		if !ok || !t.OverBound {
			continue
		}
		requests, _ := c.loads.Get(t.Engine, c.now)
		load := float64(requests) / float64(target.slots)
		if best == "" || load < bestLoad {
			best, bestLoad = t.Engine, load
		}
	}
	return Send{best, wire.ModeForce}, best != ""
}

func (c *chooser) byHint() (Send, bool) {
	t, ok := c.find(c.q.Hint)
	if !ok || c.tried(t.id, wire.ModeCachedOnly) || c.refused(t.id) || c.overBound(t) {
		return Send{}, false
	}
	return Send{t.id, wire.ModeCachedOnly}, true
}

func (c *chooser) byRank() (Send, bool) {
	if !c.q.Affine {
		return Send{}, false
	}
	for _, i := range Rank(c.q.Key, c.targets, Depth) {
		t := c.targets[i]
		if c.tried(t.id, wire.ModeNormal) || c.tried(t.id, wire.ModeFinal) || c.refused(t.id) || c.overBound(t) {
			continue
		}
		if len(c.tries) > 0 {
			return Send{t.id, wire.ModeFinal}, true
		}
		return Send{t.id, wire.ModeNormal}, true
	}
	return Send{}, false
}

// bySample takes the least loaded of a few engines that depend on the key and
// on the tries so far, so that entries do not all rush to one idle engine.
func (c *chooser) bySample() (Send, bool) {
	best, bestLoad := "", 0.0
	seed := mix(c.q.Key + uint64(len(c.tries)) + 1)
	seen := 0
	for i := range c.targets {
		t := c.targets[(int(seed%uint64(len(c.targets)))+i)%len(c.targets)]
		if c.tried(t.id, wire.ModeFinal) || c.refused(t.id) {
			continue
		}
		requests, _ := c.loads.Get(t.id, c.now)
		load := float64(requests) / float64(t.slots)
		if best == "" || load < bestLoad {
			best, bestLoad = t.id, load
		}
		if seen++; seen == sampleSize {
			break
		}
	}
	if best == "" {
		return Send{}, false
	}
	return Send{best, wire.ModeFinal}, true
}

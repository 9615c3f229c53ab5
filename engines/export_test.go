package engines

import (
	"cmp"
	"math"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/route"
)

// ChooseSorted is Choose as it is written down: it sorts all engines, works out each load
// where it is needed, and remembers nothing.
func (b *Registry) ChooseSorted(q Query, now clock.Millis) (Choice, bool) {
	p := b.byService[q.Service]
	if p == nil {
		return Choice{}, false
	}
	usable := slices.Clone(b.usable(p, q, now))
	if len(usable) == 0 || (q.Isolated && len(usable) == 1 && len(p.engines) > 1) {
		return Choice{}, false
	}
	sum, n := 0.0, 0
	for _, e := range usable {
		if e.hasReport && now-e.reportedAt < 4*othersHalfLife {
			sum += e.otherRequests
			n++
		}
	}
	others := 0.0
	if n > 0 {
		others = sum / float64(n)
	}
	load := func(e *Engine) float64 {
		if !e.hasReport {
			return float64(e.inflight) + others
		}
		return float64(e.inflight) + others + (e.otherRequests-others)*othersFading.left(now-e.reportedAt)
	}
	c := Choice{}
	for _, e := range usable {
		c.Mean += load(e)
	}
	c.Mean /= float64(len(usable))
	if len(q.Keys) > 0 && !q.Isolated {
		order := sortedFor(q.Keys[len(q.Keys)-1], usable)
		homes := min(homes(q.Tokens), len(order))
		if load(order[0]) > calmBound*c.Mean+calmSlack {
			slices.SortStableFunc(order[:homes], func(a, b *Engine) int { return cmp.Compare(load(a), load(b)) })
		}
		for i, e := range order {
			if c.Engine == nil && load(e)+1 <= q.Bound*c.Mean+q.Slack {
				c.Engine, c.Load, c.Basis = e, load(e), ByHome
				if i >= homes {
					c.Basis = ByRank
				}
			}
		}
	}
	if c.Engine == nil {
		start := int(q.Random * float64(len(usable)))
		turned := slices.Concat(usable[start:], usable[:start])
		c.Engine = slices.MinFunc(turned, func(a, b *Engine) int {
			return cmp.Compare(load(a)/float64(a.info.Slots), load(b)/float64(b.info.Slots))
		})
		c.Load, c.Basis = load(c.Engine), ByLoad
	}
	if len(q.Keys) > 0 {
		c.PrefixSent = b.memory.holds(q.Keys[len(q.Keys)-1], c.Engine.info.Incarnation())
		c.Source = b.sourceSorted(q, p, c.Engine, now)
	}
	return c, true
}

func (b *Registry) sourceSorted(q Query, p *pool, chosen *Engine, now clock.Millis) *Engine {
	for i := len(q.Keys) - 1; i >= 0; i-- {
		if b.keeps(chosen, q.Keys[i], now) {
			return nil
		}
		for _, n := range b.memory.holders(q.Keys[i]) {
			if e := b.Find(n); e != nil && e != chosen && e.info.Service == q.Service && b.sound(e, q.MaxSilence, now) {
				return e
			}
		}
		if i < len(q.Keys)-1 {
			continue
		}
		order := sortedFor(q.Keys[i], p.engines)
		at := slices.Index(order, chosen)
		for _, e := range order[:at] {
			if b.sound(e, q.MaxSilence, now) {
				return e
			}
		}
		if homes(q.Tokens) == 1 && !chosen.young(now) {
			continue
		}
		for _, e := range order[at+1:] {
			if !e.young(now) && b.sound(e, q.MaxSilence, now) {
				return e
			}
		}
	}
	return nil
}

// sortedFor returns engines in the order of a key's ranking, by ranking two at a time.
func sortedFor(key uint64, in []*Engine) []*Engine {
	before := func(a, b *Engine) bool { return route.Rank(key, []route.Target{b.target, a.target}, 1)[0] == 1 }
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b *Engine) int {
		switch {
		case before(a, b):
			return -1
		case before(b, a):
			return 1
		}
		return 0
	})
	return out
}

// FadingError returns by how much the part left after a time differs from the exact one.
func FadingError(d clock.Millis) float64 {
	return math.Abs(rateFading.left(d) - math.Exp2(-float64(d)/float64(rateHalfLife)))
}

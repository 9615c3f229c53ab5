package engines

import (
	"cmp"
	"math"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/route"
)

// ChooseSorted is the reference implementation of Choose: it sorts all engines, computes
// each load where it is needed, and does not record the choice.
func (r *Registry) ChooseSorted(q Query, now clock.Millis) (Choice, bool) {
	p := r.byService[q.Service]
	if p == nil {
		return Choice{}, false
	}
	usable := slices.Clone(r.usable(p, q, now))
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
		return float64(e.inflight) + others + (e.otherRequests-others)*othersDecay.weight(now-e.reportedAt)
	}
	c := Choice{}
	for _, e := range usable {
		c.Mean += load(e)
	}
	c.Mean /= float64(len(usable))
	if len(q.Keys) > 0 && !q.Isolated {
		order := sortByRank(q.Keys[len(q.Keys)-1], usable)
		n := min(homeCount(q.Tokens), len(order))
		if load(order[0]) > firstHomeBound*c.Mean+firstHomeSlack {
			slices.SortStableFunc(order[:n], func(a, b *Engine) int { return cmp.Compare(load(a), load(b)) })
		}
		for i, e := range order {
			if c.Engine == nil && load(e)+1 <= q.Bound*c.Mean+q.Slack {
				c.Engine, c.Load, c.Basis = e, load(e), ByHome
				if i >= n {
					c.Basis = ByRank
				}
			}
		}
	}
	if c.Engine == nil {
		start := int(q.Random * float64(len(usable)))
		rotated := slices.Concat(usable[start:], usable[:start])
		spread := r.slotsLimitSorted(usable, spreadShare)
		c.Engine = slices.MinFunc(rotated, func(a, b *Engine) int {
			return cmp.Compare(load(a)/min(float64(a.info.Slots), spread), load(b)/min(float64(b.info.Slots), spread))
		})
		if load(c.Engine)+1 > float64(c.Engine.info.Slots) {
			larger := slices.DeleteFunc(slices.Clone(usable), func(e *Engine) bool {
				return float64(e.info.Slots) <= spread || load(e)+1 > float64(e.info.Slots) || load(e)+1 > q.Bound*c.Mean+q.Slack
			})
			if len(larger) > 0 {
				c.Engine = slices.MinFunc(larger, func(a, b *Engine) int { return cmp.Compare(load(a), load(b)) })
			}
		}
		c.Load, c.Basis = load(c.Engine), ByLoad
	}
	if len(q.Keys) > 0 {
		c.PrefixSent = r.prefixes.holds(q.Keys[len(q.Keys)-1], c.Engine.info.Incarnation())
		c.Source = r.fetchSourceSorted(q, p, c.Engine, now)
	}
	return c, true
}

// slotsLimitSorted sorts all sizes and tries how many of them exceed the limit, fewest first.
func (r *Registry) slotsLimitSorted(in []*Engine, share float64) float64 {
	factor := 1 + share*(cmp.Or(r.loadBound, 2)-1)
	var sizes []float64
	rest := 0.0
	for _, e := range in {
		sizes = append(sizes, float64(e.info.Slots))
		rest += float64(e.info.Slots)
	}
	slices.SortFunc(sizes, func(a, b float64) int { return cmp.Compare(b, a) })
	for i, size := range sizes {
		limit := factor * rest / (float64(len(sizes)) - factor*float64(i))
		if size <= limit {
			return limit
		}
		rest -= size
	}
	return math.Inf(1)
}

func (r *Registry) fetchSourceSorted(q Query, p *pool, chosen *Engine, now clock.Millis) *Engine {
	for i := len(q.Keys) - 1; i >= 0; i-- {
		if r.likelyCached(chosen, q.Keys[i], now) {
			return nil
		}
		for _, n := range r.prefixes.holders(q.Keys[i]) {
			if e := r.Find(n); e != nil && e != chosen && e.info.Service == q.Service && r.canServeFetch(e, q.MaxSilence, now) {
				return e
			}
		}
		if i < len(q.Keys)-1 {
			continue
		}
		order := sortByRank(q.Keys[i], p.engines)
		at := slices.Index(order, chosen)
		for _, e := range order[:at] {
			if r.canServeFetch(e, q.MaxSilence, now) {
				return e
			}
		}
		if homeCount(q.Tokens) == 1 && !chosen.isNew(now) {
			continue
		}
		for _, e := range order[at+1:] {
			if !e.isNew(now) && r.canServeFetch(e, q.MaxSilence, now) {
				return e
			}
		}
	}
	return nil
}

// sortByRank returns the engines in the order of a key's ranking, comparing two at a time.
func sortByRank(key uint64, in []*Engine) []*Engine {
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

// DecayError returns the error of the tabulated decay at age d.
func DecayError(d clock.Millis) float64 {
	return math.Abs(outcomeDecay.weight(d) - math.Exp2(-float64(d)/float64(outcomeHalfLife)))
}

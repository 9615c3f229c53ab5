package engines

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/route"
)

// Bounds of the choice.
const (
	// suspectRate is the share of failures over that of the whole service
	// from which an engine is passed over.
	suspectRate = 0.2
	// mostSuspects is the part of a pool that may be passed over at once;
	// when more look bad the fault is likely ours or everybody's.
	mostSuspects = 0.5
)

// Query is a request that needs an engine.
type Query struct {
	Service string
	// Keys are the beginnings of the prompt that an engine may remember, from
	// the shortest on; none if there are none.
	Keys []uint64
	// Tokens is the length of the longest of them.
	Tokens int
	// Cost is what prompts cost the engines.
	Cost Cost
	// Bound is the highest load of an engine as a multiple of the mean, above
	// 1, and Slack is added to it.
	Bound float64
	Slack float64
	// MaxSilence is how long an engine may leave requests without a sign before it
	// is passed over.
	MaxSilence clock.Millis
	// Warmup is what holds for engines that are cold.
	Warmup Warmup
	// Isolated is true for a request that may end its engine: it goes where the fewest
	// others are, and not to the last engine that can be chosen unless there is no
	// other in the service at all.
	Isolated bool
	// Tried are engines that have had the request.
	Tried []string
	// Random breaks ties, 0 to 1.
	Random float64
}

const (
	// boundPart is how much of the way from the mean to the operators' bound
	// a request may fill; the rest is for what other entries send at the same
	// time, and for engines that tell no load while they read their first prompts.
	// With 0.75, and three requests over, 1.5 to 5.1% of the requests of the first
	// seconds met an engine over the bound (27 entries, 50 engines, five draws of
	// traffic), with this 1.2 to 2.8%.
	boundPart = 0.5
	// boundSlack is the number of requests over the bound that are always
	// allowed, so that a small mean does not scatter chats.
	boundSlack = 2.0
)

// AffinityBound returns the multiple of the mean load up to which a chat stays at the
// engine that remembers it, and what is added to it, where operators set a bound for
// the load of engines.
func AffinityBound(operators float64) (bound, slack float64) {
	if operators <= 1 {
		return 1 + boundPart, boundSlack
	}
	return 1 + (operators-1)*boundPart, boundSlack
}

// Basis says by what an engine was chosen.
type Basis string

const (
	// ByHome is one of the prompt's homes, the first engines of the ranking.
	ByHome Basis = "home"
	// ByRank is a later engine of the ranking: those before have no room.
	ByRank Basis = "rank"
	// ByLoad is the least loaded engine.
	ByLoad Basis = "load"
)

// Choice is the engine for a request and the inputs that decided.
type Choice struct {
	Engine *Engine
	// Basis says by what the engine was chosen.
	Basis Basis
	// PrefixSent is true if this entry sent the engine a prompt of the same beginning
	// before.
	PrefixSent bool
	// Source is an engine that may keep more of the prompt, from which the chosen one
	// should take it; nil if none is known, or reading it costs less.
	Source *Engine
	// FetchTooCostly is true if such an engine is known, and to take the prompt from it costs
	// more than to read it.
	FetchTooCostly bool
	// Load and Mean are the estimates at the time.
	Load float64
	Mean float64
}

// Choose returns the engine for a request, or false if there is none.
func (b *Registry) Choose(q Query, now clock.Millis) (Choice, bool) {
	p := b.byService[q.Service]
	if p == nil {
		return Choice{}, false
	}
	usable := b.usable(p, q, now)
	if len(usable) == 0 || (q.Isolated && len(usable) == 1 && len(p.engines) > 1) {
		return Choice{}, false
	}
	loads := b.loads(usable, now)
	mean := 0.0
	for _, l := range loads {
		mean += l
	}
	mean /= float64(len(usable))
	c := Choice{Mean: mean}
	var order *ranking
	if len(q.Keys) > 0 {
		order = newRanking(q.Keys[len(q.Keys)-1], usable)
	}
	if order != nil && !q.Isolated {
		c.byPrompt(q, order, loads)
	}
	if c.Engine == nil {
		c.byLoad(q, usable, loads)
	}
	if order != nil {
		c.PrefixSent = b.memory.holds(q.Keys[len(q.Keys)-1], c.Engine.info.Incarnation())
		c.Source = b.source(q, order.over(p.engines), c.Engine, now)
		if c.Source != nil && !q.Cost.fetches(c.Load, c.Source.info.Hall != c.Engine.info.Hall) {
			c.Source, c.FetchTooCostly = nil, true
		}
		b.memory.note(q.Keys, c.Engine.info.Incarnation())
	}
	return c, true
}

// usable returns the engines that can be chosen: those that have a good entry and
// their address to themselves, are not leaving, not in an evacuated data hall, not
// cold with this entry's share sent, not tried and not under suspicion, unless most
// of the pool is. What it returns is good until the next choice.
func (b *Registry) usable(p *pool, q Query, now clock.Millis) []*Engine {
	live := b.scratch.live[:0]
	for _, e := range p.engines {
		if q.Isolated && now < e.reservedUntil {
			continue
		}
		if e.AcceptsRequests() && !b.isEvacuated(e) && !e.full(q.Warmup, now) {
			live = append(live, e)
		}
	}
	rate := meanRate(live, now)
	good := b.scratch.good[:0]
	for _, e := range live {
		if !e.suspect(rate, q.MaxSilence, now) {
			good = append(good, e)
		}
	}
	b.scratch.live, b.scratch.good = live, good
	if float64(len(good)) < (1-mostSuspects)*float64(len(live)) {
		good = live
	}
	if len(q.Tried) == 0 {
		return good
	}
	untried := func(in []*Engine) []*Engine {
		return slices.DeleteFunc(slices.Clone(in), func(e *Engine) bool { return slices.Contains(q.Tried, e.info.ID) })
	}
	if u := untried(good); len(u) > 0 {
		return u
	}
	return untried(live)
}

// scratch is memory that one choice after the other uses.
type scratch struct {
	live, good []*Engine
	loads      []float64
}

// AcceptsRequests reports whether an engine may be sent anything new by what the list says
// of it and of its address.
func (e *Engine) AcceptsRequests() bool { return !e.info.Draining && !e.invalid && !e.ousted() }

// suspect reports whether new requests had better go elsewhere.
func (e *Engine) suspect(rate float64, silence, now clock.Millis) bool {
	if e.missing || now < e.reservedUntil || e.health.held(now) || e.silence(now) > silence {
		return true
	}
	return e.health.rate(now) > rate+suspectRate
}

// meanRate is the share of failures of all engines together.
func meanRate(live []*Engine, now clock.Millis) float64 {
	good, bad := 0.0, 0.0
	for _, e := range live {
		e.health.fade(now)
		good += e.health.good
		bad += e.health.bad
	}
	if good+bad == 0 {
		return 0
	}
	return bad / (good + bad)
}

// loads estimates the requests at each of some engines. What it returns is good until
// the next choice.
func (b *Registry) loads(in []*Engine, now clock.Millis) []float64 {
	out := slices.Grow(b.scratch.loads[:0], len(in))[:len(in)]
	b.scratch.loads = out
	// The mean of what engines have of other entries' requests is by those whose word
	// is fresh.
	sum, n := 0.0, 0
	for i, e := range in {
		out[i] = e.weight(now)
		if e.hasReport && now-e.reportedAt < 4*othersHalfLife {
			sum += e.otherRequests
			n++
		}
	}
	mean := 0.0
	if n > 0 {
		mean = sum / float64(n)
	}
	for i, e := range in {
		out[i] = e.load(mean, out[i])
	}
	return out
}

// byPrompt takes the first of the prompt's homes while it is no busier than
// most, then the least loaded of them, or else the next in its ranking that has
// room. The ranking alone decides, so that all entries agree without talk: an
// engine that joins takes over its part of the prompts at once, and takes what
// it lacks from the next in the ranking, which had them before.
func (c *Choice) byPrompt(q Query, order *ranking, loads []float64) {
	bound := q.Bound*c.Mean + q.Slack
	var first [mostHome]int
	n := 0
	for n < homes(q.Tokens) && order.has(n) {
		first[n] = order.at(n)
		n++
	}
	if loads[first[0]] > calmBound*c.Mean+calmSlack {
		slices.SortStableFunc(first[:n], func(a, b int) int { return cmp.Compare(loads[a], loads[b]) })
	}
	for i := 0; order.has(i); i++ {
		at, how := order.at(i), ByRank
		if i < n {
			at, how = first[i], ByHome
		}
		if loads[at]+1 <= bound {
			c.Engine, c.Load, c.Basis = order.in[at], loads[at], how
			return
		}
	}
}

const (
	// calmBound and calmSlack bound the load, as a multiple of the mean and
	// added to it, up to which the first home takes all requests of a prompt:
	// to spread them costs a move or another reading at each of the others.
	calmBound = 1.1
	calmSlack = 0.5
	// oneHome and twoHomes are the lengths in tokens from which a prompt has
	// one home, or two; a shorter one has three. Reading it at each of them is
	// the price of balance: a thousand tokens hold an engine up for about 25
	// ms.
	oneHome  = 2500
	twoHomes = 1000
	mostHome = 3
)

// homes returns how many engines share the requests of a prompt.
func homes(tokens int) int {
	switch {
	case tokens >= oneHome:
		return 1
	case tokens >= twoHomes:
		return 2
	}
	return mostHome
}

// ranking is the order of engines for a key, found as far as it is asked for.
type ranking struct {
	key uint64
	in  []*Engine
	// top are the indexes of the first of it, best first.
	top []int
}

// rankedFirst is how many of a ranking are found at first: the homes of a prompt and the
// next that have room; seldom more are looked at.
const rankedFirst = 8

func newRanking(key uint64, in []*Engine) *ranking { return &ranking{key: key, in: in} }

// over returns the ranking of all engines, where this one is of some of them in the same
// order. Mostly it is of all.
func (r *ranking) over(all []*Engine) *ranking {
	if len(r.in) == len(all) {
		return r
	}
	return newRanking(r.key, all)
}

// has reports whether the ranking goes on to an engine.
func (r *ranking) has(i int) bool { return i < len(r.in) }

// at returns the index of the engine that comes as the i-th, from zero on. One pass over
// the engines finds the first few, where to sort all took the square of their number: among
// 188 a choice for a chat took 80 µs and takes 14, among 10,000 84 ms and takes 0.6
// (BenchmarkChoose, one core).
func (r *ranking) at(i int) int {
	if i >= len(r.top) {
		r.top = route.RankBy(r.key, r.in, func(e *Engine) route.Target { return e.target }, max(rankedFirst, rankedFirst*len(r.top)))
	}
	return r.top[i]
}

// byLoad takes the engine with the least load a slot.
func (c *Choice) byLoad(q Query, usable []*Engine, loads []float64) {
	best, bestScore := -1, 0.0
	start := int(q.Random * float64(len(usable)))
	for k := range usable {
		i := (start + k) % len(usable)
		s := loads[i] / float64(usable[i].info.Slots)
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	c.Engine, c.Basis, c.Load = usable[best], ByLoad, loads[best]
}

package engines

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/locality"
	"github.com/weldfall/weldfall/route"
)

const (
	// suspectMargin is how far the failure rate of an engine must exceed that of its
	// whole service for the engine to be avoided.
	suspectMargin = 0.2
	// maxSuspects is the part of a pool that may be avoided at once. If more engines
	// look bad, the fault is probably this entry's or affects all of them.
	maxSuspects = 0.5
)

// Query describes a request that needs an engine.
type Query struct {
	Service string
	// Keys identify the prefixes of the prompt that an engine may have cached, the
	// shortest first. Empty if there are none.
	Keys []uint64
	// Tokens is the length of the longest prefix.
	Tokens int
	// Cost is the cost of prompts in the service.
	Cost Cost
	// An engine has room for a prompt that it may have cached while its load is at most
	// Bound times the mean plus Slack. Bound is above 1.
	Bound float64
	Slack float64
	// WithinSlots is true if an engine without a free slot gets no prompt that it may have
	// cached while the mean load is below its slots.
	WithinSlots bool
	// MaxSilence is how long an engine may leave requests without sending anything
	// before it is avoided.
	MaxSilence clock.Millis
	// Warmup is the settings for engines that are warming up.
	Warmup Warmup
	// Version is the software version that the engine must have, "" for any.
	Version string
	// Sound leaves out engines that new requests avoid, also if there is no other.
	Sound bool
	// Isolated is true for a request that may crash its engine. It goes to the least
	// loaded engine, and to the last one that can be chosen only if the service has no
	// other at all.
	Isolated bool
	// Tried holds the IDs of engines that the request was sent to before.
	Tried []string
	// Random breaks ties; from 0 up to, but not including, 1.
	Random float64
	// Hall is the entry's data hall. Locality decides which requests leave it and Leave is
	// its random number, like Random. Locality is nil if halls are not heeded.
	Hall     string
	Locality *locality.Spill
	Leave    float64
}

const (
	// boundShare is how much of the way from the mean load to the operators' bound one
	// entry may fill. The rest is for requests that other entries send at the same time,
	// and for engines that report no load while they prefill their first prompts. With
	// 0.75 and a slack of three requests, 1.5 to 5.1% of the requests of the first
	// seconds met an engine over the bound; with 0.5 and two, 1.2 to 2.8% (27 entries,
	// 50 engines, five random traffic samples).
	boundShare = 0.5
	// boundSlack is the number of requests that are always allowed over the bound, so
	// that chats stay at their engines when the mean is small.
	boundSlack = 2.0
)

// AffinityBound returns Bound and Slack of a Query, up to which a chat stays at the
// engine that has its prefix cached. operators is the operators' bound for the load of an
// engine as a multiple of the mean; it counts only if above 1.
func AffinityBound(operators float64) (bound, slack float64) {
	if operators <= 1 {
		return 1 + boundShare, boundSlack
	}
	return 1 + (operators-1)*boundShare, boundSlack
}

// Basis is the rule by which an engine was chosen.
type Basis string

const (
	// ByHome means that the engine is one of the prompt's homes, the first engines in
	// its ranking.
	ByHome Basis = "home"
	// ByRank means that the engine comes later in the ranking and those before it have
	// no room.
	ByRank Basis = "rank"
	// ByLoad means that the engine is the least loaded one.
	ByLoad Basis = "load"
)

// Choice is the engine for a request and the values that led to it.
type Choice struct {
	Engine *Engine
	Basis  Basis
	// PrefixSent is true if this entry has sent the engine a prompt with the same
	// longest prefix before.
	PrefixSent bool
	// Source is an engine that may have more of the prompt cached, from which the chosen
	// one should fetch it. It is nil if none is known or a prefill costs less.
	Source *Engine
	// FetchTooCostly is true if such an engine is known and a fetch costs more than a
	// prefill.
	FetchTooCostly bool
	// Load is the estimated load of the engine, Mean that of all usable engines.
	Load float64
	Mean float64
	// Hall says why the request stayed in the entry's data hall or left it, "" if its
	// engine was chosen without regard to halls.
	Hall locality.Reason
}

// Choose returns the engine for a request, or false if no engine can be chosen. One that
// has no free slot by estimate is not chosen for a request that needs a version.
func (r *Registry) Choose(q Query, now clock.Millis) (Choice, bool) {
	p := r.byService[q.Service]
	if p == nil {
		return Choice{}, false
	}
	usable := r.usable(p, q, now)
	if len(usable) == 0 || (q.Isolated && len(usable) == 1 && len(p.engines) > 1) {
		return Choice{}, false
	}
	limit := r.slotsLimit(usable, countedShare)
	loads := r.estimateLoads(usable, limit, now)
	mean := 0.0
	for _, l := range loads {
		mean += l
	}
	mean /= float64(len(usable))
	paced := r.weighByPace(p, usable, loads, now)
	c := Choice{Mean: mean}
	var order *ranking
	if len(q.Keys) > 0 {
		order = newRanking(q.Keys[len(q.Keys)-1], usable)
	}
	if order != nil && !q.Isolated {
		c.chooseByPrefix(q, order, loads, paced)
	}
	if c.Engine == nil {
		c.chooseByLoad(q, usable, loads, paced, limit, r.slotsLimit(usable, spreadShare))
	}
	if q.Version != "" && c.Load >= float64(c.Engine.info.Slots) {
		// The last engines of a version would get the streams of all that ended.
		return Choice{}, false
	}
	if order != nil {
		c.PrefixSent = r.prefixes.holds(q.Keys[len(q.Keys)-1], c.Engine.info.Incarnation())
		c.Source = r.fetchSource(q, order.extend(p.engines), c.Engine, now)
		if c.Source != nil && !q.Cost.prefersFetch(c.Load, c.Source.info.Hall != c.Engine.info.Hall) {
			c.Source, c.FetchTooCostly = nil, true
		}
		r.prefixes.record(q.Keys, c.Engine.info.Incarnation())
	}
	return c, true
}

// usable returns the engines that can be chosen. It leaves out engines that accept no
// requests, are of another version than the request needs, are in an evacuated data hall,
// have reached this entry's limit for the warm-up or were tried before. It leaves out
// suspect ones too, unless most of the pool is suspect or all others were tried, and the request
// may go to a suspect one. The result is valid until the next choice.
func (r *Registry) usable(p *pool, q Query, now clock.Millis) []*Engine {
	live := r.scratch.live[:0]
	for _, e := range p.engines {
		if q.Isolated && now < e.reservedUntil {
			continue
		}
		if e.AcceptsRequests(now) && e.hasVersion(q.Version) && !r.isEvacuated(e) && !e.atWarmupLimit(q.Warmup, now) {
			live = append(live, e)
		}
	}
	rate := meanFailureRate(live, now)
	trusted := r.scratch.trusted[:0]
	for _, e := range live {
		if !e.suspect(rate, q.MaxSilence, now) {
			trusted = append(trusted, e)
		}
	}
	r.scratch.live, r.scratch.trusted = live, trusted
	if q.Sound {
		live = trusted
	} else if float64(len(trusted)) < (1-maxSuspects)*float64(len(live)) {
		trusted = live
	}
	if len(q.Tried) == 0 {
		return trusted
	}
	untried := func(in []*Engine) []*Engine {
		return slices.DeleteFunc(slices.Clone(in), func(e *Engine) bool { return slices.Contains(q.Tried, e.info.ID) })
	}
	if u := untried(trusted); len(u) > 0 {
		return u
	}
	return untried(live)
}

// scratch is memory that choices reuse.
type scratch struct {
	live, trusted []*Engine
	loads, paced  []float64
}

// AcceptsRequests reports whether an engine may get new requests by its listing entry and by
// what it said: the entry is valid and not draining, no other engine owns the address, and the
// engine did not say that it leaves or rests.
func (e *Engine) AcceptsRequests(now clock.Millis) bool {
	return !e.info.Draining && !e.unreadable && !e.said.Closed(now) && !e.displaced()
}

// suspect reports whether new requests should avoid the engine. rate is the failure rate
// of the service.
func (e *Engine) suspect(rate float64, maxSilence, now clock.Millis) bool {
	if e.missing || now < e.reservedUntil || e.said.Held(now) || e.health.avoided(now) || e.silence(now) > maxSilence {
		return true
	}
	return e.health.failureRate(now) > rate+suspectMargin
}

// meanFailureRate returns the failure rate of all given engines together.
func meanFailureRate(live []*Engine, now clock.Millis) float64 {
	good, bad := 0.0, 0.0
	for _, e := range live {
		e.health.decay(now)
		good += e.health.good
		bad += e.health.bad
	}
	if good+bad == 0 {
		return 0
	}
	return bad / (good + bad)
}

// estimateLoads estimates the requests at each of the given engines, whose slots count up to
// limit. The result is valid until the next choice.
func (r *Registry) estimateLoads(in []*Engine, limit float64, now clock.Millis) []float64 {
	out := slices.Grow(r.scratch.loads[:0], len(in))[:len(in)]
	r.scratch.loads = out
	// The mean number of other entries' requests at an engine is taken over engines with
	// a recent report.
	sum, n := 0.0, 0
	for i, e := range in {
		out[i] = e.reportWeight(now)
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
		out[i] = e.estimateLoad(mean, out[i])
	}
	addBeliefs(in, out, limit, now)
	return out
}

// chooseByPrefix chooses the first of the prompt's homes unless it is busier than most
// engines, then the home that is least loaded for its pace, then the next engine in the ranking that has room.
//
// All entries compute the same ranking, so they agree without communication. An engine
// that joins takes over its part of the prompts at once and fetches missing prefixes from
// the next engine in the ranking, which had them before.
func (c *Choice) chooseByPrefix(q Query, order *ranking, loads, paced []float64) {
	bound := q.Bound*c.Mean + q.Slack
	var first [maxHomes]int
	n := 0
	for n < homeCount(q.Tokens) && order.has(n) {
		first[n] = order.index(n)
		n++
	}
	if paced[first[0]] > firstHomeBound*c.Mean+firstHomeSlack {
		slices.SortStableFunc(first[:n], func(a, b int) int {
			return cmp.Compare(paced[a]-q.hallCredit(order.in[a]), paced[b]-q.hallCredit(order.in[b]))
		})
	}
	for i := 0; order.has(i); i++ {
		index, basis := order.index(i), ByRank
		if i < n {
			index, basis = first[i], ByHome
		}
		if loads[index]+1 <= q.roomFor(order.in[index], bound, c.Mean) {
			c.Engine, c.Load, c.Basis = order.in[index], loads[index], basis
			return
		}
	}
}

// roomFor returns the load up to which an engine has room for a prompt that it may have
// cached.
func (q Query) roomFor(e *Engine, bound, mean float64) float64 {
	if slots := float64(e.info.Slots); q.WithinSlots && mean < slots {
		return min(bound, slots)
	}
	return bound
}

const (
	// The first home takes all requests of a prompt while its load is at most
	// firstHomeBound times the mean plus firstHomeSlack. Each further home costs a fetch
	// or another prefill.
	firstHomeBound = 1.1
	firstHomeSlack = 0.5
	// A prompt of at least oneHomeTokens has one home, one of at least twoHomesTokens
	// two, and a shorter one maxHomes. More homes balance the load better, but each has
	// to prefill the prompt: a thousand tokens occupy an engine for about 25 ms.
	oneHomeTokens  = 2500
	twoHomesTokens = 1000
	maxHomes       = 3
)

// homeCount returns how many engines share the requests of a prompt.
func homeCount(tokens int) int {
	switch {
	case tokens >= oneHomeTokens:
		return 1
	case tokens >= twoHomesTokens:
		return 2
	}
	return maxHomes
}

// ranking is the order of engines for a key. It is computed as far as it is needed.
type ranking struct {
	key uint64
	in  []*Engine
	// top holds the indexes of the first engines, best first.
	top []int
}

// rankingBatch is how many engines of a ranking are computed at first: the homes of a
// prompt and the next engines that may have room. More are rarely needed.
const rankingBatch = 8

func newRanking(key uint64, in []*Engine) *ranking { return &ranking{key: key, in: in} }

// extend returns the ranking of all engines. r ranks some of them, which must be in the
// same order; usually it ranks them all already.
func (r *ranking) extend(all []*Engine) *ranking {
	if len(r.in) == len(all) {
		return r
	}
	return newRanking(r.key, all)
}

// has reports whether the ranking has an i-th engine, counted from zero.
func (r *ranking) has(i int) bool { return i < len(r.in) }

// index returns the index of the i-th engine, counted from zero. The first few are found
// in one pass; sorting all engines took time quadratic in their number. A choice for a
// chat takes 14 instead of 80 µs among 188 engines, and 0.6 instead of 84 ms among 10,000
// (BenchmarkChoose, one core).
func (r *ranking) index(i int) int {
	if i >= len(r.top) {
		r.top = route.RankBy(r.key, r.in, func(e *Engine) route.Target { return e.target }, max(rankingBatch, rankingBatch*len(r.top)))
	}
	return r.top[i]
}

package replay

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/measure/trace"
	"github.com/weldfall/weldfall/route"
)

// Weldfall uses the decisions of package route: each entry has its own view, hints and
// loads, each daemon its own cache index.
type Weldfall struct {
	loads []*route.Loads
	hints []map[int]string
	// lastGossip is when the loads were last distributed.
	lastGossip clock.Millis
}

// Name implements Policy.
func (*Weldfall) Name() string { return "weldfall" }

// maxTries is the default of retry.attempts.
const maxTries = 8

// gossipPeriod is how often entries receive loads apart from responses.
const gossipPeriod clock.Millis = 1000

func (w *Weldfall) prepare(p *pool) {
	if w.loads == nil {
		for range p.cfg.Entries {
			w.loads = append(w.loads, route.NewLoads())
			w.hints = append(w.hints, map[int]string{})
		}
	}
	if p.now-w.lastGossip < gossipPeriod {
		return
	}
	w.lastGossip = p.now
	for _, l := range w.loads {
		for _, e := range p.engines {
			l.Sample(e.id, e.reported(p.now-p.cfg.ReportLag), p.now-p.cfg.ReportLag)
		}
	}
}

func targetsOf(engines []*engine) []route.Target {
	out := make([]route.Target, len(engines))
	for i, e := range engines {
		out[i] = route.NewTarget(e.id, e.slots)
	}
	return out
}

func (w *Weldfall) choose(p *pool, entry int, t trace.Turn) (*engine, int) {
	w.prepare(p)
	targets := targetsOf(p.candidates(entry))
	loads := w.loads[entry]
	q := route.Query{Key: p.key(t), Affine: true, Returning: t.Number > 0, Hint: w.hints[entry][t.Chat], Bound: p.cfg.Bound, Floor: p.cfg.Floor, MaxTries: maxTries}
	var tries []route.Try
	for {
		mean := loads.Mean(targets, p.now)
		s, ok := route.Choose(q, targets, loads, mean, tries, p.now).(route.Send)
		if !ok {
			return nil, len(tries)
		}
		e := p.find(s.Engine)
		try := route.Try{Engine: s.Engine, Mode: s.Mode}
		loads.RecordSent(e.id)
		if e.stopped {
			p.views[entry].MarkUnreachable(e.id, p.now)
			loads.RecordEnded(e.id)
			tries = append(tries, try)
			continue
		}
		perSlot := mean.PerSlot
		if !mean.Reliable() {
			perSlot = -1
		}
		ans := route.Decide(
			route.Offer{Chat: q.Key, Mode: s.Mode},
			route.State{Engine: e.id, Requests: e.running, Slots: e.slots, Mean: perSlot, Engines: len(targets), Bound: p.cfg.Bound, Floor: p.cfg.Floor, Draining: e.draining},
			e.index)
		p.shareLoads(loads, e.loads, e.id)
		p.shareLoads(e.loads, loads, e.id)
		if _, admitted := ans.(route.Admit); !admitted {
			loads.RecordEnded(e.id)
			loads.ObserveRefusal(e.id, e.running, p.now)
		}
		switch ans := ans.(type) {
		case route.Admit:
			// The load arrives with the response head.
			loads.Sample(e.id, e.running+1, p.now)
			return e, len(tries) + 1
		case route.Redirect:
			try.Redirect, try.NotCached, try.Cached = ans.Engine, true, ans.Cached
		case route.Refuse:
			try.NotCached, try.OverBound = ans.NotCached, ans.OverBound
		}
		tries = append(tries, try)
	}
}

// shareLoads passes on the most recent loads, as requests and responses do. The load of the
// engine itself is reported separately.
func (p *pool) shareLoads(from, to *route.Loads, self string) {
	for _, l := range from.Freshest(route.MaxAttachedLoads, p.now) {
		if l.Engine != self {
			to.Sample(l.Engine, l.Requests, p.now-l.Age)
		}
	}
}

func nextRanked(key uint64, targets []route.Target, engine string) string {
	for _, i := range route.Rank(key, targets, 2) {
		if targets[i].ID() != engine {
			return targets[i].ID()
		}
	}
	return ""
}

func (p *pool) find(id string) *engine {
	return p.engines[slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == id })]
}

func (w *Weldfall) turnFinished(p *pool, entry int, t trace.Turn, e *engine) {
	key := p.key(t)
	e.index.RecordTurn(key, t.PromptTokens+t.OutputTokens, p.now)
	w.hints[entry][t.Chat] = e.id
	w.loads[entry].RecordEnded(e.id)
	w.loads[entry].Sample(e.id, e.running, p.now)
	targets := targetsOf(p.candidates(entry))
	if top := route.Rank(key, targets, 1); len(top) > 0 && targets[top[0]].ID() != e.id {
		p.find(targets[top[0]].ID()).index.RecordPlacement(key, e.id)
	}
}

// handOver copies the cached prefixes to the engines that their chats are routed to next.
func (w *Weldfall) handOver(p *pool, old *engine) {
	var rest []*engine
	for _, e := range p.alive() {
		if !e.draining {
			rest = append(rest, e)
		}
	}
	targets := targetsOf(rest)
	for _, chat := range slices.Clone(old.cache.order) {
		key := p.key(trace.Turn{Chat: chat})
		to := p.find(nextRanked(key, targets, old.id))
		tokens := old.cache.size[chat]
		to.cache.put(chat, tokens)
		to.index.RecordTurn(key, tokens, p.now)
	}
}

// Omniscient sees the actual state of all caches and loads. It sends a chat to the engine
// with the longest cached prefix of it, if that engine is within the load bound, else to
// the least loaded. On a planned stop it moves each prefix to the engine with the most free
// cache memory.
type Omniscient struct{}

// Name implements Policy.
func (Omniscient) Name() string { return "all-knowing" }

func (Omniscient) choose(p *pool, _ int, t trace.Turn) (*engine, int) {
	live := slices.DeleteFunc(p.alive(), func(e *engine) bool { return e.draining })
	total, slots := 0, 0
	for _, e := range live {
		total += e.running
		slots += e.slots
	}
	mean := float64(total) / float64(slots)
	var best, least *engine
	for _, e := range live {
		if least == nil || float64(e.running)/float64(e.slots) < float64(least.running)/float64(least.slots) {
			least = e
		}
		fits := e.running+1 <= route.Limit(p.cfg.Bound, mean, p.cfg.Floor, e.slots, len(live))
		if fits && e.cache.size[t.Chat] > 0 && (best == nil || e.cache.size[t.Chat] > best.cache.size[t.Chat]) {
			best = e
		}
	}
	if best != nil {
		return best, 1
	}
	return least, 1
}

func (Omniscient) turnFinished(*pool, int, trace.Turn, *engine) {}

func (Omniscient) handOver(p *pool, old *engine) {
	for _, chat := range slices.Clone(old.cache.order) {
		var to *engine
		for _, e := range p.alive() {
			if !e.draining && (to == nil || e.cache.tokens < to.cache.tokens) {
				to = e
			}
		}
		to.cache.put(chat, old.cache.size[chat])
	}
}

// PlainHash sends every chat to its first engine in the ranking.
type PlainHash struct{}

// Name implements Policy.
func (PlainHash) Name() string { return "plain hash" }

func (PlainHash) choose(p *pool, entry int, t trace.Turn) (*engine, int) {
	live := p.usable(entry)
	return live[route.Rank(p.key(t), targetsOf(live), 1)[0]], 1
}

func (PlainHash) turnFinished(*pool, int, trace.Turn, *engine) {}

// usable returns the engines in an entry's list that still run: the baselines detect a
// failed engine at once and at no cost.
func (p *pool) usable(entry int) []*engine {
	return slices.DeleteFunc(slices.Clone(p.listed[entry]), func(e *engine) bool { return e.stopped })
}

// RoundRobin uses the engines in turn, separately at each entry.
type RoundRobin struct{ next []int }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round robin" }

func (r *RoundRobin) choose(p *pool, entry int, _ trace.Turn) (*engine, int) {
	if r.next == nil {
		r.next = make([]int, p.cfg.Entries)
	}
	live := p.usable(entry)
	r.next[entry]++
	return live[r.next[entry]%len(live)], 1
}

func (*RoundRobin) turnFinished(*pool, int, trace.Turn, *engine) {}

// LeastReported uses the engine with the lowest reported load.
type LeastReported struct{}

// Name implements Policy.
func (LeastReported) Name() string { return "least reported" }

func (LeastReported) choose(p *pool, entry int, _ trace.Turn) (*engine, int) {
	live := p.usable(entry)
	at := (p.now - p.cfg.ReportLag) / gossipPeriod * gossipPeriod
	return slices.MinFunc(live, func(a, b *engine) int {
		return a.reported(at)*b.slots - b.reported(at)*a.slots
	}), 1
}

func (LeastReported) turnFinished(*pool, int, trace.Turn, *engine) {}

// TwoChoices uses the engine with the lower reported load of two random ones.
type TwoChoices struct{}

// Name implements Policy.
func (TwoChoices) Name() string { return "two choices" }

func (TwoChoices) choose(p *pool, entry int, _ trace.Turn) (*engine, int) {
	live := p.usable(entry)
	a, b := live[p.rnd.IntN(len(live))], live[p.rnd.IntN(len(live))]
	at := (p.now - p.cfg.ReportLag) / gossipPeriod * gossipPeriod
	if b.reported(at)*a.slots < a.reported(at)*b.slots {
		return b, 1
	}
	return a, 1
}

func (TwoChoices) turnFinished(*pool, int, trace.Turn, *engine) {}

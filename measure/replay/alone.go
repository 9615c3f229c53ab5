package replay

import (
	"math/rand/v2"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/measure/trace"
)

// EntriesOnly uses the engine selection of package engines: each entry routes by its own
// view, no process runs beside an engine, and loads arrive with response heads and from
// other entries.
type EntriesOnly struct {
	// PrefixTransfer copies the cached prefix of the chat from the engine that the
	// selection names as the source, at no cost in time.
	PrefixTransfer bool

	registries []*engines.Registry
	rnd        *rand.Rand
	// lastGossip is when entries last exchanged loads.
	lastGossip clock.Millis
}

// Name implements Policy.
func (a *EntriesOnly) Name() string {
	if a.PrefixTransfer {
		return "entries alone, moves"
	}
	return "entries alone"
}

const (
	// entriesOnlyMaxTries is the maximum number of engines that a turn is sent to.
	entriesOnlyMaxTries = 6
	// loadGossipPeriod is how often entries exchange loads, maxLoadAge the maximum age of a
	// load that they pass on.
	loadGossipPeriod clock.Millis = 400
	maxLoadAge       clock.Millis = 2000
	// silenceLimit is longer than any turn: engines of a replay are never silent.
	silenceLimit clock.Millis = 1 << 40
)

func (a *EntriesOnly) prepare(p *pool) {
	if a.registries == nil {
		a.rnd = rand.New(rand.NewPCG(p.cfg.Seed, 11))
		for range p.cfg.Entries {
			a.registries = append(a.registries, engines.NewRegistry())
		}
	}
	for i, b := range a.registries {
		for _, e := range p.listed[i] {
			if b.Get(e.id) == nil {
				b.Put(engines.Info{ID: e.id, Addr: e.id, Service: poolName, Slots: e.slots}, p.now)
			}
		}
		for _, id := range b.IDs() {
			if !slices.ContainsFunc(p.listed[i], func(e *engine) bool { return e.id == id }) {
				b.Remove(id)
			}
		}
	}
	if p.now-a.lastGossip >= loadGossipPeriod {
		a.lastGossip = p.now
		a.gossipLoads(p)
	}
}

// gossipLoads makes each entry report the loads that it knows to all others.
func (a *EntriesOnly) gossipLoads(p *pool) {
	for i, from := range a.registries {
		for _, l := range from.RecentLoads(maxLoadAge, p.cfg.Engines, p.now) {
			for k, to := range a.registries {
				if e := to.Get(l.ID); k != i && e != nil {
					e.RecordLoad(engines.Load{Running: l.Requests}, p.now-l.Age)
				}
			}
		}
	}
}

func (a *EntriesOnly) choose(p *pool, entry int, t trace.Turn) (*engine, int) {
	a.prepare(p)
	b := a.registries[entry]
	bound, slack := engines.AffinityBound(p.cfg.Bound)
	q := engines.Query{Service: poolName, Keys: []uint64{p.key(t)}, Tokens: t.PromptTokens, Bound: bound, Slack: slack, MaxSilence: silenceLimit, Random: a.rnd.Float64()}
	for len(q.Tried) < entriesOnlyMaxTries {
		c, ok := b.Choose(q, p.now)
		if !ok {
			break
		}
		e := p.find(c.Engine.Info().ID)
		q.Tried = append(q.Tried, e.id)
		c.Engine.BeginRequest(p.now)
		switch {
		case e.stopped:
			c.Engine.EndRequest(engines.Unreachable, p.now)
		case e.draining:
			c.Engine.EndRequest(engines.Refused, p.now)
		default:
			c.Engine.RecordLoad(engines.Load{Running: e.running + 1}, p.now)
			if a.PrefixTransfer && c.Source != nil {
				p.find(c.Source.Info().ID).copyPrefix(e, t.Chat)
			}
			return e, len(q.Tried)
		}
	}
	return nil, len(q.Tried)
}

// copyPrefix copies the cached prefix of a chat to another engine if it is longer than the
// one there.
func (e *engine) copyPrefix(to *engine, chat int) {
	if n := e.cache.size[chat]; !e.stopped && n > to.cache.size[chat] {
		to.cache.put(chat, n)
	}
}

func (a *EntriesOnly) turnFinished(p *pool, entry int, _ trace.Turn, e *engine) {
	if believed := a.registries[entry].Get(e.id); believed != nil {
		believed.EndRequest(engines.Succeeded, p.now)
	}
}

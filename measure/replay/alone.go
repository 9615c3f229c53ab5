package replay

import (
	"math/rand/v2"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/measure/trace"
)

// Alone runs the choice of package engines: each entry sends by what it believes, no
// process stands beside an engine, and loads come with the heads of answers and from
// other entries.
type Alone struct {
	// Moves lets the chosen engine have what the choice names as a source keeps of
	// the chat, at no cost in time.
	Moves bool

	books []*engines.Registry
	rnd   *rand.Rand
	// talked is when entries last told each other of loads.
	talked clock.Millis
}

// Name implements Policy.
func (a *Alone) Name() string {
	if a.Moves {
		return "entries alone, moves"
	}
	return "entries alone"
}

const (
	// aloneTries is how many engines a turn is sent to at most.
	aloneTries = 6
	// talkPeriod is how often entries tell each other of loads, freshLoad how old
	// word of one may be.
	talkPeriod clock.Millis = 400
	freshLoad  clock.Millis = 2000
	// muchSilence is longer than any turn: engines of a replay do not fall silent.
	muchSilence clock.Millis = 1 << 40
)

func (a *Alone) prepare(p *pool) {
	if a.books == nil {
		a.rnd = rand.New(rand.NewPCG(p.cfg.Seed, 11))
		for range p.cfg.Entries {
			a.books = append(a.books, engines.NewRegistry())
		}
	}
	for i, b := range a.books {
		for _, e := range p.seen[i] {
			if b.Get(e.id) == nil {
				b.Put(engines.Info{ID: e.id, Addr: e.id, Service: poolName, Slots: e.slots}, p.now)
			}
		}
		for _, id := range b.IDs() {
			if !slices.ContainsFunc(p.seen[i], func(e *eng) bool { return e.id == id }) {
				b.Remove(id)
			}
		}
	}
	if p.now-a.talked >= talkPeriod {
		a.talked = p.now
		a.talk(p)
	}
}

// talk has each entry tell all others what it knows of loads.
func (a *Alone) talk(p *pool) {
	for i, from := range a.books {
		for _, l := range from.RecentLoads(freshLoad, p.cfg.Engines, p.now) {
			for k, to := range a.books {
				if e := to.Get(l.ID); k != i && e != nil {
					e.RecordLoad(engines.Load{Running: l.Requests}, p.now-l.Age)
				}
			}
		}
	}
}

func (a *Alone) choose(p *pool, entry int, t trace.Turn) (*eng, int) {
	a.prepare(p)
	b := a.books[entry]
	bound, slack := engines.AffinityBound(p.cfg.Bound)
	q := engines.Query{Service: poolName, Keys: []uint64{p.key(t)}, Tokens: t.Prompt, Bound: bound, Slack: slack, MaxSilence: muchSilence, Random: a.rnd.Float64()}
	for len(q.Tried) < aloneTries {
		c, ok := b.Choose(q, p.now)
		if !ok {
			break
		}
		e := p.find(c.Engine.Info().ID)
		q.Tried = append(q.Tried, e.id)
		c.Engine.BeginRequest(p.now)
		switch {
		case e.gone:
			c.Engine.EndRequest(engines.Unreachable, p.now)
		case e.leaving:
			c.Engine.EndRequest(engines.Refused, p.now)
		default:
			c.Engine.RecordLoad(engines.Load{Running: e.running + 1}, p.now)
			if a.Moves && c.Source != nil {
				p.find(c.Source.Info().ID).copyTo(e, t.Chat)
			}
			return e, len(q.Tried)
		}
	}
	return nil, len(q.Tried)
}

// copyTo brings another engine what this one keeps of a chat, if that is more.
func (e *eng) copyTo(to *eng, chat int) {
	if n := e.cache.size[chat]; !e.gone && n > to.cache.size[chat] {
		to.cache.put(chat, n)
	}
}

func (a *Alone) ran(p *pool, entry int, _ trace.Turn, e *eng) {
	if believed := a.books[entry].Get(e.id); believed != nil {
		believed.EndRequest(engines.Succeeded, p.now)
	}
}

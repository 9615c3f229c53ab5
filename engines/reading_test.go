package engines_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

const (
	// loadFactor and loadExtra are the operators' bound for the load of engines, overMost
	// is the part of requests that may meet an engine over it.
	loadFactor = 2
	loadExtra  = 3
	overMost   = 0.03
	// partEach is how often an answer goes on.
	partEach clock.Millis = 50
)

// pool is engines and the entries that send to them, in simulated time. Engines tell their
// load as an answer begins, and entries tell each other what they heard.
type pool struct {
	rng     *rand.Rand
	now     clock.Millis
	events  []event
	books   []*engines.Registry
	engines map[string]*reader
	// sent is how many requests were sent, over how many of them met an engine over the
	// operators' bound.
	sent, over int
}

type event struct {
	at clock.Millis
	do func()
}

// reader is an engine that does nothing else while it reads a prompt.
type reader struct {
	// requests is how many it has, readsUntil when it has read all prompts that it was sent.
	requests   int
	readsUntil clock.Millis
}

func newPool(seed uint64, entries, n int) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*reader{}}
	for range entries {
		b := engines.NewRegistry()
		for i := range n {
			b.Put(info(i), 0)
			p.engines[info(i).ID] = &reader{}
		}
		b.MarkSynced(0)
		p.books = append(p.books, b)
	}
	return p
}

func (p *pool) at(t clock.Millis, do func()) {
	i, _ := slices.BinarySearchFunc(p.events, t+1, func(e event, t clock.Millis) int { return cmp.Compare(e.at, t) })
	p.events = slices.Insert(p.events, i, event{t, do})
}

func (p *pool) run() {
	for len(p.events) > 0 {
		e := p.events[0]
		p.events = p.events[1:]
		p.now = e.at
		e.do()
	}
}

// send has an entry send a request whose prompt is read for so long and whose answer
// takes so long.
func (p *pool) send(t *testing.T, q engines.Query, reads, answers clock.Millis) {
	t.Helper()
	b := p.books[p.rng.IntN(len(p.books))]
	e := choose(t, b, q, p.now).Engine
	at := p.engines[e.Info().ID]
	sum := 0
	for _, r := range p.engines {
		sum += r.requests
	}
	p.sent++
	if float64(at.requests) > loadFactor*float64(sum)/float64(len(p.engines))+loadExtra {
		p.over++
	}
	at.requests++
	at.readsUntil = max(at.readsUntil, p.now) + reads
	e.BeginRequest(p.now)
	p.at(at.readsUntil, func() {
		e.RecordActivity(p.now)
		e.RecordLoad(engines.Load{Running: at.requests}, p.now)
		p.end(e, at, p.now+answers)
	})
}

// end ends a request at a time, or when no prompt is read any more. Until then its answer
// comes in parts.
func (p *pool) end(e *engines.Engine, at *reader, t clock.Millis) {
	p.at(min(t, p.now+partEach), func() {
		switch {
		case p.now < at.readsUntil:
			p.end(e, at, max(t, at.readsUntil))
			return
		case p.now < t:
			e.RecordActivity(p.now)
			p.end(e, at, t)
			return
		}
		at.requests--
		e.RecordActivity(p.now)
		e.EndRequest(engines.Succeeded, p.now)
	})
}

// talk has each entry hear the loads that another knows.
func (p *pool) talk() {
	for _, b := range p.books {
		for _, l := range p.books[p.rng.IntN(len(p.books))].RecentLoads(2000, 32, p.now) {
			b.Get(l.ID).RecordLoad(engines.Load{Running: l.Requests}, p.now-l.Age)
		}
	}
}

// Few requests meet an engine over the operators' bound though engines tell nothing while
// they read a prompt.
func TestEnginesThatReadForMomentsKeepToTheBound(t *testing.T) {
	for _, read := range []clock.Millis{50, 300} {
		t.Run(fmt.Sprintf("%d ms", read), func(t *testing.T) { playReading(t, read) })
	}
}

// Nor do many where they read for longer than word of them lasts.
func TestEnginesThatReadForSecondsKeepToTheBound(t *testing.T) {
	for _, read := range []clock.Millis{1000, 2000} {
		t.Run(fmt.Sprintf("%d ms", read), func(t *testing.T) { playReading(t, read) })
	}
}

// playReading plays pools some of whose prompts are read for so long.
func playReading(t *testing.T, read clock.Millis) {
	t.Helper()
	const day, entries, n, perSecond = 30_000, 27, 50, 190
	// longShare has engines read long prompts for half of their time.
	longShare := min(0.3, 140/float64(read))
	for seed := range uint64(3) {
		p := newPool(seed, entries, n)
		q := query()
		q.MaxSilence = 5000
		q.Bound, q.Slack = engines.AffinityBound(loadFactor)
		for at := 0.0; at < day; at += p.rng.ExpFloat64() * 1000 / perSecond {
			p.at(clock.Millis(at), func() {
				q.Keys = []uint64{p.rng.Uint64N(1000)}
				reads := clock.Millis(10)
				if p.rng.Float64() < longShare {
					reads = read
				}
				p.send(t, q, reads, clock.Millis(p.rng.ExpFloat64()*500))
			})
		}
		for at := clock.Millis(0); at < day; at += 100 {
			p.at(at, p.talk)
		}
		p.run()
		if float64(p.over) > overMost*float64(p.sent) {
			t.Errorf("seed %d: got %d of %d requests at engines over the bound, want at most %.0f", seed, p.over, p.sent, overMost*float64(p.sent))
		}
	}
}

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
	// loadFactor and loadExtra are the operators' bound for the load of engines.
	// maxOverShare is the share of requests that may arrive at an engine over it.
	loadFactor   = 2
	loadExtra    = 3
	maxOverShare = 0.03
	// chunkPeriod is the time between two chunks of a response.
	chunkPeriod clock.Millis = 50
)

// pool simulates engines and the entries that send to them. Engines report their load when
// a response begins, and entries exchange these reports.
type pool struct {
	rng        *rand.Rand
	now        clock.Millis
	events     []event
	registries []*engines.Registry
	engines    map[string]*simEngine
	// sent counts the requests, over those that arrived at an engine over the operators'
	// bound.
	sent, over int
}

type event struct {
	at clock.Millis
	do func()
}

// simEngine is an engine that does nothing else while it prefills a prompt.
type simEngine struct {
	// requests counts the requests in flight. prefillUntil is when all prompts sent so far
	// are prefilled.
	requests     int
	prefillUntil clock.Millis
}

func newPool(seed uint64, entries, n int) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*simEngine{}}
	for range entries {
		r := engines.NewRegistry()
		for i := range n {
			r.Put(info(i), 0)
			p.engines[info(i).ID] = &simEngine{}
		}
		r.MarkSynced(0)
		p.registries = append(p.registries, r)
	}
	return p
}

// schedule adds an event at time t.
func (p *pool) schedule(t clock.Millis, do func()) {
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

// send has a random entry send a request whose prefill and response take the given times.
func (p *pool) send(t *testing.T, q engines.Query, prefill, response clock.Millis) {
	t.Helper()
	r := p.registries[p.rng.IntN(len(p.registries))]
	e := choose(t, r, q, p.now).Engine
	sim := p.engines[e.Info().ID]
	sum := 0
	for _, r := range p.engines {
		sum += r.requests
	}
	p.sent++
	if float64(sim.requests) > loadFactor*float64(sum)/float64(len(p.engines))+loadExtra {
		p.over++
	}
	sim.requests++
	sim.prefillUntil = max(sim.prefillUntil, p.now) + prefill
	e.BeginRequest(p.now)
	p.schedule(sim.prefillUntil, func() {
		e.RecordActivity(p.now)
		e.RecordLoad(engines.Load{Running: sim.requests}, p.now)
		p.end(e, sim, p.now+response)
	})
}

// end ends a request at time t, or once no prompt is being prefilled any more. Until then
// its response arrives in chunks.
func (p *pool) end(e *engines.Engine, sim *simEngine, t clock.Millis) {
	p.schedule(min(t, p.now+chunkPeriod), func() {
		switch {
		case p.now < sim.prefillUntil:
			p.end(e, sim, max(t, sim.prefillUntil))
			return
		case p.now < t:
			e.RecordActivity(p.now)
			p.end(e, sim, t)
			return
		}
		sim.requests--
		e.RecordActivity(p.now)
		e.EndRequest(engines.Succeeded, p.now)
	})
}

// exchange has each entry receive the loads known to a random one.
func (p *pool) exchange() {
	for _, r := range p.registries {
		for _, l := range p.registries[p.rng.IntN(len(p.registries))].RecentLoads(2000, 32, p.now) {
			r.Get(l.ID).RecordLoad(engines.Load{Running: l.Requests}, p.now-l.Age)
		}
	}
}

// Few requests arrive at an engine over the operators' bound, although engines report no
// load during a prefill.
func TestEnginesThatReadForMomentsKeepToTheBound(t *testing.T) {
	for _, prefill := range []clock.Millis{50, 300} {
		t.Run(fmt.Sprintf("%d ms", prefill), func(t *testing.T) { simulate(t, prefill) })
	}
}

// The same where a prefill takes longer than load reports stay valid.
func TestEnginesThatReadForSecondsKeepToTheBound(t *testing.T) {
	for _, prefill := range []clock.Millis{1000, 2000} {
		t.Run(fmt.Sprintf("%d ms", prefill), func(t *testing.T) { simulate(t, prefill) })
	}
}

// simulate runs pools in which some prompts take prefill to process.
func simulate(t *testing.T, prefill clock.Millis) {
	t.Helper()
	const day, entries, n, perSecond = 30_000, 27, 50, 190
	// With longShare, engines spend half of their time on the prefill of long prompts.
	longShare := min(0.3, 140/float64(prefill))
	for seed := range uint64(3) {
		p := newPool(seed, entries, n)
		q := query()
		q.MaxSilence = 5000
		q.Bound, q.Slack = engines.AffinityBound(loadFactor)
		for at := 0.0; at < day; at += p.rng.ExpFloat64() * 1000 / perSecond {
			p.schedule(clock.Millis(at), func() {
				q.Keys = []uint64{p.rng.Uint64N(1000)}
				d := clock.Millis(10)
				if p.rng.Float64() < longShare {
					d = prefill
				}
				p.send(t, q, d, clock.Millis(p.rng.ExpFloat64()*500))
			})
		}
		for at := clock.Millis(0); at < day; at += 100 {
			p.schedule(at, p.exchange)
		}
		p.run()
		if float64(p.over) > maxOverShare*float64(p.sent) {
			t.Errorf("seed %d: got %d of %d requests at engines over the bound, want at most %.0f", seed, p.over, p.sent, maxOverShare*float64(p.sent))
		}
	}
}

package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/engines"
)

// Guards against fetches that take longer than a prefill, as happens where engines
// exchange cached prefixes slowly or prefill fast. A fetch delays its own request, and
// fetches wait for each other; a prefill delays all requests that run on the engine. The
// choice must follow from the costs measured in the service.
func TestFetchOnlyIfCheaperThanPrefill(t *testing.T) {
	const now = 100_000
	const chat = 42
	for _, tc := range []struct {
		name string
		cost engines.Cost
		// running is how many requests the chosen engine has.
		running   int
		crossHall bool
		want      bool
	}{
		{"nothing is known", engines.Cost{}, 0, false, true},
		{"the prefill cost is not known", engines.Cost{Transfer: 100}, 0, false, true},
		{"the transfer cost is not known", engines.Cost{Prefill: 0.001}, 0, false, true},
		{"transfer is faster", engines.Cost{Prefill: 0.024, Transfer: 0.007}, 0, false, true},
		{"prefill is faster", engines.Cost{Prefill: 0.01, Transfer: 0.1}, 0, false, false},
		{"prefill is faster and delays few requests", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 2, false, false},
		{"prefill is faster but delays many requests", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 3, false, true},
		{"the other engine is in another data hall", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 3, true, false},
		{"the other engine is in another data hall, prefill delays more", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 6, true, true},
		{"both take as long", engines.Cost{Prefill: 0.01, Transfer: 0.01}, 0, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newSyncedRegistry(3, now)
			q := query(chat)
			first := choose(t, r, q, now).Engine
			draining := first.Info()
			draining.Draining = true
			r.Put(draining, now)
			for _, id := range r.IDs() {
				in := r.Get(id).Info()
				if in.Hall = "here"; tc.crossHall && id != first.Info().ID {
					in.Hall = "there"
				}
				r.Put(in, now)
				for range tc.running {
					r.Get(id).BeginRequest(now)
				}
			}
			recordActivity(r, now)
			q.Cost = tc.cost
			c := choose(t, r, q, now)
			if c.Engine == first || c.Load != float64(tc.running) {
				t.Fatalf("got engine %s with load %g, want another one with load %d", c.Engine.Info().ID, c.Load, tc.running)
			}
			if got := !c.FetchTooCostly; got != tc.want {
				t.Errorf("got FetchTooCostly %v, want %v", !got, !tc.want)
			}
			if got := c.Source == first; got != tc.want {
				t.Errorf("got the prefix fetched: %v (source %q), want %v", got, sourceID(c), tc.want)
			}
		})
	}
}

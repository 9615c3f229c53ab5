package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/engines"
)

// Prompts that take long to move.
//
// The pattern: chats spread over a pool whose engines exchange memory slowly, or read fast.
// An engine that takes a prompt from another begins when it has it, and moves wait for each
// other; one that reads holds up what runs beside it. Which costs less is not the same
// everywhere, so it follows from what both cost there.
func TestAPromptIsMovedOnlyWhereThatCostsLessThanToReadIt(t *testing.T) {
	const now = 100_000
	const chat = 42
	for _, tc := range []struct {
		name string
		cost engines.Cost
		// beside is how many requests the chosen engine has.
		beside int
		far    bool
		want   bool
	}{
		{"nothing is known", engines.Cost{}, 0, false, true},
		{"the speed of reading is not known", engines.Cost{Transfer: 100}, 0, false, true},
		{"the time of a move is not known", engines.Cost{Prefill: 0.001}, 0, false, true},
		{"moves are faster", engines.Cost{Prefill: 0.024, Transfer: 0.007}, 0, false, true},
		{"reading is faster", engines.Cost{Prefill: 0.01, Transfer: 0.1}, 0, false, false},
		{"reading is faster, little beside it", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 2, false, false},
		{"reading is faster, and holds up much", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 3, false, true},
		{"the other engine is in another data hall", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 3, true, false},
		{"... and reading holds up more", engines.Cost{Prefill: 0.01, Transfer: 0.035}, 6, true, true},
		{"as fast", engines.Cost{Prefill: 0.01, Transfer: 0.01}, 0, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := settled(3, now)
			q := query(chat)
			first := choose(t, b, q, now).Engine
			leaving := first.Info()
			leaving.Draining = true
			b.Put(leaving, now)
			for _, id := range b.IDs() {
				in := b.Get(id).Info()
				if in.Hall = "here"; tc.far && id != first.Info().ID {
					in.Hall = "there"
				}
				b.Put(in, now)
				for range tc.beside {
					b.Get(id).BeginRequest(now)
				}
			}
			hear(b, now)
			q.Cost = tc.cost
			c := choose(t, b, q, now)
			if c.Engine == first || c.Load != float64(tc.beside) {
				t.Fatalf("got engine %s with load %g, want another one with load %d", c.Engine.Info().ID, c.Load, tc.beside)
			}
			if got := !c.FetchTooCostly; got != tc.want {
				t.Errorf("got a move told as dearer: %v, want %v", !got, !tc.want)
			}
			if got := c.Source == first; got != tc.want {
				t.Errorf("got the prompt moved: %v (source %q), want %v", got, sourceID(c), tc.want)
			}
		})
	}
}

package engines_test

import (
	"math"
	"testing"

	"github.com/weldfall/weldfall/engines"
)

// An engine whose entry claims far more slots than it can have gets no more requests than the
// bound for the load of an engine allows.
func TestEngineThatClaimsManySlotsKeepsToTheLoadBound(t *testing.T) {
	const n, requests = 5, 100
	for name, q := range map[string]engines.Query{"with a prompt": query(7), "without a prompt": query()} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(n)
			odd := info(n - 1)
			odd.Slots = math.MaxInt32
			r.Put(odd, 0)
			over, loads := 0, map[string]int{}
			for sent := range requests {
				e := choose(t, r, q, 0).Engine
				if float64(loads[e.Info().ID]) > loadFactor*float64(sent)/n+loadExtra {
					over++
				}
				loads[e.Info().ID]++
				e.BeginRequest(0)
			}
			if limit := int(maxOverShare * requests); over > limit {
				t.Errorf("got %d of %d requests at an engine over the bound, want at most %d; loads %v", over, requests, limit, loads)
			}
		})
	}
}

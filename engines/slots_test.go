package engines_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
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

// Guards against engines over the load bound, whatever their entries claim and however many of
// them claim it.
func TestDrawnSlotsKeepToTheLoadBound(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		r, n, sum := engines.NewRegistry(), 1+rng.IntN(20), 0
		for i := range n {
			in := info(i)
			in.Slots = []int{rng.IntN(9), rng.IntN(300), rng.IntN(math.MaxInt32)}[rng.IntN(3)]
			r.Put(in, 0)
			sum = min(2000, sum+in.Slots)
		}
		loads := map[string]int{}
		for sent := range sum {
			q := query()
			q.Random = rng.Float64()
			e := choose(t, r, q, 0).Engine
			if got, limit := loads[e.Info().ID], loadFactor*float64(sent)/float64(n)+loadExtra; float64(got) > limit {
				t.Fatalf("seed %d: got request %d at an engine with %d of %d slots, want at most %.1f of %d engines", seed, sent, got, e.Info().Slots, limit, n)
			}
			loads[e.Info().ID]++
			e.BeginRequest(0)
		}
	}
}

// Guards against requests that wait at small engines beside free slots of large ones.
func TestUnequalEnginesAreFilledBySlots(t *testing.T) {
	r, sum := engines.NewRegistry(), 0
	for i, slots := range []int{8, 8, 16, 16, 32, 32} {
		in := info(i)
		in.Slots = slots
		r.Put(in, 0)
		sum += slots
	}
	loads := map[string]int{}
	for range sum {
		e := choose(t, r, query(), 0).Engine
		loads[e.Info().ID]++
		e.BeginRequest(0)
	}
	for id, got := range loads {
		if want := r.Get(id).Info().Slots; got != want {
			t.Errorf("%s: got %d requests, want %d", id, got, want)
		}
	}
}

// Guards against a service that counts as nearly empty because one entry claims more slots than
// all others have.
func TestRoomIsNotThatOfAFalseClaim(t *testing.T) {
	r := roomRegistry()
	report(r, roomSlots)
	odd := info(0)
	odd.Slots = math.MaxInt32
	r.Put(odd, 0)
	room, ok := r.Room(info(0).Service, 1000, roomNow+1)
	if pressure, known := room.Pressure(); !ok || !known || pressure < 0.95 {
		t.Errorf("got pressure %.2f (%v %v) with all slots taken, want nearly 1", pressure, ok, known)
	}
}

// Guards against a rejection by an engine that claims many slots, which makes the mean load
// so large that prompts pass every bound.
func TestRejectionOfAFalseClaimLeavesTheMean(t *testing.T) {
	const n, now = 5, 100_000
	r := newRegistry(n)
	odd := info(n - 1)
	odd.Slots = math.MaxInt32
	r.Put(odd, 0)
	r.Get(odd.ID).RecordRejection(now)
	if c := choose(t, r, query(7), now); c.Mean > 24 {
		t.Errorf("got mean %.0f after a rejection, want at most three times the usual slots", c.Mean)
	}
}

// Guards against engines over the load bound whose entries claim many slots, where several
// entries send requests without prompts and hear of each other's after a while.
func TestFalseClaimsBesideOtherEntriesKeepToTheLoadBound(t *testing.T) {
	const day, entries, slots, response = 10_000, 4, 16, 500
	for _, n := range []int{5, 12} {
		for odd := range 3 {
			for _, load := range []float64{4, 8, 14} {
				p := newPool(1, entries, n)
				for _, r := range p.registries {
					for i := range n {
						in := info(i)
						if in.Slots = slots; i < odd {
							in.Slots = math.MaxInt32
						}
						r.Put(in, 0)
					}
				}
				q := query()
				q.MaxSilence = 5000
				q.Bound, q.Slack = engines.AffinityBound(loadFactor)
				for at := 0.0; at < day; at += p.rng.ExpFloat64() * response / (load * float64(n)) {
					p.schedule(clock.Millis(at), func() {
						q.Random = p.rng.Float64()
						p.send(t, q, 2, clock.Millis(p.rng.ExpFloat64()*response))
					})
				}
				for at := clock.Millis(0); at < day; at += 100 {
					p.schedule(at, p.exchange)
				}
				p.run()
				if float64(p.over) > maxOverShare*float64(p.sent) {
					t.Errorf("%d engines, %d claim too much, %.0f requests each: got %d of %d requests at engines over the bound, want at most %.0f", n, odd, load, p.over, p.sent, maxOverShare*float64(p.sent))
				}
			}
		}
	}
}

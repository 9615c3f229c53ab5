package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// reportPace records reports of an engine, 20 ms apart until now.
func reportPace(r *engines.Registry, id string, pace float64, now clock.Millis) {
	for at := now - 1000; at <= now; at += 20 {
		r.RecordPace(r.Get(id), pace, at)
	}
}

func TestChoiceWeighsLoadsByPace(t *testing.T) {
	const now = 10_000
	r := newRegistry(4)
	for i, id := range r.IDs() {
		pace := 1.0
		if i > 0 {
			pace = 3
		}
		reportPace(r, id, pace, now)
		r.Get(id).RecordLoad(engines.Load{Running: 2}, now)
	}
	// Two more requests at the fast engine take no longer than at a slow one.
	r.Get("e00").RecordLoad(engines.Load{Running: 4}, now+1)
	for _, random := range []float64{0, 0.5, 0.9} {
		q := query()
		q.Random = random
		if got := choose(t, r, q, now+10); got.Engine.Info().ID != "e00" || got.Load < 3.9 {
			t.Errorf("got %s with load %.1f, want e00 with its load of 4", got.Engine.Info().ID, got.Load)
		}
	}
	if got := r.Pace(r.Get("e01"), now+10); got < 2 {
		t.Errorf("got a pace of %.2f for a slow engine, want about 3", got)
	}
}

// A fast engine that is over the bound is over it all the same.
func TestPaceDoesNotLiftTheBound(t *testing.T) {
	const now = 10_000
	for key := uint64(1); key <= 50; key++ {
		r := newRegistry(4)
		home := choose(t, r, query(key), now).Engine.Info().ID
		for _, id := range r.IDs() {
			pace := 3.0
			if id == home {
				pace = 0.5
			}
			reportPace(r, id, pace, now)
			r.Get(id).RecordLoad(engines.Load{Running: 1}, now-1)
		}
		r.Get(home).RecordLoad(engines.Load{Running: 40}, now)
		if got := choose(t, r, query(key), now).Engine.Info().ID; got == home {
			t.Fatalf("key %d: got the home with 40 requests, want another engine", key)
		}
	}
}

// Engines that report no pace are chosen as they would be if none of any service did.
func TestPaceOfAnotherServiceChangesNothing(t *testing.T) {
	const now = 10_000
	a, b := newRegistry(12), newRegistry(12)
	other := info(50)
	other.Service = "other"
	b.Put(other, 0)
	reportPace(b, other.ID, 3, now)
	for i := range 400 {
		at := now + clock.Millis(i*7)
		q := query()
		if q.Random = float64(i%10) / 10; i%3 > 0 {
			q.Keys, q.Tokens = []uint64{uint64(i % 40)}, 500*(i%7)
		}
		x, y := choose(t, a, q, at), choose(t, b, q, at)
		if x.Engine.Info() != y.Engine.Info() || x.Load != y.Load || x.Mean != y.Mean || x.Basis != y.Basis {
			t.Fatalf("choice %d: got %s with %v of %v, want %s with %v of %v", i, y.Engine.Info().ID, y.Load, y.Mean, x.Engine.Info().ID, x.Load, x.Mean)
		}
		for _, e := range []*engines.Engine{x.Engine, y.Engine} {
			e.BeginRequest(at)
			e.RecordLoad(engines.Load{Running: i % 17}, at)
		}
		if b.Pace(y.Engine, at) != 0 {
			t.Fatal("got a pace of a service that reports none")
		}
	}
}

package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/locality"
)

// newHalls returns a registry of six engines, the even ones in hall "a" and the odd ones in
// "b", and a query of an entry in "a" without a prompt.
func newHalls() (*engines.Registry, engines.Query) {
	r := engines.NewRegistry()
	for i := range 6 {
		in := info(i)
		in.Hall = []string{"a", "b"}[i%2]
		r.Put(in, 0)
	}
	r.MarkSynced(0)
	q := query()
	q.Hall, q.Locality, q.Leave = "a", locality.New(locality.Settings{MegabyteMillis: 100}), 0.99
	return r, q
}

func TestChoiceByHall(t *testing.T) {
	full := func(r *engines.Registry, hall string) {
		for _, id := range r.IDs() {
			if e := r.Get(id); e.Info().Hall == hall {
				e.RecordLoad(engines.Load{Running: e.Info().Slots}, 1000)
			} else {
				e.RecordLoad(engines.Load{Running: 1}, 1000)
			}
		}
	}
	for _, c := range []struct {
		name   string
		change func(r *engines.Registry, q *engines.Query)
		// hall is that of the engine, "" for any.
		hall string
		want locality.Reason
	}{
		{"room", func(*engines.Registry, *engines.Query) {}, "a", locality.Stayed},
		{"off", func(r *engines.Registry, q *engines.Query) { q.Locality = nil; full(r, "a") }, "b", ""},
		{"full here", func(r *engines.Registry, _ *engines.Query) { full(r, "a") }, "b", locality.LeftFull},
		{"full elsewhere", func(r *engines.Registry, _ *engines.Query) { full(r, "b") }, "a", locality.Stayed},
		{"evacuated", func(r *engines.Registry, _ *engines.Query) { r.SetEvacuatedHalls([]string{"a"}, 1000) }, "b", locality.LeftEmpty},
		{"others evacuated", func(r *engines.Registry, q *engines.Query) { q.Hall = "b"; r.SetEvacuatedHalls([]string{"a"}, 1000) }, "b", locality.Stayed},
		{"no engine listed", func(_ *engines.Registry, q *engines.Query) { q.Hall = "c" }, "", locality.LeftEmpty},
		{"a further attempt", func(r *engines.Registry, q *engines.Query) { q.Tried = []string{"e00"}; full(r, "a") }, "b", ""},
		{"a trial", func(r *engines.Registry, q *engines.Query) { q.Isolated = true; full(r, "a") }, "b", ""},
		{"all fail here", func(r *engines.Registry, _ *engines.Query) {
			for _, id := range []string{"e00", "e02", "e04"} {
				r.Get(id).EndRequest(engines.Unreachable, 1000)
			}
		}, "b", locality.LeftEmpty},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, random := range []float64{0, 0.3, 0.9} {
				r, q := newHalls()
				q.Random = random
				c.change(r, &q)
				got := choose(t, r, q, 1000)
				if hall := got.Engine.Info().Hall; got.Hall != c.want || (c.hall != "" && hall != c.hall) {
					t.Errorf("random %v: got %q in hall %q, want %q in %q", random, got.Hall, hall, c.want, c.hall)
				}
			}
		})
	}
}

// A prompt stays at its first home in another hall. Only among homes that share it for their
// load does the hall count, and for no more than a request.
func TestPromptFollowsItsCacheAcrossHalls(t *testing.T) {
	for key := uint64(1); key <= 50; key++ {
		r, q := newHalls()
		q.Keys, q.Tokens = []uint64{key}, 500
		off := q
		off.Locality = nil
		for _, busy := range []int{0, 40} {
			home := choose(t, r, off, 1000).Engine
			home.RecordLoad(engines.Load{Running: busy}, clock.Millis(1000+busy))
			want, got := choose(t, r, off, 1100), choose(t, r, q, 1100)
			if busy == 0 && got.Engine != want.Engine {
				t.Errorf("key %d: got %s, want the home %s", key, got.Engine.Info().ID, want.Engine.Info().ID)
			}
			if got.Load > want.Load+1 || got.Basis != want.Basis || got.Hall != "" {
				t.Errorf("key %d, %d requests at the home: got %s with load %.1f by %s, want at most one over %.1f by %s", key, busy, got.Engine.Info().ID, got.Load, got.Basis, want.Load, want.Basis)
			}
		}
	}
}

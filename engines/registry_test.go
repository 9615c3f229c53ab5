package engines_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

const service = "llm"

// newRegistry returns a registry of n engines with 8 slots each.
func newRegistry(n int) *engines.Registry {
	r := engines.NewRegistry()
	for i := range n {
		r.Put(info(i), 0)
	}
	return r
}

func info(i int) engines.Info {
	return engines.Info{ID: fmt.Sprintf("e%02d", i), Service: service, Addr: fmt.Sprintf("10.0.0.%d:80", i), Hall: "a", Slots: 8}
}

func query(keys ...uint64) engines.Query {
	return engines.Query{Service: service, Keys: keys, Tokens: 5000, Bound: 1.75, Slack: 3, MaxSilence: 700}
}

// sameHome returns two chats that a new registry of four engines sends to the same
// engine.
func sameHome(t *testing.T) (a, b uint64) {
	t.Helper()
	home := choose(t, newRegistry(4), query(1), 0).Engine.Info().ID
	for key := uint64(2); key < 100; key++ {
		if choose(t, newRegistry(4), query(key), 0).Engine.Info().ID == home {
			return 1, key
		}
	}
	t.Fatal("no two chats have the same home")
	return 0, 0
}

// choose fails the test if no engine can be chosen.
func choose(t *testing.T, r *engines.Registry, q engines.Query, now clock.Millis) engines.Choice {
	t.Helper()
	c, ok := r.Choose(q, now)
	if !ok {
		t.Fatalf("got no engine")
	}
	return c
}

// An engine that joins takes over its share of the chats and no more, and fetches each
// from its former home, even if the entry never sent the chat before.
func TestJoiningEngineTakesItsShareOfChats(t *testing.T) {
	const now = 100_000
	moved := 0
	for key := uint64(1); key <= 100; key++ {
		r := newSyncedRegistry(4, now)
		home := choose(t, newSyncedRegistry(4, now), query(key), now).Engine.Info().ID
		r.Put(info(4), now)
		r.Get(info(4).ID).RecordActivity(now)
		c := choose(t, r, query(key), now)
		switch got := c.Engine.Info().ID; got {
		case home:
		case info(4).ID:
			moved++
			if sourceID(c) != home {
				t.Errorf("got source %q for chat %d, want its former home %s", sourceID(c), key, home)
			}
		default:
			t.Errorf("got engine %s for chat %d, want %s or the one that joined", got, key, home)
		}
	}
	if moved < 5 || moved > 40 {
		t.Errorf("got %d of 100 chats moved, want about 20", moved)
	}
}

func TestChoiceReportsPrefixSent(t *testing.T) {
	r := newRegistry(4)
	if c := choose(t, r, query(7), 0); c.PrefixSent {
		t.Error("got PrefixSent for the first prompt, want false")
	}
	if c := choose(t, r, query(7), 0); !c.PrefixSent {
		t.Error("got no PrefixSent for the second prompt, want true")
	}
}

func TestChooseSkipsEngineOverBound(t *testing.T) {
	r := newRegistry(4)
	home := choose(t, r, query(7), 0).Engine
	for _, id := range r.IDs() {
		if e := r.Get(id); e != home {
			e.RecordLoad(engines.Load{Running: 2}, 10)
		}
	}
	for range 200 {
		home.BeginRequest(20)
	}
	got := choose(t, r, query(7), 21)
	if got.Engine == home || got.Basis != engines.ByRank {
		t.Errorf("got the loaded engine by %s, want the next of the ranking", got.Basis)
	}
	if got.Source != nil {
		t.Errorf("got a source that sent nothing, want none")
	}
	home.RecordActivity(30)
	r.Get(got.Engine.Info().ID).RecordLoad(engines.Load{Running: 300}, 31)
	if again := choose(t, r, query(7), 32); again.Source == nil {
		t.Errorf("got no source for a third engine, want one that has the prompt cached")
	}
}

func TestChooseSkipsSuspectsUnlessMostAre(t *testing.T) {
	now := clock.Millis(10_000)
	r := newRegistry(4)
	first, second := sameHome(t)
	home := choose(t, r, query(first), now).Engine
	home.BeginRequest(now)
	home.EndRequest(engines.Unreachable, now)
	if got := choose(t, r, query(first), now); got.Engine == home {
		t.Error("got the engine that could not be reached, want another")
	}
	if got := choose(t, r, query(second), now+60_000); got.Engine == home {
		t.Error("got the engine that was not reached since, want another")
	}
	if got := home.MarkReached(now); got != engines.Trusted {
		t.Errorf("got trust %q for an engine that took a connection, want it trusted", got)
	}
	if got := choose(t, r, query(second), now+60_000); got.Engine != home {
		t.Errorf("got %s after the home was reached, want the home again", got.Engine.Info().ID)
	}
	for _, id := range r.IDs() {
		r.Get(id).BeginRequest(now)
		r.Get(id).EndRequest(engines.Unreachable, now)
	}
	choose(t, r, query(first), now)
}

func TestChooseSkipsSilentEngine(t *testing.T) {
	r := newRegistry(4)
	first, second := sameHome(t)
	home := choose(t, r, query(first), 0).Engine
	home.BeginRequest(100)
	if got := choose(t, r, query(first), 500); got.Engine != home {
		t.Error("got another engine after 400 ms of silence, want the home")
	}
	if got := choose(t, r, query(first), 1000); got.Engine == home {
		t.Error("got the engine that is silent for 900 ms, want another")
	}
	home.RecordActivity(1100)
	if got := choose(t, r, query(second), 1200); got.Engine != home {
		t.Error("got another engine after the home sent something, want the home")
	}
}

// The allowed silence scales with the MaxSilence of the query.
func TestSilenceLimitFollowsQuery(t *testing.T) {
	for _, scale := range []clock.Millis{1, 10, 100} {
		r := newRegistry(4)
		first, _ := sameHome(t)
		q := query(first)
		q.MaxSilence *= scale
		home := choose(t, r, q, 0).Engine
		home.BeginRequest(100)
		if got := choose(t, r, q, 100+400*scale); got.Engine != home {
			t.Errorf("got another engine after %d ms of silence where %d are allowed, want the home", 400*scale, q.MaxSilence)
		}
		if got := choose(t, r, q, 100+900*scale); got.Engine == home {
			t.Errorf("got the engine that is silent for %d ms where %d are allowed, want another", 900*scale, q.MaxSilence)
		}
	}
}

func TestChooseSkipsFailingEngine(t *testing.T) {
	r := newRegistry(4)
	bad := r.Get("e00")
	for _, id := range r.IDs() {
		for range 10 {
			e := r.Get(id)
			e.BeginRequest(100)
			if e == bad {
				e.EndRequest(engines.Failed, 100)
			} else {
				e.EndRequest(engines.Succeeded, 100)
			}
		}
	}
	for key := uint64(1); key < 50; key++ {
		if got := choose(t, r, query(key), 200); got.Engine == bad {
			t.Fatalf("got the engine that fails for chat %d, want another", key)
		}
	}
}

// A draining, removed or tried engine is never chosen, and a request gets an engine as
// long as another one is left.
func TestChooseNeverReturnsDrainingOrTriedEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "engines")
		r := newRegistry(n)
		now := clock.Millis(0)
		var tried []string
		unavailable := map[string]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 900).Draw(t, "pass"))
			i := rapid.IntRange(0, n-1).Draw(t, "engine")
			id := info(i).ID
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				in := info(i)
				in.Draining = true
				if !unavailable[id] {
					r.Put(in, now)
				}
				unavailable[id] = true
			case 1:
				tried = append(tried, id)
			case 2:
				if e := r.Get(id); e != nil {
					e.BeginRequest(now)
				}
			case 3:
				if e := r.Get(id); e != nil {
					outcomes := []engines.Outcome{engines.Succeeded, engines.Failed, engines.Refused, engines.Unreachable, engines.Neutral}
					e.EndRequest(rapid.SampledFrom(outcomes).Draw(t, "outcome"), now)
				}
			case 4:
				r.Remove(id)
				unavailable[id] = true
			}
			q := query(uint64(i + 1))
			q.Tried = tried
			left := 0
			for j := range n {
				if id := info(j).ID; !unavailable[id] && !slices.Contains(tried, id) {
					left++
				}
			}
			c, ok := r.Choose(q, now)
			if ok != (left > 0) {
				t.Fatalf("got an engine: %v, want %v with %d left", ok, left > 0, left)
			}
			if ok && (unavailable[c.Engine.Info().ID] || slices.Contains(tried, c.Engine.Info().ID)) {
				t.Fatalf("got %s, which is draining, removed or tried", c.Engine.Info().ID)
			}
		}
	})
}

// A request without prefix keys goes to the engine with the lowest load per slot.
func TestPlainRequestGoesToLeastLoaded(t *testing.T) {
	r := engines.NewRegistry()
	small := info(0)
	small.Slots = 4
	r.Put(small, 0)
	r.Put(info(1), 0)
	got := map[string]int{}
	for range 12 {
		c := choose(t, r, engines.Query{Service: service, MaxSilence: 700}, 0)
		c.Engine.BeginRequest(0)
		got[c.Engine.Info().ID]++
	}
	if got["e00"] != 4 {
		t.Errorf("got %d of 12 requests at the engine of half the slots, want 4", got["e00"])
	}
}

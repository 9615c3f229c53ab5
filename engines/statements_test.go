package engines_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/statement"
)

// chosen returns the IDs of the engines that n choices of a service's requests go to.
func chosen(r *engines.Registry, n int) map[string]int {
	out := map[string]int{}
	for i := range n {
		q := engines.Query{Service: "llm", Keys: []uint64{uint64(i)}, Tokens: 100, Bound: 2, Slack: 2, MaxSilence: 1000, Random: float64(i) / float64(n)}
		if i%2 == 0 {
			q.Keys = nil
		}
		if c, ok := r.Choose(q, 0); ok {
			out[c.Engine.Info().ID]++
		}
	}
	return out
}

func TestEngineThatLeavesIsNotChosen(t *testing.T) {
	left := engines.Info{ID: "i-1", Service: "llm", Addr: "10.0.0.1:80", Slots: 8}
	other := engines.Info{ID: "i-2", Service: "llm", Addr: "10.0.0.2:80", Slots: 8}
	later := engines.Info{ID: "i-3", Service: "llm", Addr: left.Addr, Slots: 8}
	for name, tc := range map[string]struct {
		change func(r *engines.Registry)
		// want has the engines that get requests.
		want []string
	}{
		"listed as ready": {func(*engines.Registry) {}, []string{"i-2"}},
		"ready once more": {func(r *engines.Registry) { r.Put(left, 1) }, []string{"i-2"}},
		"listed anew": {func(r *engines.Registry) {
			r.Remove("i-1")
			r.Put(left, 1)
		}, []string{"i-2"}},
		"an older copy after the next incarnation": {func(r *engines.Registry) {
			next := left
			next.Version = "v2"
			r.Put(next, 1)
			r.Remove("i-1")
			r.Put(left, 2)
		}, []string{"i-2"}},
		"the next incarnation": {func(r *engines.Registry) {
			next := left
			next.Version = "v2"
			r.Put(next, 1)
		}, []string{"i-1", "i-2"}},
		"another engine at the address":           {func(r *engines.Registry) { r.Put(later, 1) }, []string{"i-2", "i-3"}},
		"another engine, and the entry is gone":   {func(r *engines.Registry) { r.Put(later, 1); r.Remove("i-1") }, []string{"i-2", "i-3"}},
		"said while missing, then back":           {func(r *engines.Registry) { r.MarkMissing("i-1"); r.Put(left, 1) }, []string{"i-2"}},
		"unreadable, then readable":               {func(r *engines.Registry) { r.MarkUnreadable("i-1"); r.Put(left, 1) }, []string{"i-2"}},
		"all others are gone":                     {func(r *engines.Registry) { r.Remove("i-2") }, nil},
		"forgotten as wrongly reported, and back": {func(r *engines.Registry) { r.Forget("i-1"); r.Put(left, 1) }, []string{"i-2"}},
	} {
		r := engines.NewRegistry()
		r.Put(left, 0)
		r.Put(other, 0)
		if got := r.RecordStatement(left.Incarnation(), statement.Said{Leaving: true}, 0); got != statement.Left {
			t.Errorf("%s: got change %q, want %q", name, got, statement.Left)
		}
		tc.change(r)
		got := chosen(r, 60)
		if len(got) != len(tc.want) {
			t.Errorf("%s: got requests at %v, want them at %v", name, got, tc.want)
		}
		for _, id := range tc.want {
			if got[id] == 0 {
				t.Errorf("%s: got no requests at %s, want some", name, id)
			}
		}
	}
}

// Guards against a statement that is lost because the engine is not listed when it arrives.
func TestStatementOfAnEngineThatIsNotListedHolds(t *testing.T) {
	in := engines.Info{ID: "i-1", Service: "llm", Addr: "10.0.0.1:80", Slots: 8}
	r := engines.NewRegistry()
	r.Put(in, 0)
	r.Remove(in.ID)
	r.RecordStatement(in.Incarnation(), statement.Said{Leaving: true}, 0)
	r.Put(in, 1)
	if got := chosen(r, 20); len(got) != 0 {
		t.Errorf("got requests at %v, want none", got)
	}
}

// restingRegistry returns a registry with n engines, the first of which rests until 2000.
func restingRegistry(n int) (*engines.Registry, engines.Info) {
	r := engines.NewRegistry()
	for i := range n {
		r.Put(engines.Info{ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: 8}, 0)
	}
	in := r.Get("i-1").Info()
	r.RecordStatement(in.Incarnation(), statement.Said{Rest: 2000}, 0)
	return r, in
}

func TestEngineThatRestsGetsNothing(t *testing.T) {
	r, in := restingRegistry(3)
	if got := chosen(r, 60); got["i-1"] > 0 || got["i-2"] == 0 || got["i-3"] == 0 {
		t.Errorf("got requests at %v, want them at the others", got)
	}
	e := r.Get("i-1")
	if e.AllowHealthCheck(1000) {
		t.Error("got a health check during the rest, want none")
	}
	if !e.AllowHealthCheck(2000) {
		t.Error("got no health check after the rest, want one")
	}
	room, ok := r.Room("llm", 1000, 1000)
	if want := 2; !ok || room.Engines != want {
		t.Errorf("got the room of %d engines, %v, want %d", room.Engines, ok, want)
	}
	if r.HasUntried("llm", "", []string{"i-2", "i-3"}, 1000) {
		t.Error("got the engine as untried during its rest, want none")
	}
	if n, until := r.Resting("llm", "", 1000); n != 1 || until != 2000 {
		t.Errorf("got %d resting engines until %d, want 1 until 2000", n, until)
	}
	if n, _ := r.Resting("llm", "", 2000); n != 0 {
		t.Errorf("got %d resting engines after the rest, want 0", n)
	}
	if !r.Closed(in.Incarnation(), 1999) || r.Closed(in.Incarnation(), 2000) {
		t.Error("want the engine closed until its rest ends, and open then")
	}
}

// Guards against the prompts of an engine that all return to it when its rest ends, and against
// callers who are rejected for that although there is no other engine.
func TestEngineIsSparedAfterItsRestIfThereAreOthers(t *testing.T) {
	const now = 2050
	for others, want := range map[int]int{0: 20, 2: 1} {
		r, in := restingRegistry(1 + others)
		key, got := homeOf(t, r, in.ID), 0
		for i := range 20 {
			c, ok := r.Choose(engines.Query{Service: "llm", Keys: []uint64{key}, Tokens: 5000, Bound: 100, Slack: 100, MaxSilence: 1000, Random: float64(i) / 20}, now)
			if ok && c.Engine.Info().ID == in.ID {
				c.Engine.BeginRequest(now)
				got++
			}
		}
		if got != want {
			t.Errorf("%d other engines: got %d of 20 requests at the engine after its rest, want %d", others, got, want)
		}
	}
}

// homeOf returns the key of a prompt whose home is the engine with the given ID once its rest
// is long over.
func homeOf(t *testing.T, r *engines.Registry, id string) uint64 {
	t.Helper()
	for key := range uint64(1000) {
		c, ok := r.Choose(engines.Query{Service: "llm", Keys: []uint64{key}, Tokens: 5000, Bound: 100, Slack: 100, MaxSilence: 1000}, 1_000_000)
		if ok && c.Engine.Info().ID == id {
			return key
		}
	}
	t.Fatalf("got no prompt whose home is %s", id)
	return 0
}

// An engine that rests is spared a fetch, one that leaves is not: its prompts move to others.
func TestFetchFromEnginesThatSaidSomething(t *testing.T) {
	for name, tc := range map[string]struct {
		said statement.Said
		want bool
	}{
		"leaves": {statement.Said{Leaving: true}, true},
		"rests":  {statement.Said{Rest: 60_000}, false},
	} {
		r, in := restingRegistry(2)
		const now = 10_000
		q := engines.Query{Service: "llm", Keys: []uint64{homeOf(t, r, in.ID)}, Tokens: 5000, Cost: engines.Cost{Prefill: 1}, Bound: 100, Slack: 100, MaxSilence: 1000}
		for _, id := range r.IDs() {
			r.Get(id).RecordActivity(now)
		}
		if c, _ := r.Choose(q, now); c.Engine.Info().ID != in.ID {
			t.Fatalf("%s: got engine %s, want the home", name, c.Engine.Info().ID)
		}
		r.RecordStatement(in.Incarnation(), tc.said, now)
		c, _ := r.Choose(q, now+1)
		if got := c.Source != nil; got != tc.want || c.Engine.Info().ID == in.ID {
			t.Errorf("%s: got engine %s, a fetch %v, want the other engine and a fetch %v", name, c.Engine.Info().ID, got, tc.want)
		}
	}
}

// Guards against requests to an engine that was listed as draining, after its entry has lapsed
// and come back as ready from an older copy of the list without start times.
func TestEngineThatDrainedStaysClosedWhenItsEntryReturns(t *testing.T) {
	in := engines.Info{ID: "i-1", Service: "llm", Addr: "10.0.0.1:80", Slots: 8, Version: "v1"}
	draining, next := in, in
	draining.Draining, next.Version = true, "v2"
	for name, first := range map[string]engines.Info{"draining later": in, "draining from the first": draining} {
		r := engines.NewRegistry()
		r.Put(first, 0)
		r.Put(draining, 1)
		r.Remove(in.ID)
		r.Put(in, 2)
		if got := chosen(r, 20); len(got) != 0 {
			t.Errorf("%s: got requests at %v, want none", name, got)
		}
		r.Put(next, 3)
		if got := chosen(r, 20); got[in.ID] == 0 {
			t.Errorf("%s: got no requests at the next incarnation, want some", name)
		}
	}
}

// Guards against an engine that said that it leaves and ends as planned, but counts as crashed
// because the list never had it as draining: the requests that ran there would be blamed.
func TestEngineThatSaidItLeavesIsNoCrash(t *testing.T) {
	in := engines.Info{ID: "i-1", Service: "llm", Addr: "10.0.0.1:80", Slots: 8}
	r := engines.NewRegistry()
	r.Put(in, 0)
	r.RecordStatement(in.Incarnation(), statement.Said{Leaving: true}, 0)
	r.Remove(in.ID)
	if r.Crashed(in.Incarnation()) {
		t.Error("got a crash, want a planned end")
	}
}

// Guards against the same where another incarnation follows, or a response that was under way
// is the first to say it; a rest or what another incarnation said excuses nothing.
func TestOnlyALeavingIncarnationEndsAsPlanned(t *testing.T) {
	in := engines.Info{ID: "i-1", Service: "llm", Addr: "10.0.0.1:80", Slots: 8, StartedAt: 1000}
	next := in
	next.StartedAt = 2000
	leaves, rests := statement.Said{Leaving: true}, statement.Said{Rest: 60_000}
	for name, tc := range map[string]struct {
		change func(r *engines.Registry)
		want   bool
	}{
		"superseded":            {func(r *engines.Registry) { r.RecordStatement(in.Incarnation(), leaves, 0); r.Put(next, 0) }, false},
		"removed, then told":    {func(r *engines.Registry) { r.Remove(in.ID); r.RecordStatement(in.Incarnation(), leaves, 0) }, false},
		"superseded, then told": {func(r *engines.Registry) { r.Put(next, 0); r.RecordStatement(in.Incarnation(), leaves, 0) }, false},
		"rests":                 {func(r *engines.Registry) { r.RecordStatement(in.Incarnation(), rests, 0); r.Remove(in.ID) }, true},
		"the next one leaves":   {func(r *engines.Registry) { r.Put(next, 0); r.RecordStatement(next.Incarnation(), leaves, 0) }, true},
	} {
		r := engines.NewRegistry()
		r.Put(in, 0)
		tc.change(r)
		if got := r.Crashed(in.Incarnation()); got != tc.want {
			t.Errorf("%s: got crashed %v, want %v", name, got, tc.want)
		}
	}
}

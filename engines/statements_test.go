package engines_test

import (
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

package engines_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// drawRegistry draws a registry of up to maxEngines engines after some time of use.
func drawRegistry(t *rapid.T, maxEngines int, now clock.Millis) *engines.Registry {
	r := engines.NewRegistry()
	n := rapid.IntRange(1, maxEngines).Draw(t, "engines")
	busy := rapid.IntRange(0, 40).Draw(t, "busy")
	for i := range n {
		in := info(i)
		in.Hall = fmt.Sprint("hall-", i%3)
		in.Slots = rapid.SampledFrom([]int{4, 8, 8, 48, math.MaxInt32}).Draw(t, "slots")
		in.Draining = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		if rapid.IntRange(0, 9).Draw(t, "cold") == 0 {
			in.WarmupLeft = 5000
		}
		r.Put(in, now-clock.Millis(rapid.IntRange(0, 30_000).Draw(t, "listed")))
		e := r.Get(in.ID)
		for range rapid.IntRange(0, busy/8).Draw(t, "own") {
			e.BeginRequest(now - 100)
		}
		if rapid.IntRange(0, 3).Draw(t, "heard") > 0 {
			e.RecordActivity(now - clock.Millis(rapid.IntRange(0, 3000).Draw(t, "silent")))
			e.RecordLoad(engines.Load{Running: rapid.IntRange(0, busy).Draw(t, "load")}, now-clock.Millis(rapid.IntRange(0, 6000).Draw(t, "age")))
		}
		if rapid.IntRange(0, 3).Draw(t, "result") == 0 {
			e.BeginRequest(now - 200)
			e.EndRequest(rapid.SampledFrom([]engines.Outcome{engines.Succeeded, engines.Failed, engines.Refused, engines.Unreachable}).Draw(t, "outcome"), now-100)
		}
		if rapid.IntRange(0, 19).Draw(t, "doubt") == 0 {
			r.MarkMissing(in.ID)
		}
	}
	if rapid.Bool().Draw(t, "bounded") {
		r.SetLoadBound(rapid.Float64Range(1.1, 4).Draw(t, "load bound"))
	}
	if rapid.IntRange(0, 4).Draw(t, "evacuation") == 0 {
		r.SetEvacuatedHalls([]string{"hall-1"}, now-50)
	}
	return r
}

// Choose returns the same result as the reference implementation, from one engine up to
// as many as need several passes over the ranking.
func TestChooseMatchesReference(t *testing.T) {
	const now clock.Millis = 100_000
	rapid.Check(t, func(t *rapid.T) {
		r := drawRegistry(t, 150, now)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			q := query(rapid.Uint64Range(1, 5).Draw(t, "short"), rapid.Uint64Range(6, 50).Draw(t, "long"))
			if rapid.IntRange(0, 4).Draw(t, "plain") == 0 {
				q.Keys = nil
			}
			q.Tokens = rapid.SampledFrom([]int{500, 1500, 5000}).Draw(t, "tokens")
			q.Bound = rapid.SampledFrom([]float64{1.01, 1.2, 1.75}).Draw(t, "bound")
			q.Slack = rapid.SampledFrom([]float64{0, 0.1, 3}).Draw(t, "slack")
			q.Random = rapid.Float64Range(0, 0.999).Draw(t, "random")
			q.Isolated = rapid.IntRange(0, 9).Draw(t, "alone") == 0
			q.Warmup = engines.Warmup{Duration: 3000, MaxRequests: func(string) int { return 1 }}
			if rapid.Bool().Draw(t, "repeat") {
				q.Tried = []string{info(rapid.IntRange(0, 5).Draw(t, "tried")).ID}
			}
			want, wantOK := r.ChooseSorted(q, now)
			got, ok := r.Choose(q, now)
			if ok != wantOK || got.Engine != want.Engine || got.Basis != want.Basis || got.PrefixSent != want.PrefixSent || got.Source != want.Source {
				t.Fatalf("got %v %+v, want %v %+v", ok, got, wantOK, want)
			}
			if math.Abs(got.Load-want.Load)+math.Abs(got.Mean-want.Mean) > 1e-9 {
				t.Fatalf("got a load of %v and a mean of %v, want %v and %v", got.Load, got.Mean, want.Load, want.Mean)
			}
			if ok {
				got.Engine.BeginRequest(now)
			}
		}
	})
}

// RecentLoads returns the same loads as a sort of all, in whatever order they were
// reported.
func TestRecentLoadsMatchesSort(t *testing.T) {
	const now clock.Millis = 100_000
	rapid.Check(t, func(t *rapid.T) {
		r := drawRegistry(t, 60, now)
		reported := map[string]engines.ReportedLoad{}
		for _, l := range r.RecentLoads(now, 1000, now) {
			reported[l.ID] = l
		}
		for range rapid.IntRange(0, 60).Draw(t, "words") {
			id := info(rapid.IntRange(0, 59).Draw(t, "engine")).ID
			e := r.Get(id)
			if e == nil {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "gone") == 0 {
				r.Remove(id)
				delete(reported, id)
				continue
			}
			age := clock.Millis(rapid.IntRange(0, 20).Draw(t, "age"))
			if was, ok := reported[id]; ok && was.Age <= age {
				continue
			}
			e.RecordLoad(engines.Load{Running: int(age)}, now-age)
			reported[id] = engines.ReportedLoad{Incarnation: e.Info().Incarnation(), Requests: int(age), Age: age}
		}
		limit := clock.Millis(rapid.IntRange(0, 30).Draw(t, "limit"))
		n := rapid.IntRange(0, 20).Draw(t, "n")
		var want []engines.ReportedLoad
		for _, l := range reported {
			if l.Age <= limit {
				want = append(want, l)
			}
		}
		slices.SortFunc(want, func(a, b engines.ReportedLoad) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
		want = want[:min(n, len(want))]
		if got := r.RecentLoads(limit, n, now); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// The tabulated decay equals the exact one at all ages.
func TestDecayIsExact(t *testing.T) {
	for d := clock.Millis(0); d < 200_000; d += 7 {
		if got := engines.DecayError(d); got > 1e-15 {
			t.Fatalf("after %d ms: got an error of %g, want none", d, got)
		}
	}
}

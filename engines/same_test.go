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

// drawBook draws a book of up to most engines after some time of use.
func drawBook(t *rapid.T, most int, now clock.Millis) *engines.Registry {
	b := engines.NewRegistry()
	n := rapid.IntRange(1, most).Draw(t, "engines")
	busy := rapid.IntRange(0, 40).Draw(t, "busy")
	for i := range n {
		in := info(i)
		in.Hall = fmt.Sprint("hall-", i%3)
		in.Slots = rapid.SampledFrom([]int{4, 8, 8, 48}).Draw(t, "slots")
		in.Draining = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		if rapid.IntRange(0, 9).Draw(t, "cold") == 0 {
			in.WarmupLeft = 5000
		}
		b.Put(in, now-clock.Millis(rapid.IntRange(0, 30_000).Draw(t, "listed")))
		e := b.Get(in.ID)
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
			b.MarkMissing(in.ID)
		}
	}
	if rapid.IntRange(0, 4).Draw(t, "evacuation") == 0 {
		b.SetEvacuatedHalls([]string{"hall-1"}, now-50)
	}
	return b
}

// A choice that looks at no more than it needs is the choice that looks at all, from one
// engine to as many as need several passes.
func TestTheChoiceIsThatOfAFullSort(t *testing.T) {
	const now clock.Millis = 100_000
	rapid.Check(t, func(t *rapid.T) {
		b := drawBook(t, 150, now)
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
			want, wantOK := b.ChooseSorted(q, now)
			got, ok := b.Choose(q, now)
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

// The freshest loads are those that a sort of all finds, whatever the order in which they
// came.
func TestTheFreshestLoadsAreThoseOfASort(t *testing.T) {
	const now clock.Millis = 100_000
	rapid.Check(t, func(t *rapid.T) {
		b := drawBook(t, 60, now)
		told := map[string]engines.ReportedLoad{}
		for _, l := range b.RecentLoads(now, 1000, now) {
			told[l.ID] = l
		}
		for range rapid.IntRange(0, 60).Draw(t, "words") {
			id := info(rapid.IntRange(0, 59).Draw(t, "engine")).ID
			e := b.Get(id)
			if e == nil {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "gone") == 0 {
				b.Remove(id)
				delete(told, id)
				continue
			}
			age := clock.Millis(rapid.IntRange(0, 20).Draw(t, "age"))
			if was, ok := told[id]; ok && was.Age <= age {
				continue
			}
			e.RecordLoad(engines.Load{Running: int(age)}, now-age)
			told[id] = engines.ReportedLoad{Incarnation: e.Info().Incarnation(), Requests: int(age), Age: age}
		}
		limit := clock.Millis(rapid.IntRange(0, 30).Draw(t, "limit"))
		n := rapid.IntRange(0, 20).Draw(t, "n")
		var want []engines.ReportedLoad
		for _, l := range told {
			if l.Age <= limit {
				want = append(want, l)
			}
		}
		slices.SortFunc(want, func(a, b engines.ReportedLoad) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
		want = want[:min(n, len(want))]
		if got := b.RecentLoads(limit, n, now); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// What fades does so by halves, at each moment.
func TestFadingIsByHalves(t *testing.T) {
	for d := clock.Millis(0); d < 200_000; d += 7 {
		if got := engines.FadingError(d); got > 1e-15 {
			t.Fatalf("after %d ms: got an error of %g, want none", d, got)
		}
	}
}

package route_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/internal/heaptest"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
)

func targets(n int) []route.Target {
	out := make([]route.Target, n)
	for i := range out {
		out[i] = route.NewTarget(fmt.Sprint("engine-", i), 16)
	}
	return out
}

func homes(ts []route.Target, keys int) []string {
	out := make([]string, keys)
	for k := range out {
		out[k] = ts[route.Rank(route.ChatKey("ws", fmt.Sprint(k)), ts, 1)[0]].ID()
	}
	return out
}

func TestRankStability(t *testing.T) {
	const keys = 6000
	ts := targets(12)
	before := homes(ts, keys)
	without := slices.Delete(slices.Clone(ts), 3, 4)
	moved := 0
	for k, h := range homes(without, keys) {
		if h != before[k] {
			moved++
			if before[k] != "engine-3" {
				t.Fatalf("chat %d: moved from %s, want only those of engine-3", k, before[k])
			}
		}
	}
	if moved < keys/12*8/10 || moved > keys/12*12/10 {
		t.Errorf("got %d of %d moved, want about a twelfth", moved, keys)
	}
	for k, h := range homes(append(slices.Clone(ts), route.NewTarget("new", 16)), keys) {
		if h != before[k] && h != "new" {
			t.Fatalf("chat %d: moved to %s, want only to the new engine", k, h)
		}
	}
}

func TestRankIgnoresInputOrder(t *testing.T) {
	ts := targets(12)
	reversed := slices.Clone(ts)
	slices.Reverse(reversed)
	if got, want := homes(reversed, 500), homes(ts, 500); !slices.Equal(got, want) {
		t.Error("got other homes for the reversed list, want the same")
	}
}

func TestRankWeights(t *testing.T) {
	ts := append(targets(4), route.NewTarget("half", 8))
	n := 0
	for _, h := range homes(ts, 9000) {
		if h == "half" {
			n++
		}
	}
	if n < 850 || n > 1150 {
		t.Errorf("got %d of 9000, want about a ninth", n)
	}
}

func TestLimit(t *testing.T) {
	for _, c := range []struct {
		mean        float64
		floor, want int
	}{
		{0, 1, 1},    // an idle pool admits a request
		{0, 2, 2},    // the floor
		{0.1, 2, 3},  // 1.6 requests per engine: 1.25*(1.6+1/12) rounds up
		{0.5, 2, 11}, // 8 per engine
	} {
		if got := route.Limit(1.25, c.mean, c.floor, 16, 12); got != c.want {
			t.Errorf("mean %v floor %d: got %d, want %d", c.mean, c.floor, got, c.want)
		}
	}
}

func query(returning bool) route.Query {
	return route.Query{Key: 42, Affine: true, Returning: returning, Bound: 1.25, Floor: 2, MaxTries: 8}
}

func sample(l *route.Loads, ts []route.Target, requests int) {
	for _, t := range ts {
		l.Sample(t.ID(), requests, 1)
	}
}

func TestChooseReturningChat(t *testing.T) {
	ts, loads := targets(12), route.NewLoads()
	sample(loads, ts, 4)
	q := query(true)
	q.Hint = "engine-7"
	ranked := route.Rank(q.Key, ts, 3)
	var tries []route.Try
	var offered []string
	for range 4 {
		s, ok := route.Choose(q, ts, loads, loads.Mean(ts, 1), tries, 1).(route.Send)
		if !ok || s.Mode != wire.ModeCachedOnly {
			break
		}
		offered = append(offered, s.Engine)
		tries = append(tries, route.Try{Engine: s.Engine, Mode: s.Mode, NotCached: true})
	}
	want := []string{"engine-7"}
	for _, i := range ranked {
		if id := ts[i].ID(); id != "engine-7" {
			want = append(want, id)
		}
	}
	if !slices.Equal(offered, want) {
		t.Errorf("got %v, want the hint, then the ranked %v", offered, want)
	}
	if s := route.Choose(q, ts, loads, loads.Mean(ts, 1), tries, 1).(route.Send); s.Mode != wire.ModeNormal {
		t.Errorf("cached nowhere: got %+v, want an ordinary offer", s)
	}
}

// Guards against a chat that moves to another engine between two turns because its own
// seems busier. A request doesn't always show that there was an earlier turn.
func TestChooseNamedOrHintedChat(t *testing.T) {
	ts := targets(12)
	home := ts[route.Rank(42, ts, 1)[0]].ID()
	for name, c := range map[string]struct {
		hint  string
		named bool
		want  []string
	}{
		"a hint":                  {hint: "engine-7", want: []string{"engine-7"}},
		"a name":                  {named: true, want: []string{home}},
		"a name and a hint":       {hint: "engine-7", named: true, want: []string{"engine-7", home}},
		"neither":                 {},
		"a hint of no engine":     {hint: "engine-99"},
		"a name and its own home": {hint: home, named: true, want: []string{home}},
	} {
		loads := route.NewLoads()
		sample(loads, ts, 0)
		// The engines that may have the chat cached seem busy.
		loads.Sample(home, 2, 1)
		loads.Sample("engine-7", 2, 1)
		q := query(false)
		q.Hint, q.Named = c.hint, c.named
		var tries []route.Try
		var offered []string
		for {
			s := route.Choose(q, ts, loads, loads.Mean(ts, 1), tries, 1).(route.Send)
			if s.Mode != wire.ModeCachedOnly {
				break
			}
			offered = append(offered, s.Engine)
			tries = append(tries, route.Try{Engine: s.Engine, Mode: s.Mode, NotCached: true})
		}
		if !slices.Equal(offered, c.want) {
			t.Errorf("%s: got offers to %v, want %v", name, offered, c.want)
		}
	}
}

func TestHomeRedirectsToPlacement(t *testing.T) {
	ts, loads := targets(12), route.NewLoads()
	q := query(true)
	first := route.Choose(q, ts, loads, loads.Mean(ts, 1), nil, 1).(route.Send)
	index := route.NewCacheIndex(1000)
	index.RecordTurn(q.Key, 50, 1)
	index.RecordPlacement(q.Key, "engine-9")
	ans := route.Decide(route.Offer{Chat: q.Key, Mode: first.Mode}, route.State{Engine: first.Engine, Slots: 16, Mean: -1, Engines: 12, Bound: 1.25, Floor: 2}, index)
	r, ok := ans.(route.Redirect)
	if !ok || r.Engine != "engine-9" || r.Cached != 50 {
		t.Fatalf("got %+v, want a redirect to engine-9", ans)
	}
	tries := []route.Try{{Engine: first.Engine, Mode: first.Mode, Redirect: r.Engine, NotCached: true, Cached: r.Cached}}
	if s := route.Choose(q, ts, loads, loads.Mean(ts, 1), tries, 1).(route.Send); s.Engine != "engine-9" {
		t.Errorf("got %+v, want engine-9", s)
	}
}

func TestDecideEnforcesLimit(t *testing.T) {
	index := route.NewCacheIndex(1000)
	index.RecordTurn(1, 10, 1)
	s := route.State{Engine: "e", Slots: 16, Mean: 0.25, Engines: 12, Bound: 1.25, Floor: 2}
	limit := route.Limit(1.25, 0.25, 2, 16, 12)
	for _, mode := range []wire.Mode{wire.ModeNormal, wire.ModeCachedOnly} {
		s.Requests = limit - 1
		if _, ok := route.Decide(route.Offer{Chat: 1, Mode: mode}, s, index).(route.Admit); !ok {
			t.Errorf("%s below the limit: got a refusal", mode)
		}
		s.Requests = limit
		if ans, ok := route.Decide(route.Offer{Chat: 1, Mode: mode}, s, index).(route.Refuse); !ok || !ans.OverBound {
			t.Errorf("%s at the limit: got %+v, want a refusal for the load", mode, ans)
		}
	}
	s.UnderShare = true
	if _, ok := route.Decide(route.Offer{Chat: 1, Mode: wire.ModeNormal}, s, index).(route.Admit); !ok {
		t.Error("under its share: got a refusal, want it admitted despite the queue of others")
	}
	s.Draining, s.Requests = true, 0
	if ans, ok := route.Decide(route.Offer{Mode: wire.ModeForce}, s, index).(route.Refuse); !ok || !ans.Draining {
		t.Errorf("draining: got %+v, want a refusal", ans)
	}
}

func TestRecordEvicted(t *testing.T) {
	b := route.NewCacheIndex(100)
	b.RecordTurn(1, 40, 1000)
	b.RecordEvicted(1, 900)
	if got, want := b.CachedTokens(1), 40; got != want {
		t.Errorf("eviction before the latest turn: got %d, want %d", got, want)
	}
	b.RecordEvicted(1, 1100)
	if got := b.CachedTokens(1); got != 0 {
		t.Errorf("eviction after the latest turn: got %d, want 0", got)
	}
	b.RecordTurn(1, 60, 1)
	b.RecordTurn(2, 60, 2)
	if b.CachedTokens(1) != 0 || b.CachedTokens(2) != 60 {
		t.Errorf("over the capacity: got %d and %d tokens, want the older chat evicted", b.CachedTokens(1), b.CachedTokens(2))
	}
}

// With random refusals, a request is offered at most MaxTries times, at most once to an
// engine in the same mode, and at least once if the pool is not empty.
func TestChooseTerminates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ts := targets(rapid.IntRange(0, 6).Draw(t, "engines"))
		loads := route.NewLoads()
		for _, x := range ts {
			if rapid.Bool().Draw(t, "known") {
				loads.Sample(x.ID(), rapid.IntRange(0, 20).Draw(t, "load"), 1)
			}
		}
		q := query(rapid.Bool().Draw(t, "returning"))
		q.Affine = rapid.Bool().Draw(t, "affine")
		q.Hint = rapid.SampledFrom([]string{"", "engine-1", "unknown"}).Draw(t, "hint")
		q.MaxTries = rapid.IntRange(1, 8).Draw(t, "max")
		var tries []route.Try
		offered := map[string]int{}
		for {
			s, ok := route.Choose(q, ts, loads, loads.Mean(ts, 1), tries, 1).(route.Send)
			if !ok {
				break
			}
			offered[s.Engine+string(s.Mode)]++
			if offered[s.Engine+string(s.Mode)] > 1 {
				t.Fatalf("offered %+v twice after %+v", s, tries)
			}
			try := route.Try{Engine: s.Engine, Mode: s.Mode}
			switch rapid.IntRange(0, 2).Draw(t, "answer") {
			case 0:
				try.OverBound = true
			case 1:
				try.NotCached = s.Mode == wire.ModeCachedOnly
				try.Redirect = rapid.SampledFrom([]string{"", "engine-0", "gone"}).Draw(t, "redirect")
			}
			tries = append(tries, try)
			if len(tries) > q.MaxTries {
				t.Fatalf("got %d offers, want at most %d", len(tries), q.MaxTries)
			}
		}
		if len(ts) > 0 && len(tries) == 0 {
			t.Fatal("got no offer from a pool that has engines")
		}
	})
}

func TestChooseForcesWhenAllRefuse(t *testing.T) {
	ts, loads := targets(2), route.NewLoads()
	q := query(false)
	var tries []route.Try
	for range 2 {
		s := route.Choose(q, ts, loads, loads.Mean(ts, 1), tries, 1).(route.Send)
		tries = append(tries, route.Try{Engine: s.Engine, Mode: s.Mode, OverBound: true})
	}
	s, ok := route.Choose(q, ts, loads, loads.Mean(ts, 1), tries, 1).(route.Send)
	if !ok || s.Mode != wire.ModeForce {
		t.Errorf("got %+v, want the least loaded to be forced", s)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 480, 10_000} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			ts, loads := targets(n), route.NewLoads()
			sample(loads, ts, 4)
			q, mean := query(true), loads.Mean(ts, 1)
			b.ReportAllocs()
			for b.Loop() {
				q.Key++
				route.Choose(q, ts, loads, mean, nil, 1)
			}
		})
	}
}

func BenchmarkMean(b *testing.B) {
	for _, n := range []int{12, 480, 10_000} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			ts, loads := targets(n), route.NewLoads()
			sample(loads, ts, 4)
			for b.Loop() {
				loads.Mean(ts, 1)
			}
		})
	}
}

func TestChooseAllocations(t *testing.T) {
	var got []float64
	for _, n := range []int{12, 480, 10_000} {
		ts, loads := targets(n), route.NewLoads()
		sample(loads, ts, 4)
		got = append(got, testing.AllocsPerRun(100, func() { route.Choose(query(true), ts, loads, loads.Mean(ts, 1), nil, 1) }))
	}
	if got[2] > got[0] {
		t.Errorf("got %v allocations at 12, 480 and 10,000 engines, want no growth", got)
	}
}

func TestCacheIndexMemory(t *testing.T) {
	bytesPerChat := func(n int) float64 {
		return heaptest.BytesPerItem(n, func() *route.CacheIndex {
			b := route.NewCacheIndex(1 << 40)
			for i := range uint64(n) {
				b.RecordTurn(i+1, 1000, 1)
			}
			return b
		})
	}
	small, large := bytesPerChat(8_000), bytesPerChat(60_000)
	t.Logf("%.0f bytes per chat at 8,000, %.0f at 60,000", small, large)
	if large > 250 {
		t.Errorf("got %.0f bytes per chat, want at most 250", large)
	}
}

// The first n of a ranking are the same for any n.
func TestRankPrefixes(t *testing.T) {
	for _, size := range []int{1, 7, 63, 64, 65, 300} {
		ts := make([]route.Target, size)
		for i := range ts {
			ts[i] = route.NewTarget(fmt.Sprint("engine-", i%250), 4<<(i%3))
		}
		key := route.ChatKey("ws", fmt.Sprint(size))
		all := route.Rank(key, ts, size)
		for i := 1; i < len(all); i++ {
			before, after := ts[all[i-1]], ts[all[i]]
			better := route.Rank(key, []route.Target{before, after}, 1)[0] == 1
			equal := !better && route.Rank(key, []route.Target{after, before}, 1)[0] == 0
			if better || (equal && all[i] < all[i-1]) {
				t.Errorf("%d targets: got %d ranked after %d, want it before", size, all[i], all[i-1])
			}
		}
		for n := range size + 2 {
			if got, want := route.Rank(key, ts, n), all[:min(n, size)]; !slices.Equal(got, want) {
				t.Fatalf("the first %d of %d: got %v, want %v", n, size, got, want)
			}
		}
	}
}

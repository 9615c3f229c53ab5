package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// sentTo sends a request each 20 ms for so long and returns when the engine got
// one. Requests take no time, so that load changes nothing.
func sentTo(t *testing.T, b *engines.Registry, id string, from, to clock.Millis, most int) (at []clock.Millis) {
	t.Helper()
	for now := from; now < to; now += 20 {
		q := query(uint64(now%200) + 1)
		q.Warmup = engines.Warmup{Duration: 3000, MaxRequests: func(string) int { return most }}
		e := choose(t, b, q, now).Engine
		answer(e, now)
		if e.Info().ID == id {
			at = append(at, now)
		}
	}
	return at
}

// mostIn returns the most times within any second.
func mostIn(at []clock.Millis) (most int) {
	for i := range at {
		n := 0
		for _, other := range at[i:] {
			if other < at[i]+1000 {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// However an engine came to be cold, this entry sends it no more than its share
// in any second until it must be warm, and others serve meanwhile.
func TestAColdEngineGetsNoMoreThanThisEntrysShare(t *testing.T) {
	const now, share = 100_000, 2
	engine := info(0)
	engine.Hall = "b"
	cold := engine
	cold.WarmupLeft = 3000
	for name, turn := range map[string]func(b *engines.Registry){
		"it joins":      func(b *engines.Registry) { b.Remove(engine.ID); b.Put(engine, now) },
		"the list says": func(b *engines.Registry) { b.Put(cold, now) },
		"its hall is back": func(b *engines.Registry) {
			b.SetEvacuatedHalls([]string{engine.Hall}, now-5000)
			b.SetEvacuatedHalls(nil, now)
		},
		"it is reached again": func(b *engines.Registry) {
			e := b.Get(engine.ID)
			e.BeginRequest(now - 100)
			e.EndRequest(engines.Unreachable, now-50)
			e.MarkReached(now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook(3)
			b.Put(engine, 0)
			b.MarkSynced(now - 20_000)
			turn(b)
			at := sentTo(t, b, engine.ID, now, now+2990, share)
			if got := mostIn(at); got != share {
				t.Errorf("got %d requests in a second, want the share of %d", got, share)
			}
			if got := mostIn(sentTo(t, b, engine.ID, now+3100, now+5000, share)); got <= share {
				t.Errorf("got %d requests in a second when it is warm, want more than %d", got, share)
			}
		})
	}
}

// An engine whose service knows no cold is never held back.
func TestWithoutAWarmupNothingIsHeldBack(t *testing.T) {
	b := newBook(1)
	cold := info(0)
	cold.WarmupLeft = 3000
	b.Put(cold, 100_000)
	for range 20 {
		if _, ok := b.Choose(query(1), 100_000); !ok {
			t.Fatal("got no engine, want the only one")
		}
	}
}

// An entry without a share leaves a cold engine to others.
func TestAnEntryWithoutAShareSendsAColdEngineNothing(t *testing.T) {
	b := newBook(2)
	cold := info(0)
	cold.WarmupLeft = 3000
	b.Put(cold, 100_000)
	if got := sentTo(t, b, cold.ID, 100_000, 102_900, 0); len(got) != 0 {
		t.Errorf("got %d requests, want 0", len(got))
	}
}

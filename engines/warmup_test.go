package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// sendRequests sends a request every 20 ms between from and to, and returns the times of
// those that the given engine got. Requests take no time, so that the load stays zero.
func sendRequests(t *testing.T, r *engines.Registry, id string, from, to clock.Millis, limit int) (at []clock.Millis) {
	t.Helper()
	for now := from; now < to; now += 20 {
		q := query(uint64(now%200) + 1)
		q.Warmup = engines.Warmup{Duration: 3000, MaxRequests: func(string) int { return limit }}
		e := choose(t, r, q, now).Engine
		completeRequest(e, now)
		if e.Info().ID == id {
			at = append(at, now)
		}
	}
	return at
}

// maxPerSecond returns the highest number of times within any second.
func maxPerSecond(at []clock.Millis) (highest int) {
	for i := range at {
		n := 0
		for _, other := range at[i:] {
			if other < at[i]+1000 {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// Whatever started an engine's warm-up, this entry sends it no more than its share in any
// second until the warm-up ends. Other engines get the rest.
func TestWarmupLimitsRequests(t *testing.T) {
	const now, share = 100_000, 2
	engine := info(0)
	engine.Hall = "b"
	warming := engine
	warming.WarmupLeft = 3000
	for name, startWarmup := range map[string]func(r *engines.Registry){
		"it joins":      func(r *engines.Registry) { r.Remove(engine.ID); r.Put(engine, now) },
		"the list says": func(r *engines.Registry) { r.Put(warming, now) },
		"its hall is back": func(r *engines.Registry) {
			r.SetEvacuatedHalls([]string{engine.Hall}, now-5000)
			r.SetEvacuatedHalls(nil, now)
		},
		"it is reached again": func(r *engines.Registry) {
			e := r.Get(engine.ID)
			e.BeginRequest(now - 100)
			e.EndRequest(engines.Unreachable, now-50)
			e.MarkReached(now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(3)
			r.Put(engine, 0)
			r.MarkSynced(now - 20_000)
			startWarmup(r)
			at := sendRequests(t, r, engine.ID, now, now+2990, share)
			if got := maxPerSecond(at); got != share {
				t.Errorf("got %d requests in a second, want the share of %d", got, share)
			}
			if got := maxPerSecond(sendRequests(t, r, engine.ID, now+3100, now+5000, share)); got <= share {
				t.Errorf("got %d requests in a second after the warm-up, want more than %d", got, share)
			}
		})
	}
}

// An engine gets requests without a limit if its service has no warm-up.
func TestNoWarmupMeansNoLimit(t *testing.T) {
	r := newRegistry(1)
	warming := info(0)
	warming.WarmupLeft = 3000
	r.Put(warming, 100_000)
	for range 20 {
		if _, ok := r.Choose(query(1), 100_000); !ok {
			t.Fatal("got no engine, want the only one")
		}
	}
}

// An entry whose share is zero sends nothing to an engine that warms up.
func TestZeroWarmupShareSendsNothing(t *testing.T) {
	r := newRegistry(2)
	warming := info(0)
	warming.WarmupLeft = 3000
	r.Put(warming, 100_000)
	if got := sendRequests(t, r, warming.ID, 100_000, 102_900, 0); len(got) != 0 {
		t.Errorf("got %d requests, want 0", len(got))
	}
}

package engines_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// startedInfo returns the entry of an incarnation that started at the given time.
func startedInfo(i int, startedAt int64) engines.Info {
	in := info(i)
	in.StartedAt = startedAt
	return in
}

// newStartedRegistry returns a synced registry whose engines started at 1000.
func newStartedRegistry(n int, now clock.Millis) *engines.Registry {
	r := engines.NewRegistry()
	for i := range n {
		r.Put(startedInfo(i, 1000), 0)
	}
	r.MarkSynced(now)
	recordActivity(r, now)
	return r
}

// No state of an engine survives its restart, even if its machine's clock was set back.
func TestRestartClearsState(t *testing.T) {
	const now = 100_000
	chat := query(7)
	home := choose(t, newStartedRegistry(4, now), chat, now).Engine.Info()
	for name, change := range map[string]func(r *engines.Registry, e *engines.Engine){
		"draining": func(r *engines.Registry, _ *engines.Engine) {
			in := home
			in.Draining = true
			r.Put(in, now)
		},
		"unreachable": func(_ *engines.Registry, e *engines.Engine) {
			e.BeginRequest(now)
			e.EndRequest(engines.Unreachable, now)
		},
		"another at its address": func(_ *engines.Registry, e *engines.Engine) {
			e.BeginRequest(now)
			e.EndRequest(engines.Replaced, now)
		},
		"failures": func(r *engines.Registry, e *engines.Engine) {
			for _, id := range r.IDs() {
				for range 10 {
					completeRequest(r.Get(id), now)
				}
			}
			for range 30 {
				e.BeginRequest(now)
				e.EndRequest(engines.Failed, now)
			}
		},
		"silence": func(_ *engines.Registry, e *engines.Engine) { e.RecordActivity(now - 5000) },
		"load": func(r *engines.Registry, e *engines.Engine) {
			for _, id := range r.IDs() {
				r.Get(id).RecordLoad(engines.Load{}, now-1)
			}
			e.RecordLoad(engines.Load{Running: 100}, now)
		},
		"requests in flight": func(_ *engines.Registry, e *engines.Engine) {
			for range 100 {
				e.BeginRequest(now)
				e.RecordActivity(now)
			}
		},
		"missing":    func(r *engines.Registry, _ *engines.Engine) { r.MarkMissing(home.ID) },
		"unreadable": func(r *engines.Registry, _ *engines.Engine) { r.MarkUnreadable(home.ID) },
	} {
		for _, startedAt := range []int64{2000, 500} {
			r := newStartedRegistry(4, now)
			change(r, r.Get(home.ID))
			if got := choose(t, r, chat, now).Engine.Info().ID; got == home.ID {
				t.Fatalf("%s: got the home of the chat before the restart, want another engine", name)
			}
			in := home
			in.StartedAt = startedAt
			if got := r.Put(in, now+10); got != engines.Restarted {
				t.Errorf("%s, started at %d: got change %q, want %q", name, startedAt, got, engines.Restarted)
			}
			c := choose(t, r, chat, now+20)
			if got := c.Engine.Info(); got != in {
				t.Errorf("%s, started at %d: got engine %+v, want the restarted home", name, startedAt, got)
			}
			if c.Load != 0 {
				t.Errorf("%s, started at %d: got load %v, want none", name, startedAt, c.Load)
			}
		}
	}
}

func TestRestartClearsPrefixes(t *testing.T) {
	const now = 100_000
	r := newStartedRegistry(4, now)
	home := choose(t, r, query(7), now).Engine.Info()
	if !choose(t, r, query(7), now).PrefixSent {
		t.Fatal("got no PrefixSent where the prompt was sent, want true")
	}
	home.StartedAt = 2000
	r.Put(home, now)
	if c := choose(t, r, query(7), now); c.PrefixSent || c.Engine.Info() != home {
		t.Errorf("got engine %+v, PrefixSent %v, want the restarted home and false", c.Engine.Info(), c.PrefixSent)
	}
	// The home was sent the prompt again, so another engine may fetch it from there.
	r.Get(home.ID).RecordActivity(now)
	for range 100 {
		r.Get(home.ID).BeginRequest(now)
	}
	if c := choose(t, r, query(7), now); sourceID(c) != home.ID {
		t.Errorf("got source %q, want the home that had the prompt since", sourceID(c))
	}
}

// A restarted engine is treated like one that joins: it fetches its chats from engines
// that may have them.
func TestRestartedEngineIsNew(t *testing.T) {
	const now = 100_000
	home := choose(t, newStartedRegistry(4, now), query(7), now).Engine.Info()
	r := newStartedRegistry(4, now)
	home.StartedAt = 2000
	r.Put(home, now)
	if c := choose(t, r, query(7), now); c.Engine.Info() != home || c.Source == nil {
		t.Errorf("got engine %+v with source %q, want the home and a source that may have the chat", c.Engine.Info(), sourceID(c))
	}
}

func TestRestartedEngineWarmsUp(t *testing.T) {
	const now, share = 100_000, 2
	r := newStartedRegistry(4, now)
	if got := maxPerSecond(sendRequests(t, r, "e00", now, now+2000, share)); got <= share {
		t.Fatalf("got at most %d requests a second at an engine after its warm-up, want more than %d", got, share)
	}
	r.Put(startedInfo(0, 2000), now+2000)
	if got := maxPerSecond(sendRequests(t, r, "e00", now+2000, now+4900, share)); got > share {
		t.Errorf("got %d requests in a second at an engine that started again, want at most %d", got, share)
	}
}

// An engine that restarts in an evacuated hall has lost its chats and is no source.
func TestEngineRestartedInEvacuationIsNoSource(t *testing.T) {
	const now = 100_000
	ask := func(restart bool) string {
		r := newStartedRegistry(4, now)
		home := choose(t, r, query(7), now).Engine.Info()
		in := home
		in.Hall = "b"
		r.Put(in, now)
		completeRequest(r.Get(in.ID), now)
		r.SetEvacuatedHalls([]string{"b"}, now)
		if restart {
			in.StartedAt = 2000
			r.Put(in, now+5000)
			completeRequest(r.Get(in.ID), now+5000)
		}
		if got := sourceID(choose(t, r, query(7), now+9000)); got != "" && got != home.ID {
			t.Fatalf("got source %q, want the home %q or none", got, home.ID)
		} else if got != "" {
			return "home"
		}
		return ""
	}
	if got := ask(false); got != "home" {
		t.Errorf("got source %q, want the evacuated home", got)
	}
	if got := ask(true); got != "" {
		t.Errorf("got source %q, want none: the home restarted", got)
	}
}

// A late entry for an incarnation that was superseded is ignored, even if its start time
// is the later one.
func TestStaleEntryIsIgnored(t *testing.T) {
	for _, later := range []int64{2000, 500} {
		r := newStartedRegistry(4, 0)
		r.Put(startedInfo(0, later), 100)
		late := startedInfo(0, 1000)
		late.Draining, late.Addr = true, "10.9.9.9:80"
		if got := r.Put(late, 200); got != engines.Stale {
			t.Errorf("got change %q, want %q", got, engines.Stale)
		}
		if got, want := r.Get("e00").Info(), startedInfo(0, later); got != want {
			t.Errorf("got %+v, want the later incarnation %+v", got, want)
		}
		r.Remove("e00")
		if got := r.Put(late, 300); got != engines.Stale || r.Get("e00") != nil {
			t.Errorf("got change %q and engine %v after the later incarnation was removed, want %q and none", got, r.Get("e00"), engines.Stale)
		}
	}
}

// An incarnation that drains does so until it ends, and one that the listing lacks for a
// while keeps its state.
func TestIncarnationKeepsStateAcrossListings(t *testing.T) {
	const now = 100_000
	r := newStartedRegistry(4, now)
	draining := startedInfo(0, 1000)
	draining.Draining = true
	r.Put(draining, now)
	r.Put(startedInfo(0, 1000), now+10)
	if !r.Get("e00").Info().Draining {
		t.Error("got an engine that no longer drains, want it draining until it ends")
	}
	home := choose(t, r, query(7), now).Engine.Info()
	r.Remove(home.ID)
	r.Put(home, now)
	if !choose(t, r, query(7), now).PrefixSent {
		t.Error("got no PrefixSent for an engine that was missing for a moment, want true")
	}
}

func TestEngineListedAsDrainingGetsNoRequests(t *testing.T) {
	r := newStartedRegistry(2, 0)
	in := startedInfo(0, 2000)
	in.Draining = true
	r.Put(in, 100)
	for key := range uint64(50) {
		if got := choose(t, r, query(key+1), 200).Engine.Info().ID; got == "e00" {
			t.Fatal("got the engine that was draining when first listed, want the other")
		}
	}
}

// Outcomes of requests to an earlier incarnation must not count for the later one.
func TestFindIgnoresEarlierIncarnation(t *testing.T) {
	r := newStartedRegistry(2, 0)
	earlier := r.Get("e00").Info().Incarnation()
	r.Put(startedInfo(0, 2000), 100)
	if got := r.Find(earlier); got != nil {
		t.Errorf("got %+v for an ended incarnation, want none", got.Info())
	}
	if got := r.Find(engines.Incarnation{ID: "e00", StartedAt: 2000}); got == nil {
		t.Error("got none for the listed incarnation")
	}
}

// An entry without a start time is for the known incarnation. If no entry has one, an
// engine is identified by its ID.
func TestEntryWithoutStartTime(t *testing.T) {
	r := newStartedRegistry(2, 0)
	if got := r.Put(info(0), 100); got != engines.Same {
		t.Errorf("got change %q for an entry without a start time, want %q", got, engines.Same)
	}
	draining := info(0)
	draining.Draining = true
	r.Put(draining, 200)
	if !r.Get("e00").Info().Draining {
		t.Error("got an engine that does not drain, want it draining by an entry without a start time")
	}
	first := newRegistry(2)
	first.Put(startedInfo(0, 1000), 100)
	first.Put(draining, 200)
	if !first.Get("e00").Info().Draining {
		t.Error("got an engine that does not drain where its first entry had no start time, want it draining")
	}
	plain := newRegistry(2)
	if got := plain.Put(info(0), 100); got != engines.Same {
		t.Errorf("got change %q, want %q", got, engines.Same)
	}
}

// Of two engines listed with the same address, the one that started later is used until
// responses show that the other is there.
func TestAddrConflictUsesOneEngine(t *testing.T) {
	const now = 100_000
	earlier, later := startedInfo(0, 1000), startedInfo(1, 2000)
	later.Addr = earlier.Addr
	for _, tc := range []struct {
		name   string
		change func(older, newer *engines.Engine)
		want   string
	}{
		{"nothing known", func(_, _ *engines.Engine) {}, "e01"},
		{"the later responded", func(_, newer *engines.Engine) { newer.RecordActivity(now + 20) }, "e01"},
		{"the earlier responded", func(older, _ *engines.Engine) { older.RecordActivity(now + 20) }, "e00"},
		{"the later is not there", func(_, newer *engines.Engine) {
			newer.BeginRequest(now + 20)
			newer.EndRequest(engines.Replaced, now+21)
		}, "e00"},
		{"the earlier is not there", func(older, _ *engines.Engine) {
			older.BeginRequest(now + 20)
			older.EndRequest(engines.Replaced, now+21)
		}, "e01"},
	} {
		for _, order := range [][]engines.Info{{earlier, later}, {later, earlier}} {
			r := engines.NewRegistry()
			for _, in := range order {
				r.Put(in, now)
			}
			tc.change(r.Get("e00"), r.Get("e01"))
			for key := range uint64(30) {
				if got := choose(t, r, query(key+1), now+3000).Engine.Info().ID; got != tc.want {
					t.Fatalf("%s: got %s, want %s", tc.name, got, tc.want)
				}
			}
			r.Remove(tc.want)
			choose(t, r, query(1), now+6000)
		}
	}
}

// Without start times, the engine that was first listed later is used, even if a late
// write restores the entry of the other.
func TestLateEntryWithoutStartTimeDisplacesNoEngine(t *testing.T) {
	r := newRegistry(2)
	follower := info(2)
	follower.Addr = info(0).Addr
	r.Remove("e00")
	r.Put(follower, 5000)
	r.Put(info(0), 6000)
	for key := range uint64(30) {
		if got := choose(t, r, query(key+1), 7000).Engine.Info().ID; got == "e00" {
			t.Fatal("got the engine whose entry was restored, want the one that has its address")
		}
	}
	r.Remove("e02")
	if !r.Get("e00").AcceptsRequests(0) {
		t.Error("got an engine that accepts no requests, want it to as the only one with its address")
	}
}

// The entries of the first complete listing have no order, so none displaces another.
func TestInitialOrderDisplacesNoEngine(t *testing.T) {
	r := engines.NewRegistry()
	for i := range 3 {
		in := info(i)
		in.Addr = info(0).Addr
		r.Put(in, clock.Millis(i))
	}
	r.MarkSynced(10)
	for _, id := range r.IDs() {
		if !r.Get(id).AcceptsRequests(0) {
			t.Errorf("got %s displaced by its order in the first listing, want each to be tried", id)
		}
	}
}

// Under random entries and responses, Choose returns an engine as long as one accepts
// requests, never one with an unreadable entry, and only in its latest incarnation.
func TestRegistryStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := engines.NewRegistry()
		now := clock.Millis(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 500).Draw(t, "pass"))
			in := startedInfo(rapid.IntRange(0, 3).Draw(t, "engine"), int64(rapid.IntRange(0, 3).Draw(t, "born")))
			in.Addr = info(rapid.IntRange(0, 2).Draw(t, "address")).Addr
			in.Draining = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			e := r.Get(in.ID)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				r.Put(in, now)
			case 2:
				r.Remove(in.ID)
			case 3:
				r.MarkUnreadable(in.ID)
			case 4:
				if e != nil {
					e.RecordActivity(now)
				}
			case 5:
				if e != nil {
					e.BeginRequest(now)
					e.EndRequest(engines.Replaced, now)
				}
			}
			takes := slices.DeleteFunc(r.IDs(), func(id string) bool { return !r.Get(id).AcceptsRequests(0) })
			c, ok := r.Choose(query(uint64(now)), now)
			if ok != (len(takes) > 0) {
				t.Fatalf("got an engine: %v, want %v of %v", ok, len(takes) > 0, takes)
			}
			if ok && (!slices.Contains(takes, c.Engine.Info().ID) || r.Find(c.Engine.Info().Incarnation()) != c.Engine) {
				t.Fatalf("got %+v, want one of %v", c.Engine.Info(), takes)
			}
			for _, id := range r.IDs() {
				for _, o := range r.AddrConflicts(id) {
					if o.ID == id || r.Get(o.ID) == nil || r.Get(o.ID).Info().Addr != r.Get(id).Info().Addr {
						t.Fatalf("got address conflict %v of %s, want a listed engine at its address", o, id)
					}
				}
			}
		}
	})
}

// A wrong report about an engine leaves no state after Forget: neither that it drains,
// which would last until it ends, nor that a later incarnation started.
func TestForgetClearsState(t *testing.T) {
	const now = 100_000
	actual := startedInfo(1, 1000)
	draining := actual
	draining.Draining = true
	for name, report := range map[string]func(r *engines.Registry){
		"draining":             func(r *engines.Registry) { r.Put(draining, now) },
		"draining and removed": func(r *engines.Registry) { r.Put(draining, now); r.Remove(actual.ID) },
		"removed":              func(r *engines.Registry) { r.Remove(actual.ID) },
		"superseded":           func(r *engines.Registry) { r.Put(startedInfo(1, 9000), now) },
	} {
		r := newStartedRegistry(3, now)
		report(r)
		r.Forget(actual.ID)
		if r.Get(actual.ID) != nil {
			t.Errorf("%s: got the engine still listed, want it forgotten", name)
		}
		if got := r.Put(actual, now); got != engines.Joined {
			t.Errorf("%s: got %q when it is listed again, want %q", name, got, engines.Joined)
		}
		if e := r.Get(actual.ID); e == nil || !e.AcceptsRequests(0) {
			t.Errorf("%s: got an engine that accepts no requests, want it used", name)
		}
	}
}

// Guards against hash collisions of engines with numbered IDs that start within
// milliseconds of each other, as when one command starts a fleet.
func TestIncarnationHashesDiffer(t *testing.T) {
	const starts = 100
	for n := range 16 {
		prefix := "engine-of-a-pool"[:n]
		byHash := map[uint32]engines.Incarnation{}
		shared := 0
		for i := range 10 {
			for ms := range int64(starts) {
				inc := engines.Incarnation{ID: prefix + string(rune('0'+i)), StartedAt: 1_796_303_191_300 + ms}
				if _, ok := byHash[inc.Hash()]; ok {
					shared++
				}
				byHash[inc.Hash()] = inc
			}
		}
		if shared > 0 {
			t.Errorf("got %d of %d incarnations with the hash of another, IDs of %d characters, want none", shared, 10*starts, n+1)
		}
	}
}

// An incarnation crashed if it was removed from the listing, or superseded, before it
// drained.
func TestCrashed(t *testing.T) {
	const now = 100_000
	draining := startedInfo(0, 1000)
	draining.Draining = true
	for name, tc := range map[string]struct {
		change func(r *engines.Registry)
		want   bool
	}{
		"still listed":              {func(*engines.Registry) {}, false},
		"superseded":                {func(r *engines.Registry) { r.Put(startedInfo(0, 2000), now) }, true},
		"removed":                   {func(r *engines.Registry) { r.Remove("e00") }, true},
		"removed and back":          {func(r *engines.Registry) { r.Remove("e00"); r.Put(startedInfo(0, 1000), now) }, false},
		"superseded after draining": {func(r *engines.Registry) { r.Put(draining, now); r.Put(startedInfo(0, 2000), now) }, false},
		"removed after draining":    {func(r *engines.Registry) { r.Put(draining, now); r.Remove("e00") }, false},
		"removed by a wrong report": {func(r *engines.Registry) { r.Remove("e00"); r.Forget("e00") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStartedRegistry(2, now)
			tc.change(r)
			if got := r.Crashed(engines.Incarnation{ID: "e00", StartedAt: 1000}); got != tc.want {
				t.Errorf("got crashed %v, want %v", got, tc.want)
			}
		})
	}
}

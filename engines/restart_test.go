package engines_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// life is an engine as listed in one of its lives.
func life(i int, born int64) engines.Info {
	in := info(i)
	in.StartedAt = born
	return in
}

// livedBook returns a settled book whose engines were born at 1000.
func livedBook(n int, now clock.Millis) *engines.Registry {
	b := engines.NewRegistry()
	for i := range n {
		b.Put(life(i, 1000), 0)
	}
	b.MarkSynced(now)
	hear(b, now)
	return b
}

// Nothing that was believed of an engine outlives it, whether its clock went on
// meanwhile or was set back.
func TestALaterLifeOfAnEngineBeginsWithNothing(t *testing.T) {
	const now = 100_000
	chat := query(7)
	home := choose(t, livedBook(4, now), chat, now).Engine.Info()
	for name, believe := range map[string]func(b *engines.Registry, e *engines.Engine){
		"leaving": func(b *engines.Registry, _ *engines.Engine) {
			in := home
			in.Draining = true
			b.Put(in, now)
		},
		"not reached": func(_ *engines.Registry, e *engines.Engine) {
			e.BeginRequest(now)
			e.EndRequest(engines.Unreachable, now)
		},
		"another at its address": func(_ *engines.Registry, e *engines.Engine) {
			e.BeginRequest(now)
			e.EndRequest(engines.Replaced, now)
		},
		"failures": func(b *engines.Registry, e *engines.Engine) {
			for _, id := range b.IDs() {
				for range 10 {
					answer(b.Get(id), now)
				}
			}
			for range 30 {
				e.BeginRequest(now)
				e.EndRequest(engines.Failed, now)
			}
		},
		"silence": func(_ *engines.Registry, e *engines.Engine) { e.RecordActivity(now - 5000) },
		"load": func(b *engines.Registry, e *engines.Engine) {
			for _, id := range b.IDs() {
				b.Get(id).RecordLoad(engines.Load{}, now-1)
			}
			e.RecordLoad(engines.Load{Running: 100}, now)
		},
		"requests under way": func(_ *engines.Registry, e *engines.Engine) {
			for range 100 {
				e.BeginRequest(now)
				e.RecordActivity(now)
			}
		},
		"missing":    func(b *engines.Registry, _ *engines.Engine) { b.MarkMissing(home.ID) },
		"unreadable": func(b *engines.Registry, _ *engines.Engine) { b.MarkInvalid(home.ID) },
	} {
		for _, born := range []int64{2000, 500} {
			b := livedBook(4, now)
			believe(b, b.Get(home.ID))
			if got := choose(t, b, chat, now).Engine.Info().ID; got == home.ID {
				t.Fatalf("%s: got the home of the chat, want another engine", name)
			}
			in := home
			in.StartedAt = born
			if got := b.Put(in, now+10); got != engines.Restarted {
				t.Errorf("%s, born at %d: got change %q, want %q", name, born, got, engines.Restarted)
			}
			c := choose(t, b, chat, now+20)
			if got := c.Engine.Info(); got != in {
				t.Errorf("%s, born at %d: got engine %+v, want the home in its later life", name, born, got)
			}
			if c.Load != 0 {
				t.Errorf("%s, born at %d: got load %v, want none", name, born, c.Load)
			}
		}
	}
}

func TestALaterLifeRemembersNoPrompt(t *testing.T) {
	const now = 100_000
	b := livedBook(4, now)
	home := choose(t, b, query(7), now).Engine.Info()
	if !choose(t, b, query(7), now).PrefixSent {
		t.Fatal("got a prompt not kept where it was sent, want it kept")
	}
	home.StartedAt = 2000
	b.Put(home, now)
	if c := choose(t, b, query(7), now); c.PrefixSent || c.Engine.Info() != home {
		t.Errorf("got engine %+v, kept %v, want the home in its later life, which keeps nothing", c.Engine.Info(), c.PrefixSent)
	}
	// The prompt was there once more; an engine that takes it over may ask for it.
	b.Get(home.ID).RecordActivity(now)
	for range 100 {
		b.Get(home.ID).BeginRequest(now)
	}
	if c := choose(t, b, query(7), now); sourceID(c) != home.ID {
		t.Errorf("got source %q, want the home that had the prompt since", sourceID(c))
	}
}

// An engine that starts again is as young as one that joins: it asks those that had
// its chats meanwhile.
func TestALaterLifeIsYoung(t *testing.T) {
	const now = 100_000
	home := choose(t, livedBook(4, now), query(7), now).Engine.Info()
	b := livedBook(4, now)
	home.StartedAt = 2000
	b.Put(home, now)
	if c := choose(t, b, query(7), now); c.Engine.Info() != home || c.Source == nil {
		t.Errorf("got engine %+v with source %q, want the home and one that may keep the chat", c.Engine.Info(), sourceID(c))
	}
}

func TestALaterLifeIsColdAgain(t *testing.T) {
	const now, share = 100_000, 2
	b := livedBook(4, now)
	if got := mostIn(sentTo(t, b, "e00", now, now+2000, share)); got <= share {
		t.Fatalf("got at most %d requests a second at a warm engine, want more than %d", got, share)
	}
	b.Put(life(0, 2000), now+2000)
	if got := mostIn(sentTo(t, b, "e00", now+2000, now+4900, share)); got > share {
		t.Errorf("got %d requests in a second at an engine that started again, want at most %d", got, share)
	}
}

// Chats that an engine of an evacuated hall had before it started again are lost.
func TestALaterLifeUnderEvacuationIsNotAskedForChats(t *testing.T) {
	const now = 100_000
	ask := func(restart bool) string {
		b := livedBook(4, now)
		home := choose(t, b, query(7), now).Engine.Info()
		in := home
		in.Hall = "b"
		b.Put(in, now)
		answer(b.Get(in.ID), now)
		b.SetEvacuatedHalls([]string{"b"}, now)
		if restart {
			in.StartedAt = 2000
			b.Put(in, now+5000)
			answer(b.Get(in.ID), now+5000)
		}
		if got := sourceID(choose(t, b, query(7), now+9000)); got != "" && got != home.ID {
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
		t.Errorf("got source %q, want none: the home started again", got)
	}
}

// Word of a life that another has followed comes late, also when its clock was ahead.
func TestLateWordOfAnEarlierLifeChangesNothing(t *testing.T) {
	for _, later := range []int64{2000, 500} {
		b := livedBook(4, 0)
		b.Put(life(0, later), 100)
		late := life(0, 1000)
		late.Draining, late.Addr = true, "10.9.9.9:80"
		if got := b.Put(late, 200); got != engines.Stale {
			t.Errorf("got change %q, want %q", got, engines.Stale)
		}
		if got, want := b.Get("e00").Info(), life(0, later); got != want {
			t.Errorf("got %+v, want the later life %+v", got, want)
		}
		b.Remove("e00")
		if got := b.Put(late, 300); got != engines.Stale || b.Get("e00") != nil {
			t.Errorf("got change %q and engine %v after the later life is gone, want %q and none", got, b.Get("e00"), engines.Stale)
		}
	}
}

// Within a life nothing brings a leaving engine back, and an engine that is lost by
// the list and comes back keeps what it had.
func TestOneLifeGoesOnThroughTheList(t *testing.T) {
	const now = 100_000
	b := livedBook(4, now)
	leaving := life(0, 1000)
	leaving.Draining = true
	b.Put(leaving, now)
	b.Put(life(0, 1000), now+10)
	if !b.Get("e00").Info().Draining {
		t.Error("got an engine that no longer leaves, want it leaving for the rest of its life")
	}
	home := choose(t, b, query(7), now).Engine.Info()
	b.Remove(home.ID)
	b.Put(home, now)
	if !choose(t, b, query(7), now).PrefixSent {
		t.Error("got a prompt not kept by an engine that was off the list for a moment, want it kept")
	}
}

func TestAnEngineThatLeavesFromItsStartTakesNothing(t *testing.T) {
	b := livedBook(2, 0)
	in := life(0, 2000)
	in.Draining = true
	b.Put(in, 100)
	for key := range uint64(50) {
		if got := choose(t, b, query(key+1), 200).Engine.Info().ID; got == "e00" {
			t.Fatal("got the engine that says from its start that it leaves, want the other")
		}
	}
}

// What comes of requests to an earlier life says nothing of the later one.
func TestAnEarlierLifeIsNotFound(t *testing.T) {
	b := livedBook(2, 0)
	earlier := b.Get("e00").Info().Incarnation()
	b.Put(life(0, 2000), 100)
	if got := b.Find(earlier); got != nil {
		t.Errorf("got %+v for a life that ended, want none", got.Info())
	}
	if got := b.Find(engines.Incarnation{ID: "e00", StartedAt: 2000}); got == nil {
		t.Error("got none for the life that goes on")
	}
}

// Entries that do not tell the start are of the life that is known; where none ever
// tells it, an engine is its id.
func TestEntriesWithoutAStart(t *testing.T) {
	b := livedBook(2, 0)
	if got := b.Put(info(0), 100); got != engines.Same {
		t.Errorf("got change %q for an entry without a start, want %q", got, engines.Same)
	}
	leaving := info(0)
	leaving.Draining = true
	b.Put(leaving, 200)
	if !b.Get("e00").Info().Draining {
		t.Error("got an engine that does not leave, want its word of it taken without a start")
	}
	first := newBook(2)
	first.Put(life(0, 1000), 100)
	first.Put(leaving, 200)
	if !first.Get("e00").Info().Draining {
		t.Error("got an engine that does not leave where its first entry told no start, want it leaving")
	}
	plain := newBook(2)
	if got := plain.Put(info(0), 100); got != engines.Same {
		t.Errorf("got change %q, want %q", got, engines.Same)
	}
}

// Of two engines that are listed with one address the one that started later has it,
// until answers show another.
func TestOneOfTwoEnginesAtAnAddressIsUsed(t *testing.T) {
	const now = 100_000
	earlier, later := life(0, 1000), life(1, 2000)
	later.Addr = earlier.Addr
	for _, tc := range []struct {
		name   string
		change func(older, newer *engines.Engine)
		want   string
	}{
		{"nothing known", func(_, _ *engines.Engine) {}, "e01"},
		{"the later answered", func(_, newer *engines.Engine) { newer.RecordActivity(now + 20) }, "e01"},
		{"the earlier answered", func(older, _ *engines.Engine) { older.RecordActivity(now + 20) }, "e00"},
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
			b := engines.NewRegistry()
			for _, in := range order {
				b.Put(in, now)
			}
			tc.change(b.Get("e00"), b.Get("e01"))
			for key := range uint64(30) {
				if got := choose(t, b, query(key+1), now+3000).Engine.Info().ID; got != tc.want {
					t.Fatalf("%s: got %s, want %s", tc.name, got, tc.want)
				}
			}
			b.Remove(tc.want)
			choose(t, b, query(1), now+6000)
		}
	}
}

// Where the list does not tell the starts, the engine that was first listed later is
// there, also when a late write brings the entry of the other back.
func TestALateEntryWithoutAStartOustsNobody(t *testing.T) {
	b := newBook(2)
	follower := info(2)
	follower.Addr = info(0).Addr
	b.Remove("e00")
	b.Put(follower, 5000)
	b.Put(info(0), 6000)
	for key := range uint64(30) {
		if got := choose(t, b, query(key+1), 7000).Engine.Info().ID; got == "e00" {
			t.Fatal("got the engine whose entry came back, want the one that has its address")
		}
	}
	b.Remove("e02")
	if !b.Get("e00").AcceptsRequests() {
		t.Error("got an engine that takes nothing, want it to when it alone is listed with its address")
	}
}

// Entries that were there when the list was first read are in no order.
func TestTheOrderOfTheFirstReadingOustsNobody(t *testing.T) {
	b := engines.NewRegistry()
	for i := range 3 {
		in := info(i)
		in.Addr = info(0).Addr
		b.Put(in, clock.Millis(i))
	}
	b.MarkSynced(10)
	for _, id := range b.IDs() {
		if !b.Get(id).AcceptsRequests() {
			t.Errorf("got %s ousted by the order of a reading, want each to be tried", id)
		}
	}
}

// Whatever the list and answers say, an engine is offered as long as one may be
// there, never one whose entry is unreadable, and in no life but the latest.
func TestListsOfAnyKindLeaveTheBookWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := engines.NewRegistry()
		now := clock.Millis(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 500).Draw(t, "pass"))
			in := life(rapid.IntRange(0, 3).Draw(t, "engine"), int64(rapid.IntRange(0, 3).Draw(t, "born")))
			in.Addr = info(rapid.IntRange(0, 2).Draw(t, "address")).Addr
			in.Draining = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			e := b.Get(in.ID)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				b.Put(in, now)
			case 2:
				b.Remove(in.ID)
			case 3:
				b.MarkInvalid(in.ID)
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
			takes := slices.DeleteFunc(b.IDs(), func(id string) bool { return !b.Get(id).AcceptsRequests() })
			c, ok := b.Choose(query(uint64(now)), now)
			if ok != (len(takes) > 0) {
				t.Fatalf("got an engine: %v, want %v of %v", ok, len(takes) > 0, takes)
			}
			if ok && (!slices.Contains(takes, c.Engine.Info().ID) || b.Find(c.Engine.Info().Incarnation()) != c.Engine) {
				t.Fatalf("got %+v, want one of %v", c.Engine.Info(), takes)
			}
			for _, id := range b.IDs() {
				for _, o := range b.AddrConflicts(id) {
					if o.ID == id || b.Get(o.ID) == nil || b.Get(o.ID).Info().Addr != b.Get(id).Info().Addr {
						t.Fatalf("got rival %v of %s, want a listed engine at its address", o, id)
					}
				}
			}
		}
	})
}

// A lie about an engine leaves nothing behind once it is known to be one: not that it leaves,
// which would hold for the rest of its life, nor that a later life began.
func TestAForgottenEngineBeginsWithNothing(t *testing.T) {
	const now = 100_000
	truth := life(1, 1000)
	leaving := truth
	leaving.Draining = true
	for name, lie := range map[string]func(b *engines.Registry){
		"leaving":          func(b *engines.Registry) { b.Put(leaving, now) },
		"leaving and gone": func(b *engines.Registry) { b.Put(leaving, now); b.Remove(truth.ID) },
		"gone":             func(b *engines.Registry) { b.Remove(truth.ID) },
		"a later life":     func(b *engines.Registry) { b.Put(life(1, 9000), now) },
	} {
		b := livedBook(3, now)
		lie(b)
		b.Forget(truth.ID)
		if b.Get(truth.ID) != nil {
			t.Errorf("%s: got the engine still listed, want it forgotten", name)
		}
		if got := b.Put(truth, now); got != engines.Joined {
			t.Errorf("%s: got %q when it is listed again, want %q", name, got, engines.Joined)
		}
		if e := b.Get(truth.ID); e == nil || !e.AcceptsRequests() {
			t.Errorf("%s: got the engine not taking anything new, want it used", name)
		}
	}
}

// Numbered engines start within milliseconds of each other where a fleet is started by
// one command.
func TestMarksTellNumberedEnginesApart(t *testing.T) {
	const starts = 100
	for n := range 16 {
		prefix := "engine-of-a-pool"[:n]
		lives := map[uint32]engines.Incarnation{}
		shared := 0
		for i := range 10 {
			for ms := range int64(starts) {
				life := engines.Incarnation{ID: prefix + string(rune('0'+i)), StartedAt: 1_796_303_191_300 + ms}
				if _, ok := lives[life.Hash()]; ok {
					shared++
				}
				lives[life.Hash()] = life
			}
		}
		if shared > 0 {
			t.Errorf("got %d of %d lives whose mark another has, ids of %d characters, want none", shared, 10*starts, n+1)
		}
	}
}

// A life ended unplanned if the list lost it, or told of a later one, before it said that
// it leaves.
func TestLivesThatEndedUnplannedAreKnown(t *testing.T) {
	const now = 100_000
	leaving := life(0, 1000)
	leaving.Draining = true
	for name, tc := range map[string]struct {
		change func(b *engines.Registry)
		want   bool
	}{
		"it lives":                         {func(*engines.Registry) {}, false},
		"a later life":                     {func(b *engines.Registry) { b.Put(life(0, 2000), now) }, true},
		"gone":                             {func(b *engines.Registry) { b.Remove("e00") }, true},
		"gone and back":                    {func(b *engines.Registry) { b.Remove("e00"); b.Put(life(0, 1000), now) }, false},
		"a later life after it left":       {func(b *engines.Registry) { b.Put(leaving, now); b.Put(life(0, 2000), now) }, false},
		"gone after it left":               {func(b *engines.Registry) { b.Put(leaving, now); b.Remove("e00") }, false},
		"gone by what others told falsely": {func(b *engines.Registry) { b.Remove("e00"); b.Forget("e00") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := livedBook(2, now)
			tc.change(b)
			if got := b.Crashed(engines.Incarnation{ID: "e00", StartedAt: 1000}); got != tc.want {
				t.Errorf("got ended unplanned %v, want %v", got, tc.want)
			}
		})
	}
}

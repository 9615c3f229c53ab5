package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// settled returns a book of n engines that have been there for long and gave a
// sign just now.
func settled(n int, now clock.Millis) *engines.Registry {
	b := newBook(n)
	b.MarkSynced(now)
	hear(b, now)
	return b
}

func hear(b *engines.Registry, now clock.Millis) {
	for _, id := range b.IDs() {
		b.Get(id).RecordActivity(now)
	}
}

// short is a query whose prompt has more than one home.
func short(keys ...uint64) engines.Query {
	q := query(keys...)
	q.Tokens = 2000
	return q
}

func sourceID(c engines.Choice) string {
	if c.Source == nil {
		return ""
	}
	return c.Source.Info().ID
}

// homeOf returns the home of a chat among five engines, and as it is listed when it leaves.
func homeOf(t *testing.T, chat uint64, now clock.Millis) (home, leaving engines.Info) {
	t.Helper()
	home = choose(t, settled(5, now), query(chat), now).Engine.Info()
	leaving = home
	leaving.Draining = true
	return home, leaving
}

// What other entries sent is not in this entry's memory: a fresh book stands
// for an entry that sees a chat for the first time.
func TestTheKeeperOfAChatThatOthersSentIsGuessed(t *testing.T) {
	const now = 100_000
	const chat = 42
	home, leaving := homeOf(t, chat, now)
	manyJoin := func(b *engines.Registry) {
		for i := 5; i < 100; i++ {
			b.Put(info(i), now)
		}
		hear(b, now)
	}
	for _, tc := range []struct {
		name   string
		change func(b *engines.Registry)
		query  engines.Query
		want   string
	}{
		{"nothing changed", func(*engines.Registry) {}, query(chat), ""},
		{"the home is leaving", func(b *engines.Registry) { b.Put(leaving, now) }, query(chat), home.ID},
		{"the list lost the home", func(b *engines.Registry) { b.Remove(home.ID) }, query(chat), ""},
		{"the home cannot be reached", func(b *engines.Registry) {
			b.Get(home.ID).EndRequest(engines.Unreachable, now)
		}, query(chat), ""},
		{"many engines joined", manyJoin, query(chat), home.ID},
	} {
		b := settled(5, now)
		tc.change(b)
		c := choose(t, b, tc.query, now)
		if got := sourceID(c); got != tc.want {
			t.Errorf("%s: got source %q for engine %s, want %q", tc.name, got, c.Engine.Info().ID, tc.want)
		}
	}
}

// Among hundreds of engines an entry has word of one every few seconds only. What it keeps is
// asked for all the same, but not of one that gave no sign for long.
func TestAKeeperThatIsHeardSeldomIsAsked(t *testing.T) {
	const now = 100_000
	const chat = 42
	home, leaving := homeOf(t, chat, now)
	for _, tc := range []struct {
		since clock.Millis
		want  string
	}{{0, home.ID}, {2500, home.ID}, {5500, home.ID}, {6500, ""}} {
		b := newBook(5)
		b.MarkSynced(now)
		for _, id := range b.IDs() {
			b.Get(id).RecordLoad(engines.Load{Running: 1}, now)
		}
		b.Put(leaving, now)
		if got := sourceID(choose(t, b, query(chat), now+tc.since)); got != tc.want {
			t.Errorf("%d ms after others last told of it: got source %q, want %q", tc.since, got, tc.want)
		}
	}
}

func TestAnotherHomeOfAShortPromptIsItsLikelyKeeper(t *testing.T) {
	const now = 100_000
	seen := map[string]bool{}
	for chat := uint64(1); chat <= 20; chat++ {
		b := settled(5, now)
		first := choose(t, b, short(chat), now).Engine
		for range 3 {
			first.BeginRequest(now)
		}
		second := settled(5, now)
		for range 3 {
			second.Get(first.Info().ID).BeginRequest(now)
		}
		c := choose(t, second, short(chat), now)
		if c.Engine.Info().ID == first.Info().ID {
			t.Fatalf("got the loaded home of chat %d, want its other one", chat)
		}
		if got, want := sourceID(c), first.Info().ID; got != want {
			t.Errorf("got source %q for chat %d, want the other home %q", got, chat, want)
		}
		seen[first.Info().ID] = true
	}
	if len(seen) < 3 {
		t.Errorf("got homes %v for 20 chats, want them spread", seen)
	}
}

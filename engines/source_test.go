package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// newSyncedRegistry returns a registry of n engines that have been listed for long and
// were active at now.
func newSyncedRegistry(n int, now clock.Millis) *engines.Registry {
	r := newRegistry(n)
	r.MarkSynced(now)
	recordActivity(r, now)
	return r
}

func recordActivity(r *engines.Registry, now clock.Millis) {
	for _, id := range r.IDs() {
		r.Get(id).RecordActivity(now)
	}
}

// shortQuery returns a query whose prompt has more than one home.
func shortQuery(keys ...uint64) engines.Query {
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

// chatHome returns the home of a chat among five engines, and its entry when it drains.
func chatHome(t *testing.T, chat uint64, now clock.Millis) (home, draining engines.Info) {
	t.Helper()
	home = choose(t, newSyncedRegistry(5, now), query(chat), now).Engine.Info()
	draining = home
	draining.Draining = true
	return home, draining
}

// An entry that gets a chat for the first time has no record of where others sent it, as
// in a new registry. It finds the source by the ranking.
func TestSourceOfChatSentByOtherEntries(t *testing.T) {
	const now = 100_000
	const chat = 42
	home, draining := chatHome(t, chat, now)
	manyJoin := func(r *engines.Registry) {
		for i := 5; i < 100; i++ {
			r.Put(info(i), now)
		}
		recordActivity(r, now)
	}
	for _, tc := range []struct {
		name   string
		change func(r *engines.Registry)
		query  engines.Query
		want   string
	}{
		{"nothing changed", func(*engines.Registry) {}, query(chat), ""},
		{"the home is draining", func(r *engines.Registry) { r.Put(draining, now) }, query(chat), home.ID},
		{"the home was removed", func(r *engines.Registry) { r.Remove(home.ID) }, query(chat), ""},
		{"the home cannot be reached", func(r *engines.Registry) {
			r.Get(home.ID).EndRequest(engines.Unreachable, now)
		}, query(chat), ""},
		{"many engines joined", manyJoin, query(chat), home.ID},
	} {
		r := newSyncedRegistry(5, now)
		tc.change(r)
		c := choose(t, r, tc.query, now)
		if got := sourceID(c); got != tc.want {
			t.Errorf("%s: got source %q for engine %s, want %q", tc.name, got, c.Engine.Info().ID, tc.want)
		}
	}
}

// Among hundreds of engines an entry receives a report of each only every few seconds. An
// engine is still a source then, but not after a long silence.
func TestSourceNeedsRecentReport(t *testing.T) {
	const now = 100_000
	const chat = 42
	home, draining := chatHome(t, chat, now)
	for _, tc := range []struct {
		since clock.Millis
		want  string
	}{{0, home.ID}, {2500, home.ID}, {5500, home.ID}, {6500, ""}} {
		r := newRegistry(5)
		r.MarkSynced(now)
		for _, id := range r.IDs() {
			r.Get(id).RecordLoad(engines.Load{Running: 1}, now)
		}
		r.Put(draining, now)
		if got := sourceID(choose(t, r, query(chat), now+tc.since)); got != tc.want {
			t.Errorf("%d ms after the last report: got source %q, want %q", tc.since, got, tc.want)
		}
	}
}

func TestOtherHomeOfShortPromptIsSource(t *testing.T) {
	const now = 100_000
	seen := map[string]bool{}
	for chat := uint64(1); chat <= 20; chat++ {
		r := newSyncedRegistry(5, now)
		first := choose(t, r, shortQuery(chat), now).Engine
		for range 3 {
			first.BeginRequest(now)
		}
		second := newSyncedRegistry(5, now)
		for range 3 {
			second.Get(first.Info().ID).BeginRequest(now)
		}
		c := choose(t, second, shortQuery(chat), now)
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

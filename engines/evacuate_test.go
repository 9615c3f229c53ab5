package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// newTwoHallRegistry returns a registry of six engines, every other one in hall b. All
// have been listed for long and responded at now.
func newTwoHallRegistry(now clock.Millis) *engines.Registry {
	r := engines.NewRegistry()
	for i := range 6 {
		in := info(i)
		if i%2 == 1 {
			in.Hall = "b"
		}
		r.Put(in, 0)
	}
	r.MarkSynced(now)
	for _, id := range r.IDs() {
		completeRequest(r.Get(id), now)
	}
	return r
}

// completeRequest records a request that succeeds at once.
func completeRequest(e *engines.Engine, now clock.Millis) {
	e.BeginRequest(now)
	e.RecordActivity(now)
	e.EndRequest(engines.Succeeded, now)
}

func TestChooseSkipsEvacuatedHall(t *testing.T) {
	const now = 100_000
	r := newTwoHallRegistry(now)
	for _, tc := range []struct {
		halls []string
		a, b  bool
	}{
		{[]string{"b"}, true, false},
		{[]string{"a", "b"}, false, false},
		{[]string{"a"}, false, true},
		{nil, true, true},
	} {
		r.SetEvacuatedHalls(tc.halls, now)
		got := map[string]bool{}
		for key := uint64(1); key <= 50; key++ {
			if c, ok := r.Choose(query(key), now); ok {
				got[c.Engine.Info().Hall] = true
			}
		}
		if got["a"] != tc.a || got["b"] != tc.b {
			t.Errorf("got halls %v with %v evacuated, want a %v, b %v", got, tc.halls, tc.a, tc.b)
		}
	}
}

// An evacuated engine shows no activity, because it gets no requests; only the listing
// says that it is there. Its prefixes are fetched as long as chats in progress return,
// even by an entry that never sent the chat.
func TestEvacuatedEngineIsFetchSource(t *testing.T) {
	const now, chat = 100_000, 42
	home := choose(t, newTwoHallRegistry(now), query(chat), now).Engine.Info()
	for _, tc := range []struct {
		name  string
		later clock.Millis
		want  string
	}{
		{"at once", 0, home.ID},
		{"long after its last activity", 10_000, home.ID},
		{"when chats have moved", 20_000, ""},
	} {
		for _, sent := range []bool{true, false} {
			r := newTwoHallRegistry(now)
			if sent {
				choose(t, r, query(chat), now)
			}
			r.SetEvacuatedHalls([]string{home.Hall}, now)
			// The other engines keep responding.
			for _, id := range r.IDs() {
				if e := r.Get(id); e.Info().Hall != home.Hall {
					completeRequest(e, now+tc.later)
				}
			}
			c := choose(t, r, query(chat), now+tc.later)
			if got := sourceID(c); got != tc.want || c.Engine.Info().Hall == home.Hall {
				t.Errorf("%s, sent before %v: got source %q for %+v, want %q and the other hall", tc.name, sent, got, c.Engine.Info(), tc.want)
			}
		}
	}
}

// Engines of a reopened hall lack the turns that chats had during the evacuation and may
// have lost older ones. They fetch chats from the engines that served them meanwhile.
func TestReopenedHallFetchesNewerPrefixes(t *testing.T) {
	const now, chat = 100_000, 42
	r := newTwoHallRegistry(now)
	home := choose(t, r, query(chat), now).Engine.Info()
	r.SetEvacuatedHalls([]string{home.Hall}, now)
	meanwhile := choose(t, r, query(chat), now).Engine.Info()
	r.SetEvacuatedHalls(nil, now)
	c := choose(t, r, query(chat), now)
	if got := sourceID(c); c.Engine.Info() != home || got != meanwhile.ID {
		t.Errorf("got source %q for %s, want %q for the home %s", got, c.Engine.Info().ID, meanwhile.ID, home.ID)
	}
	if got := sourceID(choose(t, r, query(chat), now)); got != "" {
		t.Errorf("got source %q for a chat that has already returned, want none", got)
	}
	// An entry that never sent the chat relies on the ranking.
	other := newTwoHallRegistry(now)
	other.SetEvacuatedHalls([]string{home.Hall}, now)
	other.SetEvacuatedHalls(nil, now)
	if got := sourceID(choose(t, other, query(chat), now)); got != meanwhile.ID {
		t.Errorf("got source %q by the ranking, want %q", got, meanwhile.ID)
	}
}

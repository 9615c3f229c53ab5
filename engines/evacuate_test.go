package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// twoHalls returns a book of six engines, every other one in hall b, that have
// been there for long and gave a sign just now.
func twoHalls(now clock.Millis) *engines.Registry {
	b := engines.NewRegistry()
	for i := range 6 {
		in := info(i)
		if i%2 == 1 {
			in.Hall = "b"
		}
		b.Put(in, 0)
	}
	b.MarkSynced(now)
	for _, id := range b.IDs() {
		answer(b.Get(id), now)
	}
	return b
}

// answer records a whole answer of an engine that has nothing else to do.
func answer(e *engines.Engine, now clock.Millis) {
	e.BeginRequest(now)
	e.RecordActivity(now)
	e.EndRequest(engines.Succeeded, now)
}

func TestEnginesOfAnEvacuatedHallAreNotChosen(t *testing.T) {
	const now = 100_000
	b := twoHalls(now)
	for _, tc := range []struct {
		halls []string
		a, b  bool
	}{
		{[]string{"b"}, true, false},
		{[]string{"a", "b"}, false, false},
		{[]string{"a"}, false, true},
		{nil, true, true},
	} {
		b.SetEvacuatedHalls(tc.halls, now)
		got := map[string]bool{}
		for key := uint64(1); key <= 50; key++ {
			if c, ok := b.Choose(query(key), now); ok {
				got[c.Engine.Info().Hall] = true
			}
		}
		if got["a"] != tc.a || got["b"] != tc.b {
			t.Errorf("got halls %v with %v evacuated, want a %v, b %v", got, tc.halls, tc.a, tc.b)
		}
	}
}

// An evacuated engine gives no sign, since nothing is sent to it; the list alone
// says that it is there. It is asked for a chat while chats that were going on
// return, also by an entry that never sent the chat.
func TestAnEvacuatedEngineIsAskedForWhatItKeeps(t *testing.T) {
	const now, chat = 100_000, 42
	home := choose(t, twoHalls(now), query(chat), now).Engine.Info()
	for _, tc := range []struct {
		name  string
		later clock.Millis
		want  string
	}{
		{"at once", 0, home.ID},
		{"long after its last sign", 10_000, home.ID},
		{"when chats have moved", 20_000, ""},
	} {
		for _, sent := range []bool{true, false} {
			b := twoHalls(now)
			if sent {
				choose(t, b, query(chat), now)
			}
			b.SetEvacuatedHalls([]string{home.Hall}, now)
			// The others are heard all the time.
			for _, id := range b.IDs() {
				if e := b.Get(id); e.Info().Hall != home.Hall {
					answer(e, now+tc.later)
				}
			}
			c := choose(t, b, query(chat), now+tc.later)
			if got := sourceID(c); got != tc.want || c.Engine.Info().Hall == home.Hall {
				t.Errorf("%s, sent before %v: got source %q for %+v, want %q and the other hall", tc.name, sent, got, c.Engine.Info(), tc.want)
			}
		}
	}
}

// A hall that is taken back lacks what was said meanwhile, and may have lost the
// rest: its engines take chats from those that had them.
func TestAnEngineThatIsTakenBackFetchesWhatOthersHadMeanwhile(t *testing.T) {
	const now, chat = 100_000, 42
	b := twoHalls(now)
	home := choose(t, b, query(chat), now).Engine.Info()
	b.SetEvacuatedHalls([]string{home.Hall}, now)
	meanwhile := choose(t, b, query(chat), now).Engine.Info()
	b.SetEvacuatedHalls(nil, now)
	c := choose(t, b, query(chat), now)
	if got := sourceID(c); c.Engine.Info() != home || got != meanwhile.ID {
		t.Errorf("got source %q for %s, want %q for the home %s", got, c.Engine.Info().ID, meanwhile.ID, home.ID)
	}
	if got := sourceID(choose(t, b, query(chat), now)); got != "" {
		t.Errorf("got source %q for a chat that came back already, want none", got)
	}
	// Another entry that never sent the chat guesses.
	other := twoHalls(now)
	other.SetEvacuatedHalls([]string{home.Hall}, now)
	other.SetEvacuatedHalls(nil, now)
	if got := sourceID(choose(t, other, query(chat), now)); got != meanwhile.ID {
		t.Errorf("got source %q by the ranking, want %q", got, meanwhile.ID)
	}
}

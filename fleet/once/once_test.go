package once_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/link/wire"
)

func TestTwoQuorumsShareAWitness(t *testing.T) {
	for n := 1; n <= 12; n++ {
		need, changes := once.Quorum(n), once.ToleratedChanges(n)
		if 2*need <= n+changes {
			t.Errorf("n %d: got need %d tolerating %d, want sets that meet", n, need, changes)
		}
	}
	if got, want := once.Quorum(once.Witnesses), 5; got != want {
		t.Errorf("need: got %d, want %d", got, want)
	}
}

func TestKeyTimeReadsTheTimeOfAUUIDVersion7(t *testing.T) {
	for key, want := range map[string]clock.Millis{
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398f": 1645557742000, // RFC 9562, appendix A.6
		"017f22e2-79b0-4cc3-98c4-dc0c0c07398f": 0,
		"fee-17":                               0,
		"":                                     0,
	} {
		if got := once.KeyTime(key); got != want {
			t.Errorf("%q: got %d, want %d", key, got, want)
		}
	}
}

func TestAPromiseExpiresAfterTheWindow(t *testing.T) {
	w := once.NewWitness(0, 1_000_000, 100)
	c := wire.Claim{Key: 1, Attempt: 7, Window: 60_000}
	if g := w.Claim(c, 100_000, 1_100_000); !g.Granted || g.StartedLate {
		t.Errorf("first: got %+v, want granted by an old witness", g)
	}
	other := wire.Claim{Key: 1, Attempt: 8, Window: 60_000}
	if g := w.Claim(other, 165_000, 1_165_000); g.Granted || g.Holder != 7 {
		t.Errorf("within the window: got %+v, want holder 7", g)
	}
	w.Claim(wire.Claim{Key: 2, Attempt: 9, Window: 60_000}, 300_000, 1_300_000)
	if got, want := w.Len(), 1; got != want {
		t.Errorf("got %d keys, want %d", got, want)
	}
	w.Release(2, 8)
	if got, want := w.Len(), 1; got != want {
		t.Errorf("release by another: got %d keys, want %d", got, want)
	}
	w.Release(2, 9)
	if got, want := w.Len(), 0; got != want {
		t.Errorf("release: got %d keys, want %d", got, want)
	}
}

func TestAWitnessReportsALateStart(t *testing.T) {
	w := once.NewWitness(0, 1_000_000, 100)
	if g := w.Claim(wire.Claim{Key: 1, Attempt: 1, Window: 60_000}, 30_000, 1_030_000); !g.StartedLate {
		t.Errorf("untimed key: got %+v, want young", g)
	}
	if g := w.Claim(wire.Claim{Key: 2, Attempt: 1, Window: 60_000, CreatedAt: 1_020_000}, 30_000, 1_030_000); g.StartedLate {
		t.Errorf("key born after the start: got %+v, want not young", g)
	}
	if g := w.Claim(wire.Claim{Key: 3, Attempt: 1, Window: 60_000, CreatedAt: 900_000}, 30_000, 1_030_000); g.Granted {
		t.Errorf("key older than the window: got %+v, want no promise", g)
	}
}

func TestAFullWitnessPromisesNothing(t *testing.T) {
	w := once.NewWitness(0, 1_000_000, 1)
	w.Claim(wire.Claim{Key: 1, Attempt: 1, Window: 60_000}, 100_000, 1_100_000)
	if g := w.Claim(wire.Claim{Key: 2, Attempt: 1, Window: 60_000}, 100_000, 1_100_000); g.Granted || g.Holder != 0 {
		t.Errorf("got %+v, want no promise and no holder", g)
	}
}

// fleet is the witnesses of the property test. Instances are replaced, links
// are cut, entries see old lists; messages are lost, come late and twice.
type fleet struct {
	now       clock.Millis
	witnesses map[string]*once.Witness
	// lists has the list after each change; an entry may use any of the last
	// few, as far back as the protocol tolerates.
	lists [][]string
	gone  map[string]clock.Millis
	born  map[string]clock.Millis
	next  int
}

const window clock.Millis = 60_000

func (f *fleet) join() string {
	id := fmt.Sprint("daemon-", f.next)
	f.next++
	f.witnesses[id] = once.NewWitness(f.now, 1_000_000+f.now, 1000)
	f.born[id] = f.now
	return id
}

func (f *fleet) list() []string { return f.lists[len(f.lists)-1] }

// replace takes one daemon out and brings a new one in.
func (f *fleet) replace(i int) {
	l := append([]string(nil), f.list()...)
	f.gone[l[i]] = f.now
	delete(f.witnesses, l[i])
	l[i] = f.join()
	f.lists = append(f.lists, l)
}

// restart loses a daemon's memory; its id stays.
func (f *fleet) restart(i int) {
	id := f.list()[i]
	f.witnesses[id] = once.NewWitness(f.now, 1_000_000+f.now, 1000)
}

// view is what an entry with the given list believes.
func (f *fleet) view(list []string) []once.Daemon {
	var out []once.Daemon
	listed := map[string]bool{}
	for _, id := range list {
		out = append(out, once.Daemon{ID: id})
		listed[id] = true
	}
	for id, at := range f.gone {
		if !listed[id] && f.now-at < window && f.seenBy(list, id) {
			out = append(out, once.Daemon{ID: id, Gone: true})
		}
	}
	return out
}

// seenBy reports whether a daemon left before the list was made.
func (f *fleet) seenBy(list []string, id string) bool {
	before := false
	for _, l := range f.lists {
		for _, x := range l {
			before = before || x == id
		}
		if &l[0] == &list[0] {
			return before
		}
	}
	return false
}

// TestARequestRunsAtMostOnce is the property test of the claim protocol: a
// key runs under at most one attempt, whatever the schedule.
func TestARequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{witnesses: map[string]*once.Witness{}, gone: map[string]clock.Millis{}, born: map[string]clock.Millis{}}
		var first []string
		for range rapid.IntRange(1, 12).Draw(t, "daemons") {
			first = append(first, f.join())
		}
		f.lists = [][]string{first}
		f.now = 2 * window
		key := rapid.Uint64Min(1).Draw(t, "key")
		timed := rapid.Bool().Draw(t, "timed")
		born := clock.Millis(0)
		if timed {
			born = 1_000_000 + f.now
		}
		ran := map[uint64]bool{}
		// late are grants asked for by attempts that have not finished.
		var late []func()
		for attempt := uint64(1); attempt <= uint64(rapid.IntRange(2, 6).Draw(t, "attempts")); attempt++ {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				i := rapid.IntRange(0, len(f.list())-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "restart") {
					f.restart(i)
				} else {
					f.replace(i)
				}
				f.now += rapid.SampledFrom([]clock.Millis{10, 1000, 5000}).Draw(t, "pass")
			}
			list := f.list()
			if old := rapid.IntRange(0, min(once.MaxChanges, len(f.lists)-1)).Draw(t, "stale"); old > 0 {
				list = f.lists[len(f.lists)-1-old]
			}
			f.attempt(t, key, attempt, born, list, ran, &late)
			f.now += rapid.SampledFrom([]clock.Millis{1, 100, 3000}).Draw(t, "between")
			if len(late) > 0 && rapid.Bool().Draw(t, "wake") {
				late[0]()
				late = late[1:]
			}
		}
		for _, l := range late {
			l()
		}
		if len(ran) > 1 {
			t.Fatalf("got runs by attempts %v, want at most one", ran)
		}
	})
}

// attempt claims the key with a list that may be old. The claim may reach
// fewer witnesses than asked, and the attempt may stand still between the
// promises and the run.
func (f *fleet) attempt(t *rapid.T, key, attempt uint64, born clock.Millis, list []string, ran map[uint64]bool, late *[]func()) {
	daemons := f.view(list)
	ws, gone := once.Choose(key, daemons)
	tally := once.NewTally(len(ws), gone)
	msg := wire.Claim{Key: key, Attempt: attempt, CreatedAt: born, Window: window}
	for _, w := range ws {
		witness := f.witnesses[w.ID]
		if witness == nil || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		g := witness.Claim(msg, f.now, 1_000_000+f.now)
		if rapid.IntRange(0, 6).Draw(t, "answer lost") != 0 {
			tally.AddGrant(g)
		}
	}
	if _, ok := tally.Outcome().(once.Promised); !ok {
		if rapid.Bool().Draw(t, "release") {
			for _, w := range ws {
				if witness := f.witnesses[w.ID]; witness != nil {
					witness.Release(key, attempt)
				}
			}
		}
		return
	}
	run := func() { ran[attempt] = true }
	if rapid.IntRange(0, 3).Draw(t, "frozen") == 0 {
		*late = append(*late, run)
		return
	}
	run()
}

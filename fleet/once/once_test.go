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
		quorum, changes := once.Quorum(n), once.ToleratedChanges(n)
		if 2*quorum <= n+changes {
			t.Errorf("n %d: got quorum %d tolerating %d changes, want quorums that share a witness", n, quorum, changes)
		}
	}
	if got, want := once.Quorum(once.Witnesses), 5; got != want {
		t.Errorf("quorum: got %d, want %d", got, want)
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
		t.Errorf("first: got %+v, want it granted and not started late", g)
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
		t.Errorf("release by another attempt: got %d keys, want %d", got, want)
	}
	w.Release(2, 9)
	if got, want := w.Len(), 0; got != want {
		t.Errorf("release: got %d keys, want %d", got, want)
	}
}

func TestAWitnessReportsALateStart(t *testing.T) {
	w := once.NewWitness(0, 1_000_000, 100)
	if g := w.Claim(wire.Claim{Key: 1, Attempt: 1, Window: 60_000}, 30_000, 1_030_000); !g.StartedLate {
		t.Errorf("key without a time: got %+v, want started late", g)
	}
	if g := w.Claim(wire.Claim{Key: 2, Attempt: 1, Window: 60_000, CreatedAt: 1_020_000}, 30_000, 1_030_000); g.StartedLate {
		t.Errorf("key created after the start: got %+v, want not started late", g)
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

// simFleet simulates the witnesses of the property test. Instances are replaced, links
// are cut and entries use old lists. Messages are lost, delayed and duplicated.
type simFleet struct {
	now       clock.Millis
	witnesses map[string]*once.Witness
	// lists holds the list after each change. An entry may use any of the last few, as
	// far back as the protocol tolerates.
	lists    [][]string
	gone     map[string]clock.Millis
	joinedAt map[string]clock.Millis
	next     int
}

const window clock.Millis = 60_000

func (f *simFleet) join() string {
	id := fmt.Sprint("daemon-", f.next)
	f.next++
	f.witnesses[id] = once.NewWitness(f.now, 1_000_000+f.now, 1000)
	f.joinedAt[id] = f.now
	return id
}

func (f *simFleet) list() []string { return f.lists[len(f.lists)-1] }

// replace removes one daemon and adds a new one.
func (f *simFleet) replace(i int) {
	l := append([]string(nil), f.list()...)
	f.gone[l[i]] = f.now
	delete(f.witnesses, l[i])
	l[i] = f.join()
	f.lists = append(f.lists, l)
}

// restart clears a daemon's memory. It keeps its ID.
func (f *simFleet) restart(i int) {
	id := f.list()[i]
	f.witnesses[id] = once.NewWitness(f.now, 1_000_000+f.now, 1000)
}

// view returns the daemons that an entry with the given list knows.
func (f *simFleet) view(list []string) []once.Daemon {
	var out []once.Daemon
	listed := map[string]bool{}
	for _, id := range list {
		out = append(out, once.Daemon{ID: id})
		listed[id] = true
	}
	for id, at := range f.gone {
		if !listed[id] && f.now-at < window && f.leftBefore(list, id) {
			out = append(out, once.Daemon{ID: id, Gone: true})
		}
	}
	return out
}

// leftBefore reports whether a daemon left before the list was made.
func (f *simFleet) leftBefore(list []string, id string) bool {
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

// TestARequestRunsAtMostOnce is the property test of the claim protocol: a key runs under
// at most one attempt, whatever the schedule.
func TestARequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simFleet{witnesses: map[string]*once.Witness{}, gone: map[string]clock.Millis{}, joinedAt: map[string]clock.Millis{}}
		var first []string
		for range rapid.IntRange(1, 12).Draw(t, "daemons") {
			first = append(first, f.join())
		}
		f.lists = [][]string{first}
		f.now = 2 * window
		key := rapid.Uint64Min(1).Draw(t, "key")
		timed := rapid.Bool().Draw(t, "timed")
		createdAt := clock.Millis(0)
		if timed {
			createdAt = 1_000_000 + f.now
		}
		ran := map[uint64]bool{}
		// delayed holds the runs of attempts that were paused between the grants and the
		// run.
		var delayed []func()
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
			f.attempt(t, key, attempt, createdAt, list, ran, &delayed)
			f.now += rapid.SampledFrom([]clock.Millis{1, 100, 3000}).Draw(t, "between")
			if len(delayed) > 0 && rapid.Bool().Draw(t, "wake") {
				delayed[0]()
				delayed = delayed[1:]
			}
		}
		for _, run := range delayed {
			run()
		}
		if len(ran) > 1 {
			t.Fatalf("got runs by attempts %v, want at most one", ran)
		}
	})
}

// attempt claims the key with a list that may be old. The claim may reach fewer witnesses
// than intended, and the attempt may be paused between the grants and the run.
func (f *simFleet) attempt(t *rapid.T, key, attempt uint64, createdAt clock.Millis, list []string, ran map[uint64]bool, delayed *[]func()) {
	daemons := f.view(list)
	ws, gone := once.Choose(key, daemons)
	tally := once.NewTally(len(ws), gone)
	msg := wire.Claim{Key: key, Attempt: attempt, CreatedAt: createdAt, Window: window}
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
		*delayed = append(*delayed, run)
		return
	}
	run()
}

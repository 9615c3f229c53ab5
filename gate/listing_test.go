package gate_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/peers/changes"
	"github.com/weldfall/weldfall/table"
)

// leavingBound is what operators give.
const leavingBound clock.Millis = 4000

// listGate returns one of many gates, which has just read a list of the given sum.
func listGate(first bool, sum uint32) (*gate.Gate, *clock.Clock) {
	clk := clock.System()
	g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000, Draining: leavingBound}})
	g.SetFleet(peers.Fleet{Entries: many, First: first})
	g.SetStoreEpoch(1, clk.Now())
	g.ConfirmEngines(sum, clk.Now())
	return g, clk
}

// listDue returns the time until the list is due while each tenth of a second is filled.
func listDue(t *testing.T, g *gate.Gate, clk *clock.Clock, meanwhile func()) clock.Millis {
	t.Helper()
	start := clk.Now()
	for !g.ListReadDue() {
		if clk.Now()-start > 120_000 {
			t.Fatal("got a list that is never due")
		}
		time.Sleep(100 * time.Millisecond)
		meanwhile()
	}
	return clk.Now() - start
}

func TestAListIsDueInTimeForTheBoundOfLeavingEngines(t *testing.T) {
	same := func(g *gate.Gate, clk *clock.Clock) {
		g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: 800}, clk.Now())
	}
	for name, tc := range map[string]struct {
		first bool
		hear  func(g *gate.Gate, clk *clock.Clock)
		// least and most bound when it is due.
		least, most clock.Millis
	}{
		"the first of many":          {true, nil, 0, 500},
		"another that hears nothing": {false, nil, 2000, leavingBound * 2 / 3},
		"others know the same":       {false, same, 30_000, 60_100},
		"others know the same of an earlier epoch": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{ListSum: 7}, clk.Now())
		}, 2000, leavingBound * 2 / 3},
		"others know the same, long ago": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: 9000}, clk.Now())
		}, 2000, leavingBound * 2 / 3},
		"others tell a time to come": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: -9000}, clk.Now())
		}, 2000, leavingBound * 2 / 3},
		"others know another": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 8}, clk.Now())
		}, 2000, leavingBound * 2 / 3},
		"some know the same, one a later one": {false, func(g *gate.Gate, clk *clock.Clock) {
			same(g, clk)
			if clk.Now() >= 10_000 {
				g.ReceiveStatus("edge-3", peers.Status{Epoch: 1, ListSum: 8}, clk.Now())
			}
		}, 9900, 10_100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := listGate(tc.first, 7)
				got := listDue(t, g, clk, func() {
					if tc.hear != nil {
						tc.hear(g, clk)
					}
				})
				if got < tc.least || got > tc.most {
					t.Errorf("got the list due after %d ms, want %d to %d", got, tc.least, tc.most)
				}
			})
		})
	}
}

// A peer that tells of other lists without end has the store asked as often as an entry
// that hears nothing does, and one list that is not to be had is asked for once.
func TestAPeerThatLiesOfTheListCostsLittle(t *testing.T) {
	const period = 60 * time.Second
	asked := func(lie func() uint32) int {
		g, clk := listGate(false, 7)
		n := 0
		for end := clk.Now() + clock.FromDuration(period); clk.Now() < end; {
			time.Sleep(100 * time.Millisecond)
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7}, clk.Now())
			if sum := lie(); sum != 0 {
				g.ReceiveStatus("edge-3", peers.Status{Epoch: 1, ListSum: sum}, clk.Now())
			}
			if g.ListReadDue() {
				n++
				g.ConfirmEngines(7, clk.Now())
			}
		}
		return n
	}
	for name, tc := range map[string]struct {
		lie  func() uint32
		most int
	}{
		"no lie":       {func() uint32 { return 0 }, 1},
		"one list":     {func() uint32 { return 8 }, 2},
		"lists no end": {rand.Uint32, int(period / leavingBound.Duration() * 2)},
		"two lists":    {func() uint32 { return 8 + rand.Uint32N(2) }, int(period / leavingBound.Duration() * 2)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := asked(tc.lie); got > tc.most {
					t.Errorf("got the store asked %d times in a minute, want at most %d", got, tc.most)
				}
			})
		})
	}
}

// An entry that is behind asks the one that told it so for what came, and only if that
// brings nothing, the store.
func TestChangesAreWantedOfWhoToldOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := listGate(false, 7)
		g.Changes().Reset(changes.Position{Epoch: 1, Revision: 10})
		time.Sleep(3 * time.Second)
		g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: 1500}, clk.Now())
		if _, ok := g.WantedChanges(7); ok {
			t.Error("got changes wanted of one that knows the same")
		}
		g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 8, ListAge: 2000}, clk.Now())
		if _, ok := g.WantedChanges(8); ok {
			t.Error("got changes wanted of one that knew another list earlier")
		}
		g.ReceiveStatus("edge-3", peers.Status{Epoch: 1, ListSum: 9, ListAge: 100}, clk.Now())
		if _, ok := g.WantedChanges(8); ok {
			t.Error("got changes wanted of another than the one that told of a later list")
		}
		place, ok := g.WantedChanges(9)
		if want := (changes.Position{Epoch: 1, Revision: 10}); !ok || place != want {
			t.Fatalf("got changes since %v wanted: %v, want since %v", place, ok, want)
		}
		if g.ListReadDue() {
			t.Error("got the store asked at once, want others' word waited for")
		}
		g.ReceiveChanges("edge-3", changes.Delta{From: place, Sum: 9}, clk.Now())
		time.Sleep(400 * time.Millisecond)
		if _, ok := g.WantedChanges(9); ok || g.ListReadDue() {
			t.Error("got the store or others asked while a word waits to be taken")
		}
		told, ok := g.Changes().TakePending()
		if !ok || told.Peer != "edge-3" {
			t.Fatalf("got the word %+v, %v, want that of edge-3", told, ok)
		}
		// It did not fit.
		if !g.ListReadDue() {
			t.Error("got the store not asked though others' word did not help")
		}
		// It did.
		g.ConfirmEnginesByPeer(9, told.ValidAt)
		if g.ListReadDue() || g.LocalStatus(0, 0).ListSum != 9 {
			t.Error("got the list of before, want the one that was told")
		}
	})
}

// What others told of engines is asked about within 20 s, however often they say so.
func TestWhatOthersToldIsProvedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := listGate(false, 7)
		g.ConfirmEnginesByPeer(8, clk.Now())
		say := func() { g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 8}, clk.Now()) }
		if got := listDue(t, g, clk, say); got < 15_000 || got > 20_200 {
			t.Errorf("got the list due after %d ms, want 20 s", got)
		}
		g.ConfirmEngines(8, clk.Now())
		if got := listDue(t, g, clk, say); got < 55_000 {
			t.Errorf("got the list due again after %d ms, want a minute", got)
		}
	})
}

// Changes are told only of a list that is shared, with its age.
func TestChangesAreToldWithTheAgeOfTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := listGate(false, 7)
		g.Changes().Reset(changes.Position{Epoch: 1, Revision: 10})
		g.Changes().Append(12, []changes.Change{{Key: "a", Revision: 12}})
		since := changes.Position{Epoch: 1, Revision: 10}
		time.Sleep(300 * time.Millisecond)
		got, ok := g.ChangesSince(since)
		if !ok || got.Age != 300 || got.Sum != 7 || got.From != since || got.To.Revision != 12 || len(got.Changes) != 1 {
			t.Errorf("got %+v, %v, want the change with the list's age", got, ok)
		}
		if _, ok := g.ChangesSince(changes.Position{Epoch: 1, Revision: 12}); ok {
			t.Error("got changes since the latest, want none")
		}
		g.SetStoreEpoch(2, clk.Now())
		if _, ok := g.ChangesSince(since); ok {
			t.Error("got changes of a store in doubt, want none")
		}
	})
}

// While the store is in doubt each entry reads for itself, and tells nothing.
func TestAListOfAStoreInDoubtIsNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := listGate(false, 7)
		if !g.ListShared() || g.LocalStatus(0, 0).ListSum != 7 {
			t.Fatalf("got a list that is not shared among many, want it to be")
		}
		time.Sleep(time.Second)
		g.SetStoreEpoch(2, clk.Now())
		g.ConfirmEngines(7, clk.Now())
		if g.ListShared() || g.LocalStatus(0, 0).ListSum != 0 {
			t.Errorf("got a list of a store in doubt shared, want not")
		}
		time.Sleep(5 * time.Second)
		if !g.ListShared() {
			t.Errorf("got a list not shared when the doubt is over, want it to be")
		}
	})
	synctest.Test(t, func(t *testing.T) {
		g, _ := listGate(false, 7)
		g.SetFleet(peers.Fleet{Entries: 5})
		if g.ListShared() || g.LocalStatus(0, 0).ListSum != 0 {
			t.Errorf("got a list shared among few, want each to ask")
		}
	})
}

// The more entries ask a store that does not answer, the less often each may; those that
// cannot serve yet, and those that are few, ask as before.
func TestWhoElseAsksTheStoreIsKnown(t *testing.T) {
	answer := func(age clock.Millis) *peers.Status { return &peers.Status{Table: 5, TableAge: age, Epoch: 1} }
	for name, tc := range map[string]struct {
		entries int
		unready bool
		// told is what a peer tells, pass what passes then.
		told     *peers.Status
		pass     time.Duration
		many     bool
		answered bool
	}{
		"few, one of which has answers":      {entries: 8, told: answer(0)},
		"some more, one of which has them":   {entries: 9, told: answer(0), many: true, answered: true},
		"some dozens, one of which has them": {entries: 27, told: answer(0), many: true, answered: true},
		"some dozens that tell nothing":      {entries: 27, many: true},
		"many that tell nothing":             {entries: many, many: true},
		"many, one of which has answers":     {entries: many, told: answer(1000), many: true, answered: true},
		"many, one of which had answers":     {entries: many, told: answer(0), pass: 3 * time.Second, many: true},
		"many that had answers long ago":     {entries: many, told: answer(9000), many: true},
		"a later version, which has answers": {entries: many, told: &peers.Status{Table: 6, Epoch: 1}, many: true, answered: true},
		"a peer that knows nothing":          {entries: many, told: &peers.Status{}, many: true},
		"a peer that tells a time to come":   {entries: many, told: answer(-9000), many: true},
		"an entry that cannot serve yet":     {entries: many, told: answer(0), unready: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := listGate(false, 7)
				time.Sleep(20 * time.Second)
				g.SetFleet(peers.Fleet{Entries: tc.entries})
				if !tc.unready {
					g.SetTable(table.New(table.Config{Version: 5}), table.Arrival{TrueAt: clk.Now(), Epoch: 1})
				}
				if tc.told != nil {
					g.ReceiveStatus("edge-2", *tc.told, clk.Now())
				}
				time.Sleep(tc.pass)
				if many, answered := g.StoreContention(); many != tc.many || answered != tc.answered {
					t.Errorf("got many %v, answered %v, want %v, %v", many, answered, tc.many, tc.answered)
				}
			})
		})
	}
}

// Where the list is due before word of another can be there, each entry asks for itself.
func TestAListIsSharedWhereWordComesInTime(t *testing.T) {
	for entries, shared := range map[int]map[clock.Millis]bool{
		many: {0: false, 1000: false, 2000: false, leavingBound: true, 10_000: true},
		27:   {0: false, 1000: false, 2000: false, 3000: true, 10_000: true},
		9:    {0: false, 1000: false, 2000: true, 10_000: true},
		8:    {0: false, 2000: false, 10_000: false},
		103:  {3000: false, leavingBound: true},
	} {
		for leaving, want := range shared {
			synctest.Test(t, func(t *testing.T) {
				g, _ := listGate(false, 7)
				g.SetFleet(peers.Fleet{Entries: entries})
				g.SetBounds(gate.Bounds{Revocation: 5000, Change: 2000, Draining: leaving})
				if got := g.ListShared(); got != want {
					t.Errorf("%d entries, bound of %d ms for leaving engines: got the list shared %v, want %v", entries, leaving, got, want)
				}
			})
		}
	}
}

// listFleet is gates that talk without a network, beside a list that changes.
type listFleet struct {
	gates   []*gate.Gate
	members []*peers.Members
	byAddr  map[string]int
	dead    map[int]bool
	// knows has the list that each gate last read, and when it was read.
	knows []uint32
	// list is the list at the store, and changed when each of its states began.
	list    uint32
	changed map[uint32]clock.Millis
	asks    int
	// late is the longest for which a gate did not know of a change.
	late clock.Millis
	clk  *clock.Clock
	rng  *rand.Rand
}

func newListFleet(n int, leaving clock.Millis) *listFleet {
	f := &listFleet{byAddr: map[string]int{}, dead: map[int]bool{}, changed: map[uint32]clock.Millis{}, knows: make([]uint32, n), list: 1, clk: clock.System(), rng: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		addr := fmt.Sprintf("10.%d.%d.%d:8605", i%5, i/250, i%250)
		f.byAddr[addr] = i
		f.members = append(f.members, peers.NewMembers(peers.Member{Addr: addr}))
		g := gate.New(gate.Config{ID: addr, Clock: f.clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000, Draining: leaving}})
		f.gates = append(f.gates, g)
	}
	for _, m := range f.members {
		for addr := range f.byAddr {
			m.Update(peers.Member{Addr: addr}, f.clk.Now())
		}
	}
	for i := range n {
		f.read(i)
	}
	return f
}

func (f *listFleet) read(i int) {
	f.asks++
	f.knows[i] = f.list
	f.gates[i].ConfirmEngines(f.list, f.clk.Now())
}

// pass lets the gates ask the store and each other for so long, while the list changes
// every so often, if ever. Each gate asks another four times in ten steps.
func (f *listFleet) pass(d, every clock.Millis) {
	for end := f.clk.Now() + d; f.clk.Now() < end; time.Sleep(100 * time.Millisecond) {
		now := f.clk.Now()
		if every > 0 && now-f.changed[f.list] >= every {
			f.list++
			f.changed[f.list] = now
		}
		for _, i := range f.rng.Perm(len(f.gates)) {
			if f.dead[i] {
				continue
			}
			if f.rng.IntN(4) == 0 {
				f.ask(i)
			}
			f.members[i].Expire(now)
			f.gates[i].SetFleet(f.members[i].Fleet(now))
			if f.gates[i].ListReadDue() {
				f.read(i)
			}
			if f.knows[i] != f.list {
				f.late = max(f.late, now-f.changed[f.knows[i]+1])
			}
		}
	}
}

func (f *listFleet) ask(i int) {
	now := f.clk.Now()
	to, ok := f.byAddr[f.members[i].NextPeer()]
	if !ok || to == i {
		return
	}
	if f.dead[to] {
		for addr, at := range f.byAddr {
			if at == to {
				f.members[i].MarkFailed(addr, now)
			}
		}
		return
	}
	for _, way := range [][2]int{{i, to}, {to, i}} {
		for _, o := range f.members[way[0]].Sample(now) {
			f.members[way[1]].Update(o, now)
		}
		f.members[way[1]].Unpack(f.members[way[0]].Pack(now), now)
	}
	f.gates[i].ReceiveStatus("edge", f.gates[to].LocalStatus(0, 0), now)
}

// Where many entries know a list that is written again without a change, a few calls a
// second serve all, however many there are; a change is known everywhere within the bound
// for leaving engines, also if those that ask for all have just died.
func TestFewAskForAListThatIsUnchanged(t *testing.T) {
	const (
		// fewASecond is some three calls for each of five data halls.
		fewASecond = 15
		period     = 20_000
	)
	for _, n := range []int{40, 103, 200} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newListFleet(n, leavingBound)
				f.pass(5000, 0)
				f.asks = 0
				f.pass(period, 0)
				got := f.asks * 1000 / period
				t.Logf("%d entries: %d calls a second without a change", n, got)
				if got > fewASecond {
					t.Errorf("got %d calls a second without a change, want at most %d", got, fewASecond)
				}
				// Changes further apart than the bound are known before the next one.
				f.pass(3*leavingBound, leavingBound+2000)
				t.Logf("%d entries: a change is known to all after %d ms", n, f.late)
				if f.late > leavingBound {
					t.Errorf("got a change known to all after %d ms, want %d at most", f.late, leavingBound)
				}
				for range 3 {
					f.killFirst()
				}
				f.late = 0
				f.pass(3*leavingBound, leavingBound+2000)
				if f.late > leavingBound {
					t.Errorf("got a change known to all after %d ms when the first died, want %d at most", f.late, leavingBound)
				}
			})
		})
	}
}

// Some dozens of entries share the list also where engines must get nothing new within
// three seconds. Each would ask for itself in half of that time.
func TestSomeDozensShareAListWithAShortBound(t *testing.T) {
	const (
		leaving clock.Millis = 3000
		period  clock.Millis = 20_000
	)
	for _, n := range []int{9, 16, 27, 60} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newListFleet(n, leaving)
				f.pass(5000, 0)
				f.asks = 0
				f.pass(period, 0)
				got, alone := float64(f.asks)*1000/float64(period), float64(n)*2000/float64(leaving)
				t.Logf("%d entries: %.1f calls a second without a change, alone %.1f", n, got, alone)
				if got > alone/2 {
					t.Errorf("got %.1f calls a second without a change, want at most half of the %.1f that each alone would make", got, alone)
				}
				for range 3 {
					f.late = 0
					f.pass(4*leaving, leaving+1000)
					if f.late > leaving {
						t.Errorf("got a change known to all after %d ms, want %d at most", f.late, leaving)
					}
					t.Logf("%d entries: a change is known to all after %d ms", n, f.late)
					f.killFirst()
				}
			})
		})
	}
}

// Where the list changes each second, what changes together costs an entry one call, and
// each change is known everywhere within the bound all the same.
func TestChangesOfAListAreReadTogether(t *testing.T) {
	const (
		period = 20_000
		// most is how many calls of the store an entry makes a second: one in half of the
		// bound.
		most = 2000 / float64(leavingBound)
	)
	for _, n := range []int{40, 103, 200} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newListFleet(n, leavingBound)
				f.pass(5000, 1000)
				f.asks = 0
				f.pass(period, 1000)
				got := float64(f.asks) * 1000 / period / float64(n)
				t.Logf("%d entries: %.2f calls a second each, a change is known to all after %d ms", n, got, f.late)
				if got > most || f.late > leavingBound {
					t.Errorf("got %.2f calls a second of each entry and a change known to all after %d ms, want at most %.2f and %d", got, f.late, most, leavingBound)
				}
			})
		})
	}
}

// killFirst ends a gate that takes itself to be the first.
func (f *listFleet) killFirst() {
	for i, m := range f.members {
		if !f.dead[i] && m.RanksFirst(f.clk.Now()) {
			f.dead[i] = true
			return
		}
	}
}

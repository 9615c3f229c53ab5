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

// drainingBound is the operators' bound for draining engines.
const drainingBound clock.Millis = 4000

// newListGate returns one of many gates, which has just read a list with the given
// checksum.
func newListGate(first bool, sum uint32) (*gate.Gate, *clock.Clock) {
	clk := clock.System()
	g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000, Draining: drainingBound}})
	g.SetFleet(peers.Fleet{Entries: manyEntries, First: first})
	g.SetStoreEpoch(1, clk.Now())
	g.ConfirmEngines(sum, clk.Now())
	return g, clk
}

// timeUntilReadDue returns the time until the list must be read, calling meanwhile every
// 100 ms.
func timeUntilReadDue(t *testing.T, g *gate.Gate, clk *clock.Clock, meanwhile func()) clock.Millis {
	t.Helper()
	start := clk.Now()
	for !g.ListReadDue() {
		if clk.Now()-start > 120_000 {
			t.Fatal("got no read due within 120 s, want one")
		}
		time.Sleep(100 * time.Millisecond)
		meanwhile()
	}
	return clk.Now() - start
}

func TestListReadIsDueWithinTheDrainingBound(t *testing.T) {
	same := func(g *gate.Gate, clk *clock.Clock) {
		g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: 800}, clk.Now())
	}
	for name, tc := range map[string]struct {
		first   bool
		receive func(g *gate.Gate, clk *clock.Clock)
		// min and max bound the time until the read is due.
		min, max clock.Millis
	}{
		"the first of many":         {true, nil, 0, 500},
		"another without reports":   {false, nil, 2000, drainingBound * 2 / 3},
		"others have the same list": {false, same, 30_000, 60_100},
		"others have the same list of an earlier epoch": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{ListSum: 7}, clk.Now())
		}, 2000, drainingBound * 2 / 3},
		"others had the same list long ago": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: 9000}, clk.Now())
		}, 2000, drainingBound * 2 / 3},
		"others report a time in the future": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: -9000}, clk.Now())
		}, 2000, drainingBound * 2 / 3},
		"others have another list": {false, func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 8}, clk.Now())
		}, 2000, drainingBound * 2 / 3},
		"some have the same list, one a later list": {false, func(g *gate.Gate, clk *clock.Clock) {
			same(g, clk)
			if clk.Now() >= 10_000 {
				g.ReceiveStatus("edge-3", peers.Status{Epoch: 1, ListSum: 8}, clk.Now())
			}
		}, 9900, 10_100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := newListGate(tc.first, 7)
				got := timeUntilReadDue(t, g, clk, func() {
					if tc.receive != nil {
						tc.receive(g, clk)
					}
				})
				if got < tc.min || got > tc.max {
					t.Errorf("got the read due after %d ms, want %d to %d", got, tc.min, tc.max)
				}
			})
		})
	}
}

// A peer that keeps reporting other lists makes an entry read the store no more often than
// an entry without reports does. One false list causes one read more, however often it is
// reported.
func TestFalseListReportsCauseFewReads(t *testing.T) {
	const period = 60 * time.Second
	countReads := func(falseSum func() uint32) int {
		g, clk := newListGate(false, 7)
		n := 0
		for end := clk.Now() + clock.FromDuration(period); clk.Now() < end; {
			time.Sleep(100 * time.Millisecond)
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7}, clk.Now())
			if sum := falseSum(); sum != 0 {
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
		falseSum func() uint32
		max      int
	}{
		"no false list":    {func() uint32 { return 0 }, 1},
		"one false list":   {func() uint32 { return 8 }, 2},
		"many false lists": {rand.Uint32, int(period / drainingBound.Duration() * 2)},
		"two false lists":  {func() uint32 { return 8 + rand.Uint32N(2) }, int(period / drainingBound.Duration() * 2)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := countReads(tc.falseSum); got > tc.max {
					t.Errorf("got %d reads of the store in a minute, want at most %d", got, tc.max)
				}
			})
		})
	}
}

// An entry that is behind requests the changes from the peer that reported the later list,
// and reads the store only if they do not help.
func TestChangesAreRequestedFromTheReportingPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newListGate(false, 7)
		g.Changes().Reset(changes.Position{Epoch: 1, Revision: 10})
		time.Sleep(3 * time.Second)
		g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 7, ListAge: 1500}, clk.Now())
		if _, ok := g.WantedChanges(7); ok {
			t.Error("got changes requested from a peer with the same list, want none")
		}
		g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 8, ListAge: 2000}, clk.Now())
		if _, ok := g.WantedChanges(8); ok {
			t.Error("got changes requested from a peer with an older list, want none")
		}
		g.ReceiveStatus("edge-3", peers.Status{Epoch: 1, ListSum: 9, ListAge: 100}, clk.Now())
		if _, ok := g.WantedChanges(8); ok {
			t.Error("got changes requested from another peer than the one that reported the later list")
		}
		pos, ok := g.WantedChanges(9)
		if want := (changes.Position{Epoch: 1, Revision: 10}); !ok || pos != want {
			t.Fatalf("got changes since %v requested: %v, want since %v", pos, ok, want)
		}
		if g.ListReadDue() {
			t.Error("got a read of the store at once, want the entry to wait for the peer's changes")
		}
		g.ReceiveChanges("edge-3", changes.Delta{From: pos, Sum: 9}, clk.Now())
		time.Sleep(400 * time.Millisecond)
		if _, ok := g.WantedChanges(9); ok || g.ListReadDue() {
			t.Error("got the store or a peer asked while a delta is pending, want neither")
		}
		delta, ok := g.Changes().TakePending()
		if !ok || delta.Peer != "edge-3" {
			t.Fatalf("got delta %+v, %v, want that of edge-3", delta, ok)
		}
		// The delta could not be applied.
		if !g.ListReadDue() {
			t.Error("got no read due though the peer's delta could not be applied, want one")
		}
		// The delta was applied.
		g.ConfirmEnginesByPeer(9, delta.ValidAt)
		if g.ListReadDue() || g.LocalStatus(0, 0).ListSum != 9 {
			t.Error("got the earlier list, want the one that the peer reported")
		}
	})
}

// A list that peers reported is verified with the store within 20 s, however often they
// repeat it.
func TestPeerReportedListIsVerifiedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newListGate(false, 7)
		g.ConfirmEnginesByPeer(8, clk.Now())
		report := func() { g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, ListSum: 8}, clk.Now()) }
		if got := timeUntilReadDue(t, g, clk, report); got < 15_000 || got > 20_200 {
			t.Errorf("got the read due after %d ms, want 20 s", got)
		}
		g.ConfirmEngines(8, clk.Now())
		if got := timeUntilReadDue(t, g, clk, report); got < 55_000 {
			t.Errorf("got the next read due after %d ms, want a minute", got)
		}
	})
}

// Changes are sent only for a list that is shared, with its age.
func TestChangesCarryTheAgeOfTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newListGate(false, 7)
		g.Changes().Reset(changes.Position{Epoch: 1, Revision: 10})
		g.Changes().Append(12, []changes.Change{{Key: "a", Revision: 12}})
		since := changes.Position{Epoch: 1, Revision: 10}
		time.Sleep(300 * time.Millisecond)
		got, ok := g.ChangesSince(since)
		if !ok || got.Age != 300 || got.Sum != 7 || got.From != since || got.To.Revision != 12 || len(got.Changes) != 1 {
			t.Errorf("got %+v, %v, want the change with the age of the list", got, ok)
		}
		if _, ok := g.ChangesSince(changes.Position{Epoch: 1, Revision: 12}); ok {
			t.Error("got changes since the latest position, want none")
		}
		g.SetStoreEpoch(2, clk.Now())
		if _, ok := g.ChangesSince(since); ok {
			t.Error("got changes of a stale store, want none")
		}
	})
}

// While the store may be stale, each entry reads the list itself and does not report it.
func TestListOfAStaleStoreIsNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newListGate(false, 7)
		if !g.ListShared() || g.LocalStatus(0, 0).ListSum != 7 {
			t.Fatalf("got a list that is not shared among many entries, want it shared")
		}
		time.Sleep(time.Second)
		g.SetStoreEpoch(2, clk.Now())
		g.ConfirmEngines(7, clk.Now())
		if g.ListShared() || g.LocalStatus(0, 0).ListSum != 0 {
			t.Errorf("got a list of a stale store shared, want it not shared")
		}
		time.Sleep(5 * time.Second)
		if !g.ListShared() {
			t.Errorf("got a list that is not shared once the store is current, want it shared")
		}
	})
	synctest.Test(t, func(t *testing.T) {
		g, _ := newListGate(false, 7)
		g.SetFleet(peers.Fleet{Entries: 5})
		if g.ListShared() || g.LocalStatus(0, 0).ListSum != 0 {
			t.Errorf("got a list shared among few entries, want each to read it")
		}
	})
}

// If the store does not respond, entries ask it less often the more of them there are.
// Entries that cannot serve yet and small fleets ask as often as usual.
func TestStoreContention(t *testing.T) {
	status := func(age clock.Millis) *peers.Status { return &peers.Status{Table: 5, TableAge: age, Epoch: 1} }
	for name, tc := range map[string]struct {
		entries int
		unready bool
		// report is what a peer reports before wait.
		report   *peers.Status
		wait     time.Duration
		many     bool
		answered bool
	}{
		"few, one with responses":                  {entries: 8, report: status(0)},
		"some more, one with responses":            {entries: 9, report: status(0), many: true, answered: true},
		"some dozens, one with responses":          {entries: 27, report: status(0), many: true, answered: true},
		"some dozens without reports":              {entries: 27, many: true},
		"many without reports":                     {entries: manyEntries, many: true},
		"many, one with responses":                 {entries: manyEntries, report: status(1000), many: true, answered: true},
		"many, one with responses before":          {entries: manyEntries, report: status(0), wait: 3 * time.Second, many: true},
		"many with responses long ago":             {entries: manyEntries, report: status(9000), many: true},
		"a later version, with responses":          {entries: manyEntries, report: &peers.Status{Table: 6, Epoch: 1}, many: true, answered: true},
		"a peer without a table":                   {entries: manyEntries, report: &peers.Status{}, many: true},
		"a peer that reports a time in the future": {entries: manyEntries, report: status(-9000), many: true},
		"an entry that cannot serve yet":           {entries: manyEntries, report: status(0), unready: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := newListGate(false, 7)
				time.Sleep(20 * time.Second)
				g.SetFleet(peers.Fleet{Entries: tc.entries})
				if !tc.unready {
					g.SetTable(table.New(table.Config{Version: 5}), table.Arrival{ConfirmedAt: clk.Now(), Epoch: 1})
				}
				if tc.report != nil {
					g.ReceiveStatus("edge-2", *tc.report, clk.Now())
				}
				time.Sleep(tc.wait)
				if many, answered := g.StoreContention(); many != tc.many || answered != tc.answered {
					t.Errorf("got many %v, answered %v, want %v, %v", many, answered, tc.many, tc.answered)
				}
			})
		})
	}
}

// If a confirmation of the list is due before a report can arrive, each entry reads the list
// itself.
func TestListIsSharedIfReportsArriveInTime(t *testing.T) {
	for entries, shared := range map[int]map[clock.Millis]bool{
		manyEntries: {0: false, 1000: false, 2000: false, drainingBound: true, 10_000: true},
		27:          {0: false, 1000: false, 2000: false, 3000: true, 10_000: true},
		9:           {0: false, 1000: false, 2000: true, 10_000: true},
		8:           {0: false, 2000: false, 10_000: false},
		103:         {3000: false, drainingBound: true},
	} {
		for draining, want := range shared {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newListGate(false, 7)
				g.SetFleet(peers.Fleet{Entries: entries})
				g.SetBounds(gate.Bounds{Revocation: 5000, Change: 2000, Draining: draining})
				if got := g.ListShared(); got != want {
					t.Errorf("%d entries, bound of %d ms for draining engines: got the list shared %v, want %v", entries, draining, got, want)
				}
			})
		}
	}
}

// listFleet is a set of gates that exchange statuses without a network, with a list that
// changes.
type listFleet struct {
	gates   []*gate.Gate
	members []*peers.Members
	byAddr  map[string]int
	stopped map[int]bool
	// silenced has the gates that the store does not respond to, with the time of their next
	// call.
	silenced map[int]clock.Millis
	// known holds the list that each gate read last.
	known []uint32
	// list is the list in the store. changed is when each version of it began.
	list    uint32
	changed map[uint32]clock.Millis
	reads   int
	// maxLag is the longest time in which a gate did not know of a change.
	maxLag clock.Millis
	clk    *clock.Clock
	rng    *rand.Rand
}

func newListFleet(n int, draining clock.Millis) *listFleet {
	f := &listFleet{byAddr: map[string]int{}, stopped: map[int]bool{}, silenced: map[int]clock.Millis{}, changed: map[uint32]clock.Millis{}, known: make([]uint32, n), list: 1, clk: clock.System(), rng: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		addr := fmt.Sprintf("10.%d.%d.%d:8605", i%5, i/250, i%250)
		f.byAddr[addr] = i
		f.members = append(f.members, peers.NewMembers(peers.Member{Addr: addr}))
		g := gate.New(gate.Config{ID: addr, Clock: f.clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000, Draining: draining}})
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

// silencedCallPeriod is the time between two calls of a gate that the store does not respond
// to: the timeout and a pause.
const silencedCallPeriod clock.Millis = 1000

func (f *listFleet) read(i int) {
	if next, silenced := f.silenced[i]; silenced {
		if now := f.clk.Now(); now >= next {
			f.reads++
			f.silenced[i] = now + silencedCallPeriod
		}
		return
	}
	f.reads++
	f.known[i] = f.list
	f.gates[i].ConfirmEngines(f.list, f.clk.Now())
}

// run lets the gates read the store and exchange statuses for d, while the list changes at
// the given interval, unless it is zero. Each gate contacts another one in a quarter of the
// steps of 100 ms.
func (f *listFleet) run(d, every clock.Millis) {
	for end := f.clk.Now() + d; f.clk.Now() < end; time.Sleep(100 * time.Millisecond) {
		now := f.clk.Now()
		if every > 0 && now-f.changed[f.list] >= every {
			f.list++
			f.changed[f.list] = now
		}
		for _, i := range f.rng.Perm(len(f.gates)) {
			if f.stopped[i] {
				continue
			}
			if f.rng.IntN(4) == 0 {
				f.exchange(i)
			}
			f.members[i].Expire(now)
			f.gates[i].SetFleet(f.members[i].Fleet(now))
			if f.gates[i].ListReadDue() {
				f.read(i)
			}
			if _, silenced := f.silenced[i]; !silenced && f.known[i] != f.list {
				f.maxLag = max(f.maxLag, now-f.changed[f.known[i]+1])
			}
		}
	}
}

func (f *listFleet) exchange(i int) {
	now := f.clk.Now()
	to, ok := f.byAddr[f.members[i].NextPeer()]
	if !ok || to == i {
		return
	}
	if f.stopped[to] {
		for addr, at := range f.byAddr {
			if at == to {
				f.members[i].MarkFailed(addr, now)
			}
		}
		return
	}
	for _, pair := range [][2]int{{i, to}, {to, i}} {
		for _, o := range f.members[pair[0]].Sample(now) {
			f.members[pair[1]].Update(o, now)
		}
		f.members[pair[1]].Unpack(f.members[pair[0]].Pack(now), now)
	}
	f.gates[i].ReceiveStatus("edge", f.gates[to].LocalStatus(0, 0), now)
}

// If the list is rewritten without a change, a few reads a second serve all entries,
// however many there are. A change reaches all entries within the bound for draining
// engines, also if the entries that read for all have just ended.
func TestUnchangedListCausesFewReads(t *testing.T) {
	const (
		// maxCallsPerSecond is about three calls for each of five data halls.
		maxCallsPerSecond = 15
		period            = 20_000
	)
	for _, n := range []int{40, 103, 200} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newListFleet(n, drainingBound)
				f.run(5000, 0)
				f.reads = 0
				f.run(period, 0)
				got := f.reads * 1000 / period
				t.Logf("%d entries: %d calls a second without a change", n, got)
				if got > maxCallsPerSecond {
					t.Errorf("got %d calls a second without a change, want at most %d", got, maxCallsPerSecond)
				}
				// The changes are further apart than the bound, so each is known before the next.
				f.run(3*drainingBound, drainingBound+2000)
				t.Logf("%d entries: a change is known to all after %d ms", n, f.maxLag)
				if f.maxLag > drainingBound {
					t.Errorf("got a change known to all after %d ms, want %d at most", f.maxLag, drainingBound)
				}
				for range 3 {
					f.stopFirst()
				}
				f.maxLag = 0
				f.run(3*drainingBound, drainingBound+2000)
				if f.maxLag > drainingBound {
					t.Errorf("got a change known to all after %d ms after the first entries ended, want %d at most", f.maxLag, drainingBound)
				}
			})
		})
	}
}

// Some dozens of entries share the list even if draining engines must get nothing new
// within three seconds. Without sharing, each would read it in half of that time.
func TestSmallFleetsShareAListWithAShortBound(t *testing.T) {
	const (
		draining clock.Millis = 3000
		period   clock.Millis = 20_000
	)
	for _, n := range []int{9, 16, 27, 60} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newListFleet(n, draining)
				f.run(5000, 0)
				f.reads = 0
				f.run(period, 0)
				got, alone := float64(f.reads)*1000/float64(period), float64(n)*2000/float64(draining)
				t.Logf("%d entries: %.1f calls a second without a change, alone %.1f", n, got, alone)
				if got > alone/2 {
					t.Errorf("got %.1f calls a second without a change, want at most half of the %.1f that each alone would make", got, alone)
				}
				for range 3 {
					f.maxLag = 0
					f.run(4*draining, draining+1000)
					if f.maxLag > draining {
						t.Errorf("got a change known to all after %d ms, want %d at most", f.maxLag, draining)
					}
					t.Logf("%d entries: a change is known to all after %d ms", n, f.maxLag)
					f.stopFirst()
				}
			})
		})
	}
}

// If the list changes every second, changes at about the same time cost an entry one read,
// and each change still reaches all entries within the bound.
func TestListChangesAreReadTogether(t *testing.T) {
	const (
		period = 20_000
		// maxReads is the number of reads of an entry per second: one in half of the bound.
		maxReads = 2000 / float64(drainingBound)
	)
	for _, n := range []int{40, 103, 200} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newListFleet(n, drainingBound)
				f.run(5000, 1000)
				f.reads = 0
				f.run(period, 1000)
				got := float64(f.reads) * 1000 / period / float64(n)
				t.Logf("%d entries: %.2f calls a second each, a change is known to all after %d ms", n, got, f.maxLag)
				if got > maxReads || f.maxLag > drainingBound {
					t.Errorf("got %.2f calls a second of each entry and a change known to all after %d ms, want at most %.2f and %d", got, f.maxLag, maxReads, drainingBound)
				}
			})
		})
	}
}

// first returns a running gate that considers itself the first entry, or -1.
func (f *listFleet) first() int {
	for i, m := range f.members {
		if !f.stopped[i] && m.RanksFirst(f.clk.Now()) {
			return i
		}
	}
	return -1
}

// stopFirst stops a gate that considers itself the first entry.
func (f *listFleet) stopFirst() {
	if i := f.first(); i >= 0 {
		f.stopped[i] = true
	}
}

// While the store responds to all entries but the first, which usually reads for them, each
// change still reaches the others within the bound for draining engines.
func TestChangesReachAllWhileTheStoreIsSilentToTheFirst(t *testing.T) {
	for n, draining := range map[int]clock.Millis{9: 2000, 10: 3000, 27: 3000, 103: drainingBound} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newListFleet(n, draining)
				f.run(5000, 0)
				if !f.gates[0].ListShared() {
					t.Fatal("got a list that is not shared, want it shared")
				}
				f.reads, f.maxLag = 0, 0
				for range 5 {
					first := f.first()
					f.silenced[first] = 0
					f.run(6000, draining+300)
					delete(f.silenced, first)
					f.run(2000, 0)
				}
				t.Logf("%d entries: %.1f calls a second, a change is known to the others after %d ms", n, float64(f.reads)/40, f.maxLag)
				if f.maxLag > draining {
					t.Errorf("got a change known to the others after %d ms, want %d at most", f.maxLag, draining)
				}
			})
		})
	}
}

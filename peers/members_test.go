package peers_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers"
)

func member(i int, age clock.Millis) peers.Member {
	return peers.Member{ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Age: age}
}

func TestMembersExpireUnlessSeen(t *testing.T) {
	m := peers.NewMembers(member(0, 0))
	m.Update(member(1, 0), 1000)
	m.Update(member(2, 29_000), 30_000)
	m.Update(member(3, 31_000), 32_000) // too old
	m.Update(member(4, -5), 32_000)     // from the future
	m.Update(member(0, 0), 32_000)      // this process
	m.Expire(30_500)
	if got, want := m.Count(), 3; got != want {
		t.Errorf("got %d entries, want %d", got, want)
	}
	m.Update(member(1, 0), 32_000)
	m.Expire(33_000)
	if got, want := m.Count(), 2; got != want {
		t.Errorf("got %d entries, want %d: one was seen again", got, want)
	}
}

// Neither the messages nor the number of members that a process calls grow with the
// fleet.
func TestMessagesAndNeighborsDoNotGrowWithTheFleet(t *testing.T) {
	m := peers.NewMembers(member(0, 0))
	for i := 1; i <= 3200; i++ {
		m.Update(member(i, 0), 1000)
	}
	if got, limit := len(m.Sample(1000)), 4; got > limit {
		t.Errorf("got %d members in a message, want at most %d", got, limit)
	}
	asked := map[string]int{}
	for range 160 {
		asked[m.NextPeer()]++
	}
	often := 0
	for _, n := range asked {
		if n > 20 {
			often++
		}
	}
	if got, want := often, 3; got != want {
		t.Errorf("got %d members that are called often, want %d", got, want)
	}
}

// One process ranks first, and what it knows reaches all others within a few rounds
// although each calls three others only. No calls to the store are needed.
func TestStateOfTheFirstReachesAll(t *testing.T) {
	for _, n := range []int{2, 22, 300} {
		all := make([]*peers.Members, n)
		for i := range all {
			all[i] = peers.NewMembers(member(i, 0))
			for j := range n {
				all[i].Update(member(j, 0), 0)
			}
		}
		reached := make([]bool, n)
		firsts := 0
		for i, m := range all {
			if m.RanksFirst(0) {
				reached[i] = true
				firsts++
			}
		}
		if firsts != 1 {
			t.Fatalf("got %d processes of %d that rank first, want one", firsts, n)
		}
		byAddr := map[string]int{}
		for i := range n {
			byAddr[member(i, 0).Addr] = i
		}
		rounds := 0
		for ; slices.Contains(reached, false) && rounds < 100; rounds++ {
			before := slices.Clone(reached)
			for i, m := range all {
				if from := m.NextPeer(); before[byAddr[from]] {
					reached[i] = true
				}
			}
		}
		if limit := 14; rounds > limit {
			t.Errorf("got %d rounds until all of %d were reached, want at most %d", rounds, n, limit)
		}
	}
}

func TestEntriesAgreeOnTheOrderOfStops(t *testing.T) {
	stopping := func(i int, age, since clock.Millis) peers.Member {
		m := member(i, age)
		m.StoppingFor, m.EndsIn = since, 1500
		return m
	}
	for name, tc := range map[string]struct {
		others []peers.Member
		want   peers.Fleet
	}{
		"alone":               {nil, peers.Fleet{Entries: 1, First: true, HalfEndedAt: 15_000}},
		"one serves":          {[]peers.Member{member(1, 0)}, peers.Fleet{Entries: 2, Serving: 1}},
		"one not seen lately": {[]peers.Member{member(1, 3000)}, peers.Fleet{Entries: 2, HalfEndedAt: 15_000}},
		"one stops before":    {[]peers.Member{stopping(1, 0, 2000)}, peers.Fleet{Entries: 2, StoppingBefore: 1, HalfEndedAt: 11_500}},
		"one stops after":     {[]peers.Member{stopping(1, 0, 300)}, peers.Fleet{Entries: 2, StoppingAfter: 1, HalfEndedAt: 11_500}},
		"seen a while ago":    {[]peers.Member{stopping(1, 800, 1000)}, peers.Fleet{Entries: 2, StoppingBefore: 1, HalfEndedAt: 10_700}},
		"likely exited":       {[]peers.Member{stopping(1, 3000, 1000)}, peers.Fleet{Entries: 2, HalfEndedAt: 8500}},
		"two of three stop":   {[]peers.Member{stopping(1, 0, 300), stopping(2, 100, 300)}, peers.Fleet{Entries: 3, StoppingAfter: 2, HalfEndedAt: 11_500}},
		"one of two serves":   {[]peers.Member{member(1, 0), stopping(2, 100, 300)}, peers.Fleet{Entries: 3, Serving: 1, StoppingAfter: 1, HalfEndedAt: 11_400}},
	} {
		t.Run(name, func(t *testing.T) {
			m := peers.NewMembers(member(0, 0))
			m.SetStop(peers.Stop{Since: 9000, End: 15_000})
			for _, o := range tc.others {
				m.Update(o, 10_000)
			}
			got := m.Fleet(10_000)
			got.First = tc.want.First
			if got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// Two entries that are stopped at the same moment must not both take themselves to stop
// first. A report that an entry serves again replaces that of its stop.
func TestOneOfTwoEntriesStoppedTogetherGoesFirst(t *testing.T) {
	a, b := peers.NewMembers(member(0, 0)), peers.NewMembers(member(1, 0))
	a.SetStop(peers.Stop{Since: 1000, End: 7000})
	b.SetStop(peers.Stop{Since: 1100, End: 7000})
	a.Update(b.Sample(2000)[0], 2000)
	if got, want := a.Fleet(2000).HalfEndedAt, clock.Millis(7000); got != want {
		t.Errorf("got half of them ended at %d, want %d", got, want)
	}
	b.Update(a.Sample(2000)[0], 2000)
	if got := a.Fleet(2000).StoppingBefore + b.Fleet(2000).StoppingBefore; got != 1 {
		t.Errorf("got %d entries with another that stops before them, want 1", got)
	}
	a.Update(member(1, 0), 3000)
	if got := a.Fleet(3000); got.Serving != 1 || got.StoppingBefore+got.StoppingAfter != 0 {
		t.Errorf("got %+v after the other restarted, want one that serves", got)
	}
}

package peers_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers"
)

func member(i int, age clock.Millis) peers.Member {
	return peers.Member{ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Age: age}
}

func TestMembersAreForgottenWithoutASign(t *testing.T) {
	m := peers.NewMembers(member(0, 0))
	m.Learn(member(1, 0), 1000)
	m.Learn(member(2, 5000), 6000)
	m.Learn(member(3, 7000), 8000) // too old to be told
	m.Learn(member(4, -5), 8000)   // a lie
	m.Learn(member(0, 0), 8000)    // this process itself
	m.Sweep(6500)
	if got, want := m.Count(), 3; got != want {
		t.Errorf("got %d entries, want %d", got, want)
	}
	m.Learn(member(1, 0), 8000)
	m.Sweep(9000)
	if got, want := m.Count(), 2; got != want {
		t.Errorf("got %d entries, want %d: one gave a sign", got, want)
	}
}

// The messages and the members that a process asks do not grow with the fleet.
func TestTheCostOfAProcessDoesNotGrowWithTheFleet(t *testing.T) {
	m := peers.NewMembers(member(0, 0))
	for i := 1; i <= 3200; i++ {
		m.Learn(member(i, 0), 1000)
	}
	if got, most := len(m.Sample(1000)), 4; got > most {
		t.Errorf("got %d members in a message, want at most %d", got, most)
	}
	asked := map[string]int{}
	for range 160 {
		asked[m.Next()]++
	}
	often := 0
	for _, n := range asked {
		if n > 20 {
			often++
		}
	}
	if got, want := often, 3; got != want {
		t.Errorf("got %d members that are asked often, want %d", got, want)
	}
}

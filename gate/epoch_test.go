package gate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/table"
)

// age is how old this entry says that its table is.
func age(g *gate.Gate) clock.Millis { return g.LocalStatus(0, 0).TableAge }

// What a store says soon after it came back from an older copy proves nothing, nor does
// word of a peer that speaks of another epoch.
func TestOnlyAProofOfTheEpochProves(t *testing.T) {
	for name, tc := range map[string]struct {
		prove func(g *gate.Gate, clk *clock.Clock)
		want  clock.Millis
	}{
		"the store, soon":  {func(g *gate.Gate, clk *clock.Clock) { g.ConfirmTable(2, clk.Now()) }, 2000},
		"an earlier epoch": {func(g *gate.Gate, clk *clock.Clock) { g.ConfirmTable(1, clk.Now()) }, 2000},
		"the store, later": {func(g *gate.Gate, clk *clock.Clock) { time.Sleep(2 * time.Second); g.ConfirmTable(2, clk.Now()) }, 0},
		"a peer of another epoch": {func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Table: 5, Epoch: 1, EpochAge: 9000}, clk.Now())
		}, 2000},
		"a peer that knows the epoch for longer": {func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Table: 5, TableAge: 100, Epoch: 2, EpochAge: 9000}, clk.Now())
		}, 100},
		"an older version, later": {func(g *gate.Gate, clk *clock.Clock) {
			time.Sleep(2 * time.Second)
			g.SetTable(table.New(table.Config{Version: 4}), table.Arrival{TrueAt: clk.Now(), Epoch: 2})
		}, 0},
		"an older version, soon": {func(g *gate.Gate, clk *clock.Clock) {
			g.SetTable(table.New(table.Config{Version: 4}), table.Arrival{TrueAt: clk.Now(), Epoch: 2})
		}, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := newGate(t, false)
				g.SetStoreEpoch(1, clk.Now())
				time.Sleep(time.Second)
				g.SetStoreEpoch(2, clk.Now())
				time.Sleep(time.Second)
				tc.prove(g, clk)
				if got := age(g); got != tc.want {
					t.Errorf("got a table that is %d ms old, want %d", got, tc.want)
				}
				if got := g.LocalStatus(0, 0).Table; got != 5 {
					t.Errorf("got version %d in force, want 5", got)
				}
			})
		})
	}
}

// A version that another entry has in force and that the store does not show since it
// came back holds off its proof, but not for ever: it may never be written again.
func TestANewerVersionElsewhereHoldsOffAProofForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newGate(t, false)
		g.SetStoreEpoch(2, clk.Now())
		start := clk.Now()
		for age(g) == clk.Now()-start && clk.Now()-start < 20_000 {
			time.Sleep(400 * time.Millisecond)
			g.ReceiveStatus("edge-2", peers.Status{Table: 6, Epoch: 2}, clk.Now())
			g.ConfirmTable(2, clk.Now())
		}
		if got := clk.Now() - start; got < 9000 || got > 12_000 {
			t.Errorf("got the proof after %d ms, want it after some ten seconds", got)
		}
	})
}

// A peer that lies of a later epoch makes the store be asked now and then, no more.
func TestAPeerThatLiesOfAnEpochCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newGate(t, false)
		asked := 0
		for n := range int64(100) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 10 + n}, clk.Now())
			if g.TakeMissedEpoch() {
				asked++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if asked < 1 || asked > 5 {
			t.Errorf("got the store asked %d times in 10 s, want once in two seconds at most", asked)
		}
		if g.StoreMayBeStale(clk.Now()) {
			t.Error("got doubts of the store by the word of a peer, want none")
		}
	})
}

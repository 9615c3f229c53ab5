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

// tableAge returns the age of the table that the gate reports.
func tableAge(g *gate.Gate) clock.Millis { return g.LocalStatus(0, 0).TableAge }

// A response of a store that was recently restored from an older copy confirms nothing, nor
// does the report of a peer in another epoch.
func TestOnlyTheCurrentEpochConfirmsTheTable(t *testing.T) {
	for name, tc := range map[string]struct {
		confirm func(g *gate.Gate, clk *clock.Clock)
		want    clock.Millis
	}{
		"the store, soon":  {func(g *gate.Gate, clk *clock.Clock) { g.ConfirmTable(2, clk.Now()) }, 2000},
		"an earlier epoch": {func(g *gate.Gate, clk *clock.Clock) { g.ConfirmTable(1, clk.Now()) }, 2000},
		"the store, later": {func(g *gate.Gate, clk *clock.Clock) { time.Sleep(2 * time.Second); g.ConfirmTable(2, clk.Now()) }, 0},
		"a peer of another epoch": {func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Table: 5, Epoch: 1, EpochAge: 9000}, clk.Now())
		}, 2000},
		"a peer that has known the epoch for longer": {func(g *gate.Gate, clk *clock.Clock) {
			g.ReceiveStatus("edge-2", peers.Status{Table: 5, TableAge: 100, Epoch: 2, EpochAge: 9000}, clk.Now())
		}, 100},
		"an older version, later": {func(g *gate.Gate, clk *clock.Clock) {
			time.Sleep(2 * time.Second)
			g.SetTable(table.New(table.Config{Version: 4}), table.Arrival{ConfirmedAt: clk.Now(), Epoch: 2})
		}, 0},
		"an older version, soon": {func(g *gate.Gate, clk *clock.Clock) {
			g.SetTable(table.New(table.Config{Version: 4}), table.Arrival{ConfirmedAt: clk.Now(), Epoch: 2})
		}, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := newGate(t, false)
				g.SetStoreEpoch(1, clk.Now())
				time.Sleep(time.Second)
				g.SetStoreEpoch(2, clk.Now())
				time.Sleep(time.Second)
				tc.confirm(g, clk)
				if got := tableAge(g); got != tc.want {
					t.Errorf("got a table age of %d ms, want %d", got, tc.want)
				}
				if got := g.LocalStatus(0, 0).Table; got != 5 {
					t.Errorf("got version %d in force, want 5", got)
				}
			})
		})
	}
}

// A version that another entry has in force and that the restored store lacks delays
// confirmations, but not forever, since it may never be written again.
func TestNewerVersionOfAPeerDelaysConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newGate(t, false)
		g.SetStoreEpoch(2, clk.Now())
		start := clk.Now()
		for tableAge(g) == clk.Now()-start && clk.Now()-start < 20_000 {
			time.Sleep(400 * time.Millisecond)
			g.ReceiveStatus("edge-2", peers.Status{Table: 6, Epoch: 2}, clk.Now())
			g.ConfirmTable(2, clk.Now())
		}
		if got := clk.Now() - start; got < 9000 || got > 12_000 {
			t.Errorf("got a confirmation after %d ms, want it after about ten seconds", got)
		}
	})
}

// A peer that reports false later epochs causes a read of the store now and then, no more.
func TestFalseEpochReportsCauseFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newGate(t, false)
		reads := 0
		for n := range int64(100) {
			g.ReceiveStatus("edge-2", peers.Status{Epoch: 10 + n}, clk.Now())
			if g.TakeMissedEpoch() {
				reads++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if reads < 1 || reads > 5 {
			t.Errorf("got %d reads of the store in 10 s, want at most one in two seconds", reads)
		}
		if g.StoreMayBeStale(clk.Now()) {
			t.Error("got a store that may be stale from the report of a peer alone, want not")
		}
	})
}

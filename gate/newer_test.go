package gate_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/table"
)

// An entry that is behind while the table changes again and again does not serve by its old
// version for longer than the bound for changes: each newer version that a peer reports would
// begin the time anew.
func TestEntryIsOutdatedByTheFirstVersionThatItLacks(t *testing.T) {
	const change clock.Millis = 2000
	for name, tc := range map[string]struct {
		// inForce is the version in force after the bound for changes.
		inForce int64
		want    bool
	}{
		"same version":                     {5, false},
		"the version of half a second ago": {20, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clk := clock.System()
				g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: change, Draining: drainingBound}})
				g.SetStoreEpoch(1, clk.Now())
				g.ConfirmEngines(7, clk.Now())
				setTable := func(version int64) {
					g.SetTable(table.New(table.Config{Version: version}), table.Arrival{Unconfirmed: true, Epoch: 1})
				}
				setTable(5)
				g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, Table: 5}, clk.Now())
				g.BeginTableTransfer(false)
				if !g.Ready() {
					t.Fatal("got an entry that is not ready, want it ready")
				}
				for version := int64(6); version <= 25; version++ {
					time.Sleep(100 * time.Millisecond)
					g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, Table: version}, clk.Now())
				}
				setTable(tc.inForce)
				if got := g.Ready(); got != tc.want {
					t.Errorf("got the entry ready %v after 20 newer versions in %d ms, want %v", got, change, tc.want)
				}
				// The store shows that the version in force is the newest.
				g.ConfirmTable(1, clk.Now()+1)
				if !g.Ready() {
					t.Error("got an entry that is not ready with the newest version, want it ready")
				}
			})
		})
	}
}

// A read of the store that shows the version in force to be the newest refutes the reports of
// newer ones before it.
func TestReadOfTheNewestVersionRefutesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := clock.System()
		g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000, Draining: drainingBound}})
		g.SetStoreEpoch(1, clk.Now())
		g.ConfirmEngines(7, clk.Now())
		read := func() {
			g.SetTable(table.New(table.Config{Version: 5}), table.Arrival{ConfirmedAt: clk.Now(), Epoch: 1})
		}
		read()
		g.BeginTableTransfer(false)
		g.ReceiveStatus("edge-2", peers.Status{Epoch: 1, Table: 9}, clk.Now())
		time.Sleep(2 * time.Second)
		if g.Ready() {
			t.Fatal("got an entry ready that lacks a version for as long as the bound, want it not ready")
		}
		read()
		if !g.Ready() {
			t.Error("got an entry that is not ready with the newest version, want it ready")
		}
	})
}

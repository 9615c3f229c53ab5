package gate_test

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/table"
)

// manyEntries is so large that no random entry confirms the table.
const manyEntries = 1_000_000

// newGate returns a gate with version 5 in force, confirmed now.
func newGate(t *testing.T, first bool) (*gate.Gate, *clock.Clock) {
	t.Helper()
	clk := clock.System()
	g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000}})
	g.SetTable(table.New(table.Config{Version: 5}), table.Arrival{ConfirmedAt: clk.Now()})
	g.SetFleet(peers.Fleet{Entries: manyEntries, First: first})
	return g, clk
}

// timeUntilDue returns the time until a confirmation of the table is due.
func timeUntilDue(t *testing.T, g *gate.Gate, clk *clock.Clock) clock.Millis {
	t.Helper()
	start := clk.Now()
	for !g.TableConfirmationDue(0) {
		if clk.Now()-start > 10_000 {
			t.Fatal("got no confirmation due within 10 s, want one")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return clk.Now() - start
}

func TestFirstEntryConfirmsTheTableBeforeOthers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		first   bool
		entries int
		want    clock.Millis
	}{
		{"the first of few", true, 5, 600},
		{"the first of many", true, manyEntries, 300},
		{"another", false, manyEntries, 1700},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := newGate(t, tc.first)
				g.SetFleet(peers.Fleet{Entries: tc.entries, First: tc.first})
				if got := timeUntilDue(t, g, clk); got != tc.want {
					t.Errorf("got the confirmation due after %d ms, want %d", got, tc.want)
				}
			})
		})
	}
}

// A peer that reports a version that does not exist must not make an entry ask the store
// again and again.
func TestFalseNewerVersionCausesOneConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newGate(t, false)
		g.ReceiveStatus("edge-2", peers.Status{Table: 99}, clk.Now())
		if got, want := timeUntilDue(t, g, clk), clock.Millis(700); got != want {
			t.Errorf("got a confirmation due after %d ms, want %d: time for the watch to deliver the version", got, want)
		}
		g.ConfirmTable(0, clk.Now())
		if got, want := timeUntilDue(t, g, clk), clock.Millis(1700); got != want {
			t.Errorf("got the next confirmation due %d ms after the store had confirmed the table, want %d", got, want)
		}
	})
}

// An entry that loses contact with the others may itself be the one that is cut off, so its
// part of the fleet's quota must not grow.
func TestEntryThatLosesContactKeepsItsQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var others []string
		for i := range 40 {
			others = append(others, fmt.Sprintf("edge-%02d", i))
		}
		g, _ := newGate(t, false)
		if got, limit := g.ShareOf(64, "e"), 2; got != limit {
			t.Errorf("got %d of 64 in a new entry, want %d: there may be 32 entries", got, limit)
		}
		time.Sleep(10 * time.Second)
		g.SetOthers("edge", others[:3])
		if got, want := g.ShareOf(64, "e"), 16; got != want {
			t.Errorf("got %d of 64 among four entries, want %d", got, want)
		}
		g.SetOthers("edge", others)
		g.SetOthers("edge", others[:3])
		if got, limit := g.ShareOf(64, "e"), 2; got > limit {
			t.Errorf("got %d of 64 after 41 entries were known, want at most %d", got, limit)
		}
		g.SetOthers("edge", nil)
		if got, limit := g.ShareOf(64, "e"), 2; got > limit {
			t.Errorf("got %d of 64 without contact to others, want at most %d", got, limit)
		}
	})
}

// Guards against an entry that believes in others for as long as it lives: when most of a fleet is
// gone for good, those that are left must get all that is shared.
func TestEntryForgetsOthersThatAreGoneForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var others []string
		for i := range 40 {
			others = append(others, fmt.Sprintf("edge-%02d", i))
		}
		g, _ := newGate(t, false)
		time.Sleep(10 * time.Second)
		g.SetOthers("edge", others)
		g.SetOthers("edge", others[:3])
		for range 9 {
			time.Sleep(time.Minute)
			g.SetOthers("edge", others[:3])
		}
		if got, limit := g.ShareOf(64, "e"), 2; got > limit {
			t.Errorf("got %d of 64 nine minutes after 41 entries were known, want at most %d", got, limit)
		}
		for range 12 {
			time.Sleep(time.Minute)
			g.SetOthers("edge", others[:3])
		}
		if got, want := g.ShareOf(64, "e"), 16; got != want {
			t.Errorf("got %d of 64 after 20 minutes among four entries, want %d", got, want)
		}
	})
}

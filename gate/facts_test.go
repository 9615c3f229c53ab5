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

// many is so many entries that none confirms the table by chance.
const many = 1_000_000

// newGate returns a gate with version 5 in force, known to be true now.
func newGate(t *testing.T, first bool) (*gate.Gate, *clock.Clock) {
	t.Helper()
	clk := clock.System()
	g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000}})
	g.SetTable(table.New(table.Config{Version: 5}), table.Arrival{TrueAt: clk.Now()})
	g.SetFleet(peers.Fleet{Entries: many, First: first})
	return g, clk
}

// due returns the time until the table is due, in the test's own time.
func due(t *testing.T, g *gate.Gate, clk *clock.Clock) clock.Millis {
	t.Helper()
	start := clk.Now()
	for !g.TableConfirmationDue(0) {
		if clk.Now()-start > 10_000 {
			t.Fatal("got a table that is never due")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return clk.Now() - start
}

func TestTheFirstEntryConfirmsTheTableBeforeTheOthers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		first   bool
		entries int
		want    clock.Millis
	}{
		{"the first of few", true, 5, 600},
		{"the first of many", true, many, 300},
		{"another", false, many, 1700},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, clk := newGate(t, tc.first)
				g.SetFleet(peers.Fleet{Entries: tc.entries, First: tc.first})
				if got := due(t, g, clk); got != tc.want {
					t.Errorf("got the table due after %d ms, want %d", got, tc.want)
				}
			})
		})
	}
}

// A peer that tells of a version that does not exist must not make an entry
// ask the store without end.
func TestAPeerThatLiesOfANewerVersionCostsOneProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clk := newGate(t, false)
		g.ReceiveStatus("edge-2", peers.Status{Table: 99}, clk.Now())
		if got, want := due(t, g, clk), clock.Millis(700); got != want {
			t.Errorf("got a proof after %d ms, want %d: time for the watch to bring the version", got, want)
		}
		g.ConfirmTable(0, clk.Now())
		if got, want := due(t, g, clk), clock.Millis(1700); got != want {
			t.Errorf("got another proof %d ms after the platform had shown the table to be the newest, want %d", got, want)
		}
	})
}

// An entry that loses sight of the others may be the one that is cut off: its
// part of what all may do does not grow by it.
func TestAnEntryThatLosesSightOfOthersTakesNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var others []string
		for i := range 40 {
			others = append(others, fmt.Sprintf("edge-%02d", i))
		}
		g, _ := newGate(t, false)
		if got, most := g.ShareOf(64, "e"), 2; got != most {
			t.Errorf("got %d of 64 in a new entry, want %d: there may be 32", got, most)
		}
		time.Sleep(10 * time.Second)
		g.SetOthers("edge", others[:3])
		if got, want := g.ShareOf(64, "e"), 16; got != want {
			t.Errorf("got %d of 64 among four, want %d", got, want)
		}
		g.SetOthers("edge", others)
		g.SetOthers("edge", others[:3])
		if got, most := g.ShareOf(64, "e"), 2; got > most {
			t.Errorf("got %d of 64 where 41 were known, want at most %d", got, most)
		}
		g.SetOthers("edge", nil)
		if got, most := g.ShareOf(64, "e"), 2; got > most {
			t.Errorf("got %d of 64 with none in sight, want at most %d", got, most)
		}
	})
}

package engines_test

import (
	"math"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

const (
	roomEngines              = 27
	roomSlots                = 100
	roomNow     clock.Millis = 10_000
)

func roomRegistry() *engines.Registry {
	r := engines.NewRegistry()
	for i := range roomEngines {
		in := info(i)
		in.Slots = roomSlots
		r.Put(in, 0)
	}
	return r
}

// report reports the load of each engine, at a different time.
func report(r *engines.Registry, load int) {
	for i := range roomEngines {
		r.Get(info(i).ID).RecordLoad(engines.Load{Running: load}, roomNow-clock.Millis(15*i))
	}
}

func TestRoomBoundsFalseReports(t *testing.T) {
	for _, wrong := range []int{0, 1_000_000} {
		r := roomRegistry()
		report(r, 90)
		r.Get(info(0).ID).RecordLoad(engines.Load{Running: wrong}, roomNow+1)
		room, ok := r.Room(info(0).Service, 1000, roomNow+1)
		pressure, known := room.Pressure()
		if !ok || !known {
			t.Fatalf("got no room from %d reports", roomEngines)
		}
		// One report counts as twice the slots of one engine at most.
		if math.Abs(pressure-0.9) > 2.0/roomEngines {
			t.Errorf("got pressure %.2f with a report of %d, want 0.9 within %.2f", pressure, wrong, 2.0/roomEngines)
		}
	}
}

func TestRoomLeavesOutDarkEngines(t *testing.T) {
	r := roomRegistry()
	report(r, 90)
	for i := range 2 {
		r.Get(info(i).ID).BeginRequest(roomNow - 5000)
	}
	// Another entry heard from the first lately.
	r.Get(info(1).ID).RecordLoad(engines.Load{Running: 90}, roomNow)
	later := roomNow + 900
	for i := 2; i < roomEngines; i++ {
		r.Get(info(i).ID).RecordLoad(engines.Load{Running: 90}, later)
	}
	r.Get(info(0).ID).RecordLoad(engines.Load{Running: 90}, later)
	room, ok := r.Room(info(0).Service, 1000, roomNow+1200)
	if !ok || room.Engines != roomEngines-1 || room.Reports != roomEngines-1 {
		t.Errorf("got %+v %v, want all engines but the dark one", room, ok)
	}
}

func TestRoomIsUnknownWithMostEnginesLost(t *testing.T) {
	r := roomRegistry()
	report(r, 90)
	for i := range roomEngines/2 + 1 {
		r.Get(info(i).ID).MarkLost(roomNow)
	}
	if room, ok := r.Room(info(0).Service, 1000, roomNow); ok {
		t.Errorf("got %+v, want none", room)
	}
}

func TestFullEngineGetsNoCachedPromptWhileOthersHaveSlots(t *testing.T) {
	for _, within := range []bool{false, true} {
		r := roomRegistry()
		q := engines.Query{Service: info(0).Service, Keys: []uint64{7}, Tokens: 5000, Bound: 3, Slack: 2, MaxSilence: 1000, WithinSlots: within}
		report(r, 90)
		home, _ := r.Choose(q, roomNow)
		home.Engine.RecordLoad(engines.Load{Running: roomSlots}, roomNow+1)
		c, _ := r.Choose(q, roomNow+1)
		if got := c.Engine != home.Engine; got != within {
			t.Errorf("within=%v: got moved %v", within, got)
		}
	}
}

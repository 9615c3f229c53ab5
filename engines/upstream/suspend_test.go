package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/platform/standin"
)

// These tests check that the first request after a suspension of the instance does not fail.
// An engine may close a connection during a suspension without the instance receiving that.
// A callback after the suspension closes idle connections, but a request may take one before
// it runs. The tests have no such callback, so they pass only if the pool checks each
// connection that it takes.

func newSuspendedRig(t *testing.T) (*rig, *clocktest.Source) {
	t.Helper()
	h := clocktest.New()
	return newRigOn(t, clock.FromSource(h)), h
}

// No request uses a connection that was idle during a suspension, also if the pool has
// several of them.
func TestIdleConnectionIsNotUsedAfterSuspension(t *testing.T) {
	r, h := newSuspendedRig(t)
	r.keep(t, 4)
	for round := range 3 {
		r.engine.DropSilently()
		h.Suspend(2 * time.Second)
		for i := range 4 {
			if err := r.do("after", late); err != nil {
				t.Errorf("got %v on request %d after suspension %d, want a response", err, i, round)
			}
		}
	}
}

// A response that is read after a suspension may have arrived before it, so it does not
// show that the connection is still open.
func TestResponseAcrossSuspensionDoesNotKeepConnection(t *testing.T) {
	r, h := newSuspendedRig(t)
	r.engine.SetReply(func(standin.Run) standin.Reply {
		h.Suspend(2 * time.Second)
		return standin.Reply{Body: "x"}
	})
	if err := r.do("spans", late); err != nil {
		t.Fatal(err)
	}
	r.engine.SetReply(func(standin.Run) standin.Reply { return standin.Reply{Body: "x"} })
	r.engine.DropSilently()
	if err := r.do("after", late); err != nil {
		t.Errorf("got %v, want a response on a new connection", err)
	}
}

// A connection whose request was sent after the suspension is reused: a suspension costs
// only one dial.
func TestConnectionUsedAfterSuspensionIsKept(t *testing.T) {
	r, h := newSuspendedRig(t)
	h.Suspend(2 * time.Second)
	for n := range 3 {
		if err := r.do(fmt.Sprintf("after %d", n), late); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.engine.Dials(); got != 1 {
		t.Errorf("got %d connections for three requests, want 1", got)
	}
}

// A change of the system time is no suspension and closes no connection.
func TestClockChangeKeepsConnections(t *testing.T) {
	r, h := newSuspendedRig(t)
	r.keep(t, 1)
	h.StepWallTime(time.Hour)
	if err := r.do("after", late); err != nil {
		t.Fatal(err)
	}
	if got := r.engine.Dials(); got != 1 {
		t.Errorf("got %d connections, want the one that was kept", got)
	}
}

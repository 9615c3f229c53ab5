package fresh_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/fresh"
)

const settle clock.Millis = 2500

func TestFirstEpochIsNeverStale(t *testing.T) {
	e := fresh.NewEpoch(settle)
	if e.MayBeStale(0) || e.MayBeStale(100) || !e.Confirms(0, 0) {
		t.Error("got a source without epochs that may be stale or does not confirm")
	}
	e.Observe(1, 50)
	if e.MayBeStale(60) || !e.Confirms(1, 60) {
		t.Error("got a source in its first epoch that may be stale or does not confirm")
	}
	if e.Confirms(0, 60) {
		t.Error("got a confirmation by a response without an epoch, want none")
	}
}

func TestLaterEpochMayBeStaleUntilSettled(t *testing.T) {
	for name, first := range map[string]int64{"observed to increase": 1, "first observed": 0} {
		e := fresh.NewEpoch(settle)
		if first > 0 {
			e.Observe(first, 0)
		}
		if !e.Observe(2, 1000) {
			t.Errorf("%s: got no later epoch, want one", name)
		}
		for _, tc := range []struct {
			at              clock.Millis
			stale, confirms bool
		}{
			{1000, true, false}, {3499, true, false}, {3500, false, true},
		} {
			if got := e.MayBeStale(tc.at); got != tc.stale {
				t.Errorf("%s: got may be stale %v at %d, want %v", name, got, tc.at, tc.stale)
			}
			if got := e.Confirms(2, tc.at); got != tc.confirms {
				t.Errorf("%s: got confirms %v at %d, want %v", name, got, tc.at, tc.confirms)
			}
			if e.Confirms(1, tc.at) || e.Confirms(3, tc.at) {
				t.Errorf("%s: got a confirmation by a response from another epoch at %d, want none", name, tc.at)
			}
		}
		if e.Observe(1, 4000) || e.Number() != 2 {
			t.Errorf("%s: got epoch %d after a response from an earlier one, want 2", name, e.Number())
		}
		// The epoch increases again within a second.
		e.Observe(3, 4000)
		if !e.MayBeStale(4100) || e.Confirms(3, 4100) {
			t.Errorf("%s: got a source that is not stale or that confirms after another increase", name)
		}
	}
}

func TestPeerMayHaveObservedEpochEarlier(t *testing.T) {
	e := fresh.NewEpoch(settle)
	e.Observe(2, 10_000)
	if e.ObservePeer(2, 1000) || e.MayBeStale(10_001) {
		t.Error("got an epoch that may be stale or is new though a peer has known it for long")
	}
	if !e.ObservePeer(3, 0) || e.Number() != 2 {
		t.Errorf("got epoch %d from a peer, want 2 and the source to be asked", e.Number())
	}
}

package fresh_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/fresh"
)

const settle clock.Millis = 2500

func TestASourceWithoutEpochsIsNeverInDoubt(t *testing.T) {
	e := fresh.NewEpoch(settle)
	if e.MayBeStale(0) || e.MayBeStale(100) || !e.Confirms(0, 0) {
		t.Error("got doubt without epochs, want none")
	}
	e.Observe(1, 50)
	if e.MayBeStale(60) || !e.Confirms(1, 60) {
		t.Error("got doubt in the first epoch, want none")
	}
	if e.Confirms(0, 60) {
		t.Error("got a proof by an answer of no epoch, want none")
	}
}

func TestALaterEpochIsInDoubtForAWhile(t *testing.T) {
	for name, first := range map[string]int64{"seen to rise": 1, "met so": 0} {
		e := fresh.NewEpoch(settle)
		if first > 0 {
			e.Observe(first, 0)
		}
		if !e.Observe(2, 1000) {
			t.Errorf("%s: got no later epoch, want one", name)
		}
		for _, tc := range []struct {
			at             clock.Millis
			doubts, proves bool
		}{
			{1000, true, false}, {3499, true, false}, {3500, false, true},
		} {
			if got := e.MayBeStale(tc.at); got != tc.doubts {
				t.Errorf("%s: got doubts %v at %d, want %v", name, got, tc.at, tc.doubts)
			}
			if got := e.Confirms(2, tc.at); got != tc.proves {
				t.Errorf("%s: got proves %v at %d, want %v", name, got, tc.at, tc.proves)
			}
			if e.Confirms(1, tc.at) || e.Confirms(3, tc.at) {
				t.Errorf("%s: got a proof by an answer of another epoch at %d, want none", name, tc.at)
			}
		}
		if e.Observe(1, 4000) || e.Number() != 2 {
			t.Errorf("%s: got epoch %d after word of an earlier one, want 2", name, e.Number())
		}
		// It rises twice in a second.
		e.Observe(3, 4000)
		if !e.MayBeStale(4100) || e.Confirms(3, 4100) {
			t.Errorf("%s: got no doubt after another rise, want it", name)
		}
	}
}

func TestOthersMayHaveKnownAnEpochForLonger(t *testing.T) {
	e := fresh.NewEpoch(settle)
	e.Observe(2, 10_000)
	if e.ObservePeer(2, 1000) || e.MayBeStale(10_001) {
		t.Error("got doubt in an epoch that another has known for long, want none")
	}
	if !e.ObservePeer(3, 0) || e.Number() != 2 {
		t.Errorf("got epoch %d by word of another, want the source to be asked", e.Number())
	}
}

package fresh_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/fresh"
)

func TestAgeStartsAtConfirmation(t *testing.T) {
	var tracker fresh.Tracker
	if tracker.Within(1_000_000, 0) {
		t.Error("got content that was never read within a limit, want it unknown")
	}
	for _, tc := range []struct{ confirm, now, want clock.Millis }{
		{100, 150, 50},
		{300, 400, 100},
		{200, 400, 100}, // an older confirmation changes nothing
		{300, 900, 600},
	} {
		tracker.Confirm(tc.confirm)
		if got := tracker.Age(tc.now); got != tc.want {
			t.Errorf("confirmed at %d: got age %d at %d, want %d", tc.confirm, got, tc.now, tc.want)
		}
	}
	if !tracker.Within(600, 900) || tracker.Within(599, 900) {
		t.Error("got another age, want it within 600 and not within 599")
	}
}

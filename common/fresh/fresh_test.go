package fresh_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/fresh"
)

func TestABeliefIsAsOldAsItsRead(t *testing.T) {
	var b fresh.Tracker
	if b.Within(1_000_000, 0) {
		t.Error("got a belief that was never read within a limit, want it unknown")
	}
	for _, tc := range []struct{ confirm, now, want clock.Millis }{
		{100, 150, 50},
		{300, 400, 100},
		{200, 400, 100}, // an older read changes nothing
		{300, 900, 600},
	} {
		b.Confirm(tc.confirm)
		if got := b.Age(tc.now); got != tc.want {
			t.Errorf("confirmed at %d: got age %d at %d, want %d", tc.confirm, got, tc.now, tc.want)
		}
	}
	if !b.Within(600, 900) || b.Within(599, 900) {
		t.Error("got another limit than the age, want within 600 and not within 599")
	}
}

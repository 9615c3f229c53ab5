package origin_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
)

func TestLimitsRememberTheLongest(t *testing.T) {
	const keep clock.Millis = 100
	l := origin.NewLimits(keep)
	l.Record(1, "llm", 50, 0)
	l.Record(1, "llm", 20, 10)
	for _, tc := range []struct {
		name      string
		workspace uint32
		service   string
		now, want clock.Millis
	}{
		{"a shorter one changes nothing", 1, "llm", 10, 50},
		{"another workspace", 2, "llm", 10, 0},
		{"another service", 1, "api", 10, 0},
		{"no longer stated", 1, "llm", keep, 0},
	} {
		if got := l.Longest(tc.workspace, tc.service, tc.now); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.name, got, tc.want)
		}
	}
	l.Record(1, "llm", 20, keep)
	if got, want := l.Longest(1, "llm", keep), clock.Millis(20); got != want {
		t.Errorf("got %d after the longest has ended, want %d", got, want)
	}
}

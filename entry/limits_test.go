package entry_test

import (
	"testing"

	"github.com/weldfall/weldfall/entry"
)

// Guards against a workspace that gets its full burst again each time its limits are published.
func TestChangedLimitsDoNotRefillBurst(t *testing.T) {
	// Too slow to add a token during the test.
	const perSecond = 1e-6
	for name, changed := range map[string]struct {
		perSecond float64
		burst     int
	}{
		"another rate":  {2 * perSecond, 400},
		"larger burst":  {perSecond, 800},
		"smaller burst": {perSecond, 200},
		"both":          {3 * perSecond, 500},
	} {
		l := entry.NewLimiters()
		if !l.Allow("ws-1", perSecond, 400, 400) {
			t.Fatalf("%s: got no tokens for a new workspace, want its burst", name)
		}
		if l.Allow("ws-1", changed.perSecond, changed.burst, 1) {
			t.Errorf("%s: got a token after the burst was spent, want none", name)
		}
		if !l.Allow("ws-2", changed.perSecond, changed.burst, changed.burst) {
			t.Errorf("%s: got no tokens for another workspace, want its burst", name)
		}
	}
}

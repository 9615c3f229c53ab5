package entry_test

import (
	"testing"

	"github.com/weldfall/weldfall/entry"
)

// Guards against a workspace that may send its whole burst again whenever its limits are
// published anew.
func TestChangedLimitsGrantNothingAnew(t *testing.T) {
	// So slow that no token comes during the test.
	const perSecond = 1e-6
	for name, changed := range map[string]struct {
		perSecond float64
		burst     int
	}{
		"another rate":  {2 * perSecond, 400},
		"more at once":  {perSecond, 800},
		"less at once":  {perSecond, 200},
		"both, changed": {3 * perSecond, 500},
	} {
		l := entry.NewLimiters()
		if !l.Take("ws-1", perSecond, 400, 400) {
			t.Fatalf("%s: got nothing of a new workspace, want its burst", name)
		}
		if l.Take("ws-1", changed.perSecond, changed.burst, 1) {
			t.Errorf("%s: got a token after the burst was spent, want none", name)
		}
		if !l.Take("ws-2", changed.perSecond, changed.burst, changed.burst) {
			t.Errorf("%s: got nothing of another workspace, want its burst", name)
		}
	}
}

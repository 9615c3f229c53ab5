package gate_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/weldfall/weldfall/engines/statement"
)

// Guards against requests that reach an engine although it said, after it was chosen and before
// they were sent, that it wants none.
func TestRequestIsNotSentToAnEngineThatClosedMeanwhile(t *testing.T) {
	for name, tc := range map[string]struct {
		said statement.Said
		sent bool
	}{
		"says nothing": {statement.Said{}, true},
		"leaves":       {statement.Said{Leaving: true}, false},
		"rests":        {statement.Said{Rest: 60_000}, false},
	} {
		r := httptest.NewRequest(http.MethodGet, "/0/x", nil)
		r.Header.Set("Id", "id-1")
		g, _ := newLoadedGate(t, 0, 0)
		first, placed := g.PlaceSecured(r, tc.said)
		if got := placed == first; got != tc.sent || placed == "" {
			t.Errorf("%s: got the request placed at %q, secured at %q, want the secured engine: %v", name, placed, first, tc.sent)
		}
		g, _ = newLoadedGate(t, 0, 0)
		outcome, unreachable := g.SendAfter(r, tc.said)
		if got := outcome != "unsent"; got != tc.sent || unreachable {
			t.Errorf("%s: got outcome %q, unreachable %v, want it sent: %v, and the engine reachable", name, outcome, unreachable, tc.sent)
		}
	}
}

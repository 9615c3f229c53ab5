package gate_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/statement"
	"github.com/weldfall/weldfall/gate"
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

// Guards against requests that are blamed for the end of an engine which had said that it leaves,
// because the list never had it as draining.
func TestPlannedEndOfAnEngineIsNoStrike(t *testing.T) {
	ends := map[string]func(*gate.Gate, engines.Info){
		"removed": func(g *gate.Gate, in engines.Info) { g.RemoveEngine(in.ID, "test") },
		"superseded": func(g *gate.Gate, in engines.Info) {
			in.StartedAt = 2000
			g.PutEngine(in)
		},
	}
	for name, end := range ends {
		for said, wantStrike := range map[statement.Said]bool{{}: true, {Rest: 60_000}: true, {Leaving: true}: false} {
			var log bytes.Buffer
			g, _ := newLoggingGate(t, slog.New(slog.NewTextHandler(&log, nil)), 0, 0)
			r := httptest.NewRequest(http.MethodGet, "/0/x", nil)
			r.Header.Set("Id", "id-1")
			end(g, g.BreakOff(r, said))
			if got := bytes.Contains(log.Bytes(), []byte("msg=struck")); got != wantStrike {
				t.Errorf("%s after %+v: got a strike: %v, want %v", name, said, got, wantStrike)
			}
		}
	}
}

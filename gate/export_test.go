package gate

import (
	"context"
	"net/http"
	"net/http/httptest"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// ShareOf returns this entry's part of a quota of the whole fleet.
func (g *Gate) ShareOf(whole int, key string) int { return g.shares.Part(whole, key) }

// ParseLoad parses the load that an engine reports.
var ParseLoad = parseLoad

// Failure returns the response to a caller for a failure.
func (g *Gate) Failure(err *verdict.Error) *http.Response {
	w := httptest.NewRecorder()
	c := g.newCall(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	c.id = "id-1"
	g.respond(c, err)
	return w.Result()
}

// OverShare runs the steps up to authorise for a request and reports whether it is above
// the fair part of its workspace.
func (g *Gate) OverShare(r *http.Request) bool {
	c := g.newCall(httptest.NewRecorder(), r)
	for _, step := range []func(context.Context, *call) *verdict.Error{g.validateHeaders, g.resolve, g.authorise} {
		if err := step(r.Context(), c); err != nil {
			panic(err)
		}
	}
	return g.overShare(c)
}

// TrackedWorkspaces returns the number of workspaces whose use is tracked.
func (g *Gate) TrackedWorkspaces() int { return g.fair.Tracked() }

// Turn passes a plain request through its turn and returns what ends it.
func (g *Gate) Turn(ctx context.Context, goal, left clock.Millis) (end func(), err *verdict.Error) {
	now := g.clk.Now()
	w := httptest.NewRecorder()
	c := g.newCall(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	c.service, c.route, c.giveUpAt = "app", &table.Route{Name: "r", Goal: goal}, now+left
	return func() { g.endTurn(c) }, g.awaitTurn(ctx, c)
}

// RejectTurn records that an engine rejected a request.
func (g *Gate) RejectTurn() {
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	g.turns.of("app").Rejected(g.clk.Now())
}

// Turns returns the numbers of requests that run and wait.
func (g *Gate) Turns() (running, waiting, channels int) {
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	s := g.turns.of("app")
	return s.Running(), s.Waiting(), len(s.granted)
}

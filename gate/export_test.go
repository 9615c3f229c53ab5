package gate

import (
	"context"
	"net/http"
	"net/http/httptest"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/statement"
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

// prepare returns a call for a request that has passed the filters up to its workspace.
func (g *Gate) prepare(r *http.Request) *call {
	c := g.newCall(httptest.NewRecorder(), r)
	for _, step := range []func(context.Context, *call) *verdict.Error{g.validateHeaders, g.resolve, g.admit, g.authorise} {
		if err := step(r.Context(), c); err != nil {
			panic(err)
		}
	}
	return c
}

// PlaceSecured secures an engine for a request, records what the engine says then, and returns
// the IDs of the secured engine and of the one that the request goes to.
func (g *Gate) PlaceSecured(r *http.Request, said statement.Said) (first, placed string) {
	c := g.prepare(r)
	p := g.chooseAndHear(c, said)
	c.next = &secured{pick: p}
	next, err := g.place(r.Context(), c)
	if err != nil {
		return p.ID, ""
	}
	return p.ID, next.ID
}

// SendAfter chooses an engine for a request, records what the engine says then, and sends the
// request. It returns the name of the outcome and whether the engine counts as unreachable.
func (g *Gate) SendAfter(r *http.Request, said statement.Said) (outcome string, unreachable bool) {
	c := g.prepare(r)
	p := g.chooseAndHear(c, said)
	o := g.attempt(r.Context(), c, p)
	return outcomeName(o), g.isLost(p.Incarnation().Hash())
}

// BreakOff chooses an engine for a request, records what the engine says then and that it broke
// off the request, and returns its listing entry.
func (g *Gate) BreakOff(r *http.Request, said statement.Said) engines.Info {
	c := g.prepare(r)
	p := g.chooseAndHear(c, said)
	g.guard.RecordBrokenAttempt(c.suspect(), p.Incarnation().Hash(), p.ID, false)
	return p.Info
}

func (g *Gate) chooseAndHear(c *call, said statement.Said) pick {
	p, err := g.choose(c, false)
	if err != nil {
		panic(err)
	}
	c.tried = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.RecordStatement(p.Incarnation(), said, g.clk.Now())
	return p
}

// AuthoriseAfter runs the steps up to authorise for a request, and between before the last one.
func (g *Gate) AuthoriseAfter(r *http.Request, between func()) *verdict.Error {
	c := g.newCall(httptest.NewRecorder(), r)
	for _, step := range []func(context.Context, *call) *verdict.Error{g.validateHeaders, g.resolve} {
		if err := step(r.Context(), c); err != nil {
			panic(err)
		}
	}
	between()
	return g.authorise(r.Context(), c)
}

// Resume runs the steps up to checkMoved for a request that resumes a stream.
func (g *Gate) Resume(r *http.Request) *verdict.Error {
	c := g.newCall(httptest.NewRecorder(), r)
	for _, step := range []func(context.Context, *call) *verdict.Error{g.validateHeaders, g.resolve, g.resolveOrigin, g.checkMoved} {
		if err := step(r.Context(), c); err != nil {
			return err
		}
	}
	return nil
}

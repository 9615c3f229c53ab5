package gate

import (
	"context"

	"github.com/weldfall/weldfall/callers/filter"
)

// filters returns the steps that every request passes, in order.
func (g *Gate) filters() filter.List[*call] {
	return filter.List[*call]{
		{Name: "check", Run: g.validateHeaders}, // validate the headers that the entry uses
		{Name: "resolve", Run: g.resolve},       // find the route by host and path
		{Name: "stay", Run: g.admit},            // a stopping process accepts only what it can finish
		{Name: "authorise", Run: g.authorise},   // find the workspace of the key
		{Name: "origin", Run: g.resolveOrigin},  // find the version that began a resumed stream
		{Name: "moved", Run: g.checkMoved},      // reject a resumed stream that another service may have begun
		{Name: "read", Run: g.readBody},         // read the body within its limits
		{Name: "room", Run: g.checkRoom},        // reject what the engines have no room for, the least urgent first
		{Name: "turn", Run: g.awaitTurn},        // wait briefly for a place at engines that report no load
		{Name: "send", Run: g.send},             // choose an engine, send, relay the response
	}
}

// serve passes a call through the filters, responds to it and accounts for it.
func (g *Gate) serve(ctx context.Context, c *call) {
	defer g.endTurn(c)
	if name, err := g.filters().Run(ctx, c); err != nil {
		err = withRetryAfter(err)
		c.failedFilter, c.err = name, err
		g.respond(c, err)
	}
	g.account(c)
}

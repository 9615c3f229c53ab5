package gate

import (
	"context"

	"github.com/weldfall/weldfall/callers/filter"
)

// filters is the way of every request, in order.
func (g *Gate) filters() filter.List[*call] {
	return filter.List[*call]{
		{Name: "check", Run: g.check},         // headers that decide are there once
		{Name: "resolve", Run: g.resolve},     // the route of host and path
		{Name: "stay", Run: g.admit},          // a stopping process can finish it
		{Name: "authorise", Run: g.authorise}, // the workspace that holds the key
		{Name: "read", Run: g.read},           // the body, within its bound
		{Name: "send", Run: g.send},           // choose an engine, send, relay the answer
	}
}

// serve takes a call through the filters, answers it and accounts for it.
func (g *Gate) serve(ctx context.Context, c *call) {
	if name, err := g.filters().Run(ctx, c); err != nil {
		c.failedFilter, c.err = name, err
		g.respond(c, err)
	}
	g.account(c)
}

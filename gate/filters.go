package gate

import (
	"context"

	"github.com/weldfall/weldfall/verdict"
)

// filter is one step of the way of a request. An error ends the way; it is
// told to the caller by respond.
type filter struct {
	name string
	run  func(ctx context.Context, c *call) *verdict.Error
}

// filters is the way of every request, in order.
func (g *Gate) filters() []filter {
	return []filter{
		{"check", g.check},         // headers that decide are there once
		{"resolve", g.resolve},     // the route of host and path
		{"stay", g.stay},           // a stopping process can finish it
		{"authorise", g.authorise}, // the workspace that holds the key
		{"read", g.read},           // the body, within its bound
		{"send", g.send},           // choose an engine, send, relay the answer
	}
}

// serve takes a call through the filters, answers it and accounts for it.
func (g *Gate) serve(ctx context.Context, c *call) {
	for _, f := range g.filters() {
		if err := f.run(ctx, c); err != nil {
			c.filter, c.err = f.name, err
			g.respond(c, err)
			break
		}
	}
	g.account(c)
}

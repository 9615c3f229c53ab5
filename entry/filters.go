package entry

import (
	"context"

	"github.com/weldfall/weldfall/callers/filter"
)

// filters returns the filters that every request passes through, in order.
func (e *Entry) filters() filter.List[*call] {
	return filter.List[*call]{
		{Name: "identify", Run: e.identify}, // authenticates the workspace
		{Name: "resolve", Run: e.resolve},   // looks up the settings
		{Name: "read", Run: e.read},         // reads the body, up to its size limit
		{Name: "classify", Run: e.classify}, // finds chat and pool, and whether the request is repeatable
		{Name: "stay", Run: e.stay},         // a stopping entry accepts only what it can finish
		{Name: "admit", Run: e.admit},       // enforces the rate limit
		{Name: "claim", Run: e.claim},       // claims the idempotency key
		{Name: "send", Run: e.send},         // chooses an engine, sends the request and streams the response
	}
}

// serve processes a request, and reports and records its outcome.
func (e *Entry) serve(ctx context.Context, c *call) {
	if name, err := e.filters().Run(ctx, c); err != nil {
		e.respond(c, name, err)
	}
	e.account(c)
}

package entry

import (
	"context"

	"github.com/weldfall/weldfall/callers/filter"
)

// filters is the way of every request, in order.
func (e *Entry) filters() filter.List[*call] {
	return filter.List[*call]{
		{Name: "identify", Run: e.identify}, // whose request it is
		{Name: "resolve", Run: e.resolve},   // the settings in force for it
		{Name: "read", Run: e.read},         // the body, within its bound
		{Name: "classify", Run: e.classify}, // chat, pool, and whether it may be repeated
		{Name: "admit", Run: e.admit},       // the workspace's rate
		{Name: "claim", Run: e.claim},       // the promise that no other attempt runs
		{Name: "send", Run: e.send},         // choose an engine, send, stream the answer
	}
}

// serve takes a call through the filters, answers it and accounts for it.
func (e *Entry) serve(ctx context.Context, c *call) {
	if name, err := e.filters().Run(ctx, c); err != nil {
		e.respond(c, name, err)
	}
	e.account(c)
}

package entry

import "context"

// filter is one step of the way of a request. An error ends the way; it is
// told to the caller by respond.
type filter struct {
	name string
	run  func(ctx context.Context, c *call) error
}

// filters is the way of every request, in order.
func (e *Entry) filters() []filter {
	return []filter{
		{"identify", e.identify}, // whose request it is
		{"resolve", e.resolve},   // the settings in force for it
		{"read", e.read},         // the body, within its bound
		{"classify", e.classify}, // chat, pool, and whether it may be repeated
		{"admit", e.admit},       // the workspace's rate
		{"claim", e.claim},       // the promise that no other attempt runs
		{"send", e.send},         // choose an engine, send, stream the answer
	}
}

// serve takes a call through the filters, answers it and accounts for it.
func (e *Entry) serve(ctx context.Context, c *call) {
	for _, f := range e.filters() {
		if err := f.run(ctx, c); err != nil {
			e.respond(c, f.name, err)
			break
		}
	}
	e.account(c)
}

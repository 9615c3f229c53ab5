package entry

import (
	"net/http"

	"github.com/weldfall/weldfall/callers/chats"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/verdict"
)

// call is one caller's request on its way through the filters.
type call struct {
	w http.ResponseWriter
	r *http.Request

	// id is the public name of the request.
	id string
	// startMicros and start are when the request arrived.
	startMicros int64
	start       clock.Millis

	// Set by identify.
	partner, workspace, service string
	// path is the service's place in the settings tree.
	path string

	// Set by read.
	body []byte
	chat chats.Turn

	// Set by resolve.
	values settings.Values
	pool   string

	// Set by classify.
	chatKey   uint64
	returning bool
	// named is true when the caller named the chat.
	named bool
	// once is nil for a request that may be run again.
	once *wire.Once
	// claimed is the attempt number under which the key is promised.
	claimed uint64
	// witnesses are those that were asked for the promise.
	witnesses []once.Daemon

	// guarded is the call as the guard knows it, nil until it is about to be sent.
	guarded *quarantine.Request

	// Set by send and stream.
	engine string
	// mode is that of the offer which engine took.
	mode wire.Mode
	// offered is the engine that the latest offer went to.
	offered string
	// hint is the engine that served the chat last; hintIsOwn is true when
	// this entry remembers it and does not have it from the caller.
	hint      string
	hintIsOwn bool
	result    wire.Result
	// headSent is true once the caller has got a status.
	headSent bool
	// cut is true when the answer had begun and failed: the connection must
	// end without an end mark.
	cut    bool
	tokens int
	// firstMicros and lastMicros are when the first and the latest piece of
	// the answer went out, zero if none did.
	firstMicros, lastMicros int64
	attempts                int
	err                     *verdict.Error
}

// isChat reports whether the request is a chat turn rather than a call of a
// plain service.
func (c *call) isChat() bool { return c.service == chats.Service }

// left returns the time to the deadline.
func (c *call) left(now clock.Millis) clock.Millis {
	return c.start + c.values.Limits.Deadline() - now
}

// workspacePath is the workspace's place in the settings tree.
func (c *call) workspacePath() string { return c.partner + "/" + c.workspace }

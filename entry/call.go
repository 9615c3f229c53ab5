package entry

import (
	"net/http"

	"github.com/weldfall/weldfall/callers/bodies"
	"github.com/weldfall/weldfall/callers/chats"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/verdict"
)

// call is the state of a request while the filters process it.
type call struct {
	w http.ResponseWriter
	r *http.Request

	// id is the request ID that callers and logs see.
	id string
	// startMicros and start are the arrival time.
	startMicros int64
	start       clock.Millis

	// Set by identify.
	partner, workspace, service string
	// path is the path of the service in the settings tree.
	path string

	// Set by read.
	body []byte
	// received accounts for the memory of the body.
	received *bodies.Body
	chat     chats.Turn

	// Set by resolve.
	values settings.Values
	pool   string

	// Set by classify.
	chatKey   uint64
	returning bool
	// named is set if the caller named the chat.
	named bool
	// once is nil if the request may run more than once.
	once *wire.Once
	// claimAttempt is the attempt number that the key is granted to, or 0.
	claimAttempt uint64
	// witnesses are the daemons that claims were sent to.
	witnesses []once.Daemon

	// expected is what is known about the response before it begins.
	expected duration.Request
	// progress records the pace of the response, nil unless it is a stream of a chat.
	progress *duration.Progress

	// quarantineReq is created on first use by quarantineRequest.
	quarantineReq *quarantine.Request

	// Set by send and stream.
	engine string
	// mode is the mode of the offer that the engine accepted.
	mode wire.Mode
	// lastOffer is the engine that the latest offer was sent to.
	lastOffer string
	// hint is the engine that last served the chat. hintLocal is set if this entry recorded
	// the hint itself and did not receive it from the caller.
	hint      string
	hintLocal bool
	result    wire.Result
	// headerSent is set once the response header has been written.
	headerSent bool
	// aborted is set if the request failed in the middle of the response. The response must
	// then end without its end marker.
	aborted bool
	tokens  int
	// firstWriteMicros and lastWriteMicros are the times of the first and the latest write of
	// response data, or 0 if there was none.
	firstWriteMicros, lastWriteMicros int64
	attempts                          int
	err                               *verdict.Error
}

// isChat reports whether the request is a chat turn and not a request to a plain service.
func (c *call) isChat() bool { return c.service == chats.Service }

// timeLeft returns the time until the deadline.
func (c *call) timeLeft(now clock.Millis) clock.Millis {
	return c.start + c.values.Limits.Deadline() - now
}

// workspacePath returns the path of the workspace in the settings tree.
func (c *call) workspacePath() string { return c.partner + "/" + c.workspace }
